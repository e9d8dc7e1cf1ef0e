//! A request and its attempts, as fronts and transports see them.

use crate::gate::AttemptGate;
use crate::nodes::Target;
use pointcross_scheduler::Outcome;
use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

/// A request as a front decoded it.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Its class's number.
    pub class: u16,
    /// Its volume's plan's number.
    pub plan: u16,
    /// Its volume.
    pub volume: u64,
    /// The piece of data; 0 is none.
    pub key: u64,
    /// Its size.
    pub units: f64,
    /// The shard that holds the data; `None` for a new object.
    pub shard: Option<u32>,
    /// Through how many schedulers the volume's requests come.
    pub volume_hosts: f64,
    /// Whether it is a client's retry, where clients mark them.
    pub client_repeat: bool,
    /// Whether it writes.
    pub writes: bool,
    /// When its client gives up.
    pub deadline: Instant,
}

/// One attempt that a transport is to carry out.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Where to.
    pub target: Target,
    /// How long it will be waited for, from when it is handed to the transport.
    pub time_left: Duration,
    /// Its number within the request, from 0.
    pub number: u16,
    /// Whether its first byte may still be written: asked again once there is a connection.
    pub gate: AttemptGate,
}

/// How an attempt ended. "Never ran" and "may have run" are kept apart by every variant's meaning.
#[derive(Debug, PartialEq)]
pub enum End<A> {
    /// The node served it.
    Served(A),
    /// The node answered with an error: it may have run.
    Error,
    /// The node rejected it unseen: it never ran.
    Rejected,
    /// The connection never came up, or broke before the request was written whole: it never ran.
    NoConnection,
    /// The connection broke after that: it may have run.
    Reset,
    /// It was not sent for want of room on this side, or its gate had closed: it never ran.
    NotSent,
}

/// What an answer reports beside its content.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Units that the shard served for the volume through other schedulers.
    pub elsewhere: f64,
    /// The load report, in the order of the settings' names; empty where none came.
    pub load: Vec<f32>,
}

/// An attempt's end, with its report.
#[derive(Debug, PartialEq)]
pub struct Ended<A> {
    /// How it ended.
    pub end: End<A>,
    /// What came with it.
    pub report: Report,
}

impl<A> From<End<A>> for Ended<A> {
    fn from(end: End<A>) -> Self {
        Ended { end, report: Report::default() }
    }
}

/// Carries attempts to nodes.
///
/// Cancellation: dropping the future of an attempt gives the attempt up.
pub trait Transport: Sync {
    /// What is sent.
    type Call: Sync;
    /// What a served attempt brings back.
    type Answer: Send;

    /// Carries one attempt to its node and returns how it ended.
    fn attempt(
        &self,
        attempt: Attempt,
        call: &Self::Call,
    ) -> impl Future<Output = Ended<Self::Answer>> + Send;
}

/// A request's one final answer.
#[derive(Debug, PartialEq)]
pub enum Answer<A> {
    /// Served, with what the node sent.
    Served(A),
    /// Refused: a retry is harmless, best after this long.
    Refused {
        /// How long to stay away.
        retry_after: Duration,
    },
    /// Failed: it may have run.
    Failed,
}

impl<A> Answer<A> {
    /// The outcome's name in logs, spans and counts.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed => "failed",
        }
    }
}

impl<A> End<A> {
    /// The outcome for the decision module, and the answer of a served attempt.
    pub(crate) fn split(self) -> (Outcome, Option<A>) {
        match self {
            End::Served(answer) => (Outcome::Served, Some(answer)),
            End::Error => (Outcome::Error, None),
            End::Rejected => (Outcome::Full, None),
            End::NoConnection => (Outcome::NoConnection, None),
            End::Reset => (Outcome::Reset, None),
            End::NotSent => (Outcome::NotSent, None),
        }
    }
}

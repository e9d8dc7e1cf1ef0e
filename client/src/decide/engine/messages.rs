//! What goes into the engine and what comes out: events, actions and the end of a call.

use crate::decide::retry_policy::{AttemptOutcome, MayHaveRunCause, NeverRanCause};
use crate::decide::scheduler::EjectionCause;
use crate::decide::{CallId, ConnectionId, Instant};
use std::net::SocketAddr;
use std::time::Duration;

/// What happened outside of the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The program calls.
    Called {
        /// Its id, never used before.
        call: CallId,
        /// The class's number.
        class: u16,
        /// The set's number.
        set: u16,
        /// The volume.
        volume: u64,
        /// When the program stops waiting.
        deadline: Instant,
    },
    /// The program no longer waits.
    Dropped {
        /// For this call.
        call: CallId,
    },
    /// A connection came up.
    Opened {
        /// Which.
        connection: ConnectionId,
    },
    /// A connection did not come up.
    OpenFailed {
        /// Which.
        connection: ConnectionId,
    },
    /// A probe ended.
    Probed {
        /// Its connection, which stays open where the scheduler takes work.
        connection: ConnectionId,
        /// Whether it does.
        ready: bool,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Its connection.
        connection: ConnectionId,
        /// How.
        end: AttemptOutcome,
        /// Whether the connection can carry another.
        reusable: bool,
    },
    /// A connection that carried nothing was closed by the other side.
    Closed {
        /// Which.
        connection: ConnectionId,
    },
    /// A set has other schedulers now.
    SchedulersChanged {
        /// The set's number.
        set: u16,
        /// All of its schedulers.
        addresses: Vec<SocketAddr>,
    },
}

/// Why a refused call was not retried. `pointcross call` prints the variants' names, so they stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoRetryReason {
    /// It had as many retries as its class allows.
    TriesSpent,
    /// The retry budget of the client is exhausted.
    BudgetSpent,
    /// A retry could not have been answered before the deadline.
    NoTime,
    /// The volume is paused after another call's refusal, for longer than this call can wait.
    Held,
    /// The queue of calls is full; nothing was sent.
    LineFull,
}

/// How a call ended; each call has one end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Served, by the last attempt's response.
    Served,
    /// Refused: it never ran, or is safe to repeat.
    Refused {
        /// When a new call makes sense, counted from now, where the scheduler said so.
        retry_after: Option<Duration>,
        /// Why it was not retried.
        why: NoRetryReason,
    },
    /// Failed; it may have run.
    MayHaveRun(MayHaveRunCause),
    /// Failed; it never ran.
    NeverRan(NeverRanCause),
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a connection.
    Open {
        /// Its id.
        connection: ConnectionId,
        /// To where.
        address: SocketAddr,
    },
    /// Open a connection and ask the scheduler whether it takes work.
    Probe {
        /// Its id.
        connection: ConnectionId,
        /// To where.
        address: SocketAddr,
    },
    /// Close a connection, even with an attempt in flight.
    Close {
        /// Which.
        connection: ConnectionId,
    },
    /// Send a call's request on a connection that is up and idle.
    Send {
        /// The call.
        call: CallId,
        /// The connection.
        connection: ConnectionId,
        /// Where it leads.
        address: SocketAddr,
        /// How many schedulers carry the volume.
        host_count: usize,
        /// Whether it is marked as a retry.
        is_retry: bool,
    },
    /// Complete the call.
    Finish {
        /// The call.
        call: CallId,
        /// Its end.
        verdict: Verdict,
    },
    /// Report to the observer and the log.
    Report(SchedulerEvent),
}

/// A change in a scheduler's state, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// A scheduler was ejected: no calls go there until a probe succeeds.
    Ejected {
        /// Which.
        address: SocketAddr,
        /// Why.
        cause: EjectionCause,
        /// How long until a probe may start.
        wait: Duration,
    },
    /// A scheduler takes work again.
    Recovered {
        /// Which.
        address: SocketAddr,
    },
    /// A connection was lost unannounced.
    ConnectionLost {
        /// To which scheduler.
        address: SocketAddr,
    },
}

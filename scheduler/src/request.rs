//! A request between its arrival and its final answer, and its attempts.

use crate::events::{Outcome, Request, RequestId};
use crate::units::Millis;
use std::collections::VecDeque;

/// One attempt of a request.
pub(crate) struct Attempt {
    /// The node's slot.
    pub(crate) node: usize,
    pub(crate) sent_at: Millis,
    /// `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

/// A request that is owed a final answer, or whose last attempts are still in flight.
#[derive(Default)]
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) class: usize,
    /// When it stops earning its full worth.
    pub(crate) target_at: Millis,
    /// The slot of the node that it was queued for last.
    pub(crate) node: usize,
    pub(crate) queued: bool,
    /// It has its final answer.
    pub(crate) answered: bool,
    pub(crate) streaming: bool,
    /// Its units were drawn from the volume's limit.
    pub(crate) charged: bool,
    /// No attempt before this.
    pub(crate) not_before: Millis,
    pub(crate) attempts: Vec<Attempt>,
}

impl PendingRequest {
    /// Attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count()
    }

    /// The first attempt that a node may have run.
    pub(crate) fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !never_ran(attempt.outcome))
    }
}

/// Whether this outcome proves that the node did not run the attempt.
pub(crate) fn never_ran(outcome: Option<Outcome>) -> bool {
    matches!(outcome, Some(Outcome::Full | Outcome::NoConnection | Outcome::NotSent))
}

/// The requests of one key of the ordered classes: they run one at a time, in order of arrival.
#[derive(Default)]
pub(crate) struct KeyQueue {
    pub(crate) waiting: VecDeque<RequestId>,
    /// An attempt that may still be running blocks the key until then.
    pub(crate) blocked_until: Option<Millis>,
}

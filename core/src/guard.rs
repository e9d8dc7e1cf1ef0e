//! The seam for admission before the decision module: a guard that knows how far the node list is verified is asked
//! before a request goes to the module, and notified of every attempt's end. The module still decides all that it is asked.

use crate::nodes::{Member, Target};
use crate::request::NewRequest;
use pointcross_scheduler::{ListKind, Outcome};
use std::time::Duration;

/// Whether a request may go to the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It may, without a limit.
    Unrestricted,
    /// It may, and is counted at this node until it is over. Its attempts are waited for no longer than
    /// `limit`, where there is one.
    Counted {
        /// The node's id in the list.
        node: String,
        /// The longest wait of an attempt.
        limit: Option<Duration>,
    },
    /// It may not: it is refused at once.
    Refused {
        /// How long to stay away.
        retry_after: Duration,
    },
}

/// Admits requests before the decision module. All times are Unix milliseconds.
pub trait AdmissionGuard: Send + Sync {
    /// These entries of the list are about to go to the module. Called under the core's lock: it must not call the core.
    fn listed(&self, _now: f64, _kind: ListKind, _members: &[Member]) {}

    /// Whether a request may go to the module. `now` is Unix time in milliseconds, as in every call.
    fn admit(&self, now: f64, request: &NewRequest) -> Admission;

    /// A counted request is over.
    fn released(&self, now: f64, node: &str);

    /// An attempt ended after `elapsed` milliseconds. Returns the time to stay away where the node was ejected by it: a
    /// request that is harmless to refuse is then refused at once, and not sent there again.
    fn attempt_ended(
        &self,
        now: f64,
        target: &Target,
        outcome: Outcome,
        units: f64,
        elapsed: f64,
    ) -> Option<Duration>;
}

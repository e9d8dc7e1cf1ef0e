//! What an embedding program may observe: every attempt, every end of a call, every change of a scheduler's
//! state.

use crate::decide::engine::{NoRetryReason, SchedulerEvent, Verdict};
use crate::decide::retry_policy::MayHaveRunCause;
use std::sync::atomic::{AtomicU64, Ordering};

/// One thing that happened.
#[derive(Clone, Copy, Debug, PartialEq)]
#[non_exhaustive]
pub enum Observed {
    /// A call came in.
    Called,
    /// An attempt was sent.
    Sent {
        /// Whether it carries `X-Repeat: 1`.
        is_retry: bool,
    },
    /// A call ended.
    Ended(Verdict),
    /// The program stopped waiting for a call.
    Dropped,
    /// A connection is being opened.
    Connecting,
    /// A connection came up.
    Connected,
    /// A scheduler went, came back, or lost a connection.
    SchedulerEvent(SchedulerEvent),
}

/// Notified of everything that happens, at once and on the task where it does; it must not block. It may call
/// the client.
pub trait Observer: Send + Sync {
    /// Something happened.
    fn observed(&self, what: &Observed);
}

impl Observer for () {
    fn observed(&self, _: &Observed) {}
}

/// Counts of what happened, for programs that have no metrics of their own.
#[derive(Debug, Default)]
pub struct Counts {
    /// Calls that came in.
    pub calls: AtomicU64,
    /// Attempts, retries included.
    pub tries: AtomicU64,
    /// Retries, marked `X-Repeat: 1`.
    pub retries: AtomicU64,
    /// Calls that were served.
    pub served: AtomicU64,
    /// Calls that were refused, for whatever reason.
    pub refused: AtomicU64,
    /// Refused calls that were not retried because the retry budget was exhausted.
    pub over_budget: AtomicU64,
    /// Calls that failed and may have run.
    pub may_have_run: AtomicU64,
    /// Among them, those that were never answered.
    pub silent: AtomicU64,
    /// Calls that failed and never ran.
    pub never_ran: AtomicU64,
    /// Calls that the program stopped waiting for.
    pub dropped: AtomicU64,
    /// Connections that were begun.
    pub connecting: AtomicU64,
    /// Connections that came up.
    pub connected: AtomicU64,
    /// Connections that were lost unannounced.
    pub lost: AtomicU64,
    /// Ejections of a scheduler.
    pub ejections: AtomicU64,
}

impl Observer for Counts {
    fn observed(&self, what: &Observed) {
        let counters: &[&AtomicU64] = match what {
            Observed::Called => &[&self.calls],
            Observed::Sent { is_retry: true } => &[&self.tries, &self.retries],
            Observed::Sent { is_retry: false } => &[&self.tries],
            Observed::Ended(Verdict::Served) => &[&self.served],
            Observed::Ended(Verdict::Refused { why: NoRetryReason::BudgetSpent, .. }) => {
                &[&self.refused, &self.over_budget]
            }
            Observed::Ended(Verdict::Refused { .. }) => &[&self.refused],
            Observed::Ended(Verdict::MayHaveRun(MayHaveRunCause::Silent)) => {
                &[&self.may_have_run, &self.silent]
            }
            Observed::Ended(Verdict::MayHaveRun(_)) => &[&self.may_have_run],
            Observed::Ended(Verdict::NeverRan(_)) => &[&self.never_ran],
            Observed::Dropped => &[&self.dropped],
            Observed::Connecting => &[&self.connecting],
            Observed::Connected => &[&self.connected],
            Observed::SchedulerEvent(SchedulerEvent::ConnectionLost { .. }) => &[&self.lost],
            Observed::SchedulerEvent(SchedulerEvent::Ejected { .. }) => &[&self.ejections],
            Observed::SchedulerEvent(SchedulerEvent::Recovered { .. }) => &[],
        };
        for counter in counters {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }
}

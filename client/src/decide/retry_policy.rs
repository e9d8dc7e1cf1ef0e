//! Whether a call is sent again after an attempt has ended. Guards against the one fault that cannot be
//! repaired: a write that runs twice. The rule is a function of what is proved, and the model checker walks
//! it (`tests/model.rs`).

use std::time::Duration;

/// What proves that an attempt never ran. `pointcross call` prints the variants' names, so they stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NeverRanCause {
    /// No attempt was sent: no scheduler could be reached before the call's deadline.
    NotTried,
    /// The connection was over before a byte of it was written.
    Unopened,
    /// The connection broke before its last byte was written.
    Unfinished,
    /// The scheduler had closed the reused connection before the request arrived there.
    Crossed,
}

/// Why an attempt may have run. `pointcross call` prints the names below, so they stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MayHaveRunCause {
    /// The scheduler reported it failed, with this status.
    Reported(u16),
    /// The connection ended after the last byte was written and before an answer began.
    Broken {
        /// Whether the connection had carried an answer before: it may have been closed as idle.
        kept: bool,
    },
    /// The response began and was truncated.
    Cut,
    /// The response cannot be parsed, or is larger than the client accepts.
    Unreadable,
    /// No response arrived before the deadline.
    Silent,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// A complete response with status 200.
    Served,
    /// Refused with status 429 or 503, with the scheduler's delay where it stated one.
    Refused {
        /// `Retry-After`, where it can be read.
        retry_after: Option<Duration>,
    },
    /// It never ran.
    NeverRan(NeverRanCause),
    /// It may have run.
    MayHaveRun(MayHaveRunCause),
}

/// A class's limits on retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetryLimits {
    /// Whether a request of this class may run twice without harm.
    pub idempotent: bool,
    /// Upper bound of retries after the first attempt.
    pub max_retries: u16,
}

/// The earlier attempts of a call, as far as the decision needs them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct AttemptHistory {
    /// Retries that were planned.
    pub retries: u16,
    /// Whether an attempt that no scheduler read was already replaced; a replacement costs no retry.
    pub replaced: bool,
    /// Why an earlier attempt may have run; the first reason counts.
    pub may_have_run: Option<MayHaveRunCause>,
}

/// When the next attempt may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryDelay {
    /// At once.
    Immediately,
    /// Not before the scheduler's `Retry-After`, or the client's backoff where there is none.
    RetryAfter(Option<Duration>),
    /// After the client's backoff.
    Backoff,
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryDecision {
    /// The attempt's end is the call's.
    Final,
    /// The attempt is sent anew, unmarked and outside of the budget: no scheduler has read it.
    Replace,
    /// A marked retry, where the deadline and the budget allow one.
    Retry {
        /// When.
        when: RetryDelay,
        /// Whether another scheduler is to be preferred.
        elsewhere: bool,
    },
}

/// Decides what follows an attempt that ended with `end`.
///
/// - A refusal says that a retry is harmless, for any class.
/// - What never ran is sent again, for any class: once as a replacement, then as a retry.
/// - What may have run is sent again only where the class is idempotent. On a reused connection that ended
///   without a response, an idempotent request is replaced once, as the platform's clients do.
pub fn decide_retry(limits: RetryLimits, history: AttemptHistory, end: AttemptOutcome) -> RetryDecision {
    let retry = |when, elsewhere| {
        if history.retries < limits.max_retries {
            RetryDecision::Retry { when, elsewhere }
        } else {
            RetryDecision::Final
        }
    };
    match end {
        AttemptOutcome::Served => RetryDecision::Final,
        AttemptOutcome::Refused { retry_after } => retry(RetryDelay::RetryAfter(retry_after), false),
        AttemptOutcome::NeverRan(NeverRanCause::NotTried) => RetryDecision::Final,
        AttemptOutcome::NeverRan(_) if !history.replaced => RetryDecision::Replace,
        AttemptOutcome::NeverRan(_) => retry(RetryDelay::Backoff, true),
        AttemptOutcome::MayHaveRun(_) if !limits.idempotent => RetryDecision::Final,
        // No time is left once the deadline has passed.
        AttemptOutcome::MayHaveRun(MayHaveRunCause::Silent) => RetryDecision::Final,
        AttemptOutcome::MayHaveRun(MayHaveRunCause::Broken { kept: true }) if !history.replaced => {
            RetryDecision::Replace
        }
        AttemptOutcome::MayHaveRun(_) => retry(RetryDelay::Backoff, true),
    }
}

//! Whether a call goes out again after a try has ended. Guards against the one thing that cannot be mended: a
//! write that runs twice. The rule is a function of what is proved, and the model checker walks it
//! (`tests/model.rs`).

use std::time::Duration;

/// What proves that a try never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Proof {
    /// No try was made: no scheduler could be reached before the call's time ran out.
    NotTried,
    /// The connection was over before a byte of it was written.
    Unopened,
    /// The connection broke before its last byte was written.
    Unfinished,
    /// The scheduler had closed the kept connection before the request arrived there.
    Crossed,
}

/// Why a try may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Doubt {
    /// The scheduler reported it failed, with this status.
    Reported(u16),
    /// The connection ended after the last byte was written and before an answer began.
    Broken {
        /// Whether the connection had carried an answer before: it may have been closed as idle.
        kept: bool,
    },
    /// The answer began and broke off.
    Cut,
    /// The answer cannot be read, or is longer than may be kept.
    Unreadable,
    /// No answer came in time.
    Silent,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// A whole answer 200.
    Served,
    /// 429 or 503, with the time to come back where one was told.
    Refused {
        /// `Retry-After`, where it can be read.
        told: Option<Duration>,
    },
    /// It never ran.
    NeverRan(Proof),
    /// It may have run.
    MayHaveRun(Doubt),
}

/// What a class allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Repeats {
    /// Whether running a request of this class twice does no harm.
    pub safe: bool,
    /// Marked tries after the first, at the most.
    pub most: u16,
}

/// What a call has behind it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Past {
    /// Marked tries that were begun.
    pub retries: u16,
    /// Whether a try that no scheduler read was already replaced for nothing.
    pub replaced: bool,
    /// The first reason why an earlier try may have run.
    pub doubt: Option<Doubt>,
}

/// When the next try may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum When {
    /// At once.
    Now,
    /// Not before the scheduler's word, or a backoff of the client's own where there is none.
    Told(Option<Duration>),
    /// After a backoff of the client's own.
    Backoff,
}

/// What follows a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Next {
    /// The try's end is the call's.
    Final,
    /// The first try goes out anew, unmarked and for nothing: no scheduler has read it.
    Replace,
    /// A marked try, where time and the budget allow one.
    Retry {
        /// When.
        when: When,
        /// Whether another scheduler is to be preferred.
        elsewhere: bool,
    },
}

/// What follows a try that ended so.
///
/// - A refusal says that trying again is harmless, for any class.
/// - What never ran goes out again, for any class: once for nothing, then as a retry.
/// - What may have run goes out again only where the class is safe to repeat. On a kept connection that ended
///   without a word, a safe request is replaced for nothing once, as the platform's clients do.
pub fn next(repeats: Repeats, past: Past, end: End) -> Next {
    let retry = |when, elsewhere| {
        if past.retries < repeats.most { Next::Retry { when, elsewhere } } else { Next::Final }
    };
    match end {
        End::Served => Next::Final,
        End::Refused { told } => retry(When::Told(told), false),
        End::NeverRan(Proof::NotTried) => Next::Final,
        End::NeverRan(_) if !past.replaced => Next::Replace,
        End::NeverRan(_) => retry(When::Backoff, true),
        End::MayHaveRun(_) if !repeats.safe => Next::Final,
        // No time is left once it was silent until the deadline.
        End::MayHaveRun(Doubt::Silent) => Next::Final,
        End::MayHaveRun(Doubt::Broken { kept: true }) if !past.replaced => Next::Replace,
        End::MayHaveRun(_) => retry(When::Backoff, true),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WRITE: Repeats = Repeats { safe: false, most: 3 };
    const READ: Repeats = Repeats { safe: true, most: 1 };

    /// Guards against a write that runs twice: whatever lies behind it, doubt ends it.
    #[test]
    fn a_write_in_doubt_is_final() {
        let doubts =
            [Doubt::Reported(502), Doubt::Broken { kept: true }, Doubt::Broken { kept: false }, Doubt::Cut]
                .into_iter()
                .chain([Doubt::Unreadable, Doubt::Silent]);
        for doubt in doubts {
            for past in [Past::default(), Past { replaced: true, ..Past::default() }] {
                assert_eq!(next(WRITE, past, End::MayHaveRun(doubt)), Next::Final, "{doubt:?}");
            }
        }
    }

    #[test]
    fn what_never_ran_is_replaced_once_and_then_retried_as_often_as_allowed() {
        for repeats in [READ, WRITE] {
            for proof in [Proof::Unopened, Proof::Unfinished, Proof::Crossed] {
                let end = End::NeverRan(proof);
                let mut past = Past::default();
                assert_eq!(next(repeats, past, end), Next::Replace);
                past.replaced = true;
                for _ in 0..repeats.most {
                    let retry = Next::Retry { when: When::Backoff, elsewhere: true };
                    assert_eq!(next(repeats, past, end), retry);
                    past.retries += 1;
                }
                assert_eq!(next(repeats, past, end), Next::Final);
            }
        }
    }

    #[test]
    fn a_refusal_is_retried_as_told_and_a_stale_connection_costs_a_read_nothing() {
        let told = Some(Duration::from_millis(50));
        let retry = Next::Retry { when: When::Told(told), elsewhere: false };
        assert_eq!(next(WRITE, Past::default(), End::Refused { told }), retry);
        let stale = End::MayHaveRun(Doubt::Broken { kept: true });
        assert_eq!(next(READ, Past::default(), stale), Next::Replace);
        let past = Past { replaced: true, ..Past::default() };
        assert_eq!(next(READ, past, stale), Next::Retry { when: When::Backoff, elsewhere: true });
        assert_eq!(next(READ, Past { retries: 1, ..past }, stale), Next::Final);
    }
}

//! Every decision of the client: whether a call is retried, when and where, how many connections there are
//! and when they are opened again. An event and the time go in, actions come out. Nothing here does I/O,
//! looks at a clock or draws a random number that does not come from the seed; `crate::drive` carries the
//! actions out.

pub mod call_queue;
pub mod engine;
pub mod retry_budget;
pub mod retry_policy;
pub mod scheduler;
pub mod timer_wheel;
pub mod volumes;

use std::ops::Add;
use std::time::Duration;

/// A time: microseconds since the client's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(pub u64);

impl Instant {
    /// How long before `later` this is; nothing where it is not before it.
    pub fn until(self, later: Instant) -> Duration {
        Duration::from_micros(later.0.saturating_sub(self.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, span: Duration) -> Instant {
        Instant(self.0.saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

/// One call of the embedding program, over all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// One connection, from the action that opens it until its end. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

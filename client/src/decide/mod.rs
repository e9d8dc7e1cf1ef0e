//! Every decision of the client: whether a call goes out again, when and where, how many connections there are
//! and when they come back. An event and the time go in, actions come out. Nothing here does I/O, looks at a
//! clock or draws a random number that does not come from the seed; `crate::drive` carries the actions out.

pub mod again;
pub mod budget;
pub mod engine;
pub mod line;
pub mod scheduler;
pub mod volumes;
pub mod wheel;

use std::ops::Add;
use std::time::Duration;

/// A time: microseconds since the client's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(pub u64);

impl Moment {
    /// How long before `later` this is; nothing where it is not before it.
    pub fn until(self, later: Moment) -> Duration {
        Duration::from_micros(later.0.saturating_sub(self.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, span: Duration) -> Moment {
        Moment(self.0.saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

/// One call of the embedding program, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// One connection, from the order to open it until its end. Ids are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

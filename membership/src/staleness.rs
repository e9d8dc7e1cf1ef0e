//! How stale a saved list is. A wall clock that was set says nothing by itself: an age counts as fresh only where the
//! machine's monotonic clock confirms it.

use std::time::Duration;

/// A reading of both clocks: the wall clock, and the machine's monotonic clock since its boot.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Stamp {
    /// Unix time in milliseconds, as the wall clock had it.
    pub wall_ms: f64,
    /// Milliseconds since the machine's boot.
    pub uptime_ms: f64,
    /// The id of that boot; empty where the system has none.
    pub boot: String,
}

/// How stale a list is by its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Staleness {
    /// Used without restriction.
    Fresh,
    /// Used with few requests in flight.
    Careful,
    /// Used for single probes only.
    Doubtful,
}

/// The ages at which a list goes stale.
#[derive(Clone, Debug, PartialEq)]
pub struct StalenessLimits {
    /// Up to this a list is fresh. Nodes come back 6.4 to 24 s after they died and lists change slower than
    /// that, so within a minute few have changed.
    pub fresh: Duration,
    /// Up to this it is used with care; a working day's replacements lie beyond.
    pub careful: Duration,
}

impl Default for StalenessLimits {
    fn default() -> Self {
        StalenessLimits { fresh: Duration::from_secs(60), careful: Duration::from_secs(6 * 3600) }
    }
}

/// The age of what was recorded at `then`, in milliseconds; `None` where the clocks cannot tell.
///
/// Of two clocks that disagree the later one counts: a wall clock that was set back makes nothing younger, and
/// one that was set ahead only makes it older, which is the careful side.
pub fn age(then: &Stamp, now: &Stamp) -> Option<f64> {
    let wall = now.wall_ms - then.wall_ms;
    let same_boot = !then.boot.is_empty() && then.boot == now.boot;
    let steady = same_boot.then_some(now.uptime_ms - then.uptime_ms).filter(|age| *age >= 0.0);
    // The steady clock of this start has run for so long at the least since a note of an earlier one.
    let min_age = if same_boot { steady } else { Some(now.uptime_ms.max(0.0)) };
    match (wall >= 0.0, min_age) {
        (true, min_age) => Some(wall.max(min_age.unwrap_or(0.0))),
        (false, Some(steady)) if same_boot => Some(steady),
        _ => None,
    }
}

/// The staleness at `now` of a list confirmed at `then`.
pub fn assess_staleness(then: Option<&Stamp>, now: &Stamp, staleness_limits: &StalenessLimits) -> Staleness {
    // A list without a date may be of any age.
    let Some(then) = then else { return Staleness::Careful };
    let same_boot = !then.boot.is_empty() && then.boot == now.boot;
    let limit = |limit: Duration| limit.as_secs_f64() * 1e3;
    match age(then, now) {
        // Between two starts of the machine only the wall clock ran, and it may have been set: never fresh.
        Some(age) if age <= limit(staleness_limits.fresh) && same_boot => Staleness::Fresh,
        Some(age) if age <= limit(staleness_limits.careful) => Staleness::Careful,
        Some(_) => Staleness::Doubtful,
        // The clock stands before the note: how much later it is now nobody knows.
        None => Staleness::Doubtful,
    }
}

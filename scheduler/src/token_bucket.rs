//! A token bucket whose level may be negative: a debt that time pays off.

use crate::units::{Millis, Units, UnitsPerSecond};

/// A token bucket, counted in units of work.
#[derive(Default)]
pub(crate) struct TokenBucket {
    pub(crate) level: Units,
    pub(crate) refilled_at: Millis,
}

impl TokenBucket {
    /// A bucket with this level at `now`.
    pub(crate) fn new(level: Units, now: Millis) -> Self {
        TokenBucket { level, refilled_at: now }
    }

    /// Adds what was gained since the last call, up to `depth`, and returns the level.
    pub(crate) fn refill(&mut self, now: Millis, rate: UnitsPerSecond, depth: Units) -> Units {
        let gained = (now - self.refilled_at).max(0.0) / 1000.0 * rate;
        self.level = (self.level + gained).min(depth);
        self.refilled_at = now;
        self.level
    }
}

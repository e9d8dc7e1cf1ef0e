//! The module's clock: Unix time in milliseconds, read once and then carried on by the steady clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Node starts are told in Unix time, so the module's clock counts in it too; it never runs backwards.
pub(crate) struct Clock {
    started: Instant,
    unix_ms: f64,
}

impl Clock {
    pub(crate) fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::at_unix(unix.as_secs_f64() * 1000.0)
    }

    /// A clock that stands at this Unix time now.
    pub(crate) fn at_unix(unix_ms: f64) -> Self {
        Clock { started: Instant::now(), unix_ms }
    }

    pub(crate) fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    pub(crate) fn at(&self, instant: Instant) -> f64 {
        let since = instant.saturating_duration_since(self.started);
        self.unix_ms + since.as_secs_f64() * 1000.0
    }
}

/// A time span in the module's milliseconds.
pub(crate) fn span(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1000.0).unwrap_or(Duration::from_secs(86_400))
}

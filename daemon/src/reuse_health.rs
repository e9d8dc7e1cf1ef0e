//! Whether requests may go on reused connections to storage nodes.
//!
//! Guards against a network that resets idle connections without notice: the next request on such a
//! connection is lost, and a lost write cannot be retried.

/// Weight of the newest request in the moving averages: their memory is about 48 requests.
const WEIGHT: f64 = 1.0 / 48.0;
/// Reused connections are avoided while requests on them break more often than on new ones by this rate. A
/// new connection costs a node a few hundredths of a request's work; a write that breaks is lost.
const MAX_EXCESS_RATE: f64 = 0.05;
/// While reused connections are avoided, one read in so many tries one all the same.
const TRIAL_INTERVAL: u32 = 16;

/// How often requests break, on new connections and on reused ones: exponentially weighted moving averages.
#[derive(Debug, Default)]
pub struct ReuseHealth {
    new_failure_rate: f64,
    reused_failure_rate: f64,
    /// Reads since the start while reused connections were avoided.
    reads: u32,
}

impl ReuseHealth {
    /// Records whether a request broke, on a reused connection or a new one.
    pub fn record(&mut self, reused: bool, broke: bool) {
        let rate = if reused { &mut self.reused_failure_rate } else { &mut self.new_failure_rate };
        *rate += WEIGHT * (f64::from(u8::from(broke)) - *rate);
    }

    /// Whether reused connections are to be avoided.
    pub fn avoids_reuse(&self) -> bool {
        self.reused_failure_rate > self.new_failure_rate + MAX_EXCESS_RATE
    }

    /// Whether a request may go on a reused connection. While they are avoided, one read in
    /// [`TRIAL_INTERVAL`] may, so that a recovery is noticed; a write never.
    pub fn allows_reuse(&mut self, read: bool) -> bool {
        if !self.avoids_reuse() {
            return true;
        }
        self.reads += u32::from(read);
        read && self.reads.is_multiple_of(TRIAL_INTERVAL)
    }
}

//! Outlier ejection: a server whose attempts fail is left out for a while, longer each time. Passive: only attempts of
//! this proxy count.

/// Failures in a row after which a server is ejected.
pub(crate) const FAILURES_BEFORE_EJECTION: u32 = 2;
/// Weight of the newest attempt in a server's failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.2;
/// The failure rate decays to a third (1/e) in this time, in milliseconds, so that a healed server is found.
const FAILURE_RATE_DECAY_MS: f64 = 3000.0;
/// The first rest after failures, in milliseconds; it doubles up to [`MAX_EJECTION_MS`].
const BASE_EJECTION_MS: f64 = 250.0;
const MAX_EJECTION_MS: f64 = 4000.0;

/// The health of one server, by the attempts of this proxy.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    failures: u32,
    /// The decaying part of attempts that failed, and when it was last updated, in milliseconds.
    failure_rate: f64,
    failure_rate_at: f64,
    ejected_until: f64,
}

impl Default for Health {
    fn default() -> Self {
        Health { failures: 0, failure_rate: 0.0, failure_rate_at: 0.0, ejected_until: f64::NEG_INFINITY }
    }
}

impl Health {
    /// Whether the server is ejected.
    pub fn is_ejected(&self, now: f64) -> bool {
        now < self.ejected_until
    }

    /// The part of attempts that fail there, from 0 to 1, decayed to `now`.
    pub fn failure_rate(&self, now: f64) -> f64 {
        self.failure_rate * (-(now - self.failure_rate_at).max(0.0) / FAILURE_RATE_DECAY_MS).exp()
    }

    /// Records a served attempt.
    pub fn record_success(&mut self, now: f64) {
        self.failures = 0;
        self.record(now, 0.0);
    }

    /// Records an attempt that counts as failed by this part, from 0 to 1, without being a failure in a row.
    pub fn record(&mut self, now: f64, failed: f64) {
        let before = self.failure_rate(now);
        self.failure_rate = before + FAILURE_RATE_WEIGHT * (failed - before);
        self.failure_rate_at = now;
    }

    /// Records a failed attempt; the server is ejected once this many have failed in a row.
    pub fn record_failure(&mut self, now: f64, before_ejection: u32) {
        self.record(now, 1.0);
        self.failures += 1;
        if self.failures >= before_ejection {
            let doublings = (self.failures - before_ejection).min(8);
            let ejection = (BASE_EJECTION_MS * f64::from(1_u32 << doublings)).min(MAX_EJECTION_MS);
            self.ejected_until = now + ejection;
        }
    }
}

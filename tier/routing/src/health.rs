//! Passive health checks: what the ends of attempts tell of a server.

/// Failures in a row after which a server rests.
pub(crate) const FAILURES_BEFORE_REST: u32 = 2;
/// Weight of the newest attempt in a server's part of failures.
const TROUBLE_WEIGHT: f64 = 0.2;
/// What was learned of failures fades to a third in this time, in milliseconds, so that a healed server is found.
const TROUBLE_FADES_IN: f64 = 3000.0;
/// The first rest after failures, in milliseconds; it doubles up to [`LONGEST_REST`].
const FIRST_REST: f64 = 250.0;
const LONGEST_REST: f64 = 4000.0;

/// The health of one server, as far as attempts of this proxy tell.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    failures: u32,
    /// The part of attempts that failed, and when that was last learned.
    trouble: f64,
    trouble_at: f64,
    rests_until: f64,
}

impl Default for Health {
    fn default() -> Self {
        Health { failures: 0, trouble: 0.0, trouble_at: 0.0, rests_until: f64::NEG_INFINITY }
    }
}

impl Health {
    /// Whether the server rests after failures.
    pub fn rests(&self, now: f64) -> bool {
        now < self.rests_until
    }

    /// The part of attempts that fail there, as far as that is still worth something.
    pub fn trouble(&self, now: f64) -> f64 {
        self.trouble * (-(now - self.trouble_at).max(0.0) / TROUBLE_FADES_IN).exp()
    }

    /// An attempt was served.
    pub fn served(&mut self, now: f64) {
        self.failures = 0;
        self.learn(now, 0.0);
    }

    /// An attempt ended badly by so much, from 0 to 1, without being a failure.
    pub fn learn(&mut self, now: f64, failed: f64) {
        let before = self.trouble(now);
        self.trouble = before + TROUBLE_WEIGHT * (failed - before);
        self.trouble_at = now;
    }

    /// An attempt failed; the server rests once so many have failed in a row.
    pub fn failed(&mut self, now: f64, before_rest: u32) {
        self.learn(now, 1.0);
        self.failures += 1;
        if self.failures >= before_rest {
            let doublings = (self.failures - before_rest).min(8);
            let rest = (FIRST_REST * f64::from(1_u32 << doublings)).min(LONGEST_REST);
            self.rests_until = now + rest;
        }
    }
}

//! A volume's quota at this host: the reserve that earns full worth, and the limit that is never passed.
//!
//! Quotas hold per volume over all hosts. Hosts do not talk to each other: each keeps its even part of them, so that
//! the sum over the hosts keeps the whole.

use crate::settings::Settings;
use crate::token_bucket::TokenBucket;
use crate::units::{Millis, Units};

/// Part of the limit's slack that is used; the rest absorbs rounding.
const USED_SLACK: f64 = 0.95;

/// What this host knows of a volume.
pub(crate) struct Volume {
    /// Through how many hosts the volume's requests come.
    pub(crate) hosts: f64,
    pub(crate) plan: usize,
    pub(crate) limit: TokenBucket,
    pub(crate) reserve: TokenBucket,
    pub(crate) last_request_at: Millis,
}

impl Volume {
    /// A volume with its first request. The limit's bucket starts empty, slack included: an earlier process of this
    /// host may have spent all of it, and nobody here knows.
    pub(crate) fn new(plan: usize, hosts: f64, now: Millis, settings: &Settings) -> Self {
        Volume {
            hosts,
            plan,
            limit: TokenBucket::new(0.0, now),
            reserve: TokenBucket::new(settings.plans[plan].reserve / hosts, now),
            last_request_at: now,
        }
    }

    /// Refills the reserve and returns what it holds.
    pub(crate) fn refill_reserve(&mut self, now: Millis, settings: &Settings) -> Units {
        let plan = &settings.plans[self.plan];
        // Where answers report what was served elsewhere, the whole reserve is counted here and that is taken off.
        let part = if settings.tells_elsewhere { 1.0 } else { 1.0 / self.hosts };
        self.reserve.refill(now, plan.reserve * part, plan.reserve * part + settings.max_units)
    }

    /// How long until this host's part of the limit holds `units`.
    pub(crate) fn limit_wait(&mut self, now: Millis, settings: &Settings, units: Units) -> Millis {
        let plan = &settings.plans[self.plan];
        if plan.limit <= 0.0 {
            // What was sent without a limit is no debt to one that is set later.
            self.limit = TokenBucket::new(0.0, now);
            return 0.0;
        }
        let depth = (plan.limit_depth + plan.limit_slack * USED_SLACK) / self.hosts;
        let rate = plan.limit / self.hosts;
        ((units - self.limit.refill(now, rate, depth)) / rate * 1000.0).max(0.0)
    }

    /// Takes what other hosts had served off the reserve. Served elsewhere beyond the reserve is no debt: a surge
    /// there must not cost the volume later requests here.
    pub(crate) fn deduct_elsewhere(&mut self, units: Units) {
        let left = (self.reserve.level - units.max(0.0)).max(0.0);
        self.reserve.level = self.reserve.level.min(left);
    }
}

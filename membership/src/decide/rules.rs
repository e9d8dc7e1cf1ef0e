//! The rules that the membership decisions go by.

use crate::staleness::StalenessLimits;
use crate::warm_up::WarmUpRules;

/// The rules of the decisions; all times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipRules {
    /// The ages at which a saved list goes stale.
    pub staleness_limits: StalenessLimits,
    /// Requests in flight at a node of an aged list, until it has answered: enough to learn from, few enough to lose.
    pub max_unverified_in_flight: usize,
    /// Time-out of the first reads there: the tightest latency target, after which an answer is of little value.
    pub first_response_timeout: f64,
    /// The first ejection of a node; each further one is twice as long.
    pub base_ejection: f64,
    /// The longest ejection: a node that is back is found within it.
    pub max_ejection: f64,
    /// Between the schedulers' first probes at one node of a very old list.
    pub probe_spacing: f64,
    /// How long a write waits for a read to be the probe in its stead.
    pub write_probe_delay: f64,
    /// An unlisted node counts as unverified again when nothing came from it for so long: less than a node takes to die
    /// and come back (6.4 s by the platform's pages).
    pub verification_ttl: f64,
    /// For how long an empty full list is ignored while nodes answer.
    pub empty_list_grace: f64,
    /// The part of the shards that must have a usable node before the program is ready, 0 to 1.
    pub ready_share: f64,
    /// After so long it is ready with whatever there is: probes need requests.
    pub ready_timeout: f64,
    /// What a warming node bears from all schedulers together.
    pub warm_up: WarmUpRules,
    /// Seed of all random draws.
    pub seed: u64,
}

impl MembershipRules {
    /// The defaults, round the tightest aim in milliseconds and the rules on warming nodes.
    pub fn new(tightest_aim: f64, warm_up: WarmUpRules, seed: u64) -> Self {
        MembershipRules {
            staleness_limits: StalenessLimits::default(),
            max_unverified_in_flight: 2,
            first_response_timeout: tightest_aim,
            base_ejection: 2.0 * tightest_aim,
            max_ejection: 10_000.0,
            probe_spacing: 2.0 * tightest_aim,
            write_probe_delay: 2.0 * tightest_aim,
            verification_ttl: 5000.0,
            empty_list_grace: 10_000.0,
            ready_share: 0.5,
            ready_timeout: 30_000.0,
            warm_up,
            seed,
        }
    }
}

//! Days of random load and faults keep the rules, and a day is the same each time it is played.

use pointcross_tier_simulation::chaos::{self, DayShape};

#[test]
fn random_days_keep_the_rules() {
    for seed in 1..=3 {
        let report = chaos::play(seed);
        assert!(report.violations.is_empty(), "seed {seed}: {:?}\n{}", report.violations, report.timeline);
        assert!(report.served > 100, "seed {seed} served {}", report.served);
    }
}

/// Guards against what only shows once the early turns of a chain would have expired by themselves.
#[test]
fn random_days_of_long_chains_keep_the_rules() {
    for seed in 1..=2 {
        let report = chaos::play_shaped(seed, DayShape::LONG_CHAINS);
        assert!(report.violations.is_empty(), "seed {seed}: {:?}\n{}", report.violations, report.timeline);
        assert!(report.served > 50, "seed {seed} served {}", report.served);
    }
}

/// Guards against processes that go on with what they knew: proxies and members that stood still, control machines
/// that are no members, heartbeats that come late.
#[test]
fn random_days_of_stale_state_keep_the_rules() {
    for seed in 1..=2 {
        let report = chaos::play_shaped(seed, DayShape::STALE_STATE);
        assert!(report.violations.is_empty(), "seed {seed}: {:?}\n{}", report.violations, report.timeline);
        assert!(report.served > 500, "seed {seed} served {}", report.served);
    }
}

#[test]
fn a_seed_plays_the_same_day_again() {
    assert_eq!(chaos::play(4).timeline, chaos::play(4).timeline);
}

//! When a machine was out, whatever the age of the views that tell it.

use pointcross_cluster_harness::ledger::Slots;
use pointcross_cluster_harness::out_periods::{OutPeriod, OutPeriods};
use pointcross_coordination::maintenance::decide::{DrainPhase, PlanEntry};
use std::collections::BTreeSet;
use std::time::Duration;

fn entry(phase: DrainPhase, round: u64, since: u64) -> PlanEntry {
    PlanEntry { phase, round, order: 1, since, confirmed: BTreeSet::new(), work_done: false }
}

fn periods_of(views: &[(DrainPhase, u64, u64, u64)]) -> Vec<OutPeriod> {
    let mut periods = OutPeriods::default();
    for &(phase, round, since, now) in views {
        periods.observe(&entry(phase, round, since), now);
    }
    periods.periods().collect()
}

/// Guards against requests after a machine's return that are counted as sent while it was out: the view that has it
/// out came late, at 1,600, and it had been given back at 1,400.
#[test]
fn a_period_ends_as_the_machine_is_given_back_and_not_as_a_view_is_looked_at() {
    let periods = periods_of(&[
        (DrainPhase::Draining, 2, 900, 950),
        (DrainPhase::Out, 3, 1000, 1100),
        (DrainPhase::Out, 3, 1000, 1600),
        (DrainPhase::Returning, 4, 1400, 1700),
    ]);
    assert_eq!(periods, [OutPeriod { from: 1000, until: 1400 }]);
    let mut calls = Slots::default();
    calls.note(Duration::from_millis(1450));
    assert_eq!(calls.between(Duration::from_millis(1000), Duration::from_millis(1400)), 0);
}

/// Guards against a check that misses requests between the beginning of a period and the first look, or between
/// the last look and its end.
#[test]
fn a_period_begins_before_it_is_first_seen_and_ends_after_it_is_last_seen() {
    let periods = periods_of(&[(DrainPhase::Out, 3, 1000, 1090), (DrainPhase::Returning, 4, 1180, 1190)]);
    assert_eq!(periods, [OutPeriod { from: 1000, until: 1180 }]);
    let mut calls = Slots::default();
    for at in [995, 1005, 1172, 1185] {
        calls.note(Duration::from_millis(at));
    }
    assert_eq!(calls.between(Duration::from_millis(1000), Duration::from_millis(1180)), 2);
}

/// Where the next phase was missed, the period lasts until the machine was last seen out.
#[test]
fn each_round_is_a_period_of_its_own() {
    let periods = periods_of(&[
        (DrainPhase::Out, 3, 1000, 1200),
        (DrainPhase::Back, 5, 1500, 1600),
        (DrainPhase::Out, 8, 2000, 2050),
        (DrainPhase::Out, 8, 2000, 2150),
    ]);
    let ended = OutPeriod { from: 1000, until: 1200 };
    assert_eq!(periods, [ended, OutPeriod { from: 2000, until: 2150 }]);
}

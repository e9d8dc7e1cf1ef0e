//! What the end of an attempt says of its node: verified by an answer, or ejected after failures.

use super::Membership;
use super::effects::{Effects, Listing, MembershipEvent};
use super::entry::Entry;
use super::node::{EjectionReason, Verification};
use super::rules::MembershipRules;
use crate::staleness::Staleness;
use pointcross_core::decide::{ListKind, Outcome};

/// The most doublings of an ejection's length.
const MAX_DOUBLINGS: u32 = 16;
/// A node that rejects so many in a row, and was never seen to serve, holds another shard: one may be a full queue.
const REJECTIONS_BEFORE_EJECTION: u32 = 2;
/// Failures in a row before a verified node that discovery does not list is ejected: one or two are chance.
const FAILURES_BEFORE_EJECTION: u32 = 3;

impl Membership {
    /// An attempt at this node ended after `elapsed` milliseconds.
    pub fn attempt_ended(
        &mut self,
        now: f64,
        node: &str,
        outcome: Outcome,
        units: f64,
        elapsed: f64,
    ) -> Effects {
        let mut effects = Effects::default();
        let draw = self.draw();
        let rules = &self.rules;
        let Some(entry) = self.entries.get_mut(node) else { return effects };
        if matches!(outcome, Outcome::Served | Outcome::Error) {
            let served = if outcome == Outcome::Served { units } else { 0.0 };
            record_answer(entry, now, served, rules, &mut effects);
            return effects;
        }
        let Some(why) = failure(entry, now, outcome, elapsed, rules) else { return effects };
        entry.failures += 1;
        if is_enough(entry, now, elapsed) {
            let doublings = entry.failures.saturating_sub(1).min(MAX_DOUBLINGS);
            let longest = (rules.base_ejection * f64::from(1u32 << doublings)).min(rules.max_ejection);
            let wait = longest * (0.5 + draw / 2.0);
            entry.verification = Verification::Ejected { until: now + wait, why };
            entry.write_waiting_since = None;
            effects.events.push(MembershipEvent::Ejected { node: node.to_owned(), why, wait });
        }
        effects
    }
}

fn record_answer(entry: &mut Entry, now: f64, units: f64, rules: &MembershipRules, effects: &mut Effects) {
    entry.record_served(now, units);
    effects.snapshot_changes.extend(entry.changed_rate(now));
    entry.last_response_at = now;
    entry.failures = 0;
    entry.rejections = 0;
    entry.write_waiting_since = None;
    if !matches!(entry.verification, Verification::Unverified(_) | Verification::Ejected { .. }) {
        return;
    }
    let is_fresh = entry.verification == Verification::Unverified(Staleness::Fresh);
    entry.verification = Verification::Verified;
    effects.events.push(MembershipEvent::Verified(entry.member.name.clone()));
    // It started at this moment at the latest. What it bears grows from its start, so that reckoning from a later one
    // is the safe side.
    if !is_fresh && rules.warm_up.units > 0.0 {
        entry.member.started = now;
        let members = vec![entry.member.clone()];
        effects.list = Some(Listing { kind: ListKind::Changes, members });
    }
}

/// The reason for which an outcome speaks against its node, where it does.
fn failure(
    entry: &mut Entry,
    now: f64,
    outcome: Outcome,
    elapsed: f64,
    rules: &MembershipRules,
) -> Option<EjectionReason> {
    match outcome {
        Outcome::Full => {
            entry.rejections += 1;
            if matches!(entry.verification, Verification::Listed | Verification::Verified) {
                entry.last_response_at = now;
                return None;
            }
            let was_ejected = matches!(entry.verification, Verification::Ejected { .. });
            let is_enough = entry.rejections >= REJECTIONS_BEFORE_EJECTION || was_ejected;
            is_enough.then_some(EjectionReason::Rejecting)
        }
        Outcome::NoConnection => Some(EjectionReason::NoConnection),
        // A reset says that somebody is there; what was read before the machine went says nothing.
        Outcome::TimedOut | Outcome::Reset => Some(EjectionReason::NoResponse),
        // Given up by this side: no response only where it was waited for.
        Outcome::Cancelled if elapsed >= rules.first_response_timeout => Some(EjectionReason::NoResponse),
        Outcome::Cancelled | Outcome::NotSent | Outcome::Served | Outcome::Error => None,
    }
}

/// Whether the failures in a row are enough to eject the node.
fn is_enough(entry: &Entry, now: f64, elapsed: f64) -> bool {
    match entry.verification {
        // The module has its own suspicion of nodes that discovery lists.
        Verification::Listed => false,
        Verification::Verified => {
            entry.failures >= FAILURES_BEFORE_EJECTION && now - entry.last_response_at >= elapsed
        }
        Verification::Unverified(_) => true,
        // Several that were in flight together count once.
        Verification::Ejected { until, .. } => now >= until,
    }
}

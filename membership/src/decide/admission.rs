//! Which requests may go to a node that is not verified, one at a time or a few, reads first.

use super::Membership;
use super::effects::{AdmissionDecision, Effects, Listing};
use super::entry::Entry;
use super::node::Verification;
use super::rules::MembershipRules;
use crate::staleness::Staleness;
use pointcross_core::Member;
use pointcross_core::decide::ListKind;

/// What bounds the requests at one node.
enum Bound {
    Unrestricted,
    /// So many in flight, each with this time-out in milliseconds.
    InFlight {
        limit: usize,
        timeout: f64,
    },
    Refused {
        retry_after: f64,
    },
}

fn refused(retry_after: f64) -> (AdmissionDecision, Effects) {
    (AdmissionDecision::Refused { retry_after }, Effects::default())
}

fn unrestricted() -> (AdmissionDecision, Effects) {
    (AdmissionDecision::Unrestricted, Effects::default())
}

impl Membership {
    /// Whether a request for this shard may go to the module. A node whose start is not known is listed anew as
    /// started now, so that the module's own bound for warming nodes counts from here.
    pub fn admit(
        &mut self,
        now: f64,
        shard: Option<u32>,
        units: f64,
        writes: bool,
    ) -> (AdmissionDecision, Effects) {
        let Some(shard) = shard else { return self.admit_new_object(now) };
        // The module says itself what it has no node for.
        let Some(name) = self.shard_node(shard) else { return unrestricted() };
        let draw = self.draw();
        let (rules, listed_at, started_at) = (&self.rules, self.listed_at, self.started_at);
        let Some(entry) = self.entries.get_mut(&name) else { return unrestricted() };
        entry.expire_verification(now, listed_at, rules);
        let (limit, timeout) = match bound(entry, &name, now, started_at, draw, rules) {
            Bound::Unrestricted => return unrestricted(),
            Bound::Refused { retry_after } => return refused(retry_after),
            Bound::InFlight { limit, timeout } => (limit, timeout),
        };
        if !is_reads_turn_over(entry, now, writes, rules) {
            return refused(rules.write_probe_delay);
        }
        if entry.in_flight >= limit {
            return refused(rules.first_response_timeout * (1.0 + draw));
        }
        let is_warming_up = rules.warm_up.units > 0.0;
        if is_warming_up {
            match earliest_send(entry, now, started_at, units, rules) {
                Some(at) if at <= now => entry.warm_up_sends.record_send(now, units),
                Some(at) => return refused(at - now),
                None => return refused(rules.max_ejection),
            }
        }
        entry.in_flight += 1;
        // A write that is cut off early may have run all the same: it keeps its whole time.
        let limit = (!writes).then_some(timeout);
        let list = (is_warming_up && rules.warm_up.has_parts()).then(|| Listing {
            kind: ListKind::Changes,
            members: vec![Member { started: now, ..entry.member.clone() }],
        });
        (AdmissionDecision::Counted { node: name, limit }, Effects { list, ..Effects::default() })
    }

    /// A new object goes where the module finds least to do, which may be a node that is not verified.
    fn admit_new_object(&self, now: f64) -> (AdmissionDecision, Effects) {
        let sure = self.entries.values().filter(|entry| self.is_unrestricted(now, entry)).count();
        if 2 * sure >= self.entries.len() {
            unrestricted()
        } else {
            refused(self.rules.first_response_timeout)
        }
    }

    /// A request that was counted at this node is over.
    pub fn released(&mut self, node: &str) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }
}

fn bound(entry: &Entry, name: &str, now: f64, started_at: f64, draw: f64, rules: &MembershipRules) -> Bound {
    let timeout = rules.first_response_timeout;
    match entry.verification {
        Verification::Listed | Verification::Verified | Verification::Unverified(Staleness::Fresh) => {
            Bound::Unrestricted
        }
        Verification::Unverified(Staleness::Careful) => {
            // No more than it was seen to serve within that time.
            let served = (entry.saved_rate * timeout / 1e3).ceil();
            let most = rules.max_unverified_in_flight;
            let limit = if served >= 1.0 { most.min(served as usize) } else { most };
            Bound::InFlight { limit, timeout }
        }
        Verification::Unverified(Staleness::Doubtful) => {
            // Schedulers begin one after the other, in an order that differs from node to node.
            let hash = name.bytes().fold(0u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte.into()));
            let place = hash.wrapping_add(rules.warm_up.index) % rules.warm_up.schedulers.max(1);
            let begins = started_at + f64::from(place) * rules.probe_spacing;
            if now < begins {
                return Bound::Refused { retry_after: begins - now };
            }
            Bound::InFlight { limit: 1, timeout }
        }
        // Who comes back does so spread over as long again.
        Verification::Ejected { until, .. } if now < until => {
            Bound::Refused { retry_after: (until - now) * (1.0 + draw) }
        }
        Verification::Ejected { .. } => Bound::InFlight { limit: 1, timeout },
    }
}

/// A write waits for a while for a read to be the probe in its stead.
fn is_reads_turn_over(entry: &mut Entry, now: f64, writes: bool, rules: &MembershipRules) -> bool {
    if !writes {
        entry.last_read_at = now;
        return true;
    }
    let since = *entry.write_waiting_since.get_or_insert(now);
    let reads_come = now - entry.last_read_at < rules.write_probe_delay;
    !reads_come && now - since >= rules.write_probe_delay
}

/// When the rule on warming nodes lets the request go at the earliest; `None` for never.
fn earliest_send(
    entry: &mut Entry,
    now: f64,
    started_at: f64,
    units: f64,
    rules: &MembershipRules,
) -> Option<f64> {
    // A predecessor of this process may have spent its part just before.
    if now < started_at + rules.warm_up.window {
        return Some(started_at + rules.warm_up.window);
    }
    entry.warm_up_sends.earliest_send(&rules.warm_up, now, units)
}

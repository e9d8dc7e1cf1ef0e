//! An entry of the list with what this scheduler learnt of its node.

use super::effects::SnapshotChange;
use super::node::{SavedNode, Source, Verification};
use super::rules::MembershipRules;
use crate::staleness::Staleness;
use crate::warm_up::WarmUpSends;
use pointcross_core::Member;
use pointcross_core::decide::NodeState;
use std::time::Duration;

/// Over this span the rate that a node served is averaged, in milliseconds.
const RATE_SPAN: f64 = 15_000.0;
/// A rate is saved again when it has changed by this factor, and not within [`RATE_SPAN`].
const RATE_CHANGE_FACTOR: f64 = 1.5;

/// An entry; all times are Unix milliseconds.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) member: Member,
    pub(super) source: Source,
    pub(super) verification: Verification,
    /// Requests that are counted here.
    pub(super) in_flight: usize,
    /// Failures in a row.
    pub(super) failures: u32,
    /// Rejections in a row.
    pub(super) rejections: u32,
    /// When something last came from it.
    pub(super) last_response_at: f64,
    /// When a read last wanted it while it was not verified.
    pub(super) last_read_at: f64,
    /// Since when writes want it while it is not verified.
    pub(super) write_waiting_since: Option<f64>,
    pub(super) warm_up_sends: WarmUpSends,
    /// Units a second served here, smoothed, and when that was updated.
    rate: f64,
    rate_at: f64,
    /// The rate as it was last saved, and when.
    pub(super) saved_rate: f64,
    saved_at: f64,
}

impl Entry {
    pub(super) fn new(member: Member, source: Source, verification: Verification) -> Self {
        Entry {
            member,
            source,
            verification,
            in_flight: 0,
            failures: 0,
            rejections: 0,
            last_response_at: f64::NEG_INFINITY,
            last_read_at: f64::NEG_INFINITY,
            write_waiting_since: None,
            warm_up_sends: WarmUpSends::default(),
            rate: 0.0,
            rate_at: 0.0,
            saved_rate: 0.0,
            saved_at: f64::NEG_INFINITY,
        }
    }

    /// Takes back the verification that time has made void: a listing while discovery is silent, and an answer that no
    /// list confirms.
    pub(super) fn expire_verification(&mut self, now: f64, listed_at: Option<f64>, rules: &MembershipRules) {
        let silent = now - self.last_response_at;
        match self.verification {
            Verification::Listed => {
                let silent = silent.min(now - listed_at.unwrap_or(f64::NEG_INFINITY));
                let ms = |time: Duration| time.as_secs_f64() * 1e3;
                if silent > ms(rules.staleness_limits.careful) {
                    self.verification = Verification::Unverified(Staleness::Doubtful);
                } else if silent > ms(rules.staleness_limits.fresh) {
                    self.verification = Verification::Unverified(Staleness::Careful);
                }
            }
            // It may have died and come back meanwhile.
            Verification::Verified if silent > rules.verification_ttl => {
                self.verification = Verification::Unverified(Staleness::Careful);
            }
            _ => {}
        }
    }

    /// Records units that it served.
    pub(super) fn record_served(&mut self, now: f64, units: f64) {
        let decay = (-(now - self.rate_at).max(0.0) / RATE_SPAN).exp();
        self.rate = self.rate * decay + units * 1000.0 / RATE_SPAN;
        self.rate_at = now;
    }

    /// The node for the snapshot, where its rate has changed much from what is saved.
    pub(super) fn changed_rate(&mut self, now: f64) -> Option<SnapshotChange> {
        let has_changed = self.rate > self.saved_rate * RATE_CHANGE_FACTOR
            || self.rate * RATE_CHANGE_FACTOR < self.saved_rate;
        let is_due = has_changed && now - self.saved_at >= RATE_SPAN && self.source == Source::Discovery;
        is_due.then(|| {
            (self.saved_rate, self.saved_at) = (self.rate, now);
            SnapshotChange::Node(self.saved())
        })
    }

    /// The node as the snapshot records it.
    pub(super) fn saved(&self) -> SavedNode {
        SavedNode {
            name: self.member.name.clone(),
            address: self.member.address,
            zone: self.member.zone,
            shard: self.member.shard,
            draining: self.member.state == NodeState::Draining,
            started: self.member.started,
            rate: if self.rate > 0.0 { self.rate } else { self.saved_rate },
            source: self.source,
        }
    }
}

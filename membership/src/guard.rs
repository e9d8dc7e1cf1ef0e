//! The driver of the membership decisions: requests and attempt ends of the core go in, list updates go to the core,
//! changes to the snapshot, events to the log. Nothing is decided here.

use crate::decide::{AdmissionDecision, Effects, Membership, MembershipEvent};
use crate::snapshot::SnapshotWriter;
use pointcross_core::decide::{ListKind, Outcome};
use pointcross_core::{Admission, AdmissionGuard, Core, Member, NewRequest, Target};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::Duration;

/// Admits requests to the core by what the membership decisions say.
pub struct MembershipGuard {
    membership: Mutex<Membership>,
    core: OnceLock<Weak<Core>>,
    writer: Option<SnapshotWriter>,
}

fn span(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1e3).unwrap_or_default()
}

impl MembershipGuard {
    /// A guard with these decisions, saved by this writer where there is one.
    pub fn new(membership: Membership, writer: Option<SnapshotWriter>) -> Arc<Self> {
        Arc::new(MembershipGuard { membership: Mutex::new(membership), core: OnceLock::new(), writer })
    }

    /// Sets the core whose node list this maintains; once.
    pub fn attach(&self, core: &Arc<Core>) {
        let _ = self.core.set(Arc::downgrade(core));
    }

    /// The decisions, behind their lock.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the core's node list from these first effects.
    pub fn start(&self, effects: Effects) {
        let membership = self.membership();
        self.apply_effects(&membership, effects);
    }

    /// Applies effects; returns whether discovery is to be asked for its full list. Under the decisions' lock: guards
    /// against a node that was listed anew by a request, and then removed by discovery, and whose two updates reach the
    /// core in the other order.
    fn apply_effects(&self, _: &MutexGuard<'_, Membership>, effects: Effects) -> bool {
        let Effects { list, snapshot_changes, request_full_list, events } = effects;
        for event in events {
            match event {
                MembershipEvent::Ejected { node, why, wait } => {
                    tracing::warn!(node, reason = ?why, wait_ms = wait, "node ejected");
                }
                MembershipEvent::Verified(node) => {
                    tracing::info!(node, "unlisted node verified by its answer");
                }
                MembershipEvent::EmptyListIgnored(answering) => {
                    tracing::warn!(answering, "empty node list ignored while nodes answer");
                }
                MembershipEvent::OlderListAccepted { current, accepted } => {
                    tracing::warn!(current, accepted, "older node list accepted");
                }
            }
        }
        if let (Some(listing), Some(core)) = (list, self.core.get().and_then(Weak::upgrade)) {
            core.list(listing.kind, listing.members);
        }
        if let Some(writer) = &self.writer {
            writer.save(snapshot_changes);
        }
        request_full_list
    }

    /// Applies a list or changes from discovery; returns the version to watch from, `None` for the full list.
    pub fn apply_list(&self, now: f64, whole: bool, revision: u64, members: Vec<Member>) -> Option<u64> {
        let mut membership = self.membership();
        let effects = membership.apply_list(now, whole, revision, members);
        let revision = membership.revision();
        if self.apply_effects(&membership, effects) {
            drop(membership);
            // The call brought nothing usable; when to ask again is the module's decision.
            if let Some(core) = self.core.get().and_then(Weak::upgrade) {
                core.list(ListKind::Failed, Vec::new());
            }
            return None;
        }
        revision
    }

    /// Sets the address of discovery, as the snapshot records it.
    pub fn set_discovery(&self, address: String) {
        if let Some(writer) = &self.writer {
            writer.set_discovery(address);
        }
    }
}

impl AdmissionGuard for MembershipGuard {
    fn admit(&self, now: f64, request: &NewRequest) -> Admission {
        let mut membership = self.membership();
        let (admit, effects) = membership.admit(now, request.shard, request.units, request.writes);
        self.apply_effects(&membership, effects);
        match admit {
            AdmissionDecision::Unrestricted => Admission::Unrestricted,
            AdmissionDecision::Counted { node, limit } => Admission::Counted { node, limit: limit.map(span) },
            AdmissionDecision::Refused { retry_after } => {
                Admission::Refused { retry_after: span(retry_after) }
            }
        }
    }

    fn released(&self, _: f64, node: &str) {
        self.membership().released(node);
    }

    fn attempt_ended(
        &self,
        now: f64,
        target: &Target,
        outcome: Outcome,
        units: f64,
        elapsed: f64,
    ) -> Option<Duration> {
        let mut membership = self.membership();
        let effects = membership.attempt_ended(now, &target.name, outcome, units, elapsed);
        let ejected_for = effects.events.iter().find_map(|event| match event {
            MembershipEvent::Ejected { wait, .. } => Some(span(*wait)),
            _ => None,
        });
        self.apply_effects(&membership, effects);
        ejected_for
    }
}

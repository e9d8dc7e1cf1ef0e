//! The decisions of the stores' health checks: who pings a store, and which store is marked unavailable.
//!
//! Guarantees that a store is marked unavailable only after [`UNAVAILABLE_TIMEOUT`] without an answer, and
//! that a partition between this member and several stores marks none.
//!
//! Nothing here reads a clock or does I/O: the caller passes the times.

use pointcross_tier_protocol::StoreId;
use pointcross_tier_register::MemberId;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use tokio::time::Instant;

/// A store that hasn't answered for longer is marked unavailable. Restarts and pauses of a few seconds are
/// over before that; majorities of the other replicas serve meanwhile.
pub const UNAVAILABLE_TIMEOUT: Duration = Duration::from_secs(7);

/// When each store that this member pings answered last.
#[derive(Debug, Default)]
pub struct StoreLiveness {
    answered_at: BTreeMap<StoreId, Instant>,
}

impl StoreLiveness {
    /// Records the result of a ping. A store that is pinged for the first time counts as having answered.
    pub fn record_ping(&mut self, store: StoreId, has_answered: bool, now: Instant) {
        let answered_at = self.answered_at.entry(store).or_insert(now);
        if has_answered {
            *answered_at = now;
        }
    }

    /// Removes the stores that this member pings no longer.
    pub fn retain(&mut self, is_assigned: impl Fn(&StoreId) -> bool) {
        self.answered_at.retain(|store, _| is_assigned(store));
    }

    /// Removes all, after a time in which this member could not have received an answer.
    pub fn clear(&mut self) {
        self.answered_at.clear();
    }

    /// The store to mark unavailable. `active_stores` is the number of all active stores, `copies` the number
    /// of replicas that a turn needs.
    ///
    /// None where more than one has timed out, since the fault is more likely between them and this member;
    /// and none where the others would be too few for the replicas.
    pub fn unavailable_store(&self, active_stores: usize, copies: usize, now: Instant) -> Option<StoreId> {
        let timed_out =
            |answered_at: Instant| now.saturating_duration_since(answered_at) > UNAVAILABLE_TIMEOUT;
        let mut stores =
            self.answered_at.iter().filter(|(_, at)| timed_out(**at)).map(|(store, _)| store.clone());
        let (first, second) = (stores.next(), stores.next());
        if second.is_none() && active_stores > copies { first } else { None }
    }
}

/// The member that pings a store: the highest by rendezvous hash (Thaler and Ravishankar 1998) of those that
/// can be reached. Members that see the same members as reachable choose the same one.
pub fn responsible_member(reachable: impl Iterator<Item = MemberId>, store: &StoreId) -> Option<MemberId> {
    reachable.max_by_key(|member| {
        let mut hasher = DefaultHasher::new();
        (member.address, member.disk, &store.node).hash(&mut hasher);
        hasher.finish()
    })
}

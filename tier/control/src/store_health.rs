//! Health checks of the stores by pings. What follows from the answers is decided in
//! [`crate::store_liveness`].
//!
//! Only a member with a fresh quorum marks a store unavailable: one that is partitioned from the other
//! members is likely to be partitioned from stores too.

use crate::member::Member;
use crate::store_liveness::{StoreLiveness, responsible_member};
use crate::store_ping::PING_TIMEOUT;
use crate::store_registry::mark_unavailable;
use pointcross_tier_protocol::StoreEntry;
use pointcross_tier_protocol::messages::{StoreCall, StoreReply};
use pointcross_tier_register::MemberId;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The time between two pings of a store.
const PING_INTERVAL: Duration = Duration::from_millis(700);

/// Pings the active stores until cancelled, and marks those unavailable that don't answer. Each store is
/// pinged by one of the reachable members.
pub async fn monitor(member: Rc<Member>) {
    let copies = member.settings.fault_tolerance.copies();
    let mut liveness = StoreLiveness::default();
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        if !member.has_fresh_quorum() || !member.is_member() {
            liveness.clear();
            continue;
        }
        let directory = member.replicated_view.read(|view| view.directory().clone());
        let active: Vec<StoreEntry> = directory.active_stores().cloned().collect();
        let assigned: Vec<StoreEntry> =
            active.iter().filter(|store| is_assigned(&member, store)).cloned().collect();
        liveness.retain(|id| assigned.iter().any(|store| store.id == *id));
        ping_stores(&member, assigned, &mut liveness).await;
        if let Some(store) = liveness.unavailable_store(active.len(), copies, Instant::now()) {
            // Where the change stays undecided, the store has to time out once more.
            let _ = mark_unavailable(&member, vec![store]).await;
            liveness.clear();
        }
    }
}

/// Pings these stores at once and records who answered.
async fn ping_stores(member: &Member, stores: Vec<StoreEntry>, liveness: &mut StoreLiveness) {
    let pings: Vec<_> = stores
        .into_iter()
        .map(|store| {
            let peer = member.peer(store.address);
            spawn_local(async move {
                let reply = peer.call::<StoreReply>(&StoreCall::Ping, PING_TIMEOUT).await;
                (store.id, reply.is_ok())
            })
        })
        .collect();
    for ping in pings {
        let Ok((id, has_answered)) = ping.await else { continue };
        liveness.record_ping(id, has_answered, Instant::now());
    }
}

/// Whether this member is the one that pings a store.
fn is_assigned(member: &Member, store: &StoreEntry) -> bool {
    let own_id = member.id();
    let group = member.group();
    let is_reachable = |other: &MemberId| *other == own_id || member.is_reachable(other);
    let reachable = group.members.iter().copied().filter(is_reachable);
    responsible_member(reachable, &store.id) == Some(own_id)
}

//! Single pings of stores: which of those listed don't answer as a new machine registers.

use crate::member::Member;
use pointcross_tier_protocol::messages::{StoreCall, StoreReply};
use pointcross_tier_protocol::{StoreEntry, StoreId};
use pointcross_tier_runtime::rpc::Peer;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// How long a store may take to answer a ping.
pub const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Pings that a store has to miss before a new machine takes its place.
const REPLACEMENT_PINGS: usize = 2;

/// The readable stores that don't answer, where a new machine registers: it may be the successor of one of
/// them.
pub async fn unanswering_stores(member: &Rc<Member>, entry: &StoreEntry) -> Vec<StoreId> {
    let directory = member.replicated_view.read(|view| view.directory().clone());
    if directory.stores.iter().any(|store| store.id.node == entry.id.node) {
        return Vec::new();
    }
    let pings: Vec<_> = directory
        .readable_stores()
        .map(|store| {
            let (id, address) = (store.id.clone(), store.address);
            let peer = member.peer(address);
            spawn_local(async move { (id, answers_a_ping(&peer).await) })
        })
        .collect();
    let mut missing = Vec::new();
    for ping in pings {
        if let Ok((id, false)) = ping.await {
            missing.push(id);
        }
    }
    missing
}

async fn answers_a_ping(store: &Peer) -> bool {
    for _ in 0..REPLACEMENT_PINGS {
        let started = Instant::now();
        let reply = store.call::<StoreReply>(&StoreCall::Ping, PING_TIMEOUT).await;
        if reply.is_ok() {
            return true;
        }
        tokio::time::sleep_until(started + PING_TIMEOUT).await;
    }
    false
}

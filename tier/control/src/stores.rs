//! The stores in the directory: entered when they announce themselves, given up when a successor came.

use crate::member::Member;
use crate::proposer;
use log::info;
use pointcross_tier_protocol::messages::{ControlReply, StoreCall, StoreReply};
use pointcross_tier_protocol::{StoreEntry, StoreId};
use pointcross_tier_runtime::rpc::Peer;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// How long a change of the directory may take.
const CHANGE_WITHIN: Duration = Duration::from_secs(2);
/// How long a store may take to show that it is there.
const PING_WITHIN: Duration = Duration::from_millis(500);
/// Pings that a store has to miss.
const PINGS: usize = 2;

/// Enters a store.
pub async fn announce(member: &Rc<Member>, entry: StoreEntry) -> Option<ControlReply> {
    let nothing_new = member.shared.read(|view| !view.directory().as_ref().clone().announce(&entry, &[]));
    if nothing_new && member.in_touch() {
        return Some(ControlReply::Done);
    }
    let silent = silent_stores(member, &entry).await;
    let deadline = Instant::now() + CHANGE_WITHIN;
    let changed = proposer::change_directory(member, deadline, |directory| {
        let changed = directory.announce(&entry, &silent);
        (changed, changed)
    });
    let changed = changed.await.ok()?;
    if changed {
        info!("store {:?} is entered; given up: {silent:?}", entry.id);
    }
    Some(ControlReply::Done)
}

/// The active stores that don't answer, where a new machine came: it may be the successor of one of them.
async fn silent_stores(member: &Rc<Member>, entry: &StoreEntry) -> Vec<StoreId> {
    let directory = member.shared.read(|view| view.directory().clone());
    if directory.stores.iter().any(|store| store.id.node == entry.id.node) {
        return Vec::new();
    }
    let asked: Vec<_> = directory
        .readable_stores()
        .map(|store| {
            let (id, address) = (store.id.clone(), store.address);
            spawn_local(async move { (id, answers(address).await) })
        })
        .collect();
    let mut silent = Vec::new();
    for answer in asked {
        if let Ok((id, false)) = answer.await {
            silent.push(id);
        }
    }
    silent
}

async fn answers(address: std::net::SocketAddrV4) -> bool {
    for _ in 0..PINGS {
        let begun = Instant::now();
        let reply = Peer::new(address).call::<StoreReply>(&StoreCall::Ping, PING_WITHIN).await;
        if reply.is_ok() {
            return true;
        }
        tokio::time::sleep_until(begun + PING_WITHIN).await;
    }
    false
}

/// Takes note that a retiring store has handed everything on.
pub async fn emptied(member: &Rc<Member>, id: StoreId) -> Option<ControlReply> {
    let deadline = Instant::now() + CHANGE_WITHIN;
    let changed = proposer::change_directory(member, deadline, |directory| (directory.retired(&id), ()));
    changed.await.ok()?;
    info!("store {id:?} is retired");
    Some(ControlReply::Done)
}

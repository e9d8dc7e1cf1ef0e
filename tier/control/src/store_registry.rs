//! The stores in the directory: registered, stopping, retired.
//!
//! A call is acknowledged only once its change of the directory is committed, so that a store that was
//! acknowledged is known to every later reader. A call without an answer is sent again by the store.

use crate::member::Member;
use crate::proposer::{self, DirectoryDecision, Undecided};
use crate::store_ping::unanswering_stores;
use log::info;
use pointcross_tier_protocol::messages::ControlReply;
use pointcross_tier_protocol::{StoreEntry, StoreId};
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a change of the directory may take.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Registers a store. A machine that is new takes the place of a store that doesn't answer.
pub async fn register(member: &Rc<Member>, entry: StoreEntry) -> Option<ControlReply> {
    let is_registered =
        member.replicated_view.read(|view| !view.directory().as_ref().clone().register_store(&entry, &[]));
    if is_registered && member.has_fresh_quorum() {
        return Some(ControlReply::Done);
    }
    let unavailable = unanswering_stores(member, &entry).await;
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    let changed = proposer::change_directory(member, deadline, |directory| {
        DirectoryDecision::write_if(directory.register_store(&entry, &unavailable))
    });
    if changed.await.ok()? {
        info!("store registered: store={:?} unavailable={unavailable:?}", entry.id);
    }
    Some(ControlReply::Done)
}

/// Records that a store is about to stop.
pub async fn mark_stopping(member: &Rc<Member>, id: StoreId) -> Option<ControlReply> {
    mark_unavailable(member, vec![id]).await.ok().map(|()| ControlReply::Done)
}

/// Commits that these stores are unavailable.
pub async fn mark_unavailable(member: &Rc<Member>, ids: Vec<StoreId>) -> Result<(), Undecided> {
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    let changed = proposer::change_directory(member, deadline, |directory| {
        DirectoryDecision::write_if(directory.mark_unavailable(&ids))
    });
    changed.await?;
    info!("stores unavailable: stores={ids:?}");
    Ok(())
}

/// Records that a retiring store has transferred all its replicas. Where the stores have changed since the
/// store epoch in which it counted the replicas elsewhere, it has to count again.
pub async fn complete_retirement(member: &Rc<Member>, id: StoreId, epoch: u64) -> Option<ControlReply> {
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    let changed = proposer::change_directory(member, deadline, |directory| {
        let epoch =
            if is_injected(InjectedFault::CountLeavingStores) { directory.store_epoch } else { epoch };
        DirectoryDecision::write_if(directory.complete_retirement(&id, epoch))
    });
    if changed.await.ok()? {
        info!("store retired: store={id:?}");
    }
    Some(ControlReply::Done)
}

//! Budgets when the stores change: a store answers in a new epoch once it has what every majority of the epoch
//! before may have taken.
//!
//! A store that was asked for its budgets knows the new epoch, and refuses calls of older ones from then on.

use crate::disk::Record;
use crate::state::{Store, SyncedEpoch};
use log::{debug, info};
use pointcross_tier_protocol::messages::{StoreCall, StoreReply};
use pointcross_tier_protocol::{Directory, StoreEntry, StoreId, StoreState};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_local;

/// How long another store may take to tell its budgets.
const PULL_WITHIN: Duration = Duration::from_millis(800);
/// The pause before what failed is tried again.
const PAUSE: Duration = Duration::from_millis(50);

/// Follows the epochs for ever.
pub async fn follow_epochs(store: Rc<Store>) {
    let mut changes = store.shared.changes();
    loop {
        changes.borrow_and_update();
        let directory = store.shared.read(|view| view.directory().clone());
        let is_listed = directory.store(&store.id()).is_some();
        if is_listed && directory.store_epoch > store.synced.borrow().epoch {
            if !sync(&store, &directory).await {
                tokio::time::sleep(PAUSE).await;
            }
            continue;
        }
        let _ = changes.changed().await;
    }
}

/// Brings the budgets up to an epoch. Gives whether that succeeded.
async fn sync(store: &Rc<Store>, directory: &Arc<Directory>) -> bool {
    let id = store.id();
    let epoch = directory.store_epoch;
    let asked: Vec<StoreEntry> = directory
        .stores
        .iter()
        .filter(|other| other.id != id && other.state != StoreState::Lost)
        .cloned()
        .collect();
    let calls: Vec<_> = asked
        .into_iter()
        .map(|other| {
            let peer = store.peer(other.address);
            spawn_local(
                async move { (other.id, peer.call(&StoreCall::PullBudgets { epoch }, PULL_WITHIN).await) },
            )
        })
        .collect();
    let mut answered = BTreeSet::from([id]);
    for call in calls {
        match call.await {
            Ok((other, Ok(StoreReply::Budgets(budgets)))) => {
                take_in(store, budgets);
                answered.insert(other);
            }
            Ok((other, reply)) => debug!("budgets of {other:?}: {reply:?}"),
            Err(_) => {}
        }
    }
    let before = store.synced.borrow().active.clone();
    if !may_serve(directory, &before, &answered, store.settings.fault_tolerance.machines) {
        return false;
    }
    let active: Vec<StoreId> = directory.active_stores().map(|store| store.id.clone()).collect();
    // What was taken in is written by now or in the same sync as this.
    let record = Record::Epoch { epoch, active: active.clone() };
    if !matches!(store.disk.write(&record).await, Ok(Some(_))) {
        return false;
    }
    *store.synced.borrow_mut() = SyncedEpoch { epoch, active };
    info!("budgets are whole for epoch {epoch}: {} programs", store.budgets.borrow().len());
    true
}

fn take_in(store: &Store, budgets: Vec<(String, Vec<pointcross_tier_protocol::turns::Reservation>)>) {
    let now = store.now();
    for (program, reservations) in budgets {
        for reservation in reservations {
            if store.budgets.borrow_mut().merge(now, &program, &reservation) == Some(true) {
                let _ = store.disk.write(&Record::Budget { program: program.clone(), reservation });
            }
        }
    }
}

/// Whether every majority that may have taken a reservation before has a store among those that answered.
/// `before` are the stores that were active when this one was whole last; none where it is new.
pub fn may_serve(
    directory: &Directory,
    before: &[StoreId],
    answered: &BTreeSet<StoreId>,
    tolerated: usize,
) -> bool {
    let missing_now = directory.readable_stores().filter(|store| !answered.contains(&store.id)).count();
    let is_new = before.is_empty();
    let lost_before = directory.stores.iter().filter(|store| store.state == StoreState::Lost).count();
    if is_new {
        // A lost store may have been in a majority with any other: none of those may be missing as well.
        let allowed = if lost_before > 0 { tolerated.saturating_sub(1) } else { tolerated };
        return missing_now <= allowed;
    }
    let missing_before = before.iter().filter(|id| !answered.contains(id)).count();
    missing_now <= tolerated && missing_before <= tolerated
}

//! Brings the budgets up to a new epoch when the stores change.
//!
//! Guarantees that a store answers in a new epoch only once it has what any majority of an earlier epoch may
//! have accepted, also where stores were lost in between; see [`pointcross_tier_sessions::epochs`]. A store
//! that sends its budgets for an epoch is fenced first: it rejects calls of earlier epochs from then on, also
//! after a restart, as the fence is synced before it answers (`calls`).

use crate::disk::all_written;
use crate::record::Record;
use crate::state::{CompleteEpoch, Store};
use crate::writes::write_budgets;
use log::info;
use pointcross_tier_protocol::messages::{StoreCall, StoreReply};
use pointcross_tier_protocol::{Directory, StoreId, StoreState};
use pointcross_tier_sessions::{BUDGET_RETENTION, MergeOutcome, ProgramReservations, epochs};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// How long another store may take to send its budgets.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);
/// Where more stores are lost than the deployment tolerates, what only they had is given up after this long:
/// by then every store has dropped the programs of that time.
const LOST_STORES_TIMEOUT: Duration = BUDGET_RETENTION;
/// The delay before a synchronization that failed is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Synchronizes the budgets with each new epoch; runs until the process ends.
pub async fn run(store: Rc<Store>) {
    let mut changes = store.view.changes();
    let mut since = Instant::now();
    loop {
        changes.mark_seen();
        let directory = store.view.read(|view| view.directory().clone());
        let is_listed = directory.store(&store.id()).is_some();
        if is_listed && directory.store_epoch > store.complete_epoch.borrow().epoch {
            if !sync_epoch(&store, &directory, since).await {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            continue;
        }
        since = Instant::now();
        changes.changed().await;
    }
}

/// Completes the budgets for the directory's epoch. `since` is when they were last complete. Returns whether
/// that succeeded: the budgets and the epoch are synced.
async fn sync_epoch(store: &Rc<Store>, directory: &Arc<Directory>, since: Instant) -> bool {
    let epoch = directory.store_epoch;
    let answered = merge_from_others(store, directory).await;
    if !is_complete(store, directory, &answered) && since.elapsed() <= LOST_STORES_TIMEOUT {
        return false;
    }
    if store.has_unwritten_budgets.get() && !rewrite_budgets(store).await {
        return false;
    }
    let active: Vec<StoreId> = directory.active_stores().map(|store| store.id.clone()).collect();
    let record = Record::Epoch { epoch, active: active.clone() };
    if store.disk.write(&record).finish().await.is_err() {
        return false;
    }
    *store.complete_epoch.borrow_mut() = CompleteEpoch { epoch, active };
    info!("budgets complete: epoch={epoch} programs={}", store.budgets.borrow().len());
    true
}

/// Rewrites all budgets, where some were merged that the disk did not accept.
async fn rewrite_budgets(store: &Store) -> bool {
    let budgets = store.budgets.borrow().all();
    let written = all_written(write_budgets(&store.disk, budgets)).await;
    if written {
        store.has_unwritten_budgets.set(false);
    }
    written
}

/// Merges the budgets of other stores until they suffice, or all calls have ended. Returns the epoch for
/// which each store that answered is complete, this one included.
async fn merge_from_others(store: &Rc<Store>, directory: &Arc<Directory>) -> BTreeMap<StoreId, u64> {
    let mut answered = BTreeMap::from([(store.id(), store.complete_epoch.borrow().epoch)]);
    let mut pulls = pull_from_others(store, directory);
    while !is_complete(store, directory, &answered)
        && let Some(pulled) = pulls.join_next().await
    {
        let Ok(PullResult { other, reply: Some(StoreReply::Budgets { complete_epoch, position, programs }) }) =
            pulled
        else {
            continue;
        };
        let changed = merge_budgets(store, programs);
        let written = all_written(write_budgets(&store.disk, changed)).await;
        store.has_unwritten_budgets.set(store.has_unwritten_budgets.get() || !written);
        store.merged_positions.borrow_mut().insert(other.clone(), position);
        answered.insert(other, complete_epoch);
    }
    // Dropping the set cancels the calls that are still in flight: their answers are not needed.
    answered
}

fn is_complete(store: &Store, directory: &Directory, answered: &BTreeMap<StoreId, u64>) -> bool {
    let budget_stores = store.settings.fault_tolerance.members();
    epochs::is_complete_for(&directory.earlier_store_epochs, directory.store_epoch, answered, budget_stores)
}

struct PullResult {
    other: StoreId,
    /// `None` where the call failed.
    reply: Option<StoreReply>,
}

/// Asks all other stores for their budgets, unavailable ones included: they may just be stopping.
fn pull_from_others(store: &Rc<Store>, directory: &Directory) -> JoinSet<PullResult> {
    let mut pulls = JoinSet::new();
    let own = store.id();
    let epoch = directory.store_epoch;
    let others =
        directory.stores.iter().filter(|other| other.id != own && other.state != StoreState::Retired);
    for other in others {
        let (peer, id) = (store.peer(other.address), other.id.clone());
        let position = store.merged_positions.borrow().get(&id).copied().unwrap_or_default();
        let call = StoreCall::PullBudgets { caller: own.clone(), callee: id.clone(), epoch, position };
        pulls.spawn_local(async move {
            let reply = peer.call(&call, PULL_TIMEOUT).await.ok();
            PullResult { other: id, reply }
        });
    }
    pulls
}

/// Merges another store's budgets. Returns the reservations that changed the table.
fn merge_budgets(store: &Store, budgets: Vec<ProgramReservations>) -> Vec<ProgramReservations> {
    let now = store.now();
    let mut table = store.budgets.borrow_mut();
    budgets
        .into_iter()
        .map(|(program, mut reservations)| {
            reservations
                .retain(|reservation| table.merge(now, &program, reservation) == MergeOutcome::Changed);
            (program, reservations)
        })
        .collect()
}

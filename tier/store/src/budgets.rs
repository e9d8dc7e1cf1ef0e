//! Budgets when the stores change: a store answers in a new epoch once it has what every majority of the epoch
//! before may have taken.
//!
//! A store that was asked for its budgets knows the new epoch, and refuses calls of older ones from then on.

use crate::disk::Record;
use crate::state::{Store, SyncedEpoch};
use log::info;
use pointcross_tier_protocol::messages::{StoreCall, StoreReply};
use pointcross_tier_protocol::turns::Reservation;
use pointcross_tier_protocol::{Directory, StoreId, StoreState};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// How long another store may take to tell its budgets.
const PULL_WITHIN: Duration = Duration::from_millis(800);
/// Where more stores are lost than the deployment bears, what they alone held is given up after so long.
const GIVE_UP_LOST: Duration = Duration::from_secs(10);
/// The pause before what failed is tried again.
const PAUSE: Duration = Duration::from_millis(50);

/// Follows the epochs for ever.
pub async fn follow_epochs(store: Rc<Store>) {
    let mut changes = store.shared.changes();
    let mut since = Instant::now();
    loop {
        changes.borrow_and_update();
        let directory = store.shared.read(|view| view.directory().clone());
        let is_listed = directory.store(&store.id()).is_some();
        if is_listed && directory.store_epoch > store.synced.borrow().epoch {
            if !sync(&store, &directory, since).await {
                tokio::time::sleep(PAUSE).await;
            }
            continue;
        }
        since = Instant::now();
        let _ = changes.changed().await;
    }
}

/// Brings the budgets up to an epoch. Gives whether that succeeded.
async fn sync(store: &Rc<Store>, directory: &Arc<Directory>, since: Instant) -> bool {
    let epoch = directory.store_epoch;
    let before = store.synced.borrow().active.clone();
    let tolerated = store.settings.fault_tolerance.machines;
    let mut answered = BTreeSet::from([store.id()]);
    let mut replies = ask_all(store, directory);
    let mut is_enough = false;
    while !is_enough && let Some((other, reply)) = replies.recv().await {
        let Some(StoreReply::Budgets(budgets)) = reply else {
            continue;
        };
        take_in(store, budgets);
        answered.insert(other);
        let all_active = directory.active_stores().all(|other| answered.contains(&other.id));
        is_enough = all_active && may_serve(directory, &before, &answered, tolerated);
    }
    let missing_now = directory.active_stores().filter(|other| !answered.contains(&other.id)).count();
    let waited_long = missing_now == 0 && since.elapsed() > GIVE_UP_LOST;
    if !waited_long && !may_serve(directory, &before, &answered, tolerated) {
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

type Reply = (StoreId, Option<StoreReply>);

/// Asks all other stores for their budgets, those that are away as well: they may be stopping just now.
fn ask_all(store: &Rc<Store>, directory: &Directory) -> mpsc::UnboundedReceiver<Reply> {
    let (sender, replies) = mpsc::unbounded_channel();
    let own = store.id();
    let epoch = directory.store_epoch;
    let asked = directory.stores.iter().filter(|other| other.id != own && other.state != StoreState::Retired);
    for other in asked {
        let (peer, sender, id) = (store.peer(other.address), sender.clone(), other.id.clone());
        let call = StoreCall::PullBudgets { caller: own.clone(), callee: id.clone(), epoch };
        spawn_local(async move {
            let reply = peer.call(&call, PULL_WITHIN).await;
            let _ = sender.send((id, reply.ok()));
        });
    }
    replies
}

fn take_in(store: &Store, budgets: Vec<(String, Vec<Reservation>)>) {
    let now = store.now();
    for (program, reservations) in budgets {
        for reservation in reservations {
            if store.budgets.borrow_mut().merge(now, &program, &reservation) == Some(true) {
                drop(store.disk.write(&Record::Budget { program: program.clone(), reservation }));
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
    let lost_before = directory.stores.iter().filter(|store| store.state == StoreState::Away).count();
    if is_new {
        // A lost store may have been in a majority with any other: none of those may be missing as well.
        let allowed = if lost_before > 0 { tolerated.saturating_sub(1) } else { tolerated };
        return missing_now <= allowed;
    }
    let missing_before = before.iter().filter(|id| !answered.contains(id)).count();
    missing_now <= tolerated && missing_before <= tolerated
}

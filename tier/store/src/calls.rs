//! Answers the calls of proxies and of other stores.
//!
//! Guarantees that a call is acknowledged only after what it asked for is synced (settlements excepted); that
//! a turn is stored, and reported as stored, only with its complete chain, so that each store that counts as a
//! replica of the turn can give the chain; and that a reservation is accepted in one epoch only: the caller's,
//! the directory's and the one that the budgets are complete for have to be the same.

use crate::record::Record;
use crate::state::Store;
use crate::writes::store_turns;
use pointcross_tier_protocol::messages::{BudgetsPosition, StoreCall, StoreReply};
use pointcross_tier_protocol::turns::{Reservation, TurnId, TurnRecord};
use pointcross_tier_protocol::{StoreId, StoreState};
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use pointcross_tier_sessions::MergeOutcome;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a call of a newer epoch may wait until this store has seen that epoch too.
const EPOCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Answers one call.
///
/// The calls that concern one disk name it (`callee`): a store with another disk at the same address is not
/// ready for them.
pub async fn answer(store: Rc<Store>, call: StoreCall) -> StoreReply {
    match call {
        StoreCall::Ping => StoreReply::Done,
        StoreCall::PutTurns { turns, .. } => put_turns(&store, turns).await,
        StoreCall::FetchChain { id } => fetch_chain(&store, &id),
        StoreCall::FindMissingTurns { callee, .. } if callee != store.id() => StoreReply::NotReady,
        StoreCall::FindMissingTurns { ids, .. } => StoreReply::MissingTurns(find_missing(&store, ids)),
        StoreCall::Reserve { epoch, program, reservation } => {
            reserve(&store, epoch, program, reservation).await
        }
        StoreCall::Settle { program, reservation } => {
            settle(&store, &program, &reservation);
            StoreReply::Done
        }
        StoreCall::PullBudgets { callee, .. } if callee != store.id() => StoreReply::NotReady,
        StoreCall::PullBudgets { caller, epoch, position, .. } => {
            send_budgets(&store, caller, epoch, position).await
        }
    }
}

/// Those of these turns for which this store is no replica: it lacks them, or a part of their chains.
fn find_missing(store: &Store, ids: Vec<TurnId>) -> Vec<TurnId> {
    let table = store.turns.borrow();
    match is_injected(InjectedFault::AcknowledgeWithoutChain) {
        true => table.missing(ids),
        false => table.without_complete_chain(ids),
    }
}

async fn put_turns(store: &Rc<Store>, turns: Vec<TurnRecord>) -> StoreReply {
    match store.listed_state() {
        Some(StoreState::Active) => {}
        Some(StoreState::Retiring | StoreState::Retired) => {
            return StoreReply::EpochMismatch { epoch: store.epoch() };
        }
        Some(StoreState::Unavailable) | None => return StoreReply::NotReady,
    }
    if !store.has_capacity() {
        return StoreReply::OutOfSpace;
    }
    // No await stands between reading the own state and this: a store that learns that it is retiring waits
    // for all writes that began before.
    let _in_flight = store.turn_writes.begin();
    if !is_injected(InjectedFault::AcknowledgeWithoutChain) {
        let missing = store.turns.borrow().missing_for(&turns);
        if !missing.is_empty() {
            return StoreReply::MissingTurns(missing);
        }
    }
    let turns = retain_predecessors(store, turns);
    if store_turns(store, turns).await { StoreReply::Done } else { StoreReply::OutOfSpace }
}

/// Keeps the predecessors of these turns from expiring while these are written. Returns the turns that have to be
/// written: not those that are only sent as a part of another turn's chain and are stored already.
fn retain_predecessors(store: &Store, turns: Vec<TurnRecord>) -> Vec<TurnRecord> {
    let mut table = store.turns.borrow_mut();
    table.retain_predecessors(store.now(), &turns);
    let previous: BTreeSet<TurnId> = turns.iter().filter_map(|turn| turn.previous.clone()).collect();
    let is_needed = |turn: &TurnRecord| !previous.contains(&turn.id) || table.get(&turn.id).is_none();
    turns.into_iter().filter(is_needed).collect()
}

fn fetch_chain(store: &Store, id: &str) -> StoreReply {
    let chain = store.turns.borrow().chain(store.now(), id);
    if chain.is_empty() {
        StoreReply::TurnNotFound { certain: store.has_full_history() }
    } else {
        StoreReply::Chain(chain)
    }
}

/// Waits until this store has seen an epoch, up to the time limit. Returns the newest epoch that it has seen.
async fn wait_for_epoch(store: &Store, wanted: u64) -> u64 {
    let mut changes = store.view.changes();
    let deadline = Instant::now() + EPOCH_TIMEOUT;
    while store.epoch() < wanted {
        if tokio::time::timeout_at(deadline, changes.changed()).await.is_err() {
            break;
        }
    }
    store.epoch()
}

/// Accepts a reservation, if there is one, and returns all of the program's.
async fn reserve(
    store: &Rc<Store>,
    epoch: u64,
    program: String,
    reservation: Option<Reservation>,
) -> StoreReply {
    let seen = wait_for_epoch(store, epoch).await;
    if seen != epoch {
        return StoreReply::EpochMismatch { epoch: seen };
    }
    // The directory that this process has seen may be older than the epoch that its disk was fenced at.
    if store.complete_epoch.borrow().epoch != epoch || store.fenced_epoch.get() > epoch {
        return StoreReply::NotReady;
    }
    if let Some(reservation) = reservation {
        // Other attempts read it from now on, before it is synced: they may count too much, never too little.
        let now = store.now();
        if store.budgets.borrow_mut().merge(now, &program, &reservation) == MergeOutcome::OutOfSpace {
            return StoreReply::OutOfSpace;
        }
        let record = Record::Budget { program: program.clone(), reservation };
        if store.disk.write(&record).finish().await.is_err() {
            return StoreReply::OutOfSpace;
        }
    }
    StoreReply::Reservations(store.budgets.borrow().reservations(&program))
}

/// Merges what an attempt used. The write is not waited for: a settlement that is lost leaves the reservation
/// counted in full, which is safe.
fn settle(store: &Store, program: &str, reservation: &Reservation) {
    let now = store.now();
    if store.budgets.borrow_mut().merge(now, program, reservation) == MergeOutcome::Changed {
        let record = Record::Budget { program: program.to_owned(), reservation: reservation.clone() };
        store.disk.write(&record).detach();
    }
}

/// Sends the budgets that changed after the caller's position, once this store is fenced at the caller's
/// epoch.
async fn send_budgets(
    store: &Rc<Store>,
    caller: StoreId,
    epoch: u64,
    position: BudgetsPosition,
) -> StoreReply {
    let seen = wait_for_epoch(store, epoch).await;
    if seen < epoch {
        return StoreReply::EpochMismatch { epoch: seen };
    }
    store.fence(epoch);
    if store.disk.write(&Record::Fence { epoch }).finish().await.is_err() {
        return StoreReply::OutOfSpace;
    }
    store.pulled_epochs.borrow_mut().insert(caller, epoch);
    let budgets = store.budgets.borrow();
    // Revisions of another incarnation count another table's changes: everything is sent.
    let since = if position.incarnation == store.incarnation { position.revision } else { 0 };
    StoreReply::Budgets {
        complete_epoch: store.complete_epoch.borrow().epoch,
        position: BudgetsPosition { incarnation: store.incarnation, revision: budgets.revision() },
        programs: budgets.changed_since(since),
    }
}

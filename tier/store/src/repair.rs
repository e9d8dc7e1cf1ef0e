//! Repair: hinted handoff, new replicas in place of lost ones, and the emptying of a retiring store.
//!
//! Guarantees that a turn gets back to its number of replicas after any fault that leaves one of them, and
//! that a retiring store is reported as drained only once enough active stores have each of its turns. A store
//! counts as a replica of a turn only where it has the turn's complete chain: it says so in its answers, and
//! rejects a turn whose predecessors it lacks and isn't sent.
//!
//! A turn's replicas are confirmed once they were asked and have it: a replica may have been unavailable when
//! the turn was written, and another store have stored a hint in its place (hinted handoff, DeCandia 2007,
//! 4.6). A store with a hint transfers the turn to the replica that lacks it, if that one answers. If it
//! doesn't and enough other stores have the turn, the hint is dropped, and those stores are the replicas.
//! When a replica's disk is lost, each other holder ensures that enough stores have the turn.

use crate::chains;
use crate::registration;
use crate::state::Store;
use log::{debug, info};
use pointcross_tier_protocol::messages::{ControlCall, StoreCall, StoreReply};
use pointcross_tier_protocol::turns::TurnId;
use pointcross_tier_protocol::{Directory, StoreEntry, StoreId, StoreState};
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use pointcross_tier_sessions::replication::{RoundState, StoreAnswer, TurnHolders, split_batches};
use pointcross_tier_sessions::turn_transfer::TRANSFER_BATCH_BYTES;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// The time between two rounds while the directory doesn't change.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// The largest number of turns asked for in one call.
const MAX_IDS_PER_CALL: usize = 2000;
/// How long another store may take to answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Repairs round by round; runs until the process ends.
pub async fn run(store: Rc<Store>) {
    let mut changes = store.view.changes();
    loop {
        changes.mark_seen();
        let directory = store.view.read(|view| view.directory().clone());
        match directory.store(&store.id()).map(|entry| entry.state) {
            Some(StoreState::Active) => {
                repair_round(&store, &directory).await;
            }
            Some(StoreState::Retiring) if repair_round(&store, &directory).await => {
                let (id, epoch) = (store.id(), directory.store_epoch);
                info!("store drained: store={} epoch={epoch}", id.node);
                registration::notify_control(&store, &ControlCall::StoreDrained { id, epoch }).await;
            }
            _ => {}
        }
        let _ = tokio::time::timeout(ROUND_INTERVAL, changes.changed()).await;
    }
}

/// Repairs all turns that need it once. Returns whether every turn has enough replicas now.
async fn repair_round(store: &Rc<Store>, directory: &Directory) -> bool {
    // A turn that is being written is not in the table yet. No write begins once the store knows that it is
    // retiring.
    let is_idle = store.turn_writes.is_idle();
    let own = store.id();
    let state = RoundState {
        is_retiring: directory.store(&own).is_some_and(|entry| entry.state == StoreState::Retiring),
        active: directory.active_stores().map(|entry| entry.id.clone()).collect(),
        now: store.now(),
        own,
    };
    let readable: Vec<&StoreEntry> =
        directory.readable_stores().filter(|entry| entry.id != state.own).collect();
    let mut all_replicated = chains::complete_chains(store, &readable).await && is_idle;
    let ids = turns_to_repair(store, &state);
    let others = counted_stores(directory, &state.own);
    for ids in ids.chunks(MAX_IDS_PER_CALL) {
        all_replicated &= repair_turns(store, ids, &others, state.is_retiring).await;
    }
    all_replicated
}

/// The turns that need repair. One whose chain has a gap that no store can close has no continuation, and needs none.
fn turns_to_repair(store: &Store, state: &RoundState) -> Vec<TurnId> {
    let table = store.turns.borrow();
    let ids = table.ids_where(|turn| state.needs_repair(turn));
    ids.into_iter().filter(|id| table.has_complete_chain(id)).collect()
}

/// The other stores that count as replicas.
fn counted_stores<'a>(directory: &'a Directory, own: &StoreId) -> Vec<&'a StoreEntry> {
    let counted: Vec<&StoreEntry> = match is_injected(InjectedFault::CountLeavingStores) {
        true => directory.readable_stores().collect(),
        false => directory.active_stores().collect(),
    };
    counted.into_iter().filter(|entry| entry.id != *own).collect()
}

/// Ensures that enough stores have each of these turns. Returns whether they do.
async fn repair_turns(store: &Rc<Store>, ids: &[TurnId], others: &[&StoreEntry], is_retiring: bool) -> bool {
    let wanted = store.settings.fault_tolerance.copies() - usize::from(!is_retiring);
    let mut holders = TurnHolders::new(ids);
    let answers = find_missing(store, ids, others).await;
    for answer in &answers {
        holders.add_answer(answer);
    }
    for answer in &answers {
        let other = answer.store;
        let ids = holders.turns_to_transfer(answer, wanted, |id| is_replica(store, id, &other.id));
        for id in transfer_turns(store, other, &ids).await {
            holders.add(id, &other.id);
        }
    }
    confirm_replicas(store, holders, wanted, is_retiring)
}

/// Asks each store which of these turns, with their chains, it lacks, one after the other. Stores that don't answer are left out.
pub async fn find_missing<'a>(
    store: &Rc<Store>,
    ids: &[TurnId],
    others: &[&'a StoreEntry],
) -> Vec<StoreAnswer<'a>> {
    let mut answers = Vec::new();
    for &other in others {
        let call = StoreCall::FindMissingTurns { callee: other.id.clone(), ids: ids.to_vec() };
        if let Some(StoreReply::MissingTurns(missing)) = call_store(store, other, &call).await {
            answers.push(StoreAnswer { store: other, missing: missing.into_iter().collect() });
        }
    }
    answers
}

fn is_replica(store: &Store, id: &TurnId, other: &StoreId) -> bool {
    store.turns.borrow().get(id).is_some_and(|turn| turn.record.replicas.contains(other))
}

/// Sets the replicas of the turns that have enough holders. Returns whether all have.
fn confirm_replicas(store: &Store, holders: TurnHolders, wanted: usize, is_retiring: bool) -> bool {
    let mut all_replicated = true;
    for (id, mut replicas) in holders.into_turns() {
        let is_replicated = replicas.len() >= wanted;
        // A turn that has expired meanwhile needs no replicas.
        all_replicated &= is_replicated || store.turns.borrow().get(&id).is_none();
        if is_replicated {
            if !is_retiring {
                replicas.push(store.id());
            }
            store.turns.borrow_mut().set_replicas(&id, replicas);
        }
    }
    all_replicated
}

/// Sends turns to another store, with what it lacks of their chains, in batches. Returns those of `ids` that it has
/// acknowledged.
async fn transfer_turns(store: &Rc<Store>, other: &StoreEntry, ids: &[TurnId]) -> Vec<TurnId> {
    let ids: BTreeSet<TurnId> = ids.iter().cloned().collect();
    let sent = with_lacking_predecessors(store, other, &ids).await;
    let mut turns = store.turns.borrow().records(store.now(), &sent);
    for turn in &mut turns {
        if !turn.replicas.contains(&other.id) {
            turn.replicas.push(other.id.clone());
        }
    }
    let mut acknowledged = Vec::new();
    for turns in split_batches(turns, TRANSFER_BATCH_BYTES) {
        let batch: Vec<TurnId> = turns.iter().map(|turn| turn.id.clone()).collect();
        let call = StoreCall::PutTurns { epoch: store.epoch(), turns };
        if let Some(StoreReply::Done) = call_store(store, other, &call).await {
            acknowledged.extend(batch.into_iter().filter(|id| ids.contains(id)));
        }
    }
    acknowledged
}

/// These turns and those before them that the other store lacks, each behind the one that it continues from.
async fn with_lacking_predecessors(
    store: &Rc<Store>,
    other: &StoreEntry,
    ids: &BTreeSet<TurnId>,
) -> Vec<TurnId> {
    let wanted: Vec<TurnId> = ids.iter().cloned().collect();
    let ordered = store.turns.borrow().with_predecessors(&wanted);
    let predecessors: Vec<TurnId> = ordered.iter().filter(|id| !ids.contains(*id)).cloned().collect();
    let mut lacking: BTreeSet<TurnId> = BTreeSet::new();
    for predecessors in predecessors.chunks(MAX_IDS_PER_CALL) {
        for answer in find_missing(store, predecessors, &[other]).await {
            lacking.extend(answer.missing);
        }
    }
    ordered.into_iter().filter(|id| ids.contains(id) || lacking.contains(id)).collect()
}

/// Calls another store. A failure is logged and gives `None`; the next round retries.
async fn call_store(store: &Store, other: &StoreEntry, call: &StoreCall) -> Option<StoreReply> {
    match store.peer(other.address).call(call, STORE_TIMEOUT).await {
        Ok(reply @ (StoreReply::MissingTurns(_) | StoreReply::Done)) => Some(reply),
        Ok(reply) => {
            debug!("call rejected: store={} reply={reply:?}", other.id.node);
            None
        }
        Err(error) => {
            debug!("call failed: store={}: {error}", other.id.node);
            None
        }
    }
}

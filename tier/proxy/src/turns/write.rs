//! Storing a turn, with its chain, on as many stores as it needs.

use super::call::{RETRY_DELAY, StoreResponse, spawn_transfer, wait_until};
use crate::proxy::Proxy;
use pointcross_tier_protocol::messages::StoreReply;
use pointcross_tier_protocol::turns::TurnRecord;
use pointcross_tier_protocol::{StoreEntry, StoreId};
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use pointcross_tier_sessions::placement;
use pointcross_tier_sessions::turn_transfer::TurnTransfer;
use snafu::Snafu;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Too few stores have confirmed the turn before the deadline; it may be on some of them.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the turn was not stored on enough stores before the deadline"))]
pub struct NotStored;

/// A turn that is being stored.
struct TurnWrite<'a> {
    proxy: &'a Rc<Proxy>,
    record: TurnRecord,
    /// The turns before it, oldest first.
    chain: Rc<[TurnRecord]>,
    /// Replicas that the turn needs.
    needed: usize,
    /// Stores that have confirmed it, each on a node of its own: the disks of one node fail together.
    confirmed: Vec<StoreId>,
    sender: mpsc::UnboundedSender<StoreResponse>,
    responses: mpsc::UnboundedReceiver<StoreResponse>,
}

/// Stores a turn on as many stores as it needs, and caches it. `chain` has the turns before it, oldest first: a store
/// that lacks some of them is given these too, and confirms the turn only with them.
///
/// # Errors
///
/// [`NotStored`] where too few have confirmed it before the deadline.
pub async fn store_turn(
    proxy: &Rc<Proxy>,
    record: TurnRecord,
    chain: Rc<[TurnRecord]>,
    deadline: Instant,
) -> Result<(), NotStored> {
    let needed = if is_injected(InjectedFault::OneCopy) { 1 } else { proxy.stores.replicas_per_turn };
    let (sender, responses) = mpsc::unbounded_channel();
    let chain = if is_injected(InjectedFault::AcknowledgeWithoutChain) { Rc::default() } else { chain };
    let mut write = TurnWrite { proxy, record, chain, needed, confirmed: Vec::new(), sender, responses };
    while !write.is_complete() && Instant::now() < deadline {
        write.write_once(deadline).await?;
        if !write.is_complete() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
    if !write.is_complete() {
        return Err(NotStored);
    }
    // The stores that have it, in place of those that were meant to.
    let record = TurnRecord { replicas: write.confirmed, ..write.record };
    proxy.chains.borrow_mut().insert(record, Instant::now());
    Ok(())
}

impl TurnWrite<'_> {
    fn is_complete(&self) -> bool {
        self.confirmed.len() >= self.needed
    }

    /// One pass over the stores that have not confirmed the turn: as many at once as replicas are missing,
    /// and one more for each that fails or is slow.
    async fn write_once(&mut self, deadline: Instant) -> Result<(), NotStored> {
        let directory = self.proxy.stores.directory();
        let epoch = directory.store_epoch;
        let zone = &self.proxy.stores.zone;
        let ranked = placement::rank_for_turns(&self.record.placement, zone, directory.active_stores());
        let mut stores: Vec<StoreEntry> = ranked.into_iter().cloned().collect();
        self.proxy.stores.sort_unresponsive_last(&mut stores);
        self.record.replicas = stores.iter().take(self.needed).map(|store| store.id.clone()).collect();
        stores.retain(|store| !self.has_confirmed(&store.id.node));
        let mut stores = stores.into_iter();
        let mut in_flight = 0;
        for store in stores.by_ref().take(self.needed - self.confirmed.len()) {
            self.spawn_put(store, epoch);
            in_flight += 1;
        }
        while in_flight > 0 && !self.is_complete() {
            let until = wait_until(deadline, stores.len() > 0);
            match tokio::time::timeout_at(until, self.responses.recv()).await {
                Ok(Some(StoreResponse { store, reply: Some(StoreReply::Done) })) => {
                    in_flight -= 1;
                    self.confirm(store);
                    continue;
                }
                Ok(_) => in_flight -= 1,
                Err(_) if Instant::now() >= deadline => return Err(NotStored),
                Err(_) => {}
            }
            if let Some(store) = stores.next() {
                self.spawn_put(store, epoch);
                in_flight += 1;
            }
        }
        Ok(())
    }

    fn confirm(&mut self, store: StoreEntry) {
        self.proxy.chains.borrow_mut().add_replica(&self.chain, &store.id);
        if !self.has_confirmed(&store.id.node) {
            self.confirmed.push(store.id);
        }
    }

    fn has_confirmed(&self, node: &str) -> bool {
        self.confirmed.iter().any(|store| store.node == node)
    }

    fn spawn_put(&self, store: StoreEntry, epoch: u64) {
        let transfer = TurnTransfer::new(self.record.clone(), self.chain.clone(), store.id.clone());
        spawn_transfer(self.proxy, store, epoch, transfer, &self.sender);
    }
}

//! Concurrent calls to stores, and how long one is waited for before the next is called as well.

use crate::proxy::Proxy;
use pointcross_tier_protocol::StoreEntry;
use pointcross_tier_protocol::messages::{StoreCall, StoreReply};
use pointcross_tier_protocol::turns::TurnId;
use pointcross_tier_sessions::turn_transfer::{TransferStep, TurnTransfer};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// How long a store may take to reply before another is called as well: a sync of a slow disk and the round
/// trip.
const HEDGE_DELAY: Duration = Duration::from_millis(80);
/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// The pause before all stores are called once more.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(60);

/// What became of a call to a store; no reply where the call failed or timed out.
pub(super) struct StoreResponse {
    /// The store.
    pub store: StoreEntry,
    /// Its reply.
    pub reply: Option<StoreReply>,
}

/// Asks a store for a chain in a task of its own, so that other stores can be called meanwhile.
///
/// The task is detached: it ends within [`CALL_TIMEOUT`], and its response is dropped where nobody receives
/// any more.
pub(super) fn spawn_fetch(
    proxy: &Rc<Proxy>,
    store: StoreEntry,
    id: TurnId,
    responses: &mpsc::UnboundedSender<StoreResponse>,
) {
    let (proxy, responses) = (proxy.clone(), responses.clone());
    spawn_local(async move {
        let reply = proxy.stores.call(store.address, &StoreCall::FetchChain { id }, CALL_TIMEOUT).await;
        let _ = responses.send(StoreResponse { store, reply });
    });
}

/// Stores a turn with its chain on a store, in a task of its own. The reply [`StoreReply::Done`] says that the
/// store has all of it.
///
/// The task is detached: it makes a bounded number of calls, each of which ends within [`CALL_TIMEOUT`], and its
/// response is dropped where nobody receives any more.
pub(super) fn spawn_transfer(
    proxy: &Rc<Proxy>,
    store: StoreEntry,
    epoch: u64,
    transfer: TurnTransfer,
    responses: &mpsc::UnboundedSender<StoreResponse>,
) {
    let (proxy, responses) = (proxy.clone(), responses.clone());
    spawn_local(async move {
        let reply = run_transfer(&proxy, &store, epoch, transfer).await;
        let _ = responses.send(StoreResponse { store, reply });
    });
}

async fn run_transfer(
    proxy: &Proxy,
    store: &StoreEntry,
    epoch: u64,
    mut transfer: TurnTransfer,
) -> Option<StoreReply> {
    let mut turns = transfer.begin();
    loop {
        let call = StoreCall::PutTurns { epoch, turns };
        let reply = proxy.stores.call(store.address, &call, CALL_TIMEOUT).await?;
        match transfer.on_reply(&reply) {
            TransferStep::Put(next) => turns = next,
            TransferStep::Stored | TransferStep::Rejected => return Some(reply),
        }
    }
}

/// When waiting for a response ends: at the hedge delay where another store can be called, else at the
/// deadline.
pub(super) fn wait_until(deadline: Instant, has_more_stores: bool) -> Instant {
    if has_more_stores { deadline.min(Instant::now() + HEDGE_DELAY) } else { deadline }
}

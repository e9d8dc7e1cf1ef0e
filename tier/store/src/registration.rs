//! Registers the store with the control members, and deregisters it before a planned stop.
//!
//! Guarantees that a store which the directory doesn't list as serving asks for it until it does, whichever
//! control member fails; and that a planned stop leaves time for the other stores to pull the budgets, so
//! that a restart costs no more than an epoch.

use crate::state::Store;
use log::{debug, info};
use pointcross_tier_protocol::StoreState;
use pointcross_tier_protocol::messages::{ControlCall, ControlReply};
use pointcross_tier_runtime::random;
use pointcross_tier_runtime::rpc::Peer;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The time between two checks of the directory.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// The time between two checks during a planned stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a planned stop may wait for the other stores; half of the grace period where that is shorter.
const STOP_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a control member may take: it may ping other stores, and has to reach a majority.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(3000);

/// Registers the store whenever the directory does not list it as serving; runs until the process ends.
pub async fn run(store: Rc<Store>) {
    loop {
        let listed = store.listed_state();
        if !store.is_stopping.get() && matches!(listed, None | Some(StoreState::Unavailable)) {
            notify_control(&store, &ControlCall::RegisterStore(store.entry())).await;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Before a planned stop: waits until the directory lists this store as unavailable and the others have its
/// budgets, up to the time limit.
pub async fn prepare_stop(store: &Rc<Store>) {
    store.is_stopping.set(true);
    let grace = store.settings.drain_grace();
    let deadline = Instant::now() + STOP_TIMEOUT.min(grace / 2);
    let prepared = async {
        while store.listed_state() == Some(StoreState::Active) {
            notify_control(store, &ControlCall::StoreStopping(store.id())).await;
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
        let epoch = store.epoch();
        while !others_have_pulled(store, epoch) {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
    };
    if tokio::time::timeout_at(deadline, prepared).await.is_err() {
        info!("stop timeout, budgets not pulled by all stores: store={}", store.settings.node);
    }
}

/// Whether all active stores have pulled the budgets for this epoch or a later one.
fn others_have_pulled(store: &Store, epoch: u64) -> bool {
    let pulled_epochs = store.pulled_epochs.borrow();
    store.view.read(|view| {
        let mut active = view.directory().active_stores();
        active.all(|other| pulled_epochs.get(&other.id).is_some_and(|pulled| *pulled >= epoch))
    })
}

/// Sends a call to a control member drawn at random. Returns whether that member acknowledged it.
pub async fn notify_control(store: &Store, call: &ControlCall) -> bool {
    let mut members: Vec<SocketAddrV4> = store.view.read(|view| view.members().to_vec());
    if members.is_empty() {
        members = store.seeds.borrow().as_ref().map_or_else(Vec::new, |seeds| seeds.borrow().clone());
    }
    if members.is_empty() {
        return false;
    }
    let member = members[random::below(members.len() as u64) as usize];
    match Peer::new(&store.environment, member).call::<ControlReply>(call, CONTROL_TIMEOUT).await {
        Ok(ControlReply::Done) => true,
        Ok(_) => false,
        Err(error) => {
            debug!("control call failed: member={member}: {error}");
            false
        }
    }
}

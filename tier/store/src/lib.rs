//! A store: has turns and budgets on its disk, repairs lost replicas, and is emptied when it is retired.
//!
//! Guarantees that what it acknowledged outlasts a loss of power, that a turn gets back to its number of
//! replicas after a store is lost, and that reservations of a budget stay counted when the stores change.
//!
//! - `record`, `disk`, `writes`: what is written, the thread that writes it, and writes of turns and
//!   budgets.
//! - `state`, `recovery`, `in_flight`: the state in memory, and how it is read back after a restart.
//! - `calls`: the answers to proxies and to other stores.
//! - `repair`, `chains`: replicas of turns, and missing predecessors; what is decided without I/O is in
//!   [`pointcross_tier_sessions::replication`].
//! - `budget_sync`: budgets in a new epoch of the stores.
//! - `registration`, `retention`: the directory; expiry, and the rewriting of records before the ring
//!   overwrites them.
#![warn(missing_docs)]

mod budget_sync;
mod calls;
mod chains;
mod disk;
mod in_flight;
mod record;
mod recovery;
mod registration;
mod repair;
mod retention;
mod state;
mod writes;

use crate::recovery::RecoveredStore;
use log::info;
use pointcross_tier_protocol::settings::{InternalPort, Settings};
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::process::Stop;
use pointcross_tier_runtime::role::{self, RoleError, SignalsSnafu};
use pointcross_tier_runtime::watch::watch_control_members;
use pointcross_tier_runtime::{reload, rpc};
use snafu::ResultExt;
use tokio::task::spawn_local;

/// Serves until `stop` resolves (SIGTERM in a process), then prepares the planned stop and returns.
///
/// Must run inside a `LocalSet`. The tasks are detached on purpose: none of them ends by itself, and each may
/// be dropped at any await, since only what is synced is acknowledged. They serve on while the stop is
/// prepared, so that the other stores can pull the budgets, and end with the `LocalSet`.
///
/// # Errors
/// A setting that is missing, a data folder, an address or a signal handler that can't be had.
pub async fn run(settings: Settings, environment: Environment, stop: Stop) -> Result<(), RoleError> {
    let RecoveredStore { store, overwritten_next } = recovery::open(settings, environment.clone())?;
    let address = store.settings.internal_address(InternalPort::Store);
    let listener = role::listen(&environment, address)?;
    let seeds = reload::seeds(&environment, &store.settings, InternalPort::Control);
    *store.seeds.borrow_mut() = Some(seeds.clone());
    spawn_local(watch_control_members(environment, store.view.clone(), seeds));
    let answering = store.clone();
    spawn_local(rpc::serve(listener, move |call| {
        let store = answering.clone();
        async move { Some(calls::answer(store, call).await) }
    }));
    spawn_local(registration::run(store.clone()));
    spawn_local(budget_sync::run(store.clone()));
    spawn_local(repair::run(store.clone()));
    spawn_local(retention::run(store.clone(), overwritten_next));
    info!("serving: address={address}");
    stop.await.context(SignalsSnafu)?;
    registration::prepare_stop(&store).await;
    Ok(())
}

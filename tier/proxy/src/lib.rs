//! The proxy of the serving tier. It accepts requests from clients, chooses servers by the routing package,
//! forwards requests and answers, and stores turns and reserves budgets at the stores.
//!
//! Guarantees, against servers, stores, agents and proxies that stop at any time: a request runs at most once
//! unless its route allows more; a refusal is only given to a request that has not run; an answer of a
//! retained turn ends only once the turn is stored; a program's turns together never exceed its budget.
//!
//! A proxy runs on one thread of a [`tokio::task::LocalSet`]. It has no state on disk: another proxy can go
//! on with any program.
#![warn(missing_docs)]

mod answer;
mod background;
mod budget;
mod chain_cache;
mod front;
mod proxy;
mod queue;
mod ready;
mod request;
mod stores;
mod turns;
pub mod upstream;

use log::info;
use pointcross_tier_protocol::settings::Settings;
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::process::{self, Stop};
use pointcross_tier_runtime::role::{self, RoleError, SignalsSnafu};
use pointcross_tier_runtime::watch::watch_agent;
use snafu::ResultExt;
use tokio::task::spawn_local;

/// Serves until `stop` resolves, then drains: requests in flight are answered within the settings' drain
/// grace.
///
/// The spawned tasks are detached and end with the [`tokio::task::LocalSet`] that runs this future.
///
/// # Errors
///
/// [`RoleError`] where a setting is missing, an address can't be listened on, or signals can't be received.
pub async fn run(settings: Settings, environment: Environment, stop: Stop) -> Result<(), RoleError> {
    let addresses = &settings.listen_addrs;
    let front_address = role::required_address(addresses.front_addr, "ListenAddrs.FrontAddr", "proxy")?;
    let ready_address = role::required_address(addresses.ready_addr, "ListenAddrs.ReadyAddr", "proxy")?;
    let front = role::listen(&environment, front_address)?;
    let ready = role::listen(&environment, ready_address)?;
    let feed = settings.feed_address();
    let grace = settings.drain_grace();
    let proxy = proxy::Proxy::new(settings, &environment);
    spawn_local(watch_agent(environment, proxy.view.clone(), feed));
    spawn_local(background::apply_updates(proxy.clone()));
    spawn_local(background::evict_expired(proxy.clone()));
    spawn_local(ready::serve(proxy.clone(), ready));
    spawn_local(front::serve(proxy.clone(), front));
    spawn_local(process::on_hangup(|| info!("hangup ignored: settings are read at the start only")));
    info!("serving: address={front_address}");
    stop.await.context(SignalsSnafu)?;
    front::drain(&proxy, grace).await;
    Ok(())
}

//! The agent beside a proxy: watches the control plane and answers the proxy's watch over loopback.
//!
//! Guarantees that a proxy that restarts has at once the configuration, stores and instances that its agent
//! knew, also while no control member can be reached. Before the first update of the control plane it
//! answers `NoQuorum`: an empty view must not be taken for a system without stores and instances.
//!
//! # Shutdown and cancellation
//!
//! [`run`] returns after SIGTERM and the drain grace. Its tasks serve until the process's `LocalSet` is
//! dropped: where the proxy runs in the same process, it watches the agent until it has finished its own
//! requests.
#![warn(missing_docs)]

use log::info;
use pointcross_tier_protocol::messages::{ControlCall, ControlReply, WatchRequest};
use pointcross_tier_protocol::settings::{InternalPort, Settings};
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::process::Stop;
use pointcross_tier_runtime::role::{self, RoleError, SignalsSnafu};
use pointcross_tier_runtime::watch::{LatestReader, ReplicatedView, watch_control_members};
use pointcross_tier_runtime::{reload, rpc};
use snafu::ResultExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The agent ends so long before the platform would kill it.
const KILL_MARGIN: Duration = Duration::from_millis(800);

/// Serves until SIGTERM, and then for the drain grace less 0.8 s: the proxy finishes its requests within the
/// grace and needs to learn of draining instances meanwhile.
///
/// # Errors
/// An address or a signal handler that can't be had.
pub async fn run(settings: Settings, environment: Environment, stop: Stop) -> Result<(), RoleError> {
    let replicated_view = ReplicatedView::new();
    let address = settings.feed_address();
    let listener = role::listen(&environment, address)?;
    let seeds = reload::seeds(&environment, &settings, InternalPort::Control);
    let latest = LatestReader::at_members(&environment, replicated_view.clone(), seeds.clone());
    let agent = Rc::new(Agent { replicated_view: replicated_view.clone(), latest });
    spawn_local(watch_control_members(environment, replicated_view, seeds));
    spawn_local(rpc::serve(listener, move |call| answer(agent.clone(), call)));
    info!("agent serving: address={address}");
    stop.await.context(SignalsSnafu)?;
    tokio::time::sleep(settings.drain_grace().saturating_sub(KILL_MARGIN)).await;
    Ok(())
}

/// What the agent answers the proxy from.
struct Agent {
    replicated_view: Rc<ReplicatedView>,
    latest: Rc<LatestReader>,
}

/// Answers the proxy. Calls of stores belong to a control member and are never carried out here.
async fn answer(agent: Rc<Agent>, call: ControlCall) -> Option<ControlReply> {
    match call {
        ControlCall::Watch(_) if agent.replicated_view.read(|view| view.members().is_empty()) => {
            Some(ControlReply::NoQuorum)
        }
        ControlCall::Watch(request) => Some(agent.replicated_view.answer(&request).await),
        ControlCall::ReadLatest(request) => Some(read_latest(&agent, &request).await),
        ControlCall::RegisterStore(_) | ControlCall::StoreStopping(_) | ControlCall::StoreDrained { .. } => {
            Some(ControlReply::NoQuorum)
        }
    }
}

/// Reads the latest directory at a control member, and answers with it.
async fn read_latest(agent: &Agent, request: &WatchRequest) -> ControlReply {
    let called_at = Instant::now();
    let deadline = called_at + Duration::from_millis(request.max_wait_ms);
    if !agent.latest.read_since(called_at, deadline).await {
        return ControlReply::NoQuorum;
    }
    let latest = agent.replicated_view.read(|view| view.latest_for(request));
    latest.map_or(ControlReply::Done, |latest| ControlReply::Update(Box::new(latest)))
}

//! A member of the control plane.
//!
//! It guarantees that what it acknowledges outlasts the loss of a tolerated number of members: it is an
//! acceptor and a proposer of the replicated register (configuration and stores), it records heartbeats and
//! tombstones of instances, and it answers the watches of agents and stores. A member that was partitioned,
//! paused or wiped answers `NoQuorum` instead of old state.
//!
//! Decisions are pure and public: [`quorum_contact`] (may this member answer from memory),
//! [`heartbeat_tracker`], [`failure_detector`] and [`instance_liveness`] (which instances live), [`admission`] (who
//! becomes a member), [`store_liveness`] (which store is unavailable). All else is I/O around them.
//!
//! # Shutdown and cancellation
//!
//! [`run`] owns the tasks of the role and cancels them when it returns or is dropped. Cancellation is safe at
//! every await: a reply is sent only after what it promises is on the disk, so that a cancelled task leaves a
//! call without an answer, never with a wrong one. Tasks started for one call or one connection belong to the
//! process's `LocalSet` and end with it.
#![warn(missing_docs)]

mod acceptor_log;
mod admin_server;
mod admin_service;
pub mod admission;
mod commit_learner;
mod commit_repair;
mod durable_acceptor;
pub mod failure_detector;
pub mod heartbeat_tracker;
mod heartbeats;
pub mod instance_liveness;
mod instance_monitor;
mod member;
mod membership_change;
mod messages;
mod peer_exchange;
mod peer_service;
mod proposer;
pub mod quorum_contact;
mod reply;
mod store_health;
pub mod store_liveness;
mod store_ping;
mod store_registry;
mod tombstones;
mod watch_service;

use log::info;
use member::Member;
use pointcross_tier_protocol::settings::{InternalPort, Settings};
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::network::Listener;
use pointcross_tier_runtime::process::Stop;
use pointcross_tier_runtime::role::{self, RoleError, SignalsSnafu};
use pointcross_tier_runtime::{reload, rpc};
use snafu::ResultExt;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::task::JoinSet;

/// Serves until SIGTERM; see the crate's documentation for what happens to its tasks then.
///
/// # Errors
/// A setting that is missing, a data folder, an address or a signal handler that can't be had.
pub async fn run(settings: Settings, environment: Environment, stop: Stop) -> Result<(), RoleError> {
    let admin_address =
        role::required_address(settings.listen_addrs.control_addr, "ListenAddrs.ControlAddr", "control")?;
    let member = Member::open(settings, environment.clone())?;
    let listeners = Listeners::open(&member, admin_address)?;
    let _tasks = spawn_tasks(&member, listeners);
    info!("control member serving: address={admin_address}");
    stop.await.context(SignalsSnafu)
}

/// The listening sockets of a member.
struct Listeners {
    /// Calls of other members.
    peers: Box<dyn Listener>,
    /// Watches of agents, and calls of stores.
    watchers: Box<dyn Listener>,
    /// HTTP of the operator and of instances.
    admin: Box<dyn Listener>,
}

impl Listeners {
    fn open(member: &Member, admin_address: SocketAddrV4) -> Result<Self, RoleError> {
        let listen = |address| role::listen(&member.environment, address);
        let peers = listen(member.settings.internal_address(InternalPort::Member))?;
        let watchers = listen(member.settings.internal_address(InternalPort::Control))?;
        let admin = listen(admin_address)?;
        Ok(Listeners { peers, watchers, admin })
    }
}

/// Starts the tasks of a member. They run until the set is dropped.
fn spawn_tasks(member: &Rc<Member>, listeners: Listeners) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let this = member.clone();
    tasks.spawn_local(rpc::serve(listeners.peers, move |call| peer_service::answer(this.clone(), call)));
    let this = member.clone();
    tasks.spawn_local(rpc::serve(listeners.watchers, move |call| watch_service::answer(this.clone(), call)));
    tasks.spawn_local(admin_server::serve(member.clone(), listeners.admin));
    tasks.spawn_local(peer_exchange::run(member.clone()));
    tasks.spawn_local(store_health::monitor(member.clone()));
    let seeds = reload::seeds(&member.environment, &member.settings, InternalPort::Member);
    tasks.spawn_local(membership_change::request_membership(member.clone(), seeds));
    tasks.spawn_local(instance_monitor::run(member.clone()));
    tasks
}

//! Runs one scheduler's part of the coordination: consensus, failure detection, the HTTP service, and the
//! loop that follows the maintenance plan. No decision is made here: see [`crate::maintenance::decide`].
//!
//! Everything runs inside the future of [`Bound::run`] and ends when that is dropped, but for the tasks of
//! `openraft`, of open connections and of SWIM messages in flight; those end with the runtime. The log and
//! the vote are on disk before they count, so that an end at any moment is safe.

mod http;
mod local_actions;
mod peers;
mod plan_loop;

pub use local_actions::LocalActions;
pub use peers::{Peers, PlanReport};

use crate::consensus::network::PeerNetwork;
use crate::consensus::state_file::StateError;
use crate::consensus::storage::Store;
use crate::consensus::{Raft, SNAPSHOT_INTERVAL};
use crate::settings::PeerSettings;
use crate::swim::PeerStates;
use crate::wire::Caller;
use bytes::Bytes;
use openraft::{BasicNode, SnapshotPolicy};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// SWIM messages that may wait to be handled; one more is dropped, as a congested network would.
const SWIM_QUEUE_SIZE: usize = 256;

/// Why the coordination could not be started; names the key of the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The state file.
    #[error("maintenance.state: {0}")]
    State(#[from] StateError),
    /// The listener.
    #[error("maintenance.listen: cannot listen there: {0}")]
    Listen(io::Error),
    /// The consensus: a configuration that does not hold together, or a storage error.
    #[error("maintenance: {0}")]
    Consensus(Box<dyn std::error::Error + Send + Sync>),
}

/// A member with its listener bound, ready to run.
pub struct Bound {
    peers: Arc<Peers>,
    listener: TcpListener,
    swim_messages: mpsc::Receiver<Bytes>,
    peer_states: watch::Sender<PeerStates>,
}

impl Bound {
    /// Binds the listener, opens the state file and starts the consensus.
    ///
    /// # Errors
    /// [`StartError`], naming the key.
    pub async fn start(settings: PeerSettings) -> Result<Self, StartError> {
        let listener = TcpListener::bind(settings.listen).await.map_err(StartError::Listen)?;
        let store = Store::open(&settings.state)?;
        let plan = store.plan();
        let caller = Caller::default();
        let raft = start_consensus(&settings, caller.clone(), store).await?;
        let (sender, swim_messages) = mpsc::channel(SWIM_QUEUE_SIZE);
        let (peer_states, watched_states) = watch::channel(PeerStates::new());
        let peers =
            Peers { settings, raft, plan, peer_states: watched_states, swim_messages: sender, caller };
        Ok(Bound { peers: Arc::new(peers), listener, swim_messages, peer_states })
    }

    /// The storage nodes that were drained when this scheduler last knew the plan: nothing may be sent to
    /// them from the start on.
    pub fn cordoned_nodes(&self) -> BTreeSet<String> {
        self.peers.plan.borrow().cordoned_nodes()
    }

    /// The running member, for the admin API.
    pub fn peers(&self) -> Arc<Peers> {
        self.peers.clone()
    }

    /// Serves the other schedulers and follows the plan for as long as the program runs. Dropped, it stops
    /// both and takes no action back: a machine that is drained stays drained.
    pub async fn run(self, actions: Arc<dyn LocalActions>) {
        let Bound { peers, listener, swim_messages, peer_states } = self;
        let swim = crate::swim::run(peers.settings.clone(), peers.caller.clone(), swim_messages, peer_states);
        tokio::join!(swim, http::serve(listener, peers.clone()), plan_loop::run(&peers, &*actions));
    }
}

async fn start_consensus(settings: &PeerSettings, caller: Caller, store: Store) -> Result<Raft, StartError> {
    let election_ms = settings.election.as_millis() as u64;
    let config = openraft::Config {
        cluster_name: "pointcross".into(),
        heartbeat_interval: (election_ms / 5).max(10),
        election_timeout_min: election_ms,
        election_timeout_max: election_ms * 2,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_INTERVAL),
        max_in_snapshot_log_to_keep: SNAPSHOT_INTERVAL / 4,
        ..openraft::Config::default()
    };
    let config = config.validate().map_err(|error| StartError::Consensus(error.into()))?;
    let addresses = settings.peers.iter().map(|peer| peer.address).collect();
    let network = PeerNetwork { caller, addresses };
    let raft = Raft::new(settings.me as u64, Arc::new(config), network, store.clone(), store).await;
    let raft = raft.map_err(|error| StartError::Consensus(error.into()))?;
    // Every scheduler initializes the same members, whichever is first. One that has a log already rejects
    // this, which leaves its members as they are.
    let members: BTreeMap<u64, BasicNode> =
        (0u64..).zip(&settings.peers).map(|(id, peer)| (id, BasicNode::new(&peer.name))).collect();
    let _ = raft.initialize(members).await;
    Ok(raft)
}

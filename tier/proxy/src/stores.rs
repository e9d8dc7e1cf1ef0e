//! Calls to the stores, and what this proxy knows of their availability.
//!
//! Guarantees that "no such turn" is never concluded while stores that may have the turn can't be read
//! ([`Stores::may_have_unreadable_turns`]), and that a store that doesn't answer delays few requests: it is
//! asked last for a while.

use log::debug;
use pointcross_tier_protocol::messages::{StoreCall, StoreReply};
use pointcross_tier_protocol::{Directory, Settings, StoreEntry, StoreId, StoreState};
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::rpc::Peer;
use pointcross_tier_runtime::watch::ReplicatedView;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A store that did not answer a call is asked last for so long.
const DEPRIORITIZED_FOR: Duration = Duration::from_millis(1500);
/// Addresses with a connection; beyond that all are closed and opened anew on use.
const MAX_PEERS: usize = 256;

/// The stores, as this proxy reaches them.
pub struct Stores {
    environment: Environment,
    view: Rc<ReplicatedView>,
    /// This proxy's zone.
    pub zone: String,
    /// Replicas that a turn needs: one more than stores may be lost.
    pub replicas_per_turn: usize,
    /// Stores that share a program's budget.
    pub stores_per_budget: usize,
    /// Since when stores are known to be unavailable, each disk by itself. Bounded by the directory, which
    /// limits the stores it lists.
    unavailable_since: RefCell<BTreeMap<StoreId, Instant>>,
    peers: RefCell<BTreeMap<SocketAddrV4, Rc<Peer>>>,
    deprioritized_until: RefCell<BTreeMap<SocketAddrV4, Instant>>,
}

impl Stores {
    /// The stores that the view's directory lists.
    pub fn new(environment: &Environment, view: Rc<ReplicatedView>, settings: &Settings) -> Self {
        Stores {
            environment: environment.clone(),
            view,
            zone: settings.zone.clone(),
            replicas_per_turn: settings.fault_tolerance.copies(),
            stores_per_budget: settings.fault_tolerance.members(),
            unavailable_since: RefCell::default(),
            peers: RefCell::default(),
            deprioritized_until: RefCell::default(),
        }
    }

    /// The newest directory that the agent has sent.
    pub fn directory(&self) -> Arc<Directory> {
        self.view.read(|view| view.directory().clone())
    }

    fn peer(&self, address: SocketAddrV4) -> Rc<Peer> {
        let mut peers = self.peers.borrow_mut();
        if peers.len() > MAX_PEERS {
            peers.clear();
        }
        peers.entry(address).or_insert_with(|| Peer::new(&self.environment, address)).clone()
    }

    /// Calls a store. `None` where no reply came within the timeout: the call may have been executed.
    pub async fn call(
        &self,
        address: SocketAddrV4,
        call: &StoreCall,
        timeout: Duration,
    ) -> Option<StoreReply> {
        match self.peer(address).call(call, timeout).await {
            Ok(reply) => {
                self.deprioritized_until.borrow_mut().remove(&address);
                Some(reply)
            }
            Err(error) => {
                debug!("store call failed: {error}");
                self.deprioritized_until.borrow_mut().insert(address, Instant::now() + DEPRIORITIZED_FOR);
                None
            }
        }
    }

    /// Whether a turn may be only on stores that can't be read.
    ///
    /// A turn has [`Stores::replicas_per_turn`] replicas and is retained for `retention` at most. So it may
    /// be hidden only where at least as many stores are unavailable, each for less than the retention: a
    /// store that was lost before that can have no turn that is still retained.
    pub fn may_have_unreadable_turns(&self, directory: &Directory, retention: Duration) -> bool {
        let now = Instant::now();
        let is_unavailable =
            |id: &StoreId| directory.store(id).is_some_and(|store| store.state == StoreState::Unavailable);
        let mut unavailable_since = self.unavailable_since.borrow_mut();
        unavailable_since.retain(|id, _| is_unavailable(id));
        for store in directory.stores.iter().filter(|store| store.state == StoreState::Unavailable) {
            unavailable_since.entry(store.id.clone()).or_insert(now);
        }
        let lost = unavailable_since.values();
        let hiding = lost.filter(|since| now.saturating_duration_since(**since) < retention);
        hiding.count() >= self.replicas_per_turn
    }

    /// Moves the stores that did not answer lately to the end; otherwise their order stays.
    pub fn sort_unresponsive_last(&self, stores: &mut [StoreEntry]) {
        let deprioritized = self.deprioritized_until.borrow();
        let now = Instant::now();
        stores.sort_by_key(|store| deprioritized.get(&store.address).is_some_and(|until| *until > now));
    }
}

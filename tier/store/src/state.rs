//! The state of a store in memory, shared by its tasks on one thread.
//!
//! No borrow of its cells crosses an await, so the tasks can't disturb each other. The fence never falls:
//! reservations are rejected in epochs before [`Store::fenced_epoch`], however old the directory is that the
//! store has seen.

use crate::disk::Disk;
use crate::in_flight::InFlight;
use pointcross_tier_protocol::messages::BudgetsPosition;
use pointcross_tier_protocol::settings::InternalPort;
use pointcross_tier_protocol::{Settings, StoreEntry, StoreId, StoreState};
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::random;
use pointcross_tier_runtime::rpc::Peer;
use pointcross_tier_runtime::watch::{ReplicatedView, Seeds};
use pointcross_tier_sessions::{BudgetTable, TurnTable};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Turns may take one part in this many of the process's memory.
const MEMORY_DIVISOR: usize = 3;
/// Connections to other stores beyond which all are closed and made anew.
const MAX_PEERS: usize = 64;

/// The epoch of the stores for which this store's budgets are complete.
#[derive(Clone, Debug, Default)]
pub struct CompleteEpoch {
    /// The epoch.
    pub epoch: u64,
    /// The stores that were active in it.
    pub active: Vec<StoreId>,
}

/// A store.
pub struct Store {
    /// Its settings.
    pub settings: Settings,
    /// Its network and clocks.
    pub environment: Environment,
    /// Its disk's number; 0 until the disk is recovered.
    pub disk_number: u64,
    /// The number of this run of the process.
    pub incarnation: u64,
    /// The directory and the control members, as the watch reports them.
    pub view: Rc<ReplicatedView>,
    /// The turns.
    pub turns: RefCell<TurnTable>,
    /// The budgets.
    pub budgets: RefCell<BudgetTable>,
    /// The epoch for which the budgets are complete.
    pub complete_epoch: RefCell<CompleteEpoch>,
    /// No reservation is accepted in an epoch before this one. It never falls.
    pub fenced_epoch: Cell<u64>,
    /// Up to which position the budgets of other stores are merged.
    pub merged_positions: RefCell<BTreeMap<StoreId, BudgetsPosition>>,
    /// Budgets were merged that the disk did not accept: all have to be rewritten.
    pub has_unwritten_budgets: Cell<bool>,
    /// The newest epoch for which each other store has pulled the budgets.
    pub pulled_epochs: RefCell<BTreeMap<StoreId, u64>>,
    /// Control members that the settings name.
    pub seeds: RefCell<Option<Seeds>>,
    /// A planned stop has begun.
    pub is_stopping: Cell<bool>,
    /// Calls that are writing turns.
    pub turn_writes: InFlight,
    /// The disk.
    pub disk: Disk,
    /// Until when turns of an earlier disk may be asked for.
    pub uncertain_until: Cell<Option<Duration>>,
    started: Instant,
    max_turn_bytes: usize,
    peers: RefCell<BTreeMap<SocketAddrV4, Rc<Peer>>>,
}

impl Store {
    /// A store that has nothing in memory yet.
    pub fn new(settings: Settings, environment: Environment, disk: Disk) -> Self {
        let memory = settings.limits.memory_mb as usize * 1024 * 1024 / MEMORY_DIVISOR;
        let max_turn_bytes = memory.min(disk.capacity);
        Store {
            settings,
            environment,
            disk_number: 0,
            incarnation: random::unique(),
            view: ReplicatedView::new(),
            turns: RefCell::default(),
            budgets: RefCell::default(),
            complete_epoch: RefCell::default(),
            fenced_epoch: Cell::default(),
            merged_positions: RefCell::default(),
            has_unwritten_budgets: Cell::default(),
            pulled_epochs: RefCell::default(),
            seeds: RefCell::default(),
            is_stopping: Cell::new(false),
            turn_writes: InFlight::default(),
            disk,
            uncertain_until: Cell::new(None),
            started: Instant::now(),
            max_turn_bytes,
            peers: RefCell::default(),
        }
    }

    /// The time since this process started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Whether a turn that isn't stored certainly never was.
    pub fn has_full_history(&self) -> bool {
        self.uncertain_until.get().is_none_or(|until| self.now() > until)
    }

    /// Accepts no reservation in an epoch before this one from now on.
    pub fn fence(&self, epoch: u64) {
        self.fenced_epoch.set(self.fenced_epoch.get().max(epoch));
    }

    /// This store's id.
    pub fn id(&self) -> StoreId {
        StoreId { node: self.settings.node.clone(), disk: self.disk_number }
    }

    /// The entry that this store registers.
    pub fn entry(&self) -> StoreEntry {
        StoreEntry {
            id: self.id(),
            address: self.settings.internal_address(InternalPort::Store),
            zone: self.settings.zone.clone(),
            state: StoreState::Active,
        }
    }

    /// This store's state in the directory; `None` where it isn't listed.
    pub fn listed_state(&self) -> Option<StoreState> {
        let id = self.id();
        self.view.read(|view| view.directory().store(&id).map(|store| store.state))
    }

    /// The newest epoch of the stores that this store has seen.
    pub fn epoch(&self) -> u64 {
        self.view.read(|view| view.directory().store_epoch)
    }

    /// The connection to another store.
    pub fn peer(&self, address: SocketAddrV4) -> Rc<Peer> {
        let mut peers = self.peers.borrow_mut();
        if peers.len() > MAX_PEERS {
            peers.clear();
        }
        peers.entry(address).or_insert_with(|| Peer::new(&self.environment, address)).clone()
    }

    /// Whether there is capacity for more turns.
    pub fn has_capacity(&self) -> bool {
        self.turns.borrow().bytes() < self.max_turn_bytes
    }
}

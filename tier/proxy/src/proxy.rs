//! The state that all requests of a proxy share.

use crate::chain_cache::ChainCache;
use crate::queue::Queues;
use crate::stores::Stores;
use crate::upstream::ConnectionPool;
use pointcross_tier_protocol::Settings;
use pointcross_tier_routing::{AdmittedPrograms, RouteTable, Servers};
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::notify::ChangeNotifier;
use pointcross_tier_runtime::watch::{LatestReader, ReplicatedView};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Cached chains may take this fraction of the process's memory: one part in so many.
const CHAIN_CACHE_DIVISOR: usize = 8;

/// A proxy. It runs on one thread; no borrow of a cell lasts across an await.
pub struct Proxy {
    /// Its settings, read once at the start.
    pub settings: Settings,
    /// The directory and the instances, as its agent replicates them.
    pub view: Rc<ReplicatedView>,
    /// The routes of the active configuration; none before the first one.
    pub route_table: RefCell<Option<Rc<RouteTable>>>,
    /// Wakes requests that wait for the first configuration.
    route_table_changed: Notify,
    /// The servers: load, health and prefix caches as this proxy sees them.
    pub servers: RefCell<Servers>,
    /// Programs that were admitted lately.
    pub programs: RefCell<AdmittedPrograms>,
    /// Idle connections to servers.
    pub pool: ConnectionPool,
    /// Requests that wait for capacity at a server.
    pub queues: Rc<Queues>,
    /// The stores.
    pub stores: Stores,
    /// Reads the latest directory, before something is concluded from what the view does not have.
    pub latest: Rc<LatestReader>,
    /// Turns that were stored or read lately.
    pub chains: RefCell<ChainCache>,
    /// Set from SIGTERM on.
    pub draining: Cell<bool>,
    /// Notifies once no new requests are accepted.
    pub closing: Rc<ChangeNotifier>,
    /// Clients' connections that are open.
    pub open_connections: Cell<usize>,
    started: Instant,
}

impl Proxy {
    /// A proxy without configuration or instances.
    pub fn new(settings: Settings, environment: &Environment) -> Rc<Self> {
        let view = ReplicatedView::new();
        let cache_bytes = settings.limits.memory_mb as usize * 1024 * 1024 / CHAIN_CACHE_DIVISOR;
        Rc::new(Proxy {
            view: view.clone(),
            route_table: RefCell::default(),
            route_table_changed: Notify::new(),
            servers: RefCell::new(Servers::new(&settings.node, &settings.zone)),
            programs: RefCell::default(),
            pool: ConnectionPool::new(environment),
            queues: Rc::default(),
            latest: LatestReader::through_agent(environment, view.clone(), settings.feed_address()),
            stores: Stores::new(environment, view, &settings),
            chains: RefCell::new(ChainCache::new(cache_bytes)),
            draining: Cell::new(false),
            closing: ChangeNotifier::new(),
            open_connections: Cell::new(0),
            started: Instant::now(),
            settings,
        })
    }

    /// Milliseconds since the start: the clock of the routing decisions.
    pub fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// Makes a configuration's routes the active ones. Requests in flight go on with theirs.
    pub fn set_route_table(&self, route_table: RouteTable) {
        *self.route_table.borrow_mut() = Some(Rc::new(route_table));
        self.route_table_changed.notify_waiters();
    }

    /// The active routes; waits until `deadline` for the first ones.
    pub async fn wait_for_route_table(&self, deadline: Instant) -> Option<Rc<RouteTable>> {
        loop {
            let changed = self.route_table_changed.notified();
            if let Some(route_table) = self.route_table.borrow().clone() {
                return Some(route_table);
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return None;
            }
        }
    }

    /// Whether new connections are welcome: routes and instances are known, and it isn't draining.
    pub fn is_ready(&self) -> bool {
        let knows_servers = self.view.read(|view| view.instances().all().next().is_some());
        !self.draining.get() && self.route_table.borrow().is_some() && knows_servers
    }
}

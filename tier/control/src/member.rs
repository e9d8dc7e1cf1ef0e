//! The state of a control member, shared by its tasks.
//!
//! Guarantees that the committed value and group known here only move forward: to a higher ballot, to a later
//! epoch. All changes pass through the methods of [`Member`], which also wake the exchange with the other
//! members.

use crate::durable_acceptor::{DurableAcceptor, OpenedAcceptor};
use crate::heartbeat_tracker::HeartbeatTracker;
use crate::quorum_contact::{LocalState, PeerReport, QuorumContact};
use crate::tombstones::{OpenedTombstones, Tombstones};
use log::info;
use pointcross_tier_instances::ClusterView;
use pointcross_tier_protocol::settings::InternalPort;
use pointcross_tier_protocol::{Directory, Instance, InstanceState, Settings};
use pointcross_tier_register::{Ballot, Group, MemberId, Value};
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use pointcross_tier_runtime::notify::ChangeNotifier;
use pointcross_tier_runtime::random;
use pointcross_tier_runtime::role::RoleError;
use pointcross_tier_runtime::role::{SettingsSnafu, StorageSnafu};
use pointcross_tier_runtime::rpc::Peer;
use pointcross_tier_runtime::watch::ReplicatedView;
use snafu::ResultExt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The maximum number of connections to other members and to stores; machines come and go under new
/// addresses.
const MAX_PEERS: usize = 512;

/// A control member.
pub struct Member {
    /// Its settings.
    pub settings: Settings,
    /// Its network, disk and clocks.
    pub environment: Environment,
    /// The number of this run of the process; also its number as a proposer.
    pub incarnation: u64,
    /// Its acceptor.
    pub acceptor: Rc<DurableAcceptor>,
    /// The tombstones on its disk.
    pub tombstones: Tombstones,
    /// The committed directory and the instances, as watchers get them.
    pub replicated_view: Rc<ReplicatedView>,
    /// Serializes this member's proposals, which would preempt each other.
    pub proposal_lock: tokio::sync::Mutex<()>,
    /// Wakes the exchange with other members.
    pub state_changed: Rc<ChangeNotifier>,
    /// Signals each report of another member.
    pub report_received: Notify,
    group: RefCell<Group>,
    committed: RefCell<Option<(Ballot, Value<Directory>)>>,
    quorum_contact: RefCell<QuorumContact>,
    connections: RefCell<BTreeMap<SocketAddrV4, Rc<Peer>>>,
    /// The instances whose heartbeats this member receives.
    pub heartbeats: RefCell<HeartbeatTracker>,
    /// Whether a change of members that this member started is running.
    pub membership_change_running: Cell<bool>,
}

impl Member {
    /// Opens a member's data folder.
    pub fn open(settings: Settings, environment: Environment) -> Result<Rc<Self>, RoleError> {
        let seeds = settings.seed_addresses(InternalPort::Member);
        let own_address = settings.internal_address(InternalPort::Member);
        let initial_group = Group::initial(&seeds);
        let is_initial = (settings.bootstrap || is_injected(InjectedFault::VoteUnderOldName))
            && seeds.contains(&own_address);
        let first_value = is_initial.then(|| first_value(&initial_group));
        let data = settings.data_folder("control").context(SettingsSnafu)?;
        let OpenedTombstones { tombstones, recovered } =
            Tombstones::open(&data.join("endings"), &environment).context(StorageSnafu)?;
        let disk_mb = settings.limits.disk_mb;
        let OpenedAcceptor { acceptor, group } =
            DurableAcceptor::open(&data.join("register"), disk_mb, first_value, &environment)
                .context(StorageSnafu)?;
        let group = group.unwrap_or_else(|| startup_group(settings.bootstrap, initial_group));
        info!("member opened: address={own_address} disk={:x} members={:?}", acceptor.disk(), group.members);
        let replicated_view = ReplicatedView::new();
        replicated_view.change(|view| merge_recovered(view, recovered));
        replicated_view.change(|view| view.adopt_members(group.epoch, watch_addresses(&settings, &group)));
        Ok(Rc::new(Member {
            settings,
            environment,
            incarnation: random::unique(),
            acceptor: Rc::new(acceptor),
            tombstones,
            replicated_view,
            proposal_lock: tokio::sync::Mutex::new(()),
            state_changed: ChangeNotifier::new(),
            report_received: Notify::new(),
            group: RefCell::new(group),
            committed: RefCell::default(),
            quorum_contact: RefCell::default(),
            connections: RefCell::default(),
            heartbeats: RefCell::default(),
            membership_change_running: Cell::new(false),
        }))
    }

    /// This member's id: its address and the number of its disk.
    pub fn id(&self) -> MemberId {
        let address = self.settings.internal_address(InternalPort::Member);
        MemberId { address, disk: self.acceptor.disk() }
    }

    /// The newest group known to be committed.
    pub fn group(&self) -> Group {
        self.group.borrow().clone()
    }

    /// Whether this process is a member of that group.
    pub fn is_member(&self) -> bool {
        self.group.borrow().contains(&self.id())
    }

    /// Learns a committed group; one that is older than the known one is ignored.
    pub fn learn_group(&self, group: &Group) {
        if group.supersedes(&self.group.borrow()) {
            info!("membership committed: epoch={} members={:?}", group.epoch, group.members);
            *self.group.borrow_mut() = group.clone();
            self.quorum_contact.borrow_mut().retain_members(&group.members.iter().copied().collect());
            self.replicated_view
                .change(|view| view.adopt_members(group.epoch, watch_addresses(&self.settings, group)));
            self.wake_exchange();
        }
    }

    /// The newest value known to be committed, with its ballot.
    pub fn committed(&self) -> Option<(Ballot, Value<Directory>)> {
        self.committed.borrow().clone()
    }

    /// The ballot of that value.
    pub fn committed_ballot(&self) -> Option<Ballot> {
        self.committed.borrow().as_ref().map(|(ballot, _)| *ballot)
    }

    /// Learns a committed value; one that is not newer than the known one is ignored.
    pub fn learn_committed(&self, ballot: Ballot, value: Value<Directory>) {
        if self.committed_ballot().is_some_and(|known| known >= ballot) {
            return;
        }
        self.learn_group(&value.group);
        let directory = value.state.clone();
        *self.committed.borrow_mut() = Some((ballot, value));
        self.replicated_view.change(|view| view.adopt_directory(directory));
        self.wake_exchange();
    }

    /// Wakes the exchange with the other members.
    pub fn wake_exchange(&self) {
        self.state_changed.notify();
    }

    /// The connection to another member or a store.
    pub fn peer(&self, address: SocketAddrV4) -> Rc<Peer> {
        let mut connections = self.connections.borrow_mut();
        if connections.len() > MAX_PEERS {
            connections.clear();
        }
        connections.entry(address).or_insert_with(|| Peer::new(&self.environment, address)).clone()
    }

    /// Records another member's report.
    pub fn record_report(&self, from: MemberId, report: PeerReport) {
        self.quorum_contact.borrow_mut().record_report(from, report);
        self.refresh_quorum_contact();
        self.report_received.notify_waiters();
    }

    /// Records that a call to a member failed, or that a process with another disk answered at its address.
    pub fn record_failure(&self, member: MemberId) {
        self.quorum_contact.borrow_mut().record_failure(member, Instant::now());
    }

    /// Whether another member has answered within the freshness period.
    pub fn is_reachable(&self, member: &MemberId) -> bool {
        self.quorum_contact.borrow().is_reachable(member, Instant::now())
    }

    /// The other members to which calls have failed for at least this time.
    pub fn unreachable_members(&self, time: Duration) -> Vec<MemberId> {
        let (own_id, now) = (self.id(), Instant::now());
        let quorum_contact = self.quorum_contact.borrow();
        let is_failing =
            |other: &MemberId| *other != own_id && quorum_contact.is_failing_for(other, now, time);
        self.group.borrow().members.iter().copied().filter(is_failing).collect()
    }

    /// Whether this member may answer from memory.
    pub fn has_fresh_quorum(&self) -> bool {
        self.with_local_state(|quorum_contact, local| quorum_contact.has_fresh_quorum(local, Instant::now()))
    }

    /// Whether this member knows all that was committed before `since`.
    pub fn is_up_to_date_since(&self, since: Instant) -> bool {
        self.with_local_state(|quorum_contact, local| {
            quorum_contact.is_up_to_date_since(local, since, Instant::now())
        })
    }

    /// Whether a majority has this member's instances up to a revision.
    pub fn majority_has_instances(&self, revision: u64) -> bool {
        self.with_local_state(|quorum_contact, local| quorum_contact.majority_has_instances(local, revision))
    }

    /// Records which members have nothing newer than this one; to be called before its acceptor's state
    /// changes.
    pub fn refresh_quorum_contact(&self) {
        self.with_local_state(|quorum_contact, local| quorum_contact.refresh(local, Instant::now()));
    }

    fn with_local_state<T>(&self, apply: impl FnOnce(&mut QuorumContact, LocalState<'_>) -> T) -> T {
        let (group, accepted_group) = (self.group(), self.acceptor.accepted_group());
        let local = LocalState {
            id: self.id(),
            group: &group,
            committed: self.committed_ballot(),
            accepted: self.acceptor.accepted_ballot(),
            accepted_group: accepted_group.as_ref(),
        };
        apply(&mut self.quorum_contact.borrow_mut(), local)
    }
}

/// The register's first value, which the initial members have without a proposal.
fn first_value(group: &Group) -> Value<Directory> {
    Value { group: group.clone(), previous_group: group.clone(), state: Directory::default() }
}

/// The group of a member whose disk has none. Only at the system's first start are the seeds the members;
/// later they may be others, or fewer.
fn startup_group(bootstrap: bool, initial_group: Group) -> Group {
    if bootstrap { initial_group } else { Group::unknown() }
}

/// Merges the instances of the tombstones on the disk. One that was draining is merged as terminated: to
/// proxies both mean that it takes no new requests, and terminated instances are removed in time.
fn merge_recovered(view: &mut ClusterView, recovered: Vec<Instance>) -> bool {
    let mut changed = false;
    for instance in recovered {
        changed |= view.instances_mut().merge(Instance { state: InstanceState::Terminated, ..instance });
    }
    changed
}

/// The addresses at which watchers reach these members.
fn watch_addresses(settings: &Settings, group: &Group) -> Vec<SocketAddrV4> {
    let port = settings.internal_port(InternalPort::Control);
    group.members.iter().map(|member| SocketAddrV4::new(*member.address.ip(), port)).collect()
}

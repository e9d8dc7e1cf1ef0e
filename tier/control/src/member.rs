//! What a control member holds, and what it knows to be in force.

use crate::ControlFault;
use crate::silence::Heard;
use crate::voter::{Opened, Voter};
use crate::{SettingsSnafu, StorageSnafu};
use log::info;
use pointcross_tier_protocol::settings::InternalPort;
use pointcross_tier_protocol::{Directory, Settings};
use pointcross_tier_register::{Ballot, Group, MemberId, Value};
use pointcross_tier_runtime::defect::{Defect, is_in};
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::follow::SharedView;
use pointcross_tier_runtime::random;
use pointcross_tier_runtime::rpc::Peer;
use snafu::ResultExt;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// A member counts as reached for so long after it last answered.
const REACHED_FOR: Duration = Duration::from_millis(700);
/// Connections to other members and to stores that are kept; machines come and go under new addresses.
const MOST_PEERS: usize = 512;

/// What is known of the exchange with another member.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exchange {
    /// When it last answered.
    pub answered: Option<Instant>,
    /// The life that answered.
    pub source: u64,
    /// How far it has this member's instances.
    pub instances_revision: u64,
}

/// A control member.
pub struct Member {
    /// Its settings.
    pub settings: Settings,
    /// Its network and clocks.
    pub environment: Environment,
    /// Tells this life of the process from others, also as a proposer.
    pub life: u64,
    /// Its voting half.
    pub voter: Voter,
    /// What it knows to be in force, and the instances.
    pub shared: Rc<SharedView>,
    /// Proposals of this member wait for each other.
    pub proposing: tokio::sync::Mutex<()>,
    /// Wakes the exchange with other members.
    pub nudge: watch::Sender<u64>,
    /// Signals each answer of another member.
    pub answered: Notify,
    group: RefCell<Group>,
    in_force: RefCell<Option<(Ballot, Value<Directory>)>>,
    exchanges: RefCell<BTreeMap<SocketAddrV4, Exchange>>,
    peers: RefCell<BTreeMap<SocketAddrV4, Rc<Peer>>>,
    /// When instances were heard here.
    pub heard: RefCell<Heard>,
    /// A change of members is under way.
    pub changing_members: Cell<bool>,
}

impl Member {
    /// Opens a member's data folder.
    pub fn open(settings: Settings, environment: Environment) -> Result<Rc<Self>, ControlFault> {
        let seeds = settings.seed_addresses(InternalPort::Member);
        let own = settings.internal_address(InternalPort::Member);
        let first_group = Group::first(&seeds);
        let is_first = (settings.bootstrap || is_in(Defect::VoteUnderOldName)) && seeds.contains(&own);
        let first_value = is_first.then(|| Value {
            group: first_group.clone(),
            previous_group: first_group.clone(),
            state: Directory::default(),
        });
        let folder = settings.data_folder("control").context(SettingsSnafu)?.join("register");
        let Opened { voter, group } =
            Voter::open(&folder, settings.limits.disk_mb, first_value, environment.worker_mode)
                .context(StorageSnafu)?;
        let group = group.unwrap_or(first_group);
        info!("member {own} with disk {:x}; members {:?}", voter.disk(), group.members);
        Ok(Rc::new(Member {
            settings,
            environment,
            life: random::unique(),
            voter,
            shared: SharedView::new(),
            proposing: tokio::sync::Mutex::new(()),
            nudge: watch::channel(0).0,
            answered: Notify::new(),
            group: RefCell::new(group),
            in_force: RefCell::default(),
            exchanges: RefCell::default(),
            peers: RefCell::default(),
            heard: RefCell::default(),
            changing_members: Cell::new(false),
        }))
    }

    /// This member, as the register names it.
    pub fn id(&self) -> MemberId {
        let address = self.settings.internal_address(InternalPort::Member);
        MemberId { address, disk: self.voter.disk() }
    }

    /// The newest group known to be in force.
    pub fn group(&self) -> Group {
        self.group.borrow().clone()
    }

    /// Whether this process votes.
    pub fn is_member(&self) -> bool {
        self.group.borrow().contains(&self.id())
    }

    /// Takes note of a group that is in force.
    pub fn learn_group(&self, group: &Group) {
        if group.epoch > self.group.borrow().epoch {
            info!("members in force, epoch {}: {:?}", group.epoch, group.members);
            *self.group.borrow_mut() = group.clone();
            self.wake_exchange();
        }
    }

    /// The newest value known to be in force.
    pub fn in_force(&self) -> Option<(Ballot, Value<Directory>)> {
        self.in_force.borrow().clone()
    }

    /// Its ballot.
    pub fn in_force_ballot(&self) -> Option<Ballot> {
        self.in_force.borrow().as_ref().map(|(ballot, _)| *ballot)
    }

    /// Takes note of a value that is in force.
    pub fn learn_in_force(&self, ballot: Ballot, value: Value<Directory>) {
        if self.in_force_ballot().is_some_and(|known| known >= ballot) {
            return;
        }
        self.learn_group(&value.group);
        let members = self.follow_addresses(&value.group);
        let state = value.state.clone();
        *self.in_force.borrow_mut() = Some((ballot, value));
        self.shared.change(|view| view.adopt_directory(state, members));
        self.wake_exchange();
    }

    fn follow_addresses(&self, group: &Group) -> Vec<SocketAddrV4> {
        let port = self.settings.internal_port(InternalPort::Control);
        group.members.iter().map(|member| SocketAddrV4::new(*member.address.ip(), port)).collect()
    }

    /// Wakes the exchange with the other members.
    pub fn wake_exchange(&self) {
        self.nudge.send_modify(|count| *count += 1);
    }

    /// The connection to another member.
    pub fn peer(&self, address: SocketAddrV4) -> Rc<Peer> {
        let mut peers = self.peers.borrow_mut();
        if peers.len() > MOST_PEERS {
            peers.clear();
        }
        peers.entry(address).or_insert_with(|| Peer::new(&self.environment, address)).clone()
    }

    /// What is known of the exchange with another member.
    pub fn exchange(&self, address: SocketAddrV4) -> Exchange {
        self.exchanges.borrow().get(&address).copied().unwrap_or_default()
    }

    /// Takes note of an exchange.
    pub fn set_exchange(&self, address: SocketAddrV4, exchange: Exchange) {
        self.exchanges.borrow_mut().insert(address, exchange);
        self.answered.notify_waiters();
    }

    /// Whether another member answered lately.
    pub fn reached(&self, address: SocketAddrV4) -> bool {
        self.exchange(address).answered.is_some_and(|at| at.elapsed() < REACHED_FOR)
    }

    /// The members for which something holds; this one always counts.
    fn members_that(&self, holds: impl Fn(SocketAddrV4) -> bool) -> BTreeSet<MemberId> {
        let own = self.id();
        let group = self.group.borrow();
        group.members.iter().copied().filter(|member| *member == own || holds(member.address)).collect()
    }

    /// Whether this member is in touch with a majority and knows what is in force.
    pub fn in_touch(&self) -> bool {
        let reached = self.members_that(|address| self.reached(address));
        self.in_force.borrow().is_some() && self.group.borrow().has_majority(&reached)
    }

    /// Whether a majority has this member's instances up to a revision.
    pub fn majority_knows(&self, revision: u64) -> bool {
        let knowing = self.members_that(|address| self.exchange(address).instances_revision >= revision);
        self.group.borrow().has_majority(&knowing)
    }
}

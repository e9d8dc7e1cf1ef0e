//! A deployment: control members, stores, two proxies with their agents.

use crate::caller::{Caller, Turn};
use crate::client::Reply;
use crate::disk::SimulatedDisk;
use crate::machine::{CONTROL_PORT, MachinePlace, Process, start_roles};
use crate::network::World;
use crate::size::{Size, host, host_of};
use crate::timeline::Timeline;
use bytes::Bytes;
use http::Request;
use pointcross_tier_protocol::Settings;
use pointcross_tier_protocol::settings::SettingsError;
use pointcross_tier_runtime::environment::{Environment, SettingsSource, WallClock};
use pointcross_tier_runtime::network::{LocalFuture, Network};
use pointcross_tier_runtime::random;
use pointcross_tier_runtime::worker::{DiskPace, WorkerMode};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// A sync of a disk.
const SYNC: Duration = Duration::from_millis(5);

/// What the clocks of the day show at the beginning.
const FIRST_DAY_MS: u64 = 1_700_000_000_000;

/// The only service.
pub const SERVICE: &str = "engine";

/// Runs a scenario in virtual time, in one thread, with random numbers from this seed.
pub fn run<T>(seed: u64, scenario: impl Future<Output = T>) -> T {
    random::seed(seed);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime starts");
    LocalSet::new().block_on(&runtime, scenario)
}

/// Disks, in megabytes.
const DISK_MB: u64 = 64;
/// Control members that the settings name.
const SEEDS: u8 = 3;

struct Machine {
    class: &'static str,
    host: Ipv4Addr,
    folder: TempDir,
    disk: SimulatedDisk,
    pace: Rc<DiskPace>,
    clock_stepped_ms: Rc<Cell<i64>>,
    settings: Rc<SimulatedSettings>,
    bootstrap: bool,
    processes: Vec<Process>,
}

/// A machine's settings file.
struct SimulatedSettings {
    current: RefCell<Settings>,
    hangup: Notify,
}

impl SettingsSource for SimulatedSettings {
    fn read(&self) -> Result<Settings, SettingsError> {
        Ok(self.current.borrow().clone())
    }

    fn signalled(&self) -> LocalFuture<'_, ()> {
        Box::pin(self.hangup.notified())
    }
}

/// A deployment.
pub struct Cluster {
    /// Its network.
    pub world: World,
    /// What happened.
    pub timeline: Timeline,
    begun: Instant,
    size: Size,
    disk_mb: u64,
    seeds: Vec<SocketAddrV4>,
    machines: BTreeMap<String, Machine>,
    outside: Rc<dyn Network>,
}

impl Cluster {
    /// Starts a small deployment for the first time.
    pub fn start() -> Self {
        Cluster::start_sized(Size::SMALL)
    }

    /// Starts a small deployment with disks of so many megabytes.
    pub fn start_with_disks(disk_mb: u64) -> Self {
        Cluster::start_all(Size::SMALL, disk_mb)
    }

    /// Starts a deployment for the first time.
    pub fn start_sized(size: Size) -> Self {
        Cluster::start_all(size, DISK_MB)
    }

    fn start_all(size: Size, disk_mb: u64) -> Self {
        let world = World::new();
        let seeds = (1..=SEEDS).map(|number| SocketAddrV4::new(host("core", number), CONTROL_PORT)).collect();
        let outside = world.network(Ipv4Addr::new(10, 9, 0, 1));
        let mut cluster = Cluster {
            world,
            timeline: Timeline::new(),
            begun: Instant::now(),
            size,
            disk_mb,
            seeds,
            machines: BTreeMap::new(),
            outside,
        };
        for number in 1..=size.core.max(size.storage) {
            if number <= size.core {
                cluster.add("core", number, true);
            }
            if number <= size.storage {
                cluster.add("storage", number, true);
            }
        }
        for number in 1..=2 {
            cluster.add("front", number, true);
        }
        cluster
    }

    /// Adds a machine and starts it.
    pub fn add(&mut self, class: &'static str, number: u8, bootstrap: bool) {
        let name = format!("{class}-{number}");
        let folder = tempfile::tempdir().expect("a folder for a disk");
        let host = host(class, number);
        let place = MachinePlace {
            name: &name,
            host,
            folder: folder.path(),
            tolerated: self.size.tolerated,
            disk_mb: self.disk_mb,
        };
        let current = RefCell::new(place.settings(&self.seeds, bootstrap));
        let machine = Machine {
            class,
            host,
            folder,
            disk: SimulatedDisk::default(),
            pace: DiskPace::new(SYNC),
            clock_stepped_ms: Rc::default(),
            settings: Rc::new(SimulatedSettings { current, hangup: Notify::new() }),
            bootstrap,
            processes: Vec::new(),
        };
        self.machines.insert(name.clone(), machine);
        self.start_machine(&name);
    }

    fn settings(&self, name: &str) -> Settings {
        let machine = &self.machines[name];
        let folder = machine.folder.path();
        let place = MachinePlace {
            name,
            host: machine.host,
            folder,
            tolerated: self.size.tolerated,
            disk_mb: self.disk_mb,
        };
        place.settings(&self.seeds, machine.bootstrap)
    }

    fn start_machine(&mut self, name: &str) {
        let settings = self.settings(name);
        let machine = self.machines.get_mut(name).expect("a machine of the cluster");
        *machine.settings.current.borrow_mut() = settings.clone();
        let environment = Environment {
            network: self.world.network(machine.host),
            worker_mode: WorkerMode::Inline(machine.pace.clone()),
            device: Rc::new(machine.disk.clone()),
            settings: machine.settings.clone(),
            wall_clock: WallClock::Simulated {
                from_ms: FIRST_DAY_MS,
                since: self.begun,
                stepped_ms: machine.clock_stepped_ms.clone(),
            },
        };
        self.world.set_dark(machine.host, false);
        let processes = start_roles(machine.class, settings, environment);
        machine.processes = processes;
        machine.bootstrap = false;
        self.timeline.note(name, "starts");
    }

    /// The settings name other seeds from now on; the machines' files change, with a signal or without.
    pub fn turn_seeds_over(&mut self, seeds: &[&str], signalled: bool) {
        self.seeds = seeds.iter().map(|name| SocketAddrV4::new(host_of(name), CONTROL_PORT)).collect();
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            let settings = self.settings(&name);
            let source = &self.machines[&name].settings;
            *source.current.borrow_mut() = settings;
            if signalled {
                source.hangup.notify_waiters();
            }
        }
        self.timeline.note("settings", format!("seeds are {seeds:?}"));
    }

    /// Sends a machine's processes the signal that their settings have changed.
    pub fn hang_up(&mut self, name: &str) {
        self.machines[name].settings.hangup.notify_waiters();
        self.timeline.note(name, "gets SIGHUP");
    }

    /// Steps a machine's time of day.
    pub fn step_clock(&mut self, name: &str, by_ms: i64) {
        let stepped = &self.machines[name].clock_stepped_ms;
        stepped.set(stepped.get() + by_ms);
        self.timeline.note(name, format!("steps its clock by {by_ms} ms"));
    }

    /// What a batch takes on a machine's disk from now on.
    pub fn pace_disk(&mut self, name: &str, batch: Option<Duration>) {
        self.machines[name].pace.batch.set(batch.unwrap_or(SYNC));
        let told = batch.map_or("its disk is as fast as before".to_owned(), |batch| {
            format!("its disk takes {} ms", batch.as_millis())
        });
        self.timeline.note(name, told);
    }

    /// Lets a machine's disk stand still, or go on.
    pub fn stall_disk(&mut self, name: &str, stalled: bool) {
        self.machines[name].pace.stalled.set(stalled);
        self.timeline.note(name, if stalled { "its disk stalls" } else { "its disk goes on" });
    }

    /// A machine's disk.
    pub fn disk(&self, name: &str) -> SimulatedDisk {
        self.machines[name].disk.clone()
    }

    /// Resets half of a machine's connections.
    pub fn reset_connections(&mut self, name: &str) {
        self.world.reset_connections(self.machines[name].host);
        self.timeline.note(name, "its connections are reset");
    }

    fn end_processes(&mut self, name: &str) {
        let machine = self.machines.get_mut(name).expect("a machine of the cluster");
        machine.processes.drain(..).for_each(Process::kill);
    }

    /// Kills a machine's processes: their connections close.
    pub fn kill(&mut self, name: &str) {
        self.end_processes(name);
        self.timeline.note(name, "is killed");
    }

    /// Lets a machine's processes stand still.
    pub fn freeze(&mut self, name: &str) {
        self.machines[name].processes.iter().for_each(Process::freeze);
        self.timeline.note(name, "stands still");
    }

    /// Lets a machine's processes go on.
    pub fn thaw(&mut self, name: &str) {
        self.machines[name].processes.iter().for_each(Process::thaw);
        self.timeline.note(name, "goes on");
    }

    /// Takes a machine's power away: its connections hang.
    pub fn power_off(&mut self, name: &str) {
        self.world.set_dark(self.machines[name].host, true);
        self.end_processes(name);
        self.machines[name].disk.lose_power();
        self.timeline.note(name, "loses power");
    }

    /// Starts a machine again, with the disk that it had.
    pub fn restart(&mut self, name: &str) {
        self.start_machine(name);
    }

    /// Takes a machine's power and its disk away, and starts it again with an empty one.
    pub fn wipe(&mut self, name: &str) {
        self.end_processes(name);
        let machine = self.machines.get_mut(name).expect("a machine of the cluster");
        machine.folder = tempfile::tempdir().expect("a folder for a disk");
        machine.disk = SimulatedDisk::default();
        self.timeline.note(name, "loses its disk");
        self.start_machine(name);
    }

    /// Tells a machine's processes to stop.
    pub fn terminate(&mut self, name: &str) {
        let machine = self.machines.get_mut(name).expect("a machine of the cluster");
        machine.processes.iter_mut().for_each(Process::terminate);
        self.timeline.note(name, "is told to stop");
    }

    /// Whether a machine's processes run.
    pub fn runs(&self, name: &str) -> bool {
        !self.machines[name].processes.is_empty()
    }

    /// A machine's address.
    pub fn host(&self, name: &str) -> Ipv4Addr {
        self.machines[name].host
    }

    /// The address at which a control machine takes calls of instances and operators.
    pub fn control_address(&self, name: &str) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[name].host, CONTROL_PORT)
    }

    /// The control addresses of the first members.
    pub fn control_addresses(&self) -> Vec<SocketAddrV4> {
        self.seeds.clone()
    }

    /// Lets virtual time pass.
    pub async fn pass(&self, time: Duration) {
        tokio::time::sleep(time).await;
    }

    /// Cuts a machine off from all others that keep state: both ways, or what it says only.
    pub fn cut_off(&mut self, name: &str, both: bool) {
        let host = self.machines[name].host;
        let others =
            self.machines.values().filter(|machine| machine.class != "front" && machine.host != host);
        for other in others {
            self.world.cut(host, other.host);
            if both {
                self.world.cut(other.host, host);
            }
        }
        self.timeline.note(name, if both { "is cut off" } else { "is not heard" });
    }

    /// Cuts a machine off from each of these, both ways.
    pub fn cut_pairs(&mut self, name: &str, others: &[&str]) {
        let host = self.machines[name].host;
        for other in others.iter().map(|other| self.machines[*other].host) {
            self.world.cut(host, other);
            self.world.cut(other, host);
        }
        self.timeline.note(name, format!("is cut off from {others:?}"));
    }

    /// Cuts these machines off from all others that keep state; clients, proxies and operators reach both halves.
    pub fn cut_halves(&mut self, half: &[String]) {
        let (inside, outside): (Vec<&String>, Vec<&String>) = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.class != "front")
            .map(|(name, _)| name)
            .partition(|name| half.contains(name));
        for (one, other) in inside.iter().flat_map(|one| outside.iter().map(move |other| (one, other))) {
            let (one, other) = (self.machines[*one].host, self.machines[*other].host);
            self.world.cut(one, other);
            self.world.cut(other, one);
        }
        self.timeline.note("network", format!("{half:?} are cut from the others"));
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.world.heal();
        self.timeline.note("network", "is whole");
    }

    /// A caller from outside.
    pub fn caller(&self) -> Caller {
        Caller::new(self.outside.clone(), self.timeline.clone())
    }

    /// Sends a configuration with the sample routes to one member. Gives the status of its answer.
    pub async fn configure(&self, name: &str, base: u64, version: u64) -> Option<u16> {
        self.caller().configure(name, base, version).await
    }

    /// Calls a machine's control address as the operator.
    pub async fn control(&self, name: &str, request: Request<Bytes>) -> Option<Reply> {
        self.caller().control(name, request).await
    }

    /// Sends a request to a proxy as a program.
    pub async fn request(&self, name: &str, request: Request<Bytes>) -> Option<Reply> {
        self.caller().request(name, request).await
    }

    /// Takes a turn at a proxy, and notes it.
    pub async fn turn(&self, name: &str, turn: &Turn<'_>) -> Option<Reply> {
        self.caller().turn(name, turn).await
    }
}

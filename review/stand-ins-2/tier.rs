//! The project's own processes, started by the commands of the deploy file on loopback addresses.

use crate::http::{Call, wait_for};
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: i32) -> i32;
}

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

/// Figures of the small deployments.
pub const HEARTBEAT_MS: u64 = 1200;
pub const DRAIN_MS: u64 = 2000;
pub const RETENTION_S: u64 = 60;
pub const RECOVER_S: u64 = 12;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Core,
    Storage,
    Front,
}

/// A machine of the deployment.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub class: Class,
    pub host: Ipv4Addr,
    pub zone: String,
}

pub struct Tier {
    pub folder: PathBuf,
    pub first_port: u16,
    pub record: Record,
    net: (u8, u8),
    machines: BTreeMap<String, Machine>,
    processes: BTreeMap<String, Child>,
    seeds: Vec<SocketAddrV4>,
    commands: BTreeMap<&'static str, Vec<String>>,
}

impl Tier {
    /// A deployment without machines yet, in a folder of its own and on loopback addresses that nobody uses.
    pub fn new(folder: &Path, record: Record) -> Tier {
        let mut seed = std::process::id() as u64 ^ std::time::UNIX_EPOCH.elapsed().unwrap().as_nanos() as u64;
        let mut draw = |below: u64| {
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            (seed >> 33) % below
        };
        loop {
            let net = (1 + draw(250) as u8, 1 + draw(250) as u8);
            let first_port = 20_000 + 20 * draw(500) as u16;
            let mut tier = Tier {
                folder: folder.to_owned(),
                first_port,
                record: record.clone(),
                net,
                machines: BTreeMap::new(),
                processes: BTreeMap::new(),
                seeds: Vec::new(),
                commands: commands(),
            };
            let is_free = |port| TcpListener::bind(SocketAddrV4::new(tier.host(1), port)).is_ok();
            if (first_port..first_port + 20).all(is_free) {
                tier.seeds = (1..=3).map(|number| SocketAddrV4::new(tier.host(number), first_port + 12)).collect();
                return tier;
            }
        }
    }

    /// A loopback address of this deployment.
    pub fn host(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, number)
    }

    pub fn control(&self, name: &str) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[name].host, self.first_port + 12)
    }

    pub fn front(&self, name: &str) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[name].host, self.first_port + 10)
    }

    pub fn ready(&self, name: &str) -> SocketAddrV4 {
        SocketAddrV4::new(self.machines[name].host, self.first_port + 11)
    }

    /// Adds a machine and starts its process. `bootstrap`: at the first start of the whole system.
    pub fn add(&mut self, name: &str, class: Class, number: u8, zone: &str, bootstrap: bool) {
        let machine =
            Machine { name: name.to_owned(), class, host: self.host(number), zone: zone.to_owned() };
        self.machines.insert(name.to_owned(), machine);
        self.start(name, bootstrap);
    }

    /// Starts the process of a machine, with the settings of this moment.
    pub fn start(&mut self, name: &str, bootstrap: bool) {
        let machine = self.machines[name].clone();
        let role = match machine.class {
            Class::Core => "control",
            Class::Storage => "store",
            Class::Front => "proxy",
        };
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, self.settings(&machine, bootstrap)).expect("settings are written");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let log = log.expect("a log file");
        let command = &self.commands[role];
        let mut process = Command::new(&command[0]);
        // Sound: a single system call between fork and exec. The process ends with this one, however that ends.
        unsafe {
            process.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = process
            .args(&command[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("POINTCROSS_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a handle"))
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|error| {
            eprintln!("can't start {}: {error}", command[0]);
            std::process::exit(2);
        });
        self.record.note(format!("{name}: started, {}", command[1..].join(" ")));
        self.processes.insert(name.to_owned(), child);
    }

    fn settings(&self, machine: &Machine, bootstrap: bool) -> String {
        let Machine { name, class, host, zone } = machine;
        let port = self.first_port;
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (class, serves, listen, disk, counts) = match class {
            Class::Core => ("core", "control", format!("ControlAddr = \"{host}:{}\"", port + 12), 128, true),
            Class::Storage => ("storage", "storage", String::new(), 300, true),
            Class::Front => (
                "front",
                "front",
                format!("FrontAddr = \"{host}:{}\"\nReadyAddr = \"{host}:{}\"", port + 10, port + 11),
                0,
                false,
            ),
        };
        let data = match disk {
            0 => String::new(),
            _ => format!("DataDir = \"{}\"\n", self.folder.join("data").join(name).display()),
        };
        format!(
            "Node = \"{name}\"\nRole = \"my-{class}\"\nMachineClass = \"{class}\"\nServes = [\"{serves}\"]\n\
             BindIp = \"{host}\"\nZone = \"{zone}\"\nRegion = \"r\"\nPortRange = [{port},{last}]\n\
             SeedNodes = [{seeds}]\nBootstrap = {bootstrap}\nCountsForQuorum = {counts}\n{data}\
             Discovery = \"registry\"\nEntryKind = \"virtual_ip\"\nHeartbeatMs = {HEARTBEAT_MS}\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\"]\n\
             [Zones]\nzone-a = \"r\"\nzone-b = \"r\"\nzone-c = \"r\"\n[ListenAddrs]\n{listen}\n\
             [Limits]\nCpuShare = 0.5\nCpuCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\n\
             DiskMb = {disk}\n[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nTouchMs = 3000\nAckMs = 4000\nCatchUpS = 4.1\n\
             DrainMs = {DRAIN_MS}\nDrainGraceS = 8\nLossSlackMs = 200\nConfigMs = 2000\nRollbackSlackMs = 250\n\
             MaxStretchMs = 5000\nRecoverS = {RECOVER_S}\npass_ms = 120\nagain_s = 0\nFinishS = 10\nSettleMs = 1000\n",
            last = port + 9,
            seeds = seeds.join(","),
        )
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, name: &str, signal: i32) {
        let pid = self.processes[name].id() as i32;
        // Sound: it is a child that was not waited for, so that the id is still its own.
        unsafe { kill(pid, signal) };
        let what = match signal {
            SIGSTOP => "frozen (SIGSTOP)",
            SIGCONT => "thawed (SIGCONT)",
            SIGTERM => "SIGTERM",
            _ => "signal",
        };
        self.record.note(format!("{name}: {what}"));
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.processes.remove(name) {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(format!("{name}: killed"));
        }
    }

    /// Empties the disk of a machine whose process was killed.
    pub fn wipe(&self, name: &str) {
        let _ = std::fs::remove_dir_all(self.folder.join("data").join(name));
        self.record.note(format!("{name}: its disk is lost"));
    }

    /// The seeds that the settings name from now on, for processes that are started later.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// A planned restart: SIGTERM, and a new process with the settings of this moment once the old one has ended.
    pub fn restart(&mut self, name: &str) {
        self.signal(name, SIGTERM);
        let mut child = self.processes.remove(name).expect("a process that was started");
        let has_ended = wait_for(Duration::from_secs(8), || matches!(child.try_wait(), Ok(Some(_))));
        if !has_ended {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record.note(format!("{name}: ended after SIGTERM: {has_ended}"));
        self.start(name, false);
    }

    /// Whether a process has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        self.processes.iter_mut().find_map(|(name, child)| {
            matches!(child.try_wait(), Ok(Some(_))).then(|| name.clone())
        })
    }

    /// Sends a configuration until it is acknowledged.
    pub fn configure(&self, base: u64, body: &str) {
        let control = self.control("core-1");
        let is_taken = wait_for(Duration::from_secs(15), || {
            let call = Call::new("POST", "/pointcross/Configuration.Replace").header("X-Base-Version", base);
            let reply = call.header("Content-Type", "application/json").body(body).send(control);
            reply.is_some_and(|reply| reply.status() == 200)
        });
        self.record.note(format!("operator: configuration on base {base} acknowledged: {is_taken}"));
        self.require(is_taken, "the first configuration is not taken");
    }

    /// Waits until proxies are ready.
    pub fn wait_ready(&self, names: &[&str]) {
        for name in names {
            let address = self.ready(name);
            let call = Call::new("GET", "/pointcross/ready");
            let is_ready = wait_for(Duration::from_secs(15), || {
                call.send(address).is_some_and(|reply| reply.status() == 200)
            });
            self.require(is_ready, "a proxy does not get ready");
            self.record.note(format!("{name}: ready"));
        }
    }

    /// What the log of a machine holds.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Ends the run with 2 where a condition of the case does not hold.
    pub fn require(&self, holds: bool, text: &str) {
        if !holds {
            self.record.note(format!("the case can't run: {text}"));
            for child in self.processes.values() {
                // Sound: children that were not waited for.
                unsafe { kill(child.id() as i32, SIGKILL) };
            }
            std::process::exit(2);
        }
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The commands of the roles in `deploy/system.toml`.
fn commands() -> BTreeMap<&'static str, Vec<String>> {
    let text = std::fs::read_to_string("deploy/system.toml").unwrap_or_else(|error| {
        eprintln!("deploy/system.toml: {error}");
        std::process::exit(2);
    });
    let mut commands = BTreeMap::new();
    for role in ["proxy", "control", "store"] {
        let section = text.split_once(&format!("[roles.{role}]")).map(|(_, rest)| rest).unwrap_or_default();
        let run = section.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap_or_default();
        let run = run.trim_end_matches('"');
        commands.insert(role, run.split(' ').map(str::to_owned).collect());
    }
    commands
}

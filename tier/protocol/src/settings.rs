//! The settings file of a process (TOML), as the platform writes it.
//!
//! Guarantees that a process starts with values that are in range or not at all: an error names the file, the
//! key, what was found and what is wanted. Unknown keys are ignored, so that the platform may add some.

use crate::range_errors;
use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;
use validator::Validate;

/// The environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "POINTCROSS_BOOT";

/// The settings of a process on one machine.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct Settings {
    /// The machine's name; not empty. It has to be unique among the machines: two stores of one name would
    /// replace each other.
    #[validate(length(min = 1))]
    pub node: String,
    /// The address that this machine's sockets are bound to, and by which other machines reach it.
    pub bind_ip: Ipv4Addr,
    /// The zone of the machine; not empty. Replicas are spread over zones, so that a wrong zone may put all
    /// replicas of a record where they are lost together.
    #[validate(length(min = 1))]
    pub zone: String,
    /// First and last port that are reserved for the tier on every machine; at least four ports. All machines
    /// need the same range, as each derives the others' ports from its own: see [`InternalPort`].
    pub port_range: (u16, u16),
    /// Addresses of up to three machines with control members; at least one. Some may be stale. Only the IP
    /// addresses are used, with the port of the interface that is called. While all of them are wrong, the
    /// process finds no control member until the file is corrected.
    #[validate(length(min = 1))]
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether this is the first start of the whole system, whose control members are the seeds; false by
    /// default. Left true later, a member that lost its disk votes with an empty register, and changes may be
    /// lost.
    #[serde(default)]
    pub bootstrap: bool,
    /// The folder for data; none by default, for machines without a disk.
    pub data_dir: Option<PathBuf>,
    /// The interval between two heartbeats of a model scheduler, in milliseconds; by default 1,000, and above
    /// 0. Instances count as unresponsive after some missed heartbeats: too low a value suspects healthy
    /// ones, too high a value sends requests to dead ones for longer.
    #[serde(default = "default_heartbeat_ms")]
    #[validate(range(min = 1))]
    pub heartbeat_ms: u64,
    /// The region of each zone; empty by default, where each zone is a region of its own.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// The addresses to listen on for callers from outside the tier.
    #[serde(default)]
    pub listen_addrs: ListenAddrs,
    /// The machine's resources.
    #[validate(nested)]
    pub limits: Limits,
    /// The failures that may be concurrent.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// The platform's bounds.
    #[serde(default)]
    #[validate(nested)]
    pub bounds: Bounds,
}

/// Addresses for callers from outside; each role reads those that it serves, and the others may be missing.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ListenAddrs {
    /// For clients of the proxy.
    pub front_addr: Option<SocketAddrV4>,
    /// For the platform's health check, whether the proxy accepts new connections.
    pub ready_addr: Option<SocketAddrV4>,
    /// For model schedulers and operators.
    pub control_addr: Option<SocketAddrV4>,
}

/// A machine's resources.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct Limits {
    /// Memory of one process, in megabytes; at least 16. Caches and buffers are sized by it; above what the
    /// machine has, a process under load is killed for lack of memory.
    #[validate(range(min = 16))]
    pub memory_mb: u64,
    /// Descriptors of one process; at least 64. Connections are limited by it: too low a value rejects
    /// clients.
    #[validate(range(min = 64))]
    pub max_fds: usize,
    /// Disk space for the tier, in megabytes; 0 by default, for machines without a disk. Above what there is,
    /// writes fail instead of being rejected early. Stores and control members use at least 16 MB.
    #[serde(default)]
    pub disk_mb: u64,
}

/// The failures that may be concurrent without any rule being broken. All processes need the same values.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct FaultTolerance {
    /// Machines that may be lost; 1 by default. Each more costs one replica of every record and two control
    /// members.
    pub machines: usize,
    /// Whole zones that may be lost; 0 by default.
    pub zones: usize,
    /// Whole regions that may be lost; 0 by default.
    pub regions: usize,
}

impl Default for FaultTolerance {
    fn default() -> Self {
        FaultTolerance { machines: 1, zones: 0, regions: 0 }
    }
}

impl FaultTolerance {
    /// Replicas that a record needs before it is acknowledged: one more than may be lost.
    pub fn copies(&self) -> usize {
        self.machines + 1
    }

    /// Control members that are needed so that a majority is left after these losses: 2f + 1, and at least
    /// three.
    pub fn members(&self) -> usize {
        2 * self.machines.max(1) + 1
    }
}

/// The platform's bounds. The tier is built to meet the defaults; of these values it reads
/// [`Bounds::drain_grace_s`] only. The others are checked, and have no effect yet.
#[derive(Clone, Copy, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase", default)]
pub struct Bounds {
    /// The longest time in which requests may still reach an instance after its draining was acknowledged, in
    /// milliseconds; 2,000 by default, at least 1.
    #[validate(range(min = 1))]
    pub drain_ms: u64,
    /// The time from SIGTERM to SIGKILL, in seconds; 8 by default. Above the platform's, requests are cut off
    /// by the kill.
    pub drain_grace_s: f64,
    /// The longest time until a configuration is active everywhere, in milliseconds; 2,000 by default, at
    /// least 1.
    #[validate(range(min = 1))]
    pub config_ms: u64,
    /// The longest time until an operator's order is answered, in milliseconds; 4,000 by default, at least 1.
    #[validate(range(min = 1))]
    pub ack_ms: u64,
    /// The longest time until a machine that restarted has caught up, in seconds; 4 by default.
    pub catch_up_s: f64,
    /// The time without faults after which a machine counts as connected, in milliseconds; 3,000 by default.
    pub touch_ms: u64,
    /// The longest time in which an event of a stream is passed on, in milliseconds; 120 by default.
    #[serde(rename = "pass_ms")]
    pub pass_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            drain_ms: 2000,
            drain_grace_s: 8.0,
            config_ms: 2000,
            ack_ms: 4000,
            catch_up_s: 4.0,
            touch_ms: 3000,
            pass_ms: 120,
        }
    }
}

/// The shortest time that a draining process is given, in seconds.
const MIN_DRAIN_GRACE_S: f64 = 0.1;

fn default_heartbeat_ms() -> u64 {
    1000
}

/// Why a settings file can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The variable that names the file is missing.
    #[snafu(display("{SETTINGS_VARIABLE} is not set; it has to name the settings file"))]
    NoPath,
    /// The file can't be read from the disk.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The text is no TOML, or a key has the wrong type.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Line, key and reason.
        source: Box<toml::de::Error>,
    },
    /// Values are out of their ranges.
    #[snafu(display("{}: {text}", path.display()))]
    OutOfRange {
        /// The file.
        path: PathBuf,
        /// Each key with what was found and what is wanted.
        text: String,
    },
    /// A key that this role needs is missing.
    #[snafu(display("{key} is missing; the role {role} needs it"))]
    Missing {
        /// The key.
        key: &'static str,
        /// The role.
        role: &'static str,
    },
}

/// The tier's own ports on a machine, as offsets into its `PortRange`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InternalPort {
    /// Calls to a control member.
    Control = 0,
    /// Calls to a store.
    Store = 1,
    /// The agent's updates to the proxies of its machine, on loopback.
    AgentFeed = 2,
    /// Calls between control members.
    Member = 3,
}

impl Settings {
    /// Reads and checks the file that [`SETTINGS_VARIABLE`] names.
    ///
    /// # Errors
    /// No path in the environment, or a fault of the file with its key.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(SettingsError::NoPath)?;
        Self::from_file(Path::new(&path))
    }

    /// Reads and checks this file.
    ///
    /// # Errors
    /// A file that can't be read, or a fault with its key.
    pub fn from_file(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::from_text(&text, path)
    }

    /// Checks a settings text; `path` is for messages only.
    ///
    /// # Errors
    /// A text that is no TOML, a missing key, or one out of range.
    pub fn from_text(text: &str, path: &Path) -> Result<Self, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(Box::new).context(MalformedSnafu { path })?;
        if let Err(errors) = settings.validate() {
            let text = range_errors::describe(&errors);
            return OutOfRangeSnafu { path, text }.fail();
        }
        let (first, last) = settings.port_range;
        if last < first || last - first < InternalPort::Member as u16 {
            let text = format!("PortRange: [{first}, {last}] has to hold four ports or more");
            return OutOfRangeSnafu { path, text }.fail();
        }
        Ok(settings)
    }

    /// The port of an internal interface; the same on all machines.
    pub fn internal_port(&self, port: InternalPort) -> u16 {
        self.port_range.0 + port as u16
    }

    /// The address of an internal interface on this machine.
    pub fn internal_address(&self, port: InternalPort) -> SocketAddrV4 {
        SocketAddrV4::new(self.bind_ip, self.internal_port(port))
    }

    /// The loopback address at which the agent serves the proxies of its machine.
    pub fn feed_address(&self) -> SocketAddrV4 {
        // Tests run several machines on one, each with a loopback address of its own.
        let loopback = if self.bind_ip.is_loopback() { self.bind_ip } else { Ipv4Addr::LOCALHOST };
        SocketAddrV4::new(loopback, self.internal_port(InternalPort::AgentFeed))
    }

    /// Addresses of an internal interface on the seeds' machines.
    pub fn seed_addresses(&self, port: InternalPort) -> Vec<SocketAddrV4> {
        let port = self.internal_port(port);
        self.seed_nodes.iter().map(|seed| SocketAddrV4::new(*seed.ip(), port)).collect()
    }

    /// The region of a zone; the zone's own name where [`Settings::zones`] has no entry.
    pub fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.get(zone).map_or(zone, String::as_str)
    }

    /// The time from SIGTERM until the platform kills the process; at least 100 ms.
    pub fn drain_grace(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.drain_grace_s.max(MIN_DRAIN_GRACE_S))
    }

    /// The data folder.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Missing`] where the file names none; `role` is the role that needs it.
    pub fn data_folder(&self, role: &'static str) -> Result<&Path, SettingsError> {
        self.data_dir.as_deref().ok_or(SettingsError::Missing { key: "DataDir", role })
    }
}

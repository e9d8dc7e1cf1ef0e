//! Where configuration is read, checked and given defaults: the environment, the platform's JSON file and
//! the operator's file. Each fault names its key.

mod configuration;
mod error;
mod list_calls;
mod maintenance;
mod membership;
mod nbd;
mod otlp;
mod slow_start;

pub use error::{ConfigError, ConfigErrors};
pub use list_calls::ListCalls;

use crate::discovery::List;
use crate::http::FrontClass;
use crate::membership::MembershipConfig;
use crate::nbd::NbdConfig;
use crate::store::StoreSettings;
use crate::telemetry::OtlpConfig;
use configuration::ConfigurationSection;
use error::{address, bad};
use list_calls::ListCallsSection;
use maintenance::MaintenanceSection;
use membership::MembershipSection;
use nbd::NbdSection;
use otlp::OtlpSection;
use pointcross_config_distribution::FollowerSettings;
use pointcross_coordination::settings::PeerSettings;
use pointcross_membership::slow_start::SlowStartRules;
use pointcross_settings::Parsed;
use serde::Deserialize;
use serde_json::value::RawValue;
use slow_start::SlowStartSection;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The environment variable that names the operator's file.
pub const OPERATOR_FILE: &str = "POINTCROSS_OPERATOR";
/// Descriptors kept back for discovery, the listeners, the runtime and the log.
const OWN_SOCKETS: usize = 32;

/// What the program goes by.
#[derive(Clone, Debug)]
pub struct Config {
    /// This scheduler's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where the admin API listens, where `ops` or `$RELAY_OPS` names one.
    pub ops: Option<SocketAddr>,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// The platform's settings.
    pub parsed: Parsed,
    /// The list as this scheduler last held it; it may be old.
    pub known: List,
    /// How the descriptors are dealt out.
    pub budget: Budget,
    /// The second front, where the operator's file turns it on.
    pub nbd: Option<NbdConfig>,
    /// Where spans and counts go, where the operator's file names it.
    pub otlp: Option<OtlpConfig>,
    /// How far the node list is trusted, where the operator's file says.
    pub membership: Option<MembershipConfig>,
    /// The pace of calls for the list, where the operator's file sets one (`[list_calls]`).
    pub list_calls: Option<ListCalls>,
    /// How fast a fresh scheduler sends to each node, where the operator's file says (`[ramp]`).
    pub ramp: Option<SlowStartRules>,
    /// The other schedulers and how machines are taken out, where the operator's file says (`[maintenance]`).
    pub maintenance: Option<PeerSettings>,
    /// Where the fleet's configuration is followed, where the operator's file says (`[configuration]`).
    pub configuration: Option<FollowerSettings>,
}

/// What counts where a variable and a file state the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wins {
    /// The environment, at the start.
    Variable,
    /// The file, once the program runs.
    File,
}

/// The descriptors that each side may hold, and the memory for answers; together they stay under the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Clients' connections.
    pub front: usize,
    /// Connections to storage nodes, in use or idle.
    pub nodes: usize,
    /// Bytes of answers that are held at once.
    pub answer_bytes: usize,
}

impl Budget {
    /// Clients get three fifths: they hold one connection for each open request, and the module keeps far
    /// fewer than that out at the nodes.
    fn of(limits: &PlatformLimits, nbd: usize) -> Self {
        let free = limits.sockets.saturating_sub(OWN_SOCKETS + nbd).max(10);
        let nodes = free * 2 / 5;
        // A quarter of the memory: what is read of an answer is held once more on its way out.
        let answer_bytes = (limits.memory_mb << 20).div_ceil(4).clamp(8 << 20, 1 << 30);
        Budget { front: free - nodes, nodes, answer_bytes }
    }
}

/// The platform's file, as it is written.
#[derive(Deserialize)]
struct PlatformFile<'a> {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    ops: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: PlatformLimits,
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    #[serde(borrow)]
    settings: Option<&'a RawValue>,
}

#[derive(Deserialize)]
#[serde(default)]
struct PlatformLimits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for PlatformLimits {
    fn default() -> Self {
        PlatformLimits { sockets: 1024, memory_mb: 192 }
    }
}

/// The operator's file, as it is written. Keys that it does not know are faults, not to be passed over.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorFile {
    nbd: Option<NbdSection>,
    otlp: Option<OtlpSection>,
    membership: Option<MembershipSection>,
    list_calls: Option<ListCallsSection>,
    ramp: Option<SlowStartSection>,
    maintenance: Option<MaintenanceSection>,
    configuration: Option<ConfigurationSection>,
}

impl Config {
    /// Reads the configuration of this process.
    ///
    /// # Errors
    /// Every fault of the files and variables, each with its key.
    pub fn from_environment() -> Result<Self, ConfigErrors> {
        Config::from_variables(|key| std::env::var(key).ok())
    }

    /// Reads the configuration that these variables point to. A variable wins over the same key in the file.
    ///
    /// # Errors
    /// Every fault of the files and variables, each with its key.
    pub fn from_variables(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigErrors> {
        Config::read(variable, Wins::Variable)
    }

    fn read(variable: impl Fn(&str) -> Option<String>, wins: Wins) -> Result<Self, ConfigErrors> {
        let path = variable("RELAY_CONFIG").ok_or(ConfigError::Missing("RELAY_CONFIG"))?;
        let platform = read("RELAY_CONFIG", path)?;
        let operator = match variable(OPERATOR_FILE) {
            Some(path) => read(OPERATOR_FILE, path)?,
            None => String::new(),
        };
        Config::from_texts(variable, &platform, &operator, wins)
    }

    /// Reads the configuration of this process again. Its environment cannot have changed since the start, so
    /// what a file states now wins over the variable of the same key.
    ///
    /// # Errors
    /// Every fault of the files and variables, each with its key.
    pub fn again() -> Result<Self, ConfigErrors> {
        Config::read(|key| std::env::var(key).ok(), Wins::File)
    }

    /// The keys in which a configuration differs that takes a restart.
    pub fn restart_keys(&self, new: &Config) -> Vec<&'static str> {
        let same = [
            ("settings", self.parsed == new.parsed),
            ("limits", self.budget == new.budget),
            ("listen", self.listen == new.listen),
            ("ops", self.ops == new.ops),
            (
                "membership",
                self.membership.as_ref().map(MembershipConfig::without_seed)
                    == new.membership.as_ref().map(MembershipConfig::without_seed),
            ),
            ("name", self.name == new.name),
            ("list_calls", self.list_calls == new.list_calls),
            ("nbd", self.nbd == new.nbd),
            ("otlp", self.otlp == new.otlp),
            ("ramp", self.ramp == new.ramp),
            (
                "maintenance",
                maintenance::without_seed(self.maintenance.as_ref())
                    == maintenance::without_seed(new.maintenance.as_ref()),
            ),
            (
                "configuration",
                configuration::without_seed(self.configuration.as_ref())
                    == configuration::without_seed(new.configuration.as_ref()),
            ),
        ];
        same.into_iter().filter(|(_, same)| !same).map(|(key, _)| key).collect()
    }

    /// Reads the configuration from the platform's file and the operator's, both as text.
    ///
    /// # Errors
    /// Every fault of the two texts, each with its key.
    pub fn from_texts(
        variable: impl Fn(&str) -> Option<String>,
        platform: &str,
        operator: &str,
        wins: Wins,
    ) -> Result<Self, ConfigErrors> {
        let mut errors = ConfigErrors::default();
        let file: PlatformFile = serde_json::from_str(platform)
            .map_err(|error| bad("RELAY_CONFIG", format!("not its JSON: {error}")))?;
        let settings = file.settings.ok_or(ConfigError::Missing("settings"));
        let parsed = errors
            .accept(settings)
            .and_then(|settings| errors.accept(pointcross_settings::parse(settings.get().as_bytes())));
        let known = match (file.known, &parsed) {
            (Some(known), Some(parsed)) => {
                errors.accept(List::parse(known.get().as_bytes(), &parsed.zones)).unwrap_or_default()
            }
            _ => List::default(),
        };
        let stated = |key, in_file: Option<String>| match wins {
            Wins::Variable => variable(key).or(in_file),
            Wins::File => in_file.or_else(|| variable(key)),
        };
        let mut required = |key, in_file| {
            let text = stated(key, in_file).ok_or(ConfigError::Missing(key));
            errors.accept(text.and_then(|text| address(key, &text)))
        };
        let listen = required("RELAY_LISTEN", file.listen);
        let discovery = required("RELAY_DISCOVERY", file.discovery);
        let ops = match stated("RELAY_OPS", file.ops) {
            None => Some(None),
            Some(text) => errors.accept(address("RELAY_OPS", &text)).map(Some),
        };
        let seed = match file.seed {
            Some(seed) => errors
                .accept(u64::from_str_radix(&seed, 16).map_err(|e| bad("seed", format!("{seed:?}: {e}")))),
            None => Some(u64::from(std::process::id())),
        };
        let operator: Option<OperatorFile> =
            errors.accept(toml::from_str(operator).map_err(|error| bad(OPERATOR_FILE, error)));
        let OperatorFile { nbd, otlp, membership, list_calls, ramp, maintenance, configuration } =
            operator.unwrap_or_default();
        let name = stated("RELAY_NAME", file.name).unwrap_or_else(|| "pointcross".to_owned());
        let maintenance = maintenance.and_then(|of| of.check(&name, seed.unwrap_or(0), &mut errors));
        let configuration = configuration.map(|of| of.check(&name, seed.unwrap_or(0), &mut errors));
        let ramp = ramp.map(|ramp| ramp.check(&mut errors));
        let list_calls = list_calls.map(|calls| calls.check(&mut errors));
        let membership = match (membership, &parsed) {
            (Some(membership), Some(parsed)) => {
                Some(membership.check(parsed, seed.unwrap_or(0), &mut errors))
            }
            _ => None,
        };
        let otlp = otlp.and_then(|otlp| otlp.check(&mut errors));
        let nbd = match (nbd, &parsed) {
            (Some(nbd), Some(parsed)) => nbd.check(parsed, &mut errors),
            _ => None,
        };
        let nbd_sockets = nbd.as_ref().map_or(0, |nbd| nbd.max_sessions);
        let budget = Budget::of(&file.limits, nbd_sockets);
        match (listen, discovery, ops, seed, parsed) {
            (Some(listen), Some(discovery), Some(ops), Some(seed), Some(parsed)) if errors.0.is_empty() => {
                Ok(Config {
                    name,
                    listen,
                    discovery,
                    ops,
                    seed,
                    parsed,
                    known,
                    budget,
                    nbd,
                    otlp,
                    membership,
                    list_calls,
                    ramp,
                    maintenance,
                    configuration,
                })
            }
            _ => Err(errors),
        }
    }

    /// What the client for the nodes goes by.
    pub(crate) fn store_settings(&self) -> StoreSettings {
        let decide = &self.parsed.decide;
        StoreSettings {
            connections: self.budget.nodes,
            answer_bytes: self.budget.answer_bytes,
            connect_time: decide.connect_time,
            keepalive: self.parsed.keepalive,
            aims: decide.classes.iter().map(|class| class.aim).collect(),
            report_names: decide.report_names.clone(),
        }
    }

    /// The classes as the HTTP front knows them, by number.
    pub(crate) fn front_classes(&self) -> Vec<FrontClass> {
        let classes = self.parsed.classes.iter().zip(&self.parsed.decide.classes);
        classes.map(|(name, class)| FrontClass { name: name.clone(), writes: class.writes }).collect()
    }
}

fn read(key: &'static str, path: String) -> Result<String, ConfigError> {
    let path = PathBuf::from(path);
    fs::read_to_string(&path).map_err(|error| ConfigError::Unreadable { key, path, error })
}

//! Where configuration is read, checked and given defaults: the environment, the platform's JSON file and
//! the operator's file. Each fault names its key.

use crate::discovery::{List, ListError};
use crate::nbd::{Export, ExportClass, NbdConfig};
use crate::store::MOST_BODY;
use crate::telemetry::OtlpConfig;
use pointcross_settings::{Parsed, SettingsTextError};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::{fs, io};

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

/// What is wrong with the configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A key that must be given is not.
    #[error("{0}: not set")]
    Missing(&'static str),
    /// A file cannot be read.
    #[error("{key}: cannot read {path}: {error}")]
    Unreadable {
        /// The key that names the file.
        key: &'static str,
        /// The file.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// A value has the wrong form.
    #[error("{key}: {text}")]
    Bad {
        /// The key.
        key: String,
        /// What is wrong.
        text: String,
    },
    /// The settings cannot be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsTextError),
    /// The known list cannot be used.
    #[error("known: {0}")]
    Known(#[from] ListError),
}

fn bad(key: &str, text: impl ToString) -> ConfigError {
    ConfigError::Bad { key: key.to_owned(), text: text.to_string() }
}

/// The platform's file, as it is written.
#[derive(Deserialize)]
struct Platform<'a> {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
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
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Operator {
    nbd: Option<OperatorNbd>,
    otlp: Option<OperatorOtlp>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorNbd {
    listen: String,
    #[serde(default = "ten_seconds")]
    negotiation_ms: u64,
    #[serde(default = "eight")]
    most_sessions: usize,
    export: Vec<OperatorExport>,
}

fn ten_seconds() -> u64 {
    10_000
}

fn eight() -> usize {
    8
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorExport {
    name: String,
    volume: String,
    plan: String,
    hosts: u32,
    shard: u32,
    size: u64,
    block_size: u32,
    #[serde(default = "one")]
    units: f64,
    read_class: String,
    write_class: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorOtlp {
    endpoint: String,
    #[serde(default = "pointcross")]
    service: String,
    #[serde(default = "two_thousand")]
    most_spans: usize,
    #[serde(default = "five_seconds")]
    interval_ms: u64,
    #[serde(default = "two_seconds")]
    timeout_ms: u64,
}

fn pointcross() -> String {
    "pointcross".to_owned()
}

fn two_thousand() -> usize {
    2000
}

fn five_seconds() -> u64 {
    5000
}

fn two_seconds() -> u64 {
    2000
}

impl OperatorOtlp {
    fn check(self) -> Result<OtlpConfig, ConfigError> {
        let address = self.endpoint.parse::<http::Uri>().map_err(|error| bad("otlp.endpoint", error))?;
        if address.scheme() != Some(&http::uri::Scheme::HTTP) || address.query().is_some() {
            return Err(bad("otlp.endpoint", format!("{:?}: wanted http:// and an address", self.endpoint)));
        }
        let positive = [
            ("otlp.most_spans", self.most_spans as u64),
            ("otlp.interval_ms", self.interval_ms),
            ("otlp.timeout_ms", self.timeout_ms),
        ];
        if let Some((key, _)) = positive.iter().find(|(_, value)| *value == 0) {
            return Err(bad(key, "must be over 0"));
        }
        Ok(OtlpConfig {
            endpoint: self.endpoint,
            service: self.service,
            most_spans: self.most_spans,
            interval: Duration::from_millis(self.interval_ms),
            timeout: Duration::from_millis(self.timeout_ms),
        })
    }
}

impl OperatorNbd {
    fn check(self, parsed: &Parsed) -> Result<NbdConfig, ConfigError> {
        if self.negotiation_ms == 0 {
            return Err(bad("nbd.negotiation_ms", "no time at all"));
        }
        if self.most_sessions == 0 {
            return Err(bad("nbd.most_sessions", "no session at all"));
        }
        if self.export.is_empty() {
            return Err(bad("nbd.export", "none is named"));
        }
        let mut exports: Vec<Export> = Vec::new();
        for export in self.export {
            if exports.iter().any(|other| other.name == export.name) {
                return Err(bad("nbd.export.name", format!("{:?} stands twice", export.name)));
            }
            exports.push(export.check(parsed)?);
        }
        Ok(NbdConfig {
            listen: address("nbd.listen", &self.listen)?,
            negotiation_time: Duration::from_millis(self.negotiation_ms),
            most_sessions: self.most_sessions,
            exports,
        })
    }
}

impl OperatorExport {
    fn check(self, parsed: &Parsed) -> Result<Export, ConfigError> {
        let fault =
            |key: &str, text: String| bad(&format!("nbd.export.{key}"), format!("{:?}: {text}", self.name));
        if self.name.len() > 255 {
            return Err(fault("name", "over 255 bytes".into()));
        }
        let volume = u64::from_str_radix(&self.volume, 16).map_err(|e| fault("volume", e.to_string()))?;
        let plan = parsed.plans.iter().position(|plan| *plan == self.plan);
        let plan = plan.ok_or_else(|| fault("plan", format!("the settings know no {:?}", self.plan)))?;
        let class = |key: &str, name: &str, writes: bool| {
            let number = parsed.classes.iter().position(|class| class == name);
            let number = number.ok_or_else(|| fault(key, format!("the settings know no {name:?}")))?;
            let class = &parsed.decide.classes[number];
            let path = name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte));
            if !path || class.writes != writes {
                return Err(fault(key, format!("{name:?} does not serve here")));
            }
            let deadline = Duration::try_from_secs_f64(class.deadline / 1000.0);
            let deadline = deadline.map_err(|e| fault(key, e.to_string()))?;
            Ok(ExportClass { number: number as u16, name: name.to_owned(), deadline })
        };
        if !self.block_size.is_power_of_two() || !(512..=MOST_BODY as u32).contains(&self.block_size) {
            return Err(fault("block_size", "not a power of two from 512 to 65536".into()));
        }
        if self.size == 0 || !self.size.is_multiple_of(u64::from(self.block_size)) {
            return Err(fault("size", "not a whole number of blocks".into()));
        }
        if self.hosts == 0 {
            return Err(fault("hosts", "none at all".into()));
        }
        if !(self.units > 0.0 && self.units <= parsed.decide.most_units.max(1.0)) {
            return Err(fault("units", "not within the settings' largest request".into()));
        }
        let read = class("read_class", &self.read_class, false)?;
        let write = self.write_class.as_deref().map(|name| class("write_class", name, true)).transpose()?;
        Ok(Export {
            volume,
            plan: plan as u16,
            hosts: self.hosts.into(),
            shard: self.shard,
            size: self.size,
            block: self.block_size,
            units: self.units,
            read,
            write,
            name: self.name,
        })
    }
}

impl Config {
    /// Reads the configuration of this process.
    pub fn from_environment() -> Result<Self, ConfigError> {
        Config::from_variables(|key| std::env::var(key).ok())
    }

    /// Reads the configuration that these variables point to. A variable wins over the same key in the file.
    pub fn from_variables(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        Config::read(variable, Wins::Variable)
    }

    fn read(variable: impl Fn(&str) -> Option<String>, wins: Wins) -> Result<Self, ConfigError> {
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
    pub fn again() -> Result<Self, ConfigError> {
        Config::read(|key| std::env::var(key).ok(), Wins::File)
    }

    /// The keys in which a configuration differs that takes a restart.
    pub fn restart_keys(&self, new: &Config) -> Vec<&'static str> {
        let same = [
            ("settings", self.parsed == new.parsed),
            ("limits", self.budget == new.budget),
            ("listen", self.listen == new.listen),
            ("name", self.name == new.name),
            ("nbd", self.nbd == new.nbd),
            ("otlp", self.otlp == new.otlp),
        ];
        same.into_iter().filter(|(_, same)| !same).map(|(key, _)| key).collect()
    }

    /// Reads the configuration from the platform's file and the operator's, both as text.
    pub fn from_texts(
        variable: impl Fn(&str) -> Option<String>,
        platform: &str,
        operator: &str,
        wins: Wins,
    ) -> Result<Self, ConfigError> {
        let file: Platform = serde_json::from_str(platform)
            .map_err(|error| bad("RELAY_CONFIG", format!("not its JSON: {error}")))?;
        let settings = file.settings.ok_or(ConfigError::Missing("settings"))?;
        let parsed = pointcross_settings::parse(settings.get().as_bytes())?;
        let known = match file.known {
            Some(known) => List::parse(known.get().as_bytes(), &parsed.zones)?,
            None => List::default(),
        };
        let stated = |key, in_file: Option<String>| match wins {
            Wins::Variable => variable(key).or(in_file),
            Wins::File => in_file.or_else(|| variable(key)),
        };
        let required = |key, in_file| stated(key, in_file).ok_or(ConfigError::Missing(key));
        let listen = required("RELAY_LISTEN", file.listen)?;
        let discovery = required("RELAY_DISCOVERY", file.discovery)?;
        let seed = match file.seed {
            Some(seed) => {
                u64::from_str_radix(&seed, 16).map_err(|e| bad("seed", format!("{seed:?}: {e}")))?
            }
            None => u64::from(std::process::id()),
        };
        let operator: Operator = toml::from_str(operator).map_err(|error| bad(OPERATOR_FILE, error))?;
        let otlp = operator.otlp.map(OperatorOtlp::check).transpose()?;
        let nbd = operator.nbd.map(|nbd| nbd.check(&parsed)).transpose()?;
        let nbd_sockets = nbd.as_ref().map_or(0, |nbd| nbd.most_sessions);
        let budget = Budget::of(&file.limits, nbd_sockets);
        Ok(Config {
            name: stated("RELAY_NAME", file.name).unwrap_or_else(|| "pointcross".to_owned()),
            listen: address("RELAY_LISTEN", &listen)?,
            discovery: address("RELAY_DISCOVERY", &discovery)?,
            seed,
            parsed,
            known,
            budget,
            nbd,
            otlp,
        })
    }
}

fn read(key: &'static str, path: String) -> Result<String, ConfigError> {
    let path = PathBuf::from(path);
    fs::read_to_string(&path).map_err(|error| ConfigError::Unreadable { key, path, error })
}

fn address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|e| bad(key, format!("{text:?} is not an address with a port: {e}")))
}

//! Where configuration is read, checked and given defaults: the environment, the platform's JSON file and
//! the operator's file. Each fault names its key.

use crate::discovery::{List, ListError};
use pointcross_settings::{Parsed, SettingsTextError};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::{fs, io};

/// The environment variable that names the operator's file.
pub const OPERATOR_FILE: &str = "POINTCROSS_OPERATOR";
/// Descriptors kept back for discovery, the listeners, the runtime and the log.
const OWN_SOCKETS: usize = 48;

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
}

/// The descriptors that each side may hold; together they stay under the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Clients' connections.
    pub front: usize,
    /// Attempts out at once.
    pub attempts: usize,
    /// Idle connections to one node.
    pub idle_per_node: usize,
}

impl Budget {
    /// Clients get three fifths: they hold one connection for each open request, and the module keeps far
    /// fewer than that out at the nodes.
    fn of(sockets: usize, nodes: usize) -> Self {
        let free = sockets.saturating_sub(OWN_SOCKETS).max(10);
        let store = free * 2 / 5;
        let attempts = store * 2 / 3;
        let idle_per_node = ((store - attempts) / nodes.max(24)).max(1);
        Budget { front: free - store, attempts, idle_per_node }
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
}

impl Default for PlatformLimits {
    fn default() -> Self {
        PlatformLimits { sockets: 1024 }
    }
}

impl Config {
    /// Reads the configuration of this process.
    pub fn from_environment() -> Result<Self, ConfigError> {
        Config::from_variables(|key| std::env::var(key).ok())
    }

    /// Reads the configuration that these variables point to. A variable wins over the same key in the file.
    pub fn from_variables(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = variable("RELAY_CONFIG").ok_or(ConfigError::Missing("RELAY_CONFIG"))?;
        let text = read("RELAY_CONFIG", path)?;
        let file: Platform = serde_json::from_str(&text)
            .map_err(|error| bad("RELAY_CONFIG", format!("not its JSON: {error}")))?;
        let settings = file.settings.ok_or(ConfigError::Missing("settings"))?;
        let parsed = pointcross_settings::parse(settings.get().as_bytes())?;
        let known = match file.known {
            Some(known) => List::parse(known.get().as_bytes(), &parsed.zones)?,
            None => List::default(),
        };
        let listen = variable("RELAY_LISTEN").or(file.listen).ok_or(ConfigError::Missing("RELAY_LISTEN"))?;
        let discovery =
            variable("RELAY_DISCOVERY").or(file.discovery).ok_or(ConfigError::Missing("RELAY_DISCOVERY"))?;
        let seed = match file.seed {
            Some(seed) => {
                u64::from_str_radix(&seed, 16).map_err(|e| bad("seed", format!("{seed:?}: {e}")))?
            }
            None => u64::from(std::process::id()),
        };
        let budget = Budget::of(file.limits.sockets, known.members.len() * 2);
        Ok(Config {
            name: variable("RELAY_NAME").or(file.name).unwrap_or_else(|| "pointcross".to_owned()),
            listen: address("RELAY_LISTEN", &listen)?,
            discovery: address("RELAY_DISCOVERY", &discovery)?,
            seed,
            parsed,
            known,
            budget,
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

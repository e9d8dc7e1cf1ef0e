//! The data that the serving tier's processes exchange with each other and with the outside: settings of a
//! process, the operator's configuration, the directory, and the calls between agents, control members,
//! stores and proxies.
//!
//! Types, their checks and the directory's pure changes; no clock, and no I/O but reading the settings file.
//! Names on the wire, on disk and in files are fixed: a renamed field carries its written name by
//! `#[serde(rename = "...")]`.
#![warn(missing_docs)]

pub mod configuration;
pub mod directory;
pub mod events;
pub mod headers;
pub mod instance;
pub mod messages;
mod range_errors;
pub mod settings;
pub mod turns;

pub use configuration::{Configuration, ConfigurationError, Route, RouteType, Service};
pub use directory::{CommittedConfiguration, Digest, Directory, StoreEntry, StoreId, StoreState};
pub use instance::{Instance, InstanceState};
pub use settings::{Settings, SettingsError};

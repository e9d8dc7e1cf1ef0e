//! What is wrong with a configuration: every error names its key.
//!
//! Guards against a start that reports one error at a time: checks collect all of them.

use crate::discovery::ListError;
use pointcross_settings::SettingsTextError;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

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

/// All errors of a configuration, shown one a line.
#[derive(Debug, Default, thiserror::Error)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, fault) in self.0.iter().enumerate() {
            write!(f, "{}{fault}", if number > 0 { "\n" } else { "" })?;
        }
        Ok(())
    }
}

impl From<ConfigError> for ConfigErrors {
    fn from(fault: ConfigError) -> Self {
        ConfigErrors(vec![fault])
    }
}

impl ConfigErrors {
    /// Collects a value's error, if it has one, and returns the value otherwise.
    pub(super) fn accept<T>(&mut self, value: Result<T, impl Into<ConfigError>>) -> Option<T> {
        value.map_err(|fault| self.0.push(fault.into())).ok()
    }

    /// Collects an error where a condition does not hold.
    pub(super) fn require(&mut self, holds: bool, key: &str, text: impl ToString) {
        if !holds {
            self.0.push(bad(key, text));
        }
    }
}

/// The error of a value that has the wrong form.
pub(super) fn bad(key: &str, text: impl ToString) -> ConfigError {
    ConfigError::Bad { key: key.to_owned(), text: text.to_string() }
}

/// Reads the address that `key` names.
pub(super) fn address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|e| bad(key, format!("{text:?} is not an address with a port: {e}")))
}

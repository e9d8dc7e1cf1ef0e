//! Reloading the files of a running program at SIGHUP.
//!
//! Guards against a reload that applies in part: the files are checked completely first, and a faulty one
//! changes nothing.

use crate::config::{Config, ConfigErrors};
use crate::discovery_address::DiscoveryAddress;
use std::sync::Arc;
use tokio::signal::unix::Signal;

/// Applies new configurations to a running [`crate::Daemon`].
pub struct Reload {
    config: Config,
    discovery: Arc<DiscoveryAddress>,
}

impl Reload {
    pub(crate) fn new(config: Config, discovery: Arc<DiscoveryAddress>) -> Self {
        Reload { config, discovery }
    }

    /// Applies what may change while the program runs: the address of discovery, unless a carried
    /// configuration names one. A faulty configuration changes nothing, and neither does an unchanged one.
    pub fn apply(&mut self, new: Result<Config, ConfigErrors>) {
        let new = match new {
            Ok(new) => new,
            Err(error) => return tracing::error!(%error, "configuration rejected"),
        };
        let restart = self.config.restart_keys(&new);
        if !restart.is_empty() {
            tracing::warn!(?restart, "restart required");
        }
        let moved = self.discovery.set_from_files(new.discovery);
        tracing::info!(discovery = %new.discovery, moved, "configuration read again");
    }

    /// Rereads the files of this process at each signal, for as long as the program runs.
    pub async fn at_each(mut self, mut signal: Signal) {
        while signal.recv().await.is_some() {
            self.apply(Config::again());
        }
    }
}

//! A new configuration for a running program: told by SIGHUP, checked whole, then taken or left.

use crate::config::{Config, Faults};
use std::net::SocketAddr;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Takes new configurations for a running [`crate::Daemon`].
pub struct Reload {
    config: Config,
    discovery: watch::Sender<SocketAddr>,
}

impl Reload {
    pub(crate) fn new(config: Config, discovery: watch::Sender<SocketAddr>) -> Self {
        Reload { config, discovery }
    }

    /// Takes what may change while the program runs: where discovery answers. A faulty configuration changes
    /// nothing, and neither does one that is as before.
    pub fn apply(&mut self, new: Result<Config, Faults>) {
        let new = match new {
            Ok(new) => new,
            Err(error) => return tracing::error!(%error, "new configuration not taken, the old one holds"),
        };
        let restart = self.config.restart_keys(&new);
        if !restart.is_empty() {
            tracing::warn!(?restart, "these keys differ and take a restart");
        }
        let moved = self.discovery.send_if_modified(|address| {
            let moved = *address != new.discovery;
            *address = new.discovery;
            moved
        });
        tracing::info!(discovery = %new.discovery, moved, "configuration read again");
    }

    /// Rereads the files of this process at each signal, for as long as the program runs.
    pub async fn at_each(mut self, mut signal: Signal) {
        while signal.recv().await.is_some() {
            self.apply(Config::again());
        }
    }
}

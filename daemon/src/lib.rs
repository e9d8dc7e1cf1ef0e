//! pointcross on real sockets, as a library: decode a [`config::Config`], then [`run`] it until told to stop.
#![warn(missing_docs)]

pub mod config;
pub mod discovery;
pub mod http;
pub mod shutdown;
pub mod store;

use config::Config;
use pointcross_core::Core;
use pointcross_core::decide::{ListKind, SettingsError};
use shutdown::Shutdown;
use std::io;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Why the program could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The module cannot work with these settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// An address cannot be listened on.
    #[error("{key}: cannot listen there: {error}")]
    Listen {
        /// The faulty key.
        key: &'static str,
        /// What the system said.
        error: io::Error,
    },
}

/// Runs one scheduler until `shutdown` is over and everything it had taken is answered.
pub async fn run(config: Config, shutdown: Shutdown) -> Result<(), StartError> {
    let config = Arc::new(config);
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|error| StartError::Listen { key: "listen", error })?;
    let core = Arc::new(Core::new(config.parsed.decide.clone(), config.seed)?);
    let mut follow = core.follow_orders();
    core.list(ListKind::Cached, config.known.members.clone());
    let store = Arc::new(store::Store::new(&config));
    let front = Arc::new(http::Front::new(core.clone(), store.clone(), &config, shutdown.clone()));
    tracing::info!(name = config.name, listen = %config.listen, "serving");
    tokio::select! {
        () = core.run_timers() => {}
        () = discovery::follow(&core, &config, &mut follow) => {}
        () = http::accept(listener, front, config.budget.front) => {}
    }
    tracing::info!("stopped");
    Ok(())
}

//! A scheduler that runs as a task of the test, on loopback sockets.

use crate::configuration::config;
use crate::stub_server::{StubAction, stub_server};
use pointcross::config::Config;
use pointcross::{Daemon, shutdown::Shutdown};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// A scheduler on loopback. It runs until it is stopped or the test's runtime ends; dropping this value does
/// not shut it down gracefully.
pub struct RunningDaemon {
    /// Where HTTP clients connect.
    pub http: SocketAddr,
    /// Where NBD clients connect.
    pub nbd: Option<SocketAddr>,
    /// Where operators' admin calls go, if the configuration has an admin listener.
    pub ops: Option<SocketAddr>,
    /// Its decision core.
    pub core: Arc<pointcross_core::Core>,
    /// The phase of its shutdown.
    pub shutdown: Shutdown,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl RunningDaemon {
    /// Starts a scheduler with this storage node and with a discovery that never answers.
    pub async fn start(store: SocketAddr, operator: &str) -> RunningDaemon {
        // Discovery has no change to report: a watch waits for as long as it may.
        let (discovery, _) = stub_server(|_| async { StubAction::Stall }).await;
        RunningDaemon::with(config(store, discovery, operator)).await
    }

    /// Starts a scheduler with this configuration.
    pub async fn with(config: Config) -> RunningDaemon {
        RunningDaemon::of(Daemon::bind(config).await.unwrap())
    }

    /// Runs a scheduler that is bound already.
    pub fn of(daemon: Daemon) -> RunningDaemon {
        let (stop, stopped) = oneshot::channel();
        let (http, nbd, core) = (daemon.http_address().unwrap(), daemon.nbd_address(), daemon.core().clone());
        let ops = daemon.admin_address();
        let shutdown = Shutdown::when(async {
            let _ = stopped.await;
        });
        let task = tokio::spawn(daemon.run(shutdown.clone()));
        RunningDaemon { http, nbd, ops, core, shutdown, stop: Some(stop), task }
    }

    /// Requests a graceful shutdown, as SIGTERM does.
    ///
    /// # Panics
    ///
    /// Panics when called twice, or after the scheduler ended.
    pub fn stop(&mut self) {
        let _ = self.stop.take().unwrap().send(());
    }

    /// Aborts the scheduler without a graceful shutdown, as a crash does.
    pub fn crash(self) {
        self.task.abort();
    }

    /// Waits until the scheduler ends after a shutdown.
    pub async fn wait_for_exit(self) {
        self.task.await.unwrap();
    }
}

//! A process's runtime, signals and descriptor limit.

use log::{info, warn};
use std::future::Future;
use std::pin::Pin;
use tokio::signal::unix::{SignalKind, signal};

/// Descriptors that are reserved for files and the runtime.
const RESERVED_DESCRIPTORS: usize = 64;

/// Raises the process's limit on descriptors to `max_fds`, or as far as the machine allows; the default is
/// far lower. Returns how many connections may be open at once.
pub fn allow_connections(max_fds: usize) -> usize {
    let allowed = match rlimit::increase_nofile_limit(max_fds as u64) {
        Ok(limit) => usize::try_from(limit).unwrap_or(max_fds).min(max_fds),
        Err(error) => {
            warn!("descriptor limit not raised: {error}");
            rlimit::getrlimit(rlimit::Resource::NOFILE)
                .map_or(max_fds, |(soft, _)| soft as usize)
                .min(max_fds)
        }
    };
    info!("descriptor limit: descriptors={allowed}");
    allowed.saturating_sub(RESERVED_DESCRIPTORS)
}

/// Runs a process's main task, and all local tasks that it spawns, on this thread. Returns when the main task
/// does; local tasks that are left are dropped at their await points.
///
/// # Errors
/// A runtime that can't be built.
pub fn run<T>(main: impl Future<Output = T>) -> std::io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    Ok(local.block_on(&runtime, main))
}

/// Completes when the process is to shut down.
pub type Stop = Pin<Box<dyn Future<Output = std::io::Result<()>>>>;

/// Waits for SIGTERM or SIGINT. Signals are observed from the first poll on.
///
/// # Errors
/// A signal handler that can't be installed.
pub async fn stop_requested() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        biased;
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Calls `reload` for each SIGHUP, which from the first poll on does not end the process.
///
/// # Errors
/// A signal handler that can't be installed.
pub async fn on_hangup(mut reload: impl FnMut()) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    while hangup.recv().await.is_some() {
        reload();
    }
    Ok(())
}

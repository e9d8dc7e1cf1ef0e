//! The frame of a process: its runtime, its signals and its end.

use std::future::Future;
use tokio::signal::unix::{SignalKind, signal};

/// Runs a process's main task, and all that it spawns, on this thread.
pub fn run<T>(main: impl Future<Output = T>) -> std::io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    Ok(local.block_on(&runtime, main))
}

/// Waits for SIGTERM or an interrupt.
pub async fn told_to_stop() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Keeps SIGHUP from ending the process, and calls `reload` for each.
pub async fn on_hangup(mut reload: impl FnMut()) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    while hangup.recv().await.is_some() {
        reload();
    }
    Ok(())
}

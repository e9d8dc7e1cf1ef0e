//! The way from a stop signal to the exit.

use std::io;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// After the signal, connections are still accepted for this long: clients hear of the stop late.
pub const KEEP_ACCEPTING: Duration = Duration::from_millis(700);

/// How far the stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing was said.
    Running,
    /// The signal came: still accepting, each answer closes its connection.
    Leaving,
    /// No new work; what was taken is finished.
    Draining,
}

/// Tells every part of the program how far the stop has come.
#[derive(Clone)]
pub struct Shutdown {
    phase: watch::Receiver<Phase>,
}

impl Shutdown {
    /// Starts a stop when SIGTERM arrives.
    pub fn on_sigterm() -> io::Result<Self> {
        let mut sigterm = signal(SignalKind::terminate())?;
        Ok(Shutdown::when(async move {
            sigterm.recv().await;
        }))
    }

    /// Starts a stop when `told` resolves.
    pub fn when(told: impl Future<Output = ()> + Send + 'static) -> Self {
        let (sender, phase) = watch::channel(Phase::Running);
        tokio::spawn(async move {
            told.await;
            tracing::info!("told to stop");
            sender.send_replace(Phase::Leaving);
            tokio::time::sleep(KEEP_ACCEPTING).await;
            sender.send_replace(Phase::Draining);
            // The phase stays readable for as long as anyone holds a receiver.
            sender.closed().await;
        });
        Shutdown { phase }
    }

    /// How far the stop has come.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the stop has come this far.
    pub async fn reached(&self, phase: Phase) {
        let mut receiver = self.phase.clone();
        // The sender lives as long as any receiver, so this ends only when the phase is there.
        let _ = receiver.wait_for(|&now| now >= phase).await;
    }
}

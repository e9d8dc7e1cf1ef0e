//! The phases from a stop signal to the exit.
//!
//! Guards against requests that are lost because clients learn of a stop late, and against answers that the
//! platform's kill cuts off: connections are accepted for a while after the signal, then served, then
//! drained, all before the kill.

use pointcross_core::decide::Settings;
use std::io;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::Instant;

/// How long connections are still accepted after the signal: clients learn of the stop late.
pub const ACCEPT_GRACE: Duration = Duration::from_millis(700);
/// The platform kills no sooner than the longest deadline after the signal, taken as this at the most, and
/// `ACCEPT_GRACE` more.
const MAX_GRACE: Duration = Duration::from_secs(3);
/// Every answer to a late request is given this long before the kill.
const MARGIN: Duration = Duration::from_millis(300);

/// What a draining front waits beyond the longest deadline, in seconds, for answers to be written.
const DRAIN_MARGIN_S: f64 = 0.2;

/// How long a draining front waits for its connections: every request that was taken has ended by then.
pub(crate) fn drain_timeout(settings: &Settings) -> Duration {
    let longest = settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
    Duration::from_secs_f64(longest / 1000.0 + DRAIN_MARGIN_S)
}

/// The phases of a stop, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No stop was requested.
    Running,
    /// A stop was requested: connections are still accepted, but the scheduler is no longer ready.
    StopRequested,
    /// No new connections. Clients go on using the ones they have, since no other process takes this one's
    /// place before it has ended.
    NotAccepting,
    /// No new requests; each answer closes its connection, and requests that were taken are finished.
    Draining,
}

/// The stop as every part of the program sees it. Cloned, it is the same stop.
#[derive(Clone)]
pub struct Shutdown {
    phase: watch::Receiver<Phase>,
    /// The longest deadline of a request, once it is known.
    longest_request: Arc<OnceLock<Duration>>,
    requested_at: Arc<OnceLock<Instant>>,
}

impl Shutdown {
    /// Starts a stop when SIGTERM arrives.
    ///
    /// # Errors
    /// A signal handler that could not be set up.
    pub fn on_sigterm() -> io::Result<Self> {
        let mut sigterm = signal(SignalKind::terminate())?;
        Ok(Shutdown::when(async move {
            sigterm.recv().await;
        }))
    }

    /// Starts a stop when `requested` resolves.
    ///
    /// The task that moves the phases on is detached: it ends once the stop is over and no clone is left.
    pub fn when(requested: impl Future<Output = ()> + Send + 'static) -> Self {
        let (sender, phase) = watch::channel(Phase::Running);
        let shutdown = Shutdown { phase, longest_request: Arc::default(), requested_at: Arc::default() };
        let (longest, requested_at) = (shutdown.longest_request.clone(), shutdown.requested_at.clone());
        tokio::spawn(async move {
            requested.await;
            tracing::info!("shutdown started");
            let now = *requested_at.get_or_init(Instant::now);
            sender.send_replace(Phase::StopRequested);
            tokio::time::sleep_until(now + ACCEPT_GRACE).await;
            sender.send_replace(Phase::NotAccepting);
            // As long again as connections were accepted is left for the last answers.
            tokio::time::sleep_until(now + longest.get().copied().unwrap_or_default().min(MAX_GRACE)).await;
            sender.send_replace(Phase::Draining);
            // The phase stays readable for as long as there is a receiver.
            sender.closed().await;
        });
        shutdown
    }

    /// Sets how long a request may take at most; unset, [`Phase::NotAccepting`] ends as soon as it begins.
    /// Only the first call counts.
    pub fn set_longest_request(&self, longest: Duration) {
        let _ = self.longest_request.set(longest);
    }

    /// When a request that arrives now must be answered at the latest: before the platform kills. Requests
    /// that arrived while connections were still accepted have no such bound.
    pub fn answer_by(&self) -> Option<Instant> {
        let requested_at = self.requested_at.get().filter(|_| self.phase() >= Phase::NotAccepting)?;
        let grace = self.longest_request.get().copied().unwrap_or_default().min(MAX_GRACE);
        Some(*requested_at + grace + ACCEPT_GRACE - MARGIN)
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the stop has reached `phase`. Cancel safe.
    pub async fn reached(&self, phase: Phase) {
        let mut receiver = self.phase.clone();
        // The sender lives as long as any receiver, so this ends only when the phase is there.
        let _ = receiver.wait_for(|&now| now >= phase).await;
    }
}

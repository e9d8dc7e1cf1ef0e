//! Whether this process serves clients: the operators' switch, the state of the listener, and whether a
//! replacement serves beside it.
//!
//! Guards against clients whose connections are closed before they have learned that the scheduler went out
//! of service, and against a plan's limit that two processes spend at once while one replaces the other.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long new connections still come after the call to go out of service, since the clients' front asks
/// `/-/ready` each 0.1 s and sends for 0.2 s more: answers close their connections and idle ones are closed
/// only after it.
pub const OUT_OF_SERVICE_GRACE: Duration = Duration::from_millis(500);

/// Whether the scheduler takes clients. Cloned, it is the same state.
#[derive(Clone)]
pub struct ServiceState {
    out_since: Arc<watch::Sender<Option<Instant>>>,
    /// Whether the clients' listener listens; a replacement binds first and listens once it can serve.
    listening: Arc<AtomicBool>,
    /// Whether a successor serves beside this process, which is stopping.
    handing_over: Arc<AtomicBool>,
}

impl Default for ServiceState {
    fn default() -> Self {
        let out_since = Arc::new(watch::channel(None).0);
        ServiceState { out_since, listening: Arc::new(AtomicBool::new(true)), handing_over: Arc::default() }
    }
}

/// How many times the hosts of a volume are counted while a successor serves beside: this process's part of a
/// limit becomes a thousandth, so that the two together stay within it.
pub const HANDOVER_HOSTS_FACTOR: f64 = 1000.0;

impl ServiceState {
    /// Records whether the clients' listener listens.
    pub fn set_listening(&self, listening: bool) {
        self.listening.store(listening, Ordering::Relaxed);
    }

    /// Whether the clients' listener listens.
    pub fn is_listening(&self) -> bool {
        self.listening.load(Ordering::Relaxed)
    }

    /// Records that a successor serves beside this stopping process, for good.
    pub fn begin_handover(&self) {
        self.handing_over.store(true, Ordering::Relaxed);
    }

    /// By how much the hosts of each volume are multiplied now.
    pub fn hosts_factor(&self) -> f64 {
        if self.handing_over.load(Ordering::Relaxed) { HANDOVER_HOSTS_FACTOR } else { 1.0 }
    }

    /// Takes the scheduler out of service from now on; a second call changes nothing.
    pub fn leave_service(&self) {
        self.out_since.send_if_modified(|since| since.is_none() && since.replace(Instant::now()).is_none());
    }

    /// Puts the scheduler back in service.
    pub fn return_to_service(&self) {
        self.out_since.send_replace(None);
    }

    /// Whether the scheduler is out of service.
    pub fn is_out_of_service(&self) -> bool {
        self.out_since.borrow().is_some()
    }

    /// Whether the scheduler has been out of service for [`OUT_OF_SERVICE_GRACE`] at least: connections close
    /// from then on.
    pub fn connections_may_close(&self) -> bool {
        self.out_since.borrow().is_some_and(|since| since.elapsed() >= OUT_OF_SERVICE_GRACE)
    }

    /// Waits until the scheduler has been out of service for [`OUT_OF_SERVICE_GRACE`] without interruption.
    /// Cancel safe.
    pub async fn wait_until_connections_may_close(&self) {
        let mut changes = self.out_since.subscribe();
        loop {
            let since = *changes.borrow_and_update();
            match since {
                None => {
                    let _ = changes.changed().await;
                }
                Some(since) => tokio::select! {
                    () = tokio::time::sleep_until(since + OUT_OF_SERVICE_GRACE) => return,
                    _ = changes.changed() => {}
                },
            }
        }
    }
}

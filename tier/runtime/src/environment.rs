//! What a process uses of its machine: network, disk, wall clock, settings file. Guarantees that nothing else
//! of a process depends on where it runs: the simulator replaces all of it.

use crate::network::{LocalFuture, Network, Tcp};
use crate::worker::WorkerMode;
use pointcross_tier_protocol::Settings;
use pointcross_tier_protocol::settings::SettingsError;
use pointcross_tier_storage::{Device, SystemDevice};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;

/// The source of wall-clock time.
#[derive(Clone, Debug)]
pub enum WallClock {
    /// The operating system's clock.
    System,
    /// Advances with the runtime's virtual clock.
    Simulated {
        /// The time at `since`, in milliseconds since the Unix epoch.
        from_ms: u64,
        /// The instant at which it showed `from_ms`.
        since: Instant,
        /// The sum of the steps since then, in milliseconds.
        stepped_ms: Rc<Cell<i64>>,
    },
}

/// Where a running process reloads its settings from.
pub trait SettingsSource {
    /// Reads and checks the settings.
    ///
    /// # Errors
    /// A file that can't be read, or a fault with its key.
    fn read(&self) -> Result<Settings, SettingsError>;
    /// Completes at the next signal that they have changed; never where no signal can be received.
    fn signalled(&self) -> LocalFuture<'_, ()>;
}

/// A process's access to its machine.
#[derive(Clone)]
pub struct Environment {
    /// The network.
    pub network: Rc<dyn Network>,
    /// Where blocking disk work is done.
    pub worker_mode: WorkerMode,
    /// The disk.
    pub device: Rc<dyn Device>,
    /// The settings file.
    pub settings: Rc<dyn SettingsSource>,
    /// The wall clock.
    pub wall_clock: WallClock,
}

impl Environment {
    /// The real machine.
    pub fn system() -> Self {
        Environment {
            network: Rc::new(Tcp),
            worker_mode: WorkerMode::Thread,
            device: Rc::new(SystemDevice),
            settings: Rc::new(SettingsFile),
            wall_clock: WallClock::System,
        }
    }

    /// The wall clock in milliseconds since the Unix epoch. It may jump both ways: only times that have to
    /// outlast the process are taken from it, timeouts never.
    pub fn wall_clock_ms(&self) -> u64 {
        match &self.wall_clock {
            WallClock::System => {
                SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
            }
            WallClock::Simulated { from_ms, since, stepped_ms } => {
                (from_ms + millis(since.elapsed())).saturating_add_signed(stepped_ms.get())
            }
        }
    }
}

/// The settings file that the environment variable names, reloaded on SIGHUP.
struct SettingsFile;

impl SettingsSource for SettingsFile {
    fn read(&self) -> Result<Settings, SettingsError> {
        Settings::from_environment()
    }

    fn signalled(&self) -> LocalFuture<'_, ()> {
        Box::pin(async {
            let Ok(mut hangup) = signal(SignalKind::hangup()) else {
                return std::future::pending().await;
            };
            if hangup.recv().await.is_none() {
                std::future::pending::<()>().await;
            }
        })
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

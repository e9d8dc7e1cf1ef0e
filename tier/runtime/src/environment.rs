//! What a process has from its machine: network, clock of the day, a way to wait for its disk. Tests put others in
//! their place; nothing else of a process depends on where it runs.

use crate::network::{Network, Tcp};
use crate::worker::WorkerMode;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The clock of the day.
#[derive(Clone, Copy, Debug)]
pub enum DayClock {
    /// The system's.
    System,
    /// Counts with the runtime's clock from a beginning, in milliseconds.
    Counted {
        /// What it showed at `since`.
        from_ms: u64,
        /// When it showed that.
        since: Instant,
    },
}

/// A process's surroundings.
#[derive(Clone)]
pub struct Environment {
    /// Its network.
    pub network: Rc<dyn Network>,
    /// Where it waits for its disk.
    pub worker_mode: WorkerMode,
    /// The clock of the day.
    pub day_clock: DayClock,
}

impl Environment {
    /// The machine's own.
    pub fn system() -> Self {
        Environment { network: Rc::new(Tcp), worker_mode: WorkerMode::Thread, day_clock: DayClock::System }
    }

    /// Milliseconds of the day's clock. It may jump; only what outlasts the process is dated by it.
    pub fn day_ms(&self) -> u64 {
        match self.day_clock {
            DayClock::System => {
                SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
            }
            DayClock::Counted { from_ms, since } => from_ms + millis(since.elapsed()),
        }
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

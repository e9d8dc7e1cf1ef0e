//! Coordination among schedulers, for installations whose schedulers may talk to one another; off on the
//! platform.
//!
//! Guarantees that machines are drained for maintenance in one order that all schedulers agree on, and never
//! more at once than the operators' rules allow, whichever schedulers crash or are partitioned.
//!
//! [`maintenance`] decides, without I/O and clock, and has a model for a model checker. [`consensus`]
//! replicates the plan's commands (Raft, by `openraft`), [`swim`] detects failed schedulers (SWIM, by
//! `foca`), [`wire`] carries the messages of both, and [`driver`] runs them together.
#![warn(missing_docs)]

pub mod consensus;
pub mod driver;
pub mod maintenance;
pub mod settings;
pub mod swim;
pub mod wire;

/// The system's clock in Unix milliseconds. Leases compare the times of different schedulers: the platform's
/// machines share one clock.
pub(crate) fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

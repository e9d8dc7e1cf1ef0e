//! Whether a turn that a store doesn't have may have been lost with an earlier disk of that store.
//!
//! Guarantees that a store does not deny a turn which its lost disk may have had: for
//! [`UNCERTAIN_AFTER_NEW_DISK`] after a new disk was made, an unknown turn is reported as uncertain.

use std::time::Duration;

/// How long after a store's disk was replaced turns may still be asked for that only the earlier disk had.
pub const UNCERTAIN_AFTER_NEW_DISK: Duration = Duration::from_secs(900);

/// Until when the store's history may lack turns, on the clock of `now`; `None` where it lacks none.
///
/// `has_full_history` and `disk_age` are those of the newest disk record. The period begins anew with each
/// start of the process that finds the disk younger than the period, since `now` starts with the process.
pub fn uncertain_until(has_full_history: bool, disk_age: Duration, now: Duration) -> Option<Duration> {
    let may_lack_turns = !has_full_history && disk_age < UNCERTAIN_AFTER_NEW_DISK;
    may_lack_turns.then(|| now + UNCERTAIN_AFTER_NEW_DISK)
}

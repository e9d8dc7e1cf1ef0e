//! Scale runs: real scheduler processes beside hollow ones, before a list of any size, for the slopes of what
//! control costs a scheduler and the services it depends on.
//!
//! Guards against figures for a size that was never seen: each is read from the stand-ins' own ledgers and from the
//! kernel's counts of a process, and hollow schedulers count only where real ones beside them show the same.

pub mod hollow;
pub mod list;
pub mod meter;
pub mod result;
pub mod run;
pub mod scenario;
pub mod source;
pub mod told;
pub mod world;

pub use run::{ScaleError, ScaleSettings, rehearse};
pub use scenario::ScaleScenario;

/// Now, in Unix microseconds: the stamp of everything that processes of a run compare with each other.
pub fn unix_us() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}

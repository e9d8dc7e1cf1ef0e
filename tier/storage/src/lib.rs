//! A ring of preallocated files that holds checksummed records.
//!
//! Guarantees that what [`Ring::append`] followed by [`Ring::sync`] wrote outlasts a loss of power. What was
//! not synced may be lost or torn: recovery reads each file's records up to the first one that is incomplete.
//! Every record's checksum includes that of the record before it, so that bytes of an earlier use of the file
//! are never read as records.
//!
//! Records are appended to one file after the other. A file is overwritten when its owner calls
//! [`Ring::advance`], having ensured that no record in it is needed.
//!
//! The format is described in `docs/formats/storage.md`.
#![warn(missing_docs)]

mod device;
mod error;
mod format;
mod inspect;
mod recovery;
mod ring;

pub use device::{Device, DeviceFile, SystemDevice};
pub use error::RingError;
pub use format::{FILE_HEADER_LENGTH, RECORD_HEADER_LENGTH};
pub use inspect::{FileReport, inspect};
pub use ring::{Location, Recovered, RecoveredRecord, Ring, RingLayout};

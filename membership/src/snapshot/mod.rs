//! The saved list: a log of changes with a checksum for each, written by a thread of its own and made anew when
//! it has grown. The form is described in `docs/design/membership.md`.

mod file;
mod format;

pub use file::{LockedSnapshot, OpenError, SnapshotWriter, now_stamp, read_file};
pub use format::{FormatError, Loaded, RECORD_MARK, VERSION, decode, encode_image, encode_record};

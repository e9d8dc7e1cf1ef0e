//! Why a ring can't be opened, read or written.

use snafu::Snafu;
use std::path::PathBuf;

/// Why a ring can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RingError {
    /// The system refused an operation on a file.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A record doesn't fit in the current file; it fits in none where it is longer than a file.
    #[snafu(display("a record of {length} bytes does not fit in a file of {file_length}"))]
    TooLong {
        /// The record's length in bytes, without its header.
        length: usize,
        /// A file's length in bytes.
        file_length: u64,
    },
}

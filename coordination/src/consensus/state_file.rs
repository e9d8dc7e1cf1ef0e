//! The file that holds vote, log and snapshot.
//!
//! Guards against a crash in the middle of a write: the file is written under another name, synced and
//! renamed, so that it is complete at any moment. A file that is damaged or of another kind is an error that
//! ends the start: a scheduler that forgets its vote could vote twice in a term.
//!
//! Form: one line with the form's name, its version and the CRC-32C of the rest in hexadecimal, then one JSON
//! object.

use super::TypeConfig;
use crate::maintenance::decide::Plan;
use openraft::{BasicNode, Entry, LogId, SnapshotMeta, Vote};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The start of the first line; the number is the version of the form.
const HEADER: &str = "pointcross plan 1 ";

/// A snapshot as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct StoredSnapshot {
    pub(super) meta: SnapshotMeta<u64, BasicNode>,
    pub(super) plan: Plan,
}

/// What outlasts the process.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct PersistentState {
    pub(super) vote: Option<Vote<u64>>,
    pub(super) purged: Option<LogId<u64>>,
    pub(super) entries: BTreeMap<u64, Entry<TypeConfig>>,
    pub(super) snapshot: Option<StoredSnapshot>,
}

/// Why the state file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// It cannot be read.
    #[error("{path}: {error}")]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        error: io::Error,
    },
    /// It is not a state file, or was damaged.
    #[error("{path}: {error}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with it, by line.
        error: InvalidStateFile,
    },
}

/// What is wrong with the contents of a state file.
#[derive(Debug, thiserror::Error)]
pub enum InvalidStateFile {
    /// It has no first line.
    #[error("line 1: not a plan's file")]
    NoHeader,
    /// The first line does not begin as one of this version does.
    #[error("line 1: not a plan's file of this version")]
    UnknownVersion,
    /// The checksum of the contents is not the one in the first line.
    #[error("line 2: not what its sum says: torn or changed")]
    ChecksumMismatch,
    /// The checksum is right, and the contents are not a state.
    #[error("line 2: {0}")]
    Json(#[from] serde_json::Error),
}

/// Reads a state file. One that does not exist is an empty state.
///
/// # Errors
/// [`StateError`], naming the file.
pub(super) fn read(path: &Path) -> Result<PersistentState, StateError> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(PersistentState::default()),
        Err(error) => return Err(StateError::Io { path: path.to_owned(), error }),
    };
    parse(&text).map_err(|error| StateError::Invalid { path: path.to_owned(), error })
}

fn parse(text: &str) -> Result<PersistentState, InvalidStateFile> {
    let (header, body) = text.split_once('\n').ok_or(InvalidStateFile::NoHeader)?;
    let checksum = header.strip_prefix(HEADER).ok_or(InvalidStateFile::UnknownVersion)?;
    let expected = u32::from_str_radix(checksum, 16).ok();
    if expected != Some(crc32c::crc32c(body.as_bytes())) {
        return Err(InvalidStateFile::ChecksumMismatch);
    }
    Ok(serde_json::from_str(body)?)
}

/// Replaces the file, and returns once the contents are on the disk.
///
/// # Errors
/// The system's; the old file is then still there.
pub(super) fn write(path: &Path, body: &str) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = std::fs::File::create(&temporary)?;
    file.write_all(format!("{HEADER}{:08x}\n{body}", crc32c::crc32c(body.as_bytes())).as_bytes())?;
    file.sync_data()?;
    std::fs::rename(&temporary, path)
}

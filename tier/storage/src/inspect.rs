//! Reports what a ring's files have, without changing them; for operators and tests.

use crate::error::{IoSnafu, RingError};
use crate::format::{self, FILE_HEADER_LENGTH, RecordReader};
use snafu::ResultExt;
use std::path::{Path, PathBuf};

/// What one file of a ring has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileReport {
    /// The file.
    pub path: PathBuf,
    /// Its generation; `None` where it was never used, or its header is incomplete or damaged.
    pub generation: Option<u64>,
    /// The number of complete records.
    pub records: usize,
    /// The offset behind the last complete record; 0 where there is no generation.
    pub end: u64,
    /// The file's length in bytes.
    pub length: u64,
    /// Whether bytes behind the end are not zero: a torn record, or one of an earlier use of the file.
    pub has_trailing_bytes: bool,
}

/// Reports on each file of the ring in this folder, in the order of their names.
///
/// Fails where the folder or one of the files can't be read.
///
/// # Errors
/// A folder or file that can't be read.
pub fn inspect(folder: &Path) -> Result<Vec<FileReport>, RingError> {
    let entries = std::fs::read_dir(folder).context(IoSnafu { path: folder })?;
    let mut paths: Vec<PathBuf> = entries
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("ring-")))
        .collect();
    paths.sort();
    paths.iter().map(|path| inspect_file(path)).collect()
}

fn inspect_file(path: &Path) -> Result<FileReport, RingError> {
    let bytes = std::fs::read(path).context(IoSnafu { path })?;
    let generation = format::read_file_header(&bytes);
    let (mut records, mut end) = (0, 0);
    if let Some(generation) = generation {
        let checksum = format::file_checksum(generation);
        let mut reader = RecordReader { checksum, rest: &bytes[FILE_HEADER_LENGTH..] };
        records = reader.by_ref().count();
        end = bytes.len() - reader.rest.len();
    }
    Ok(FileReport {
        path: path.to_owned(),
        generation,
        records,
        end: end as u64,
        length: bytes.len() as u64,
        has_trailing_bytes: bytes[end..].iter().any(|byte| *byte != 0),
    })
}

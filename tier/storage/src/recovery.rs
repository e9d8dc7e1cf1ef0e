//! Reads the files of a ring when it is opened.
//!
//! Guarantees that each file's records are read up to the first one that is incomplete or damaged, after
//! whatever writes a loss of power has torn, and that what is skipped behind them is logged.

use crate::device::{Device, DeviceFile};
use crate::error::{IoSnafu, RingError};
use crate::format::{self, FILE_HEADER_LENGTH, RECORD_HEADER_LENGTH, RecordReader};
use bytes::Bytes;
use log::warn;
use snafu::ResultExt;
use std::fs::File;
use std::io;
use std::path::Path;

/// Bytes of a file that are read at once; more where one record is longer.
const READ_BYTES: usize = 1024 * 1024;

/// A file that was opened and read.
pub struct OpenedFile {
    /// The file.
    pub file: Box<dyn DeviceFile>,
    /// What it has.
    pub contents: FileContents,
}

/// What a file of a ring has.
pub struct FileContents {
    /// The file's generation; 0 where it was never used.
    pub generation: u64,
    /// The bodies of its complete records.
    pub bodies: Vec<Bytes>,
    /// The offset of the next record; 0 where the file has no header yet.
    pub end: u64,
    /// The checksum that the next record continues.
    pub checksum: u32,
}

/// Opens a file of this length, or makes it, and reads its complete records.
pub fn open_file(device: &dyn Device, path: &Path, length: u64) -> Result<OpenedFile, RingError> {
    let mut file = device.open(path, length).context(IoSnafu { path })?;
    let header = file.read_at(0, FILE_HEADER_LENGTH).context(IoSnafu { path })?;
    let contents = match format::read_file_header(&header) {
        Some(generation) => read_records(&mut *file, path, generation).context(IoSnafu { path })?,
        None => FileContents { generation: 0, bodies: Vec::new(), end: 0, checksum: 0 },
    };
    Ok(OpenedFile { file, contents })
}

/// Reads a file's complete records, a chunk of the file at a time: most of a file is unused for a long time.
fn read_records(file: &mut dyn DeviceFile, path: &Path, generation: u64) -> io::Result<FileContents> {
    let mut end = FILE_HEADER_LENGTH as u64;
    let mut checksum = format::file_checksum(generation);
    let mut bodies = Vec::new();
    let mut chunk_length = READ_BYTES;
    loop {
        let bytes = file.read_at(end, chunk_length)?;
        let mut reader = RecordReader { checksum, rest: &bytes };
        bodies.extend(reader.by_ref().map(Bytes::copy_from_slice));
        checksum = reader.checksum;
        let rest = reader.rest;
        end += (bytes.len() - rest.len()) as u64;
        let is_file_end = bytes.len() < chunk_length;
        let next_length = format::record_length(rest);
        // The chunk ends within a record's header or body: more bytes may complete it.
        let is_cut_by_chunk =
            rest.len() < RECORD_HEADER_LENGTH || next_length.is_some_and(|length| length > rest.len());
        if is_file_end || !is_cut_by_chunk {
            warn_of_incomplete_record(path, end, rest);
            return Ok(FileContents { generation, bodies, end, checksum });
        }
        chunk_length = READ_BYTES.max(next_length.unwrap_or(0));
    }
}

/// Logs that bytes behind the last complete record are skipped: a torn record, or one of an earlier use of
/// the file.
fn warn_of_incomplete_record(path: &Path, end: u64, rest: &[u8]) {
    if rest.iter().take(RECORD_HEADER_LENGTH).any(|byte| *byte != 0) {
        warn!("incomplete record skipped: file={} offset={end}", path.display());
    }
}

/// Makes the names in a folder, and the folder's own name, outlast a loss of power.
pub fn sync_folder(folder: &Path) -> Result<(), RingError> {
    let opened = File::open(folder).context(IoSnafu { path: folder })?;
    opened.sync_all().context(IoSnafu { path: folder })?;
    if let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
        // A parent that can't be opened was there before this process: its name needs no sync.
        if let Ok(parent) = File::open(parent) {
            let _ = parent.sync_all();
        }
    }
    Ok(())
}

//! The ring: appends records to the current file, syncs them, and moves on to the next file.

use crate::device::{Device, DeviceFile};
use crate::error::{IoSnafu, RingError, TooLongSnafu};
use crate::format::{self, FILE_HEADER_LENGTH, RECORD_HEADER_LENGTH};
use crate::recovery::{self, FileContents, OpenedFile};
use bytes::Bytes;
use snafu::ResultExt;
use std::cmp::Reverse;
use std::path::{Path, PathBuf};

/// The size of a ring. It stays the same for as long as the folder is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingLayout {
    /// The number of files; two or more.
    pub files: usize,
    /// The length of each file in bytes.
    pub file_length: u64,
}

/// Where a record is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Location {
    /// The generation of its file. Each use of a file has a generation of its own; they rise by one, from 1
    /// on.
    pub generation: u64,
}

/// A record that was read when the ring was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredRecord {
    /// Where it is.
    pub location: Location,
    /// The bytes that were appended.
    pub body: Bytes,
}

/// An opened ring and what its folder has.
#[derive(Debug)]
pub struct Recovered {
    /// The ring, ready to append.
    pub ring: Ring,
    /// All complete records, oldest first.
    pub records: Vec<RecoveredRecord>,
    /// Whether the folder had no file of the ring.
    pub was_empty: bool,
}

#[derive(Debug)]
struct RingFile {
    path: PathBuf,
    file: Box<dyn DeviceFile>,
    /// 0 where it was never used.
    generation: u64,
}

/// A ring of files in a folder.
///
/// What is in the buffer follows the byte at `position` of the current file; `checksum` is that of the last
/// record in the buffer, or in the file where the buffer is empty.
#[derive(Debug)]
pub struct Ring {
    layout: RingLayout,
    files: Vec<RingFile>,
    /// The index of the file that is being written.
    current: usize,
    position: u64,
    checksum: u32,
    buffer: Vec<u8>,
}

impl Ring {
    /// Opens the ring in this folder, or makes one, with the folder where that is missing.
    ///
    /// # Panics
    ///
    /// Where the layout has fewer than two files.
    ///
    /// # Errors
    /// A folder or file that can't be made or read.
    pub fn open(device: &dyn Device, folder: &Path, layout: RingLayout) -> Result<Recovered, RingError> {
        assert!(layout.files >= 2, "a ring has two files or more");
        std::fs::create_dir_all(folder).context(IoSnafu { path: folder })?;
        let mut was_empty = true;
        let mut files = Vec::with_capacity(layout.files);
        let mut contents = Vec::new();
        for index in 0..layout.files {
            let path = folder.join(format!("ring-{index:03}"));
            was_empty &= !path.exists();
            let opened = recovery::open_file(device, &path, layout.file_length)?;
            let OpenedFile { file, contents: file_contents } = opened;
            files.push(RingFile { path, file, generation: file_contents.generation });
            contents.push(file_contents);
        }
        if was_empty {
            recovery::sync_folder(folder)?;
        }
        let ring = Ring::resume(layout, files, &contents)?;
        Ok(Recovered { ring, records: oldest_first(contents), was_empty })
    }

    /// Continues after the last complete record of the newest generation; an unused ring begins with its first
    /// file.
    fn resume(
        layout: RingLayout,
        files: Vec<RingFile>,
        contents: &[FileContents],
    ) -> Result<Self, RingError> {
        let newest = |index: &usize| (files[*index].generation, Reverse(*index));
        let current = (0..files.len()).max_by_key(newest).expect("a ring has two files or more");
        let FileContents { end: position, checksum, .. } = contents[current];
        let mut ring = Ring { layout, files, current, position, checksum, buffer: Vec::new() };
        if ring.files[current].generation == 0 {
            ring.begin_file(current, 1);
            ring.sync()?;
        }
        Ok(ring)
    }

    /// The generation of the file that is being written.
    pub fn current(&self) -> Location {
        Location { generation: self.files[self.current].generation }
    }

    /// The generation whose records are overwritten by [`Ring::advance`]; `None` while the next file is
    /// unused.
    pub fn next_overwritten(&self) -> Option<Location> {
        let next = &self.files[(self.current + 1) % self.files.len()];
        (next.generation > 0).then_some(Location { generation: next.generation })
    }

    /// Whether a record of this many bytes fits in the current file.
    pub fn fits(&self, length: usize) -> bool {
        let end = self.position + self.buffer.len() as u64 + (RECORD_HEADER_LENGTH + length) as u64;
        end <= self.layout.file_length
    }

    /// Bytes that an empty file has for records and their headers.
    pub fn file_capacity(&self) -> u64 {
        self.layout.file_length - FILE_HEADER_LENGTH as u64
    }

    /// Moves on to the next file. Its records are lost: the caller has ensured that none is needed.
    ///
    /// Fails, and stays at the current file, where what was appended can't be synced.
    ///
    /// # Errors
    /// A write or sync that failed.
    pub fn advance(&mut self) -> Result<(), RingError> {
        self.sync()?;
        let generation = self.files[self.current].generation + 1;
        let next = (self.current + 1) % self.files.len();
        self.begin_file(next, generation);
        Ok(())
    }

    /// Makes a file the current one. Its header is written by the next sync.
    fn begin_file(&mut self, index: usize, generation: u64) {
        self.current = index;
        self.files[index].generation = generation;
        self.position = 0;
        self.checksum = format::file_checksum(generation);
        self.buffer.extend_from_slice(&format::file_header(generation));
    }

    /// Appends a record to what the next sync writes.
    ///
    /// Fails where [`Ring::fits`] is false: the caller has to [`Ring::advance`] first.
    ///
    /// # Errors
    /// A record that is longer than what is left of the file.
    pub fn append(&mut self, body: &[u8]) -> Result<Location, RingError> {
        if !self.fits(body.len()) {
            return TooLongSnafu { length: body.len(), file_length: self.layout.file_length }.fail();
        }
        self.checksum = format::write_record(self.checksum, body, &mut self.buffer);
        Ok(self.current())
    }

    /// Writes what was appended and waits until it outlasts a loss of power.
    ///
    /// After a failure nothing of it counts as written, since the system may have dropped the pages that it
    /// failed to write: the next call rewrites all of it, from where the last sync that succeeded ended.
    ///
    /// # Errors
    /// A write or sync that failed; the next call writes all of it again.
    pub fn sync(&mut self) -> Result<(), RingError> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let RingFile { path, file, .. } = &mut self.files[self.current];
        file.write_at(self.position, &self.buffer).context(IoSnafu { path: &*path })?;
        file.sync().context(IoSnafu { path: &*path })?;
        self.position += self.buffer.len() as u64;
        self.buffer.clear();
        Ok(())
    }
}

/// The records of all files in the order of their generations.
fn oldest_first(mut contents: Vec<FileContents>) -> Vec<RecoveredRecord> {
    contents.sort_by_key(|contents| contents.generation);
    let mut records = Vec::new();
    for FileContents { generation, bodies, .. } in contents {
        let location = Location { generation };
        records.extend(bodies.into_iter().map(|body| RecoveredRecord { location, body }));
    }
    records
}

//! The disk under a ring: the system's files, or a simulated disk in tests.
//!
//! What a ring guarantees rests on [`DeviceFile::sync`]: bytes that were written before it returned without
//! an error outlast a loss of power. Bytes that were not synced may be lost, or written in part and in any
//! order.

use std::fmt::Debug;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

/// Opens the files of rings.
pub trait Device: Debug {
    /// Opens a file for reading and writing, makes it where it is missing, and sets its length in bytes.
    /// Bytes that were never written are zero.
    ///
    /// # Errors
    /// The error of the operating system.
    fn open(&self, path: &Path, length: u64) -> io::Result<Box<dyn DeviceFile>>;
}

/// An open file.
pub trait DeviceFile: Debug + Send {
    /// Reads up to `max_length` bytes from an offset on; fewer only at the file's end.
    ///
    /// # Errors
    /// The error of the operating system.
    fn read_at(&mut self, position: u64, max_length: usize) -> io::Result<Vec<u8>>;
    /// Writes at an offset, within the file's length.
    ///
    /// # Errors
    /// The error of the operating system; the bytes count as unwritten.
    fn write_at(&mut self, position: u64, bytes: &[u8]) -> io::Result<()>;
    /// Waits until all that was written outlasts a loss of power.
    ///
    /// # Errors
    /// The error of the operating system; nothing since the last sync counts as durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// The files of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemDevice;

impl Device for SystemDevice {
    fn open(&self, path: &Path, length: u64) -> io::Result<Box<dyn DeviceFile>> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        if file.metadata()?.len() != length {
            file.set_len(length)?;
            file.sync_all()?;
        }
        Ok(Box::new(SystemFile(file)))
    }
}

#[derive(Debug)]
struct SystemFile(File);

impl DeviceFile for SystemFile {
    fn read_at(&mut self, position: u64, max_length: usize) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.0.seek(SeekFrom::Start(position))?;
        (&mut self.0).take(max_length as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write_at(&mut self, position: u64, bytes: &[u8]) -> io::Result<()> {
        self.0.seek(SeekFrom::Start(position))?;
        self.0.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }
}

//! Watches the file of a source, and publishes its document when it changes.
//!
//! Guards against a change that is missed: the file is checked at an interval and at each SIGHUP, and one
//! that was read soon after its change is read again.

use super::shared::Shared;
use crate::decide::FILE_CHECK_INTERVAL;
use crate::driver::read_bounded;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::signal::unix::Signal;
use tokio::time::MissedTickBehavior;

/// A file that changed less than this before it was read is read again: a second change may have the same
/// time stamp.
const TIMESTAMP_RESOLUTION: Duration = Duration::from_secs(2);

/// What distinguishes a file from a changed one.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct FileStamp {
    modified: Option<SystemTime>,
    length: u64,
    inode: u64,
    /// Whether a second change may not show in the other fields.
    is_recent: bool,
}

impl FileStamp {
    pub(super) async fn read(path: &Path) -> io::Result<Self> {
        let metadata = tokio::fs::metadata(path).await?;
        let modified = metadata.modified().ok();
        let age = modified.and_then(|modified| SystemTime::now().duration_since(modified).ok());
        let is_recent = age.is_none_or(|age| age < TIMESTAMP_RESOLUTION);
        Ok(FileStamp { modified, length: metadata.len(), inode: metadata.ino(), is_recent })
    }
}

/// Watches one file.
pub(super) struct FileWatch {
    file: PathBuf,
    max_bytes: usize,
    /// The stamp before the file was last read.
    stamp: FileStamp,
    hangup: Signal,
}

impl FileWatch {
    pub(super) fn new(file: PathBuf, max_bytes: usize, stamp: FileStamp, hangup: Signal) -> Self {
        FileWatch { file, max_bytes, stamp, hangup }
    }

    /// Runs for as long as the program does. The same fault is logged once, however often it is found, and
    /// again at each SIGHUP.
    pub(super) async fn run(mut self, shared: &Shared) {
        let mut check = tokio::time::interval(FILE_CHECK_INTERVAL);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_fault = None;
        loop {
            let signalled = tokio::select! {
                _ = check.tick() => false,
                Some(()) = self.hangup.recv() => true,
            };
            let fault = match FileStamp::read(&self.file).await {
                Ok(stamp) if stamp == self.stamp && !stamp.is_recent && !signalled => continue,
                Ok(stamp) => {
                    self.stamp = stamp;
                    self.publish(shared).await.err()
                }
                Err(error) => Some(error.to_string()),
            };
            if let Some(fault) =
                fault.as_ref().filter(|fault| signalled || last_fault.as_ref() != Some(*fault))
            {
                let version = shared.table().version();
                tracing::error!(file = %self.file.display(), fault, version, "configuration file rejected");
            }
            last_fault = fault;
        }
    }

    async fn publish(&self, shared: &Shared) -> Result<(), String> {
        let text = read_bounded(&self.file, self.max_bytes).await.map_err(|error| error.to_string())?;
        let (version, is_newer) = {
            let mut table = shared.table();
            let is_newer = table.publish(shared.now(), text.into()).map_err(|error| error.to_string())?;
            (table.version(), is_newer)
        };
        if is_newer {
            shared.version.send_replace(version);
            tracing::info!(version, "configuration published");
        }
        Ok(())
    }
}

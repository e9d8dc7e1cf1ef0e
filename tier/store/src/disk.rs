//! The store's ring on disk and the thread that writes it.
//!
//! Guarantees that a write that succeeded outlasts a loss of power, and that no record that is still needed
//! is overwritten: the ring moves on to a file only after [`Disk::release`] named its generation. Until then
//! writes fail with [`WriteError::RingFull`].
//!
//! Writes that arrive during a sync are written and synced together by the next one (group commit).

use crate::record::Record;
use bytes::Bytes;
use log::error;
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::rpc;
use pointcross_tier_runtime::worker::Worker;
use pointcross_tier_storage::{Location, RecoveredRecord, Ring, RingError, RingLayout};
use snafu::Snafu;
use std::path::Path;
use tokio::sync::{mpsc, oneshot};

/// Files of the ring.
const FILES: u64 = 8;
/// The greatest length of one file, in bytes.
const MAX_FILE_LENGTH: u64 = 24 * 1024 * 1024;
/// The least size of the disk that is reckoned with, in MB.
const MIN_DISK_MB: u64 = 16;
/// The part of the disk that the ring may take, in percent.
const DISK_PERCENT: u64 = 75;
/// Files that can't be full of records in use: the one being written, and those that the rewriting of records
/// needs before the ring overwrites the next one.
const RESERVED_FILES: u64 = 3;

/// Why a record isn't safe on the disk.
#[derive(Debug, Snafu)]
pub enum WriteError {
    /// The next file still has records that are needed.
    #[snafu(display("the ring is full"))]
    RingFull,
    /// The ring did not accept the record.
    #[snafu(display("{source}"))]
    Append {
        /// The ring's reason.
        source: RingError,
    },
    /// The record was appended, and syncing it failed; the writer has logged the reason.
    #[snafu(display("sync failed"))]
    Sync,
    /// The writer's thread has ended.
    #[snafu(display("the writer has stopped"))]
    WriterStopped,
}

/// A record that was submitted for writing.
#[must_use = "a write is not safe before `finish` says so"]
pub struct PendingWrite(oneshot::Receiver<Result<Location, WriteError>>);

impl PendingWrite {
    /// Waits until the record is synced. Dropping this future does not cancel the write.
    pub async fn finish(self) -> Result<Location, WriteError> {
        self.0.await.unwrap_or(Err(WriteError::WriterStopped))
    }

    /// Lets the write go on without anyone waiting for it; the writer logs a failure.
    pub fn detach(self) {
        drop(self);
    }
}

/// Waits for all writes, in their order. Returns whether all succeeded.
pub async fn all_written(writes: Vec<PendingWrite>) -> bool {
    let mut all_written = true;
    for write in writes {
        all_written &= write.finish().await.is_ok();
    }
    all_written
}

struct WriteRequest {
    body: Vec<u8>,
    reply: oneshot::Sender<Result<Location, WriteError>>,
}

enum WriterRequest {
    Write(WriteRequest),
    Release { generation: u64 },
}

/// A handle to the writer's thread.
pub struct Disk {
    writer: Worker<WriterRequest>,
    /// Bytes of records that can be in use at once.
    pub capacity: usize,
}

/// A record that was read at the start.
pub struct StoredRecord {
    /// The generation of the file that has it.
    pub generation: u64,
    /// The record.
    pub record: Record,
}

/// An opened ring.
pub struct OpenedDisk {
    /// The disk.
    pub disk: Disk,
    /// All records, oldest first.
    pub records: Vec<StoredRecord>,
    /// Receives each generation that the ring overwrites next, as soon as it is known: what is needed of it
    /// has to be rewritten, and the generation released.
    pub overwritten_next: mpsc::UnboundedReceiver<u64>,
}

impl Disk {
    /// Opens the ring in this folder, or makes one, and starts the writer. `disk_mb` is the size of the disk.
    pub fn open(folder: &Path, disk_mb: u64, environment: &Environment) -> Result<OpenedDisk, RingError> {
        let ring_bytes = disk_mb.max(MIN_DISK_MB) * 1024 * 1024 / 100 * DISK_PERCENT;
        let file_length = (ring_bytes / FILES).min(MAX_FILE_LENGTH);
        let layout = RingLayout { files: FILES as usize, file_length };
        let recovered = Ring::open(&*environment.device, folder, layout)?;
        let records = recovered.records.iter().filter_map(decode).collect();
        let (overwritten_next_sender, overwritten_next) = mpsc::unbounded_channel();
        let mut writer =
            Writer { ring: recovered.ring, overwritten_next: overwritten_next_sender, released: 0 };
        writer.announce_overwritten_next();
        let writer = Worker::start(&environment.worker_mode, move |batch| writer.process(batch));
        let capacity = (file_length * (FILES - RESERVED_FILES)) as usize;
        Ok(OpenedDisk { disk: Disk { writer, capacity }, records, overwritten_next })
    }

    /// Submits a record for writing.
    pub fn write(&self, record: &Record) -> PendingWrite {
        let (reply, written) = oneshot::channel();
        self.writer.submit(WriterRequest::Write(WriteRequest { body: rpc::encode(record), reply }));
        PendingWrite(written)
    }

    /// Lets the ring overwrite this generation and all before it: none of their records is needed any longer.
    pub fn release(&self, generation: u64) {
        self.writer.submit(WriterRequest::Release { generation });
    }
}

/// Decodes a record. One that can't be decoded is skipped: its checksum holds, so a later version has written
/// it.
fn decode(recovered: &RecoveredRecord) -> Option<StoredRecord> {
    let body: &Bytes = &recovered.body;
    let generation = recovered.location.generation;
    let record = rpc::decode(body);
    if record.is_none() {
        error!("record skipped, can't be decoded: generation={generation} bytes={}", body.len());
    }
    Some(StoredRecord { generation, record: record? })
}

struct Writer {
    ring: Ring,
    overwritten_next: mpsc::UnboundedSender<u64>,
    /// The newest generation that may be overwritten.
    released: u64,
}

impl Writer {
    /// Processes all requests that have arrived. A release counts before the writes that arrived with it.
    fn process(&mut self, requests: Vec<WriterRequest>) {
        let mut writes = Vec::new();
        for request in requests {
            match request {
                WriterRequest::Release { generation } => self.released = self.released.max(generation),
                WriterRequest::Write(write) => writes.push(write),
            }
        }
        self.write_and_sync(writes);
    }

    fn write_and_sync(&mut self, writes: Vec<WriteRequest>) {
        let mut appended = Vec::new();
        for WriteRequest { body, reply } in writes {
            match self.append(&body) {
                Ok(location) => appended.push((reply, location)),
                Err(error) => {
                    if let WriteError::Append { source } = &error {
                        error!("record write failed: {source}");
                    }
                    let _ = reply.send(Err(error));
                }
            }
        }
        let synced = self.ring.sync();
        if let Err(error) = &synced {
            error!("record sync failed: {error}");
        }
        for (reply, location) in appended {
            let _ = reply.send(if synced.is_ok() { Ok(location) } else { Err(WriteError::Sync) });
        }
    }

    /// Appends a record, in the next file where it doesn't fit in the current one.
    fn append(&mut self, body: &[u8]) -> Result<Location, WriteError> {
        let append_error = |source| WriteError::Append { source };
        if !self.ring.fits(body.len()) {
            if self.ring.next_overwritten().is_some_and(|next| next.generation > self.released) {
                return Err(WriteError::RingFull);
            }
            self.ring.advance().map_err(append_error)?;
            self.announce_overwritten_next();
        }
        self.ring.append(body).map_err(append_error)
    }

    /// Announces the generation that has to be released before the ring can move on.
    fn announce_overwritten_next(&self) {
        if let Some(next) = self.ring.next_overwritten() {
            // Nobody receives it where the store has ended before its writer.
            let _ = self.overwritten_next.send(next.generation);
        }
    }
}

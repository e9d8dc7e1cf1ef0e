//! The acceptor's log on the disk: a ring of files with the disk's number, promises and accepted values.
//!
//! Guarantees that the newest promise and the newest accepted value that were synced can be recovered after
//! an interrupted write: each file starts with the whole state, and only the oldest of three files is
//! overwritten.

use log::{error, info};
use pointcross_tier_protocol::Directory;
use pointcross_tier_register::{Acceptor, Ballot, DurableRecord, Value};
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use pointcross_tier_runtime::rpc;
use pointcross_tier_storage::{RecoveredRecord, Ring, RingError, RingLayout};
use serde::{Deserialize, Serialize};
use std::path::Path;
use tokio::sync::oneshot;

/// Files of the ring: one in use, one before it, one to advance to.
const FILES: usize = 3;
/// The maximum length of a file. It has to hold the largest value twice: the accepted one and the next.
const MAX_FILE_LENGTH: u64 = 12 * 1024 * 1024;
/// The disk size that is assumed at least, whatever the settings say.
const MIN_DISK_MB: u64 = 16;

/// A record of the ring, in CBOR.
#[derive(Serialize, Deserialize)]
enum Record {
    /// The disk's number.
    Disk(u64),
    /// A promise or an accepted value.
    Vote(DurableRecord<Directory>),
}

/// A record to write.
pub struct WriteRequest {
    /// The record.
    pub record: DurableRecord<Directory>,
    /// Signalled once it is synced; dropped where it could not be written.
    pub done: oneshot::Sender<()>,
}

/// An opened log.
pub struct RecoveredLog {
    /// For further records.
    pub ring: Ring,
    /// The records found.
    pub records: RecoveredRecords,
}

/// Opens the data folder, and creates it where there is none. `disk_mb` is the disk's size in MB, which
/// bounds the files.
pub fn open(folder: &Path, disk_mb: u64, environment: &Environment) -> Result<RecoveredLog, RingError> {
    let disk_bytes = disk_mb.max(MIN_DISK_MB) * 1024 * 1024;
    let file_length = (disk_bytes / (FILES as u64 + 1)).min(MAX_FILE_LENGTH);
    let recovered = Ring::open(&*environment.device, folder, RingLayout { files: FILES, file_length })?;
    let records = RecoveredRecords::decode(&recovered.records);
    Ok(RecoveredLog { ring: recovered.ring, records })
}

/// What the records of the ring hold.
#[derive(Default)]
pub struct RecoveredRecords {
    /// The disk's number; nothing on a new disk.
    pub disk: Option<u64>,
    /// The acceptor's promises and accepted values, oldest first.
    pub durable: Vec<DurableRecord<Directory>>,
}

impl RecoveredRecords {
    fn decode(recovered: &[RecoveredRecord]) -> Self {
        let mut records = RecoveredRecords::default();
        for record in recovered {
            match rpc::decode::<Record>(&record.body) {
                Some(Record::Disk(number)) => records.disk = Some(number),
                Some(Record::Vote(durable)) => records.durable.push(durable),
                None => error!("unreadable register record skipped"),
            }
        }
        records
    }

    /// The value of the first ballot, which the initial members accept without a proposal.
    pub fn initial_value(&self) -> Option<Value<Directory>> {
        self.durable.iter().find_map(|record| match record {
            DurableRecord::Accept(ballot, value) if *ballot == Ballot::default() => {
                Some(value.as_ref().clone())
            }
            _ => None,
        })
    }
}

/// Writes the first records of a new disk.
pub fn write_new_disk(
    ring: &mut Ring,
    disk: u64,
    initial: Option<&Value<Directory>>,
) -> Result<(), RingError> {
    info!("new disk: number={disk:x}");
    ring.append(&rpc::encode(&Record::Disk(disk)))?;
    if let Some(value) = initial {
        let record = DurableRecord::Accept(Ballot::default(), Box::new(value.clone()));
        ring.append(&rpc::encode(&Record::Vote(record)))?;
    }
    ring.sync()
}

/// Runs on the worker. It has a state of its own, as far as the disk is, to start each file with.
pub struct LogWriter {
    ring: Ring,
    disk: u64,
    promised: Ballot,
    accepted: Option<(Ballot, Value<Directory>)>,
}

impl LogWriter {
    /// Writes to a ring that this acceptor was recovered from.
    pub fn new(ring: Ring, acceptor: &Acceptor<Directory>) -> Self {
        LogWriter {
            ring,
            disk: acceptor.disk(),
            promised: acceptor.promised(),
            accepted: acceptor.accepted().cloned(),
        }
    }

    /// Writes a batch with one sync. A request whose `done` is dropped was not written.
    pub fn process(&mut self, requests: Vec<WriteRequest>) {
        match self.write(&requests) {
            Ok(()) => acknowledge(requests),
            Err(fault) if is_injected(InjectedFault::PassOverFailedSync) => {
                error!("injected fault: acceptor write acknowledged although it failed: {fault}");
                acknowledge(requests);
            }
            Err(fault) => error!("acceptor write failed: {fault}"),
        }
    }

    fn write(&mut self, requests: &[WriteRequest]) -> Result<(), RingError> {
        for request in requests {
            self.apply(&request.record);
        }
        for request in requests {
            let body = rpc::encode(&Record::Vote(request.record.clone()));
            if !self.ring.fits(body.len()) {
                self.advance()?;
            }
            self.ring.append(&body)?;
        }
        self.ring.sync()
    }

    fn apply(&mut self, record: &DurableRecord<Directory>) {
        match record {
            DurableRecord::Promise(ballot) => self.promised = self.promised.max(*ballot),
            DurableRecord::Accept(ballot, value) => {
                self.promised = self.promised.max(*ballot);
                self.accepted = Some((*ballot, value.as_ref().clone()));
            }
        }
    }

    /// Starts the next file with the whole state, so that the files before it may be overwritten.
    fn advance(&mut self) -> Result<(), RingError> {
        self.ring.advance()?;
        self.ring.append(&rpc::encode(&Record::Disk(self.disk)))?;
        if let Some((ballot, value)) = &self.accepted {
            let record = DurableRecord::Accept(*ballot, Box::new(value.clone()));
            self.ring.append(&rpc::encode(&Record::Vote(record)))?;
        }
        self.ring.append(&rpc::encode(&Record::Vote(DurableRecord::Promise(self.promised))))?;
        Ok(())
    }
}

fn acknowledge(requests: Vec<WriteRequest>) {
    for request in requests {
        let _ = request.done.send(());
    }
}

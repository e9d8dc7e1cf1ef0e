//! The acceptor of the register on this member's disk.
//!
//! Guarantees that a promise or an accepted value is synced before its reply leaves: Paxos needs an acceptor
//! to remember both over a crash (Lamport, *Paxos Made Simple*, 2.5).
//!
//! A record that can't be written has no reply. The acceptor in memory is ahead of the disk then. That is
//! safe: what it reports of an accepted value was proposed under that ballot, whether or not this acceptance
//! counts, and the next request is answered only when all records before it are on the disk. A value that the
//! disk has no room for is not accepted at all, so that it can't block later requests.

use crate::acceptor_log::{self, LogWriter, RecoveredLog, WriteRequest};
use log::error;
use pointcross_tier_protocol::Directory;
use pointcross_tier_protocol::directory::MAX_DIRECTORY_OVERHEAD_BYTES;
use pointcross_tier_register::{Acceptor, AcceptorReply, AcceptorRequest, Ballot, Group, Value};
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use pointcross_tier_runtime::random;
use pointcross_tier_runtime::worker::Worker;
use pointcross_tier_storage::{Ring, RingError};
use snafu::Snafu;
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// The number of the disks of the initial members, which all know without asking.
const INITIAL_DISK: u64 = 0;
/// Values that a file has to hold.
const VALUES_IN_FILE: usize = 2;

/// Why a request has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum VoteError {
    /// The value's configuration is longer than the disk has room for.
    #[snafu(display("configuration too long: length={length} max={max}"))]
    ConfigurationTooLong {
        /// Its length in bytes.
        length: usize,
        /// The maximum in bytes.
        max: usize,
    },
    /// The record could not be written; the log has the cause.
    #[snafu(display("the record could not be written to the disk"))]
    WriteFailed,
}

/// An acceptor, and the worker that writes its records.
pub struct DurableAcceptor {
    acceptor: RefCell<Acceptor<Directory>>,
    writes: Worker<WriteRequest>,
    max_configuration: usize,
}

/// What opening a data folder gives.
pub struct OpenedAcceptor {
    /// The acceptor.
    pub acceptor: DurableAcceptor,
    /// The newest group that is certainly committed, where the disk has one.
    pub group: Option<Group>,
}

impl DurableAcceptor {
    /// Opens the data folder, and creates it where there is none. `first_value` is the register's first
    /// value, given at the system's first start only; `disk_mb` is the disk's size in MB.
    pub fn open(
        folder: &Path,
        disk_mb: u64,
        first_value: Option<Value<Directory>>,
        environment: &Environment,
    ) -> Result<OpenedAcceptor, RingError> {
        let RecoveredLog { mut ring, records } = acceptor_log::open(folder, disk_mb, environment)?;
        let is_initial = first_value.is_some();
        let new_disk = || if is_initial { INITIAL_DISK } else { random::unique() };
        let disk = records.disk.unwrap_or_else(new_disk);
        let initial = match disk {
            INITIAL_DISK => first_value.or_else(|| records.initial_value()),
            _ => None,
        };
        if records.disk.is_none() {
            acceptor_log::write_new_disk(&mut ring, disk, initial.as_ref())?;
        }
        let mut acceptor = Acceptor::new(disk, initial);
        for record in records.durable {
            acceptor.recover(record);
        }
        Ok(Self::start(acceptor, ring, environment))
    }

    /// Starts the worker for a recovered acceptor.
    fn start(acceptor: Acceptor<Directory>, ring: Ring, environment: &Environment) -> OpenedAcceptor {
        let group = acceptor.accepted().map(|(_, value)| value.previous_group.clone());
        let room = usize::try_from(ring.file_capacity()).unwrap_or(usize::MAX) / VALUES_IN_FILE;
        let max_configuration = room.saturating_sub(MAX_DIRECTORY_OVERHEAD_BYTES);
        let mut writer = LogWriter::new(ring, &acceptor);
        let writes = Worker::start(&environment.worker_mode, move |batch| writer.process(batch));
        let acceptor = DurableAcceptor { acceptor: RefCell::new(acceptor), writes, max_configuration };
        OpenedAcceptor { acceptor, group }
    }

    /// The disk's number.
    pub fn disk(&self) -> u64 {
        self.acceptor.borrow().disk()
    }

    /// The highest ballot promised.
    pub fn promised(&self) -> Ballot {
        self.acceptor.borrow().promised()
    }

    /// The value accepted last, with its ballot.
    pub fn accepted(&self) -> Option<(Ballot, Value<Directory>)> {
        self.acceptor.borrow().accepted().cloned()
    }

    /// The ballot of the value accepted last.
    pub fn accepted_ballot(&self) -> Option<Ballot> {
        self.acceptor.borrow().accepted().map(|(ballot, _)| *ballot)
    }

    /// The group of the value accepted last.
    pub fn accepted_group(&self) -> Option<Group> {
        self.acceptor.borrow().accepted().map(|(_, value)| value.group.clone())
    }

    /// Whether the disk proves that the group of the value accepted last is committed: a value names the
    /// group before its own as certainly committed.
    pub fn proves_group_committed(&self) -> bool {
        self.acceptor.borrow().accepted().is_none_or(|(_, value)| value.previous_group == value.group)
    }

    /// The maximum length of a configuration, in bytes: the disk has room for it twice in a file.
    pub fn max_configuration(&self) -> usize {
        self.max_configuration
    }

    /// Accepts a committed value that was learnt from another member, as if the proposer's message had just
    /// come. The task is detached: no caller depends on its result, and a value that isn't written is learnt
    /// once more after a restart.
    pub fn accept_committed(self: &Rc<Self>, ballot: Ballot, value: Value<Directory>) {
        let acceptor = self.clone();
        spawn_local(async move {
            let disk = acceptor.disk();
            let _ = acceptor.vote(AcceptorRequest::Accept { disk, ballot, value }).await;
        });
    }

    /// Fails where the request's value has no room on the disk.
    fn check_room(&self, request: &AcceptorRequest<Directory>) -> Result<(), VoteError> {
        let AcceptorRequest::Accept { value, .. } = request else { return Ok(()) };
        let (length, max) = (value.state.configuration.len(), self.max_configuration);
        if length <= max { Ok(()) } else { Err(VoteError::ConfigurationTooLong { length, max }) }
    }

    /// Handles a proposer's request. Returns the reply once its record is synced.
    pub async fn vote(
        &self,
        request: AcceptorRequest<Directory>,
    ) -> Result<AcceptorReply<Directory>, VoteError> {
        if let Err(fault) = self.check_room(&request) {
            error!("vote refused: {fault}");
            return Err(fault);
        }
        let output = self.acceptor.borrow_mut().handle(request);
        if let Some(record) = output.write {
            if is_injected(InjectedFault::VoteWithoutDisk) {
                return Ok(output.reply);
            }
            let (done, synced) = oneshot::channel();
            self.writes.submit(WriteRequest { record, done });
            synced.await.map_err(|_| VoteError::WriteFailed)?;
        }
        Ok(output.reply)
    }
}

//! Tombstones: the durable record that an instance is draining or terminated.
//!
//! Guarantees that an acknowledged end of an instance outlasts the processes of all control members: they may
//! be killed, or lose power, before any proxy was notified, and an instance that has deregistered sends
//! nothing again. A member applies an end only once it is synced here. The newest few thousand tombstones are
//! retained.

use log::{error, warn};
use pointcross_tier_protocol::{Instance, InstanceState};
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::rpc;
use pointcross_tier_runtime::worker::Worker;
use pointcross_tier_storage::{Ring, RingError, RingLayout};
use snafu::Snafu;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use tokio::sync::oneshot;

/// One file in use, one before it, one to advance to; some three thousand tombstones fit into each.
const LAYOUT: RingLayout = RingLayout { files: 3, file_length: 1024 * 1024 };
/// Tombstones remembered as written; one that is forgotten is written once more when it is sent again.
const MAX_WRITTEN: usize = 16 * 1024;

/// Tombstones could not be written to the disk; the log has the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("tombstones could not be written to the disk"))]
pub struct TombstoneWriteError;

struct WriteRequest {
    bodies: Vec<Vec<u8>>,
    done: oneshot::Sender<()>,
}

/// The tombstones on a member's disk.
pub struct Tombstones {
    written: RefCell<BTreeMap<String, InstanceState>>,
    writes: Worker<WriteRequest>,
}

/// What opening a data folder gives.
pub struct OpenedTombstones {
    /// For further tombstones.
    pub tombstones: Tombstones,
    /// Those found on the disk, oldest first.
    pub recovered: Vec<Instance>,
}

impl Tombstones {
    /// Opens the data folder, and creates it where there is none.
    pub fn open(folder: &Path, environment: &Environment) -> Result<OpenedTombstones, RingError> {
        let ring = Ring::open(&*environment.device, folder, LAYOUT)?;
        let mut recovered = Vec::new();
        for record in &ring.records {
            match rpc::decode::<Instance>(&record.body) {
                Some(instance) => recovered.push(instance),
                None => warn!("unreadable tombstone skipped"),
            }
        }
        let written = recovered.iter().map(|instance| (instance.id.clone(), instance.state)).collect();
        let mut writer = Writer { ring: ring.ring };
        let writes = Worker::start(&environment.worker_mode, move |batch| writer.process(batch));
        let tombstones = Tombstones { written: RefCell::new(written), writes };
        Ok(OpenedTombstones { tombstones, recovered })
    }

    /// Writes those of the instances that are draining or terminated and not written yet. Returns once they
    /// are synced.
    pub async fn persist<'a>(
        &self,
        instances: impl Iterator<Item = &'a Instance>,
    ) -> Result<(), TombstoneWriteError> {
        let unwritten: Vec<Instance> =
            instances.filter(|instance| self.is_unwritten(instance)).cloned().collect();
        if unwritten.is_empty() {
            return Ok(());
        }
        let bodies = unwritten.iter().map(rpc::encode).collect();
        let (done, synced) = oneshot::channel();
        self.writes.submit(WriteRequest { bodies, done });
        synced.await.map_err(|_| TombstoneWriteError)?;
        let mut written = self.written.borrow_mut();
        if written.len() > MAX_WRITTEN {
            written.clear();
        }
        written.extend(unwritten.into_iter().map(|instance| (instance.id, instance.state)));
        Ok(())
    }

    fn is_unwritten(&self, instance: &Instance) -> bool {
        let has_ended = instance.state >= InstanceState::Draining;
        has_ended && self.written.borrow().get(&instance.id).is_none_or(|written| *written < instance.state)
    }
}

/// Runs on the worker.
struct Writer {
    ring: Ring,
}

impl Writer {
    /// Writes a batch with one sync. A request whose `done` is dropped was not written.
    fn process(&mut self, requests: Vec<WriteRequest>) {
        let bodies = requests.iter().flat_map(|request| &request.bodies);
        match self.write(bodies) {
            Ok(()) => {
                for request in requests {
                    let _ = request.done.send(());
                }
            }
            Err(fault) => error!("tombstone write failed: {fault}"),
        }
    }

    fn write<'a>(&mut self, bodies: impl Iterator<Item = &'a Vec<u8>>) -> Result<(), RingError> {
        for body in bodies {
            if !self.ring.fits(body.len()) {
                self.ring.advance()?;
            }
            self.ring.append(body)?;
        }
        self.ring.sync()
    }
}

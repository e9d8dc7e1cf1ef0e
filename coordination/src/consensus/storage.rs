//! Storage of the consensus: log and vote on disk, and the plan as the state machine.
//!
//! Guarantees that nothing is acknowledged before it is on the disk. Each change writes the whole file anew:
//! its size is bounded, as the log is cut behind a snapshot each
//! [`SNAPSHOT_INTERVAL`](super::SNAPSHOT_INTERVAL) commands.

use super::state_file::{self, PersistentState, StateError, StoredSnapshot};
use super::{Applied, TypeConfig};
use crate::maintenance::decide::{Command, CommandRejected, Plan};
use openraft::storage::{LogFlushed, LogState, RaftLogStorage, RaftStateMachine, Snapshot};
use openraft::{
    BasicNode, Entry, EntryPayload, LogId, OptionalSend, RaftLogReader, RaftSnapshotBuilder, SnapshotMeta,
    StorageError, StorageIOError, StoredMembership, Vote,
};
use std::fmt::Debug;
use std::io::{self, Cursor};
use std::ops::RangeBounds;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// The state machine: the plan with every command applied here.
#[derive(Default)]
struct AppliedState {
    last_applied: Option<LogId<u64>>,
    membership: StoredMembership<u64, BasicNode>,
    plan: Plan,
}

struct Shared {
    path: PathBuf,
    persistent: Mutex<PersistentState>,
    /// Serialises the writes of the file. A snapshot is built while the log is appended to: of two concurrent
    /// writers, one would rename the other's temporary file, or put the older state over the newer one.
    write_lock: tokio::sync::Mutex<()>,
    applied: Mutex<AppliedState>,
    plan_sender: watch::Sender<Plan>,
}

/// The storage of one member; clones share it.
#[derive(Clone)]
pub struct Store(Arc<Shared>);

/// The state is consistent between any two statements that hold the lock, so that a poisoned lock is still
/// usable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn encode_plan(plan: &Plan) -> Vec<u8> {
    serde_json::to_vec(plan).expect("a plan has string keys only and can be written as JSON")
}

/// The snapshot's plan with the stored log applied to it. Entries at the end may not be committed, and may be
/// replaced later: until the consensus is reached again, this is the best estimate.
fn estimate_plan(snapshot_plan: &Plan, persistent: &PersistentState) -> Plan {
    let mut plan = snapshot_plan.clone();
    for entry in persistent.entries.values() {
        if let EntryPayload::Normal(command) = &entry.payload {
            // A rejected command changes nothing here, as when it was first applied.
            let _ = plan.apply(command);
        }
    }
    plan
}

impl Store {
    /// Opens the state file, or begins with an empty state where there is none.
    ///
    /// # Errors
    /// [`StateError`] where the file cannot be read, or is damaged.
    pub fn open(path: &Path) -> Result<Self, StateError> {
        let persistent = state_file::read(path)?;
        let mut applied = AppliedState::default();
        if let Some(snapshot) = &persistent.snapshot {
            applied.last_applied = snapshot.meta.last_log_id;
            applied.membership = snapshot.meta.last_membership.clone();
            applied.plan = snapshot.plan.clone();
        }
        let (plan_sender, _) = watch::channel(estimate_plan(&applied.plan, &persistent));
        Ok(Store(Arc::new(Shared {
            path: path.to_owned(),
            persistent: Mutex::new(persistent),
            write_lock: tokio::sync::Mutex::new(()),
            applied: Mutex::new(applied),
            plan_sender,
        })))
    }

    /// Subscribes to the plan.
    pub fn plan(&self) -> watch::Receiver<Plan> {
        self.0.plan_sender.subscribe()
    }

    /// Changes the persistent state and writes it. The caller may acknowledge the change once this returns.
    async fn update(&self, change: impl FnOnce(&mut PersistentState)) -> io::Result<()> {
        let _write_guard = self.0.write_lock.lock().await;
        let body = {
            let mut persistent = lock(&self.0.persistent);
            change(&mut persistent);
            serde_json::to_string(&*persistent).map_err(io::Error::other)?
        };
        let shared = self.0.clone();
        let written = tokio::task::spawn_blocking(move || state_file::write(&shared.path, &body));
        written.await.map_err(io::Error::other)?
    }
}

impl RaftLogReader<TypeConfig> for Store {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry<TypeConfig>>, StorageError<u64>> {
        Ok(lock(&self.0.persistent).entries.range(range).map(|(_, entry)| entry.clone()).collect())
    }
}

impl RaftLogStorage<TypeConfig> for Store {
    type LogReader = Store;

    async fn get_log_state(&mut self) -> Result<LogState<TypeConfig>, StorageError<u64>> {
        let persistent = lock(&self.0.persistent);
        let last = persistent.entries.values().next_back().map(|entry| entry.log_id);
        Ok(LogState { last_purged_log_id: persistent.purged, last_log_id: last.or(persistent.purged) })
    }

    async fn get_log_reader(&mut self) -> Store {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), StorageError<u64>> {
        let vote = *vote;
        let written = self.update(move |persistent| persistent.vote = Some(vote)).await;
        written.map_err(|error| StorageIOError::write_vote(&error).into())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, StorageError<u64>> {
        Ok(lock(&self.0.persistent).vote)
    }

    async fn append<I>(
        &mut self,
        entries: I,
        callback: LogFlushed<TypeConfig>,
    ) -> Result<(), StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<TypeConfig>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let entries: Vec<_> = entries.into_iter().map(|entry| (entry.log_id.index, entry)).collect();
        let written = self.update(move |persistent| persistent.entries.extend(entries)).await;
        written.map_err(|error| StorageError::from(StorageIOError::write_logs(&error)))?;
        callback.log_io_completed(Ok(()));
        Ok(())
    }

    async fn truncate(&mut self, log_id: LogId<u64>) -> Result<(), StorageError<u64>> {
        let written = self.update(move |persistent| drop(persistent.entries.split_off(&log_id.index))).await;
        written.map_err(|error| StorageIOError::write_logs(&error).into())
    }

    async fn purge(&mut self, log_id: LogId<u64>) -> Result<(), StorageError<u64>> {
        let written = self
            .update(move |persistent| {
                persistent.entries = persistent.entries.split_off(&(log_id.index + 1));
                persistent.purged = Some(log_id);
            })
            .await;
        written.map_err(|error| StorageIOError::write_logs(&error).into())
    }
}

impl RaftSnapshotBuilder<TypeConfig> for Store {
    async fn build_snapshot(&mut self) -> Result<Snapshot<TypeConfig>, StorageError<u64>> {
        let snapshot = {
            let applied = lock(&self.0.applied);
            let last = applied.last_applied;
            let snapshot_id = last.map_or("0".to_owned(), |id| format!("{}-{}", id.leader_id, id.index));
            let last_membership = applied.membership.clone();
            let meta = SnapshotMeta { last_log_id: last, last_membership, snapshot_id };
            StoredSnapshot { meta, plan: applied.plan.clone() }
        };
        let data = encode_plan(&snapshot.plan);
        let meta = snapshot.meta.clone();
        let written = self.update(move |persistent| persistent.snapshot = Some(snapshot)).await;
        written.map_err(|error| StorageError::from(StorageIOError::write_snapshot(None, &error)))?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(data)) })
    }
}

impl RaftStateMachine<TypeConfig> for Store {
    type SnapshotBuilder = Store;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<u64>>, StoredMembership<u64, BasicNode>), StorageError<u64>> {
        let applied = lock(&self.0.applied);
        Ok((applied.last_applied, applied.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Applied>, StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<TypeConfig>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut applied = lock(&self.0.applied);
        let results = entries.into_iter().map(|entry| applied.apply(entry)).collect();
        self.0.plan_sender.send_replace(applied.plan.clone());
        Ok(results)
    }

    async fn get_snapshot_builder(&mut self) -> Store {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError<u64>> {
        Ok(Box::new(Cursor::new(Vec::new())))
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<u64, BasicNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError<u64>> {
        let plan: Plan = serde_json::from_slice(snapshot.get_ref()).map_err(|error| {
            StorageError::from(StorageIOError::read_snapshot(Some(meta.signature()), &error))
        })?;
        let stored = StoredSnapshot { meta: meta.clone(), plan: plan.clone() };
        let written = self.update(move |persistent| persistent.snapshot = Some(stored)).await;
        written.map_err(|error| {
            StorageError::from(StorageIOError::write_snapshot(Some(meta.signature()), &error))
        })?;
        let mut applied = lock(&self.0.applied);
        applied.last_applied = meta.last_log_id;
        applied.membership = meta.last_membership.clone();
        applied.plan = plan.clone();
        self.0.plan_sender.send_replace(plan);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<TypeConfig>>, StorageError<u64>> {
        let stored = lock(&self.0.persistent).snapshot.clone();
        Ok(stored.map(|stored| {
            let data = encode_plan(&stored.plan);
            Snapshot { meta: stored.meta, snapshot: Box::new(Cursor::new(data)) }
        }))
    }
}

impl AppliedState {
    fn apply(&mut self, entry: Entry<TypeConfig>) -> Applied {
        self.last_applied = Some(entry.log_id);
        let rejection = match entry.payload {
            EntryPayload::Blank => None,
            EntryPayload::Normal(command) => {
                let rejection = self.plan.apply(&command).err();
                log_command(&command, rejection.as_ref());
                rejection
            }
            EntryPayload::Membership(membership) => {
                self.membership = StoredMembership::new(Some(entry.log_id), membership);
                None
            }
        };
        Applied { rejection }
    }
}

/// Confirmations come from every scheduler in every phase; they are logged for debugging only.
fn log_command(command: &Command, rejection: Option<&CommandRejected>) {
    match command {
        Command::Confirm { .. } => tracing::debug!(?command, ?rejection, "plan command committed"),
        _ => tracing::info!(?command, ?rejection, "plan command committed"),
    }
}

//! What the file watch and the connections of a source share.

use crate::decide::table::Table;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The table, and the notification of a new version.
pub(super) struct Shared {
    table: Mutex<Table>,
    /// The version served; pending requests wait for it to change.
    pub(super) version: watch::Sender<u64>,
    epoch: Instant,
}

impl Shared {
    /// The table's times count from the moment before it is made.
    pub(super) fn new<E>(table: impl FnOnce() -> Result<Table, E>) -> Result<Self, E> {
        let epoch = Instant::now();
        let table = table()?;
        let version = watch::channel(table.version()).0;
        Ok(Shared { table: Mutex::new(table), version, epoch })
    }

    /// The table is consistent whenever it is unlocked, so that a poisoned lock is still usable.
    pub(super) fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time on the table's clock.
    pub(super) fn now(&self) -> Duration {
        self.epoch.elapsed()
    }
}

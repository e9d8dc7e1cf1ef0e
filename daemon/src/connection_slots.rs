//! The clients' connections of one front: which ones hold one of the limited connection slots, and which is
//! closed when all slots are in use.
//!
//! Guards against idle or unused connections that keep clients with requests out. A connection with an open
//! request is never closed from here. Of the others, those that sent nothing since they were accepted are
//! closed first, then those that have been idle longest: a client may lose its first request on a connection
//! that is closed under it, but retries any later one. A connection on which the bytes of a request have
//! begun to arrive is no longer idle: it is closed only when every slot is in use and nothing else can be
//! closed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A client that wants to send a request has sent it this long after its connection was accepted.
pub const MAX_FIRST_REQUEST_DELAY: Duration = Duration::from_millis(250);

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Nothing has come on it yet.
    Unused,
    /// Its request is open.
    RequestOpen,
    /// Its last request is answered.
    Idle,
    /// Bytes of a request have arrived, but the request is incomplete.
    Receiving,
    /// No request is read from it and nothing is written to it: it waits for the client to close its side.
    Closing,
}

struct SlotEntry {
    state: ConnectionState,
    since: Instant,
    /// Bytes arrived while its request was open: the next request, sent before the answer.
    pipelined: bool,
    /// A complete request has arrived on it at least once.
    had_request: bool,
    /// The state, and its start, in which the connection was asked to close. It closes only if both are
    /// unchanged when its task sees the notice, since a request may have arrived in between.
    close_requested: Option<(ConnectionState, Instant)>,
    close_notice: Arc<Notify>,
}

/// The slots in use and the number of the newest one.
#[derive(Default)]
struct SlotTable {
    last_number: u64,
    entries: BTreeMap<u64, SlotEntry>,
}

/// All connection slots of a front.
pub struct ConnectionSlots {
    capacity: usize,
    table: Mutex<SlotTable>,
    freed: Notify,
}

impl ConnectionSlots {
    /// Slots for `capacity` connections, at least one.
    pub fn new(capacity: usize) -> Arc<Self> {
        Arc::new(ConnectionSlots { capacity: capacity.max(1), table: Mutex::default(), freed: Notify::new() })
    }

    fn table(&self) -> MutexGuard<'_, SlotTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a slot is free for a new connection, and asks one that may be closed to close.
    ///
    /// Cancel safe: a slot is occupied by [`ConnectionSlots::acquire`] only.
    pub async fn wait_for_slot(&self) {
        loop {
            let freed = self.freed.notified();
            if self.has_free_slot_or_evict() {
                return;
            }
            freed.await;
        }
    }

    /// Whether a slot is free. If none is, asks one connection to close, unless one has been asked already.
    fn has_free_slot_or_evict(&self) -> bool {
        let SlotTable { entries, .. } = &mut *self.table();
        if entries.len() < self.capacity {
            return true;
        }
        if entries.values().any(|entry| entry.close_requested.is_some()) {
            return false;
        }
        let now = Instant::now();
        let rank = |entry: &SlotEntry| match entry.state {
            ConnectionState::Closing => Some(0),
            ConnectionState::Unused if now - entry.since >= MAX_FIRST_REQUEST_DELAY => Some(0),
            ConnectionState::Idle => Some(1),
            ConnectionState::Unused => Some(2),
            // An incomplete request, slow or stalled: it is lost only here, and has not run.
            ConnectionState::Receiving => Some(3),
            ConnectionState::RequestOpen => None,
        };
        let ranked = entries.values_mut().filter_map(|entry| Some((rank(entry)?, entry)));
        if let Some((_, entry)) = ranked.min_by_key(|(rank, entry)| (*rank, entry.since)) {
            entry.request_close();
        }
        false
    }

    /// Asks the connection that has been idle longest to close while more than a quarter of all slots are
    /// idle: their clients may have no descriptor left for requests to other schedulers.
    fn evict_excess_idle(&self) {
        let SlotTable { entries, .. } = &mut *self.table();
        let idle = entries
            .values_mut()
            .filter(|entry| entry.state == ConnectionState::Idle && entry.close_requested.is_none());
        let mut idle: Vec<_> = idle.collect();
        if idle.len() > (self.capacity / 4).max(1)
            && let Some(entry) = idle.iter_mut().min_by_key(|entry| entry.since)
        {
            entry.request_close();
        }
    }

    /// Occupies a slot for a connection that was just accepted.
    pub fn acquire(self: &Arc<Self>) -> ConnectionSlot {
        let SlotTable { last_number, entries } = &mut *self.table();
        *last_number += 1;
        let close_notice = Arc::new(Notify::new());
        let since = Instant::now();
        let entry = SlotEntry {
            state: ConnectionState::Unused,
            since,
            pipelined: false,
            had_request: false,
            close_requested: None,
            close_notice: close_notice.clone(),
        };
        entries.insert(*last_number, entry);
        ConnectionSlot { slots: self.clone(), number: *last_number, close_notice, opened: Notify::new() }
    }
}

/// One connection's slot, freed when it is dropped.
pub struct ConnectionSlot {
    slots: Arc<ConnectionSlots>,
    number: u64,
    close_notice: Arc<Notify>,
    /// Notified when a request is opened on the connection.
    opened: Notify,
}

impl SlotEntry {
    fn request_close(&mut self) {
        self.close_requested = Some((self.state, self.since));
        self.close_notice.notify_one();
    }
}

impl ConnectionSlot {
    fn set_state(&self, state: ConnectionState) {
        if let Some(entry) = self.slots.table().entries.get_mut(&self.number) {
            (entry.state, entry.since) = (state, Instant::now());
        }
    }

    /// Records that bytes arrived: a request begins, or, while one is open, the next one.
    pub fn record_bytes(&self) {
        if let Some(entry) = self.slots.table().entries.get_mut(&self.number) {
            match entry.state {
                ConnectionState::Unused | ConnectionState::Idle => {
                    (entry.state, entry.since) = (ConnectionState::Receiving, Instant::now());
                }
                ConnectionState::RequestOpen => entry.pipelined = true,
                ConnectionState::Receiving | ConnectionState::Closing => {}
            }
        }
    }

    /// Records that a complete request has arrived.
    pub fn open_request(&self) {
        if let Some(entry) = self.slots.table().entries.get_mut(&self.number) {
            (entry.state, entry.since, entry.had_request) =
                (ConnectionState::RequestOpen, Instant::now(), true);
        }
        self.opened.notify_one();
    }

    /// Whether a request is open on the connection.
    pub fn has_open_request(&self) -> bool {
        self.slots
            .table()
            .entries
            .get(&self.number)
            .is_some_and(|entry| entry.state == ConnectionState::RequestOpen)
    }

    /// Waits until a request is open on the connection. Cancel safe.
    pub async fn wait_for_open_request(&self) {
        while !self.has_open_request() {
            self.opened.notified().await;
        }
    }

    /// Records that nothing more is written: the connection is the first to be evicted.
    pub fn begin_close(&self) {
        self.set_state(ConnectionState::Closing);
        self.slots.freed.notify_one();
    }

    /// Records that the request was answered. Where the next one has begun to arrive already, the connection
    /// is not idle.
    pub fn close_request(&self) {
        let pipelined = self
            .slots
            .table()
            .entries
            .get_mut(&self.number)
            .is_some_and(|entry| std::mem::take(&mut entry.pipelined));
        self.set_state(if pipelined { ConnectionState::Receiving } else { ConnectionState::Idle });
        self.slots.evict_excess_idle();
        // The connection may be evicted now: a task that waits for a slot checks again.
        self.slots.freed.notify_one();
    }

    /// Whether no complete request has ever arrived on the connection.
    pub fn never_had_request(&self) -> bool {
        self.slots.table().entries.get(&self.number).is_some_and(|entry| !entry.had_request)
    }

    /// Waits until the connection has to close for another one: it was asked to, its state has not changed
    /// since, no request is open, and `written` says that no part of an answer is still to be written.
    pub async fn wait_for_eviction(&self, written: impl Fn() -> bool) {
        loop {
            self.close_notice.notified().await;
            {
                let SlotTable { entries, .. } = &mut *self.slots.table();
                let Some(entry) = entries.get_mut(&self.number) else { return };
                let unchanged = entry.close_requested == Some((entry.state, entry.since));
                if unchanged && entry.state != ConnectionState::RequestOpen && written() {
                    return;
                }
                // A request arrived in between: the connection stays, and another one is asked to close.
                entry.close_requested = None;
            }
            self.slots.freed.notify_one();
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.table().entries.remove(&self.number);
        self.slots.freed.notify_one();
    }
}

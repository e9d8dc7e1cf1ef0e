//! The clients' connections, of either front: who holds one of the few descriptors, and who gives way when all
//! are held.
//!
//! A connection whose request is open is never closed from here. Of the others, those that have been silent
//! since they came go first, then those that have been idle longest: a client may lose its first request on a
//! connection that is closed under it, but sends any later one again. A connection on which the bytes of a
//! request have begun to come is idle no more: only a full front, with nothing else to close, closes it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A client that means to ask has sent its request this long after its connection was accepted.
const SILENT: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It has not asked yet.
    Fresh,
    /// Its request is open.
    Asking,
    /// Its last request is answered.
    Idle,
    /// Bytes of a request have come, but not yet the whole of it.
    Coming,
    /// Nothing more is read from it as a request or written to it: it only waits for its client's end.
    Ended,
}

struct Entry {
    state: State,
    since: Instant,
    /// Bytes came while its request was open: the next one, sent before the answer.
    ahead: bool,
    /// A request came whole on it once.
    asked_once: bool,
    /// Told to leave, in the state and since the instant that it was told in; it leaves only if it is still
    /// there, since a request that came meanwhile keeps it.
    told: Option<(State, Instant)>,
    leave: Arc<Notify>,
}

/// All seats.
pub(crate) struct Seats {
    most: usize,
    table: Mutex<(u64, BTreeMap<u64, Entry>)>,
    freed: Notify,
}

impl Seats {
    pub(crate) fn new(most: usize) -> Arc<Self> {
        Arc::new(Seats { most: most.max(1), table: Mutex::default(), freed: Notify::new() })
    }

    fn table(&self) -> MutexGuard<'_, (u64, BTreeMap<u64, Entry>)> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a seat is free for a connection that has come; one that can be spared is told to leave.
    pub(crate) async fn room(&self) {
        loop {
            let freed = self.freed.notified();
            if self.spare() {
                return;
            }
            freed.await;
        }
    }

    /// Whether a seat is free already; if none is, tells one to leave, where nobody is leaving yet.
    fn spare(&self) -> bool {
        let (_, entries) = &mut *self.table();
        if entries.len() < self.most {
            return true;
        }
        if entries.values().any(|entry| entry.told.is_some()) {
            return false;
        }
        let now = Instant::now();
        let rank = |entry: &Entry| match entry.state {
            State::Ended => Some(0),
            State::Fresh if now - entry.since >= SILENT => Some(0),
            State::Idle => Some(1),
            State::Fresh => Some(2),
            // A request in part, slow or stalled: its client has not sent it whole, and loses it only here.
            State::Coming => Some(3),
            State::Asking => None,
        };
        let ranked = entries.values_mut().filter_map(|entry| Some((rank(entry)?, entry)));
        if let Some((_, entry)) = ranked.min_by_key(|(rank, entry)| (*rank, entry.since)) {
            entry.tell();
        }
        false
    }

    /// Tells the longest idle to leave while more than a quarter of all seats are idle: their clients may have
    /// no descriptor left to ask with elsewhere.
    fn thin_out(&self) {
        let (_, entries) = &mut *self.table();
        let idle = entries.values_mut().filter(|entry| entry.state == State::Idle && entry.told.is_none());
        let mut idle: Vec<_> = idle.collect();
        if idle.len() > (self.most / 4).max(1)
            && let Some(entry) = idle.iter_mut().min_by_key(|entry| entry.since)
        {
            entry.tell();
        }
    }

    /// Takes a seat for a connection that was just accepted.
    pub(crate) fn take(self: &Arc<Self>) -> Seat {
        let (next, entries) = &mut *self.table();
        *next += 1;
        let leave = Arc::new(Notify::new());
        let since = Instant::now();
        let entry = Entry {
            state: State::Fresh,
            since,
            ahead: false,
            asked_once: false,
            told: None,
            leave: leave.clone(),
        };
        entries.insert(*next, entry);
        Seat { seats: self.clone(), number: *next, leave, opened: Notify::new() }
    }
}

/// One connection's seat, free again when it is dropped.
pub(crate) struct Seat {
    seats: Arc<Seats>,
    number: u64,
    leave: Arc<Notify>,
    /// A request of it has been opened.
    opened: Notify,
}

impl Entry {
    fn tell(&mut self) {
        self.told = Some((self.state, self.since));
        self.leave.notify_one();
    }
}

impl Seat {
    fn turn(&self, state: State) {
        if let Some(entry) = self.seats.table().1.get_mut(&self.number) {
            (entry.state, entry.since) = (state, Instant::now());
        }
    }

    /// Bytes came from its client: a request begins, or, while one is open, the next.
    pub(crate) fn heard(&self) {
        if let Some(entry) = self.seats.table().1.get_mut(&self.number) {
            match entry.state {
                State::Fresh | State::Idle => (entry.state, entry.since) = (State::Coming, Instant::now()),
                State::Asking => entry.ahead = true,
                State::Coming | State::Ended => {}
            }
        }
    }

    /// Its request has come whole.
    pub(crate) fn asked(&self) {
        if let Some(entry) = self.seats.table().1.get_mut(&self.number) {
            (entry.state, entry.since, entry.asked_once) = (State::Asking, Instant::now(), true);
        }
        self.opened.notify_one();
    }

    /// Whether a request of it is open.
    pub(crate) fn asking(&self) -> bool {
        self.seats.table().1.get(&self.number).is_some_and(|entry| entry.state == State::Asking)
    }

    /// Ends once a request of it is open.
    pub(crate) async fn until_asking(&self) {
        while !self.asking() {
            self.opened.notified().await;
        }
    }

    /// The last word on it is said: it is the first to go where room is needed.
    pub(crate) fn ended(&self) {
        self.turn(State::Ended);
        self.seats.freed.notify_one();
    }

    /// Its request has its answer. Where the next one has begun to come already, it is not idle.
    pub(crate) fn answered(&self) {
        let ahead =
            self.seats.table().1.get_mut(&self.number).is_some_and(|entry| std::mem::take(&mut entry.ahead));
        self.turn(if ahead { State::Coming } else { State::Idle });
        self.seats.thin_out();
        // It can be spared now: whoever waits for room looks again.
        self.seats.freed.notify_one();
    }

    /// Whether no request ever came whole on it.
    pub(crate) fn fresh(&self) -> bool {
        self.seats.table().1.get(&self.number).is_some_and(|entry| !entry.asked_once)
    }

    /// Ends when it is to make room for another, it is as it was when it was told, no request of it is open
    /// and nothing of an answer is still to be written.
    pub(crate) async fn gives_way(&self, written: impl Fn() -> bool) {
        loop {
            self.leave.notified().await;
            {
                let (_, entries) = &mut *self.seats.table();
                let Some(entry) = entries.get_mut(&self.number) else { return };
                let unchanged = entry.told == Some((entry.state, entry.since));
                if unchanged && entry.state != State::Asking && written() {
                    return;
                }
                // A request came just then: it stays, and another is looked for.
                entry.told = None;
            }
            self.seats.freed.notify_one();
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.seats.table().1.remove(&self.number);
        self.seats.freed.notify_one();
    }
}

#[cfg(test)]
mod tests;

//! Requests that wait for capacity at a server, by service and urgency.
//!
//! Guarantees that a waiting request is not overtaken by a less urgent one of its service, and that an entry
//! never outlives its request: a [`QueueEntry`] leaves its queue when it is dropped, whatever ended the wait.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// The order within a queue: lower ranks first, then the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    rank: u64,
    sequence: u64,
}

/// Waiting requests of one service, each with its units of work.
type ServiceQueue = BTreeMap<QueueKey, f64>;

/// The queues of all services.
#[derive(Default)]
pub struct Queues {
    by_service: RefCell<BTreeMap<String, ServiceQueue>>,
    next_sequence: Cell<u64>,
    capacity_changed: Notify,
}

/// A request's entry in a queue. Dropping it removes it and wakes the requests behind.
pub struct QueueEntry {
    queues: Rc<Queues>,
    service: String,
    key: QueueKey,
}

impl Queues {
    /// Units of work that wait for a service.
    pub fn queued_units(&self, service: &str) -> f64 {
        self.by_service.borrow().get(service).map_or(0.0, |queue| queue.values().sum())
    }

    /// Whether no request waits for a service.
    pub fn is_empty(&self, service: &str) -> bool {
        self.by_service.borrow().get(service).is_none_or(BTreeMap::is_empty)
    }

    /// Adds a request; lower ranks are served first.
    pub fn enqueue(self: &Rc<Self>, service: &str, rank: u64, units: f64) -> QueueEntry {
        let key = QueueKey { rank, sequence: self.next_sequence.get() };
        self.next_sequence.set(key.sequence + 1);
        self.by_service.borrow_mut().entry(service.to_owned()).or_default().insert(key, units);
        QueueEntry { queues: self.clone(), service: service.to_owned(), key }
    }

    /// Wakes all waiting requests: a server may have capacity.
    pub fn notify_capacity(&self) {
        self.capacity_changed.notify_waiters();
    }

    /// Ends when a server may have capacity. Notifications before the first poll are not seen.
    pub async fn capacity_changed(&self) {
        self.capacity_changed.notified().await;
    }
}

impl QueueEntry {
    /// Whether this is the next request of its service to be sent.
    pub fn is_first(&self) -> bool {
        let by_service = self.queues.by_service.borrow();
        let first = by_service.get(&self.service).and_then(|queue| queue.first_key_value());
        first.is_some_and(|(key, _)| *key == self.key)
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut by_service = self.queues.by_service.borrow_mut();
        if let Some(queue) = by_service.get_mut(&self.service) {
            queue.remove(&self.key);
            if queue.is_empty() {
                by_service.remove(&self.service);
            }
        }
        drop(by_service);
        self.queues.notify_capacity();
    }
}

//! Notification of changes within a process.
//!
//! Guarantees that no change is missed by a subscriber that was busy meanwhile, and that waiting tasks are
//! woken in the order in which they began to wait, so that the same simulated run wakes them alike each time.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Notifies its subscribers of changes. Changes are counted and carry no data; several may be seen as one.
#[derive(Debug, Default)]
pub struct ChangeNotifier {
    notifications: Cell<u64>,
    waiters: Notify,
}

impl ChangeNotifier {
    /// A notifier that was never notified.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Wakes all waiting tasks.
    pub fn notify(&self) {
        self.notifications.set(self.notifications.get() + 1);
        self.waiters.notify_waiters();
    }

    /// Waits until it was notified at least once. Cancel safe.
    pub async fn notified(&self) {
        self.wait_beyond(0).await;
    }

    /// A subscription to the changes from now on.
    pub fn subscribe(self: &Rc<Self>) -> Subscription {
        Subscription { notifier: self.clone(), seen: self.notifications.get() }
    }

    /// Waits until there were more notifications than `seen`.
    async fn wait_beyond(&self, seen: u64) {
        while self.notifications.get() <= seen {
            self.waiters.notified().await;
        }
    }
}

/// A subscriber's position among a notifier's changes.
#[derive(Debug)]
pub struct Subscription {
    notifier: Rc<ChangeNotifier>,
    seen: u64,
}

impl Subscription {
    /// Counts all changes so far as seen.
    pub fn mark_seen(&mut self) {
        self.seen = self.notifier.notifications.get();
    }

    /// Waits for a change that has not been seen, and counts all changes as seen. Returns at once where there
    /// is one. Cancel safe: a change that was not returned for stays unseen.
    pub async fn changed(&mut self) {
        self.notifier.wait_beyond(self.seen).await;
        self.mark_seen();
    }
}

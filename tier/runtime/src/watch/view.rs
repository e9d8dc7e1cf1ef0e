//! The cluster's view that a process's tasks share.

use crate::notify::{ChangeNotifier, Subscription};
use crate::random;
use pointcross_tier_instances::ClusterView;
use pointcross_tier_protocol::messages::{ControlReply, WatchRequest};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A view of the cluster that watches update and tasks read, with a notification of each change.
pub struct ReplicatedView {
    view: RefCell<ClusterView>,
    changes: Rc<ChangeNotifier>,
}

impl ReplicatedView {
    /// An empty view, whose revisions count under a new incarnation of this process.
    pub fn new() -> Rc<Self> {
        let view = RefCell::new(ClusterView::new(random::unique()));
        Rc::new(ReplicatedView { view, changes: ChangeNotifier::new() })
    }

    /// Reads the view.
    ///
    /// # Panics
    ///
    /// Panics where `read` calls [`ReplicatedView::change`].
    pub fn read<T>(&self, read: impl FnOnce(&ClusterView) -> T) -> T {
        read(&self.view.borrow())
    }

    /// Changes the view. `change` returns whether anything is different now; if so, all subscribers are
    /// notified. Returns the same.
    ///
    /// # Panics
    ///
    /// Panics where `change` uses this view otherwise than by its argument.
    pub fn change(&self, change: impl FnOnce(&mut ClusterView) -> bool) -> bool {
        let changed = change(&mut self.view.borrow_mut());
        if changed {
            self.changes.notify();
        }
        changed
    }

    /// A subscription to the changes from now on.
    pub fn changes(&self) -> Subscription {
        self.changes.subscribe()
    }

    /// Answers a watch: at once where the view has something that the caller has not, else at the next such
    /// change, or with [`ControlReply::Done`] after the request's longest wait.
    pub async fn answer(&self, request: &WatchRequest) -> ControlReply {
        let mut changes = self.changes();
        let deadline = Instant::now() + Duration::from_millis(request.max_wait_ms);
        loop {
            changes.mark_seen();
            if let Some(update) = self.read(|view| view.update_for(request)) {
                return ControlReply::Update(Box::new(update));
            }
            if tokio::time::timeout_at(deadline, changes.changed()).await.is_err() {
                return ControlReply::Done;
            }
        }
    }
}

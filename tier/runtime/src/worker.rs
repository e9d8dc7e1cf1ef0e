//! A worker does blocking disk work while the process serves its sockets. Orders that arrive while it works
//! make up the next batch, so that one sync covers many writes (group commit).
//!
//! Guarantees that orders are done in the order of their submission, each once. An order that was submitted
//! is not done where the process ends before; who needs to know waits for what the work reports back.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc as local_mpsc;
use tokio::task::spawn_local;

/// The latency of a simulated disk, in virtual time.
#[derive(Debug)]
pub struct DiskPace {
    /// The time that a batch takes.
    pub batch: Cell<Duration>,
    /// While set, no batch completes.
    pub stalled: Cell<bool>,
}

/// The time between two checks whether a disk is still stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);

impl DiskPace {
    /// A disk on which each batch takes this time.
    pub fn new(batch: Duration) -> Rc<Self> {
        Rc::new(DiskPace { batch: Cell::new(batch), stalled: Cell::new(false) })
    }

    async fn wait(&self) {
        tokio::time::sleep(self.batch.get()).await;
        while self.stalled.get() {
            tokio::time::sleep(STALL_CHECK_INTERVAL).await;
        }
    }
}

/// Where workers run.
#[derive(Clone, Debug)]
pub enum WorkerMode {
    /// Each on a thread of its own, in service.
    Thread,
    /// Each as a task on the process's thread, with the disk's latency in virtual time: for simulations.
    Inline(Rc<DiskPace>),
}

/// The sending side of a worker. Dropping it ends the worker's thread or task, after the orders that were
/// submitted.
pub enum Worker<Order> {
    /// The worker is a thread.
    Thread(mpsc::Sender<Order>),
    /// The worker is a task.
    Inline(local_mpsc::UnboundedSender<Order>),
}

impl<Order: Send + 'static> Worker<Order> {
    /// Starts a worker that passes batches of orders, never empty, to `work`. Its thread or task is detached:
    /// it ends by itself once the [`Worker`] is dropped and the queue is empty.
    pub fn start(mode: &WorkerMode, mut work: impl FnMut(Vec<Order>) + Send + 'static) -> Self {
        match mode {
            WorkerMode::Thread => {
                let (orders, queue) = mpsc::channel();
                std::thread::spawn(move || {
                    while let Ok(first) = queue.recv() {
                        let batch: Vec<Order> = std::iter::once(first).chain(queue.try_iter()).collect();
                        work(batch);
                    }
                });
                Worker::Thread(orders)
            }
            WorkerMode::Inline(pace) => {
                let pace = pace.clone();
                let (orders, mut queue) = local_mpsc::unbounded_channel();
                spawn_local(async move {
                    while let Some(first) = queue.recv().await {
                        let mut batch = vec![first];
                        while let Ok(next) = queue.try_recv() {
                            batch.push(next);
                        }
                        pace.wait().await;
                        work(batch);
                    }
                });
                Worker::Inline(orders)
            }
        }
    }

    /// Queues an order, without waiting. After the worker has panicked the order is dropped.
    pub fn submit(&self, order: Order) {
        match self {
            Worker::Thread(orders) => drop(orders.send(order)),
            Worker::Inline(orders) => drop(orders.send(order)),
        }
    }
}

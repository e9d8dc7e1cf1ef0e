//! A worker that waits for a disk while the process goes on. What is ordered while it works is handed to it
//! together, so that one sync covers many writes.

use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc as local_mpsc;
use tokio::task::spawn_local;

/// Where workers run.
#[derive(Clone, Copy, Debug)]
pub enum WorkerMode {
    /// On a thread each, as a process on a machine has it.
    Thread,
    /// On the process's own thread, each batch after a pause on the runtime's clock: for tests in virtual time.
    Inline(Duration),
}

/// A worker's orders.
pub enum Worker<Order> {
    /// To a thread.
    Thread(mpsc::Sender<Order>),
    /// To a task.
    Inline(local_mpsc::UnboundedSender<Order>),
}

impl<Order: Send + 'static> Worker<Order> {
    /// Starts a worker that does batches of orders by `work`.
    pub fn start(mode: WorkerMode, mut work: impl FnMut(Vec<Order>) + Send + 'static) -> Self {
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
            WorkerMode::Inline(pause) => {
                let (orders, mut queue) = local_mpsc::unbounded_channel();
                spawn_local(async move {
                    while let Some(first) = queue.recv().await {
                        let mut batch = vec![first];
                        while let Ok(more) = queue.try_recv() {
                            batch.push(more);
                        }
                        tokio::time::sleep(pause).await;
                        work(batch);
                    }
                });
                Worker::Inline(orders)
            }
        }
    }

    /// Gives an order.
    pub fn order(&self, order: Order) {
        match self {
            Worker::Thread(orders) => drop(orders.send(order)),
            Worker::Inline(orders) => drop(orders.send(order)),
        }
    }
}

//! Connections to storage nodes: reused while they are sound, and bounded in number over all nodes.
//!
//! Guards against an answer taken for another request's: hyper-util's pool reuses a connection the moment an
//! answer ends; here it is reused only once nothing has arrived behind that answer, since such bytes would
//! pass for the next one's.

use crate::reuse_health::ReuseHealth;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use pointcross_platform_http::watched::{Watched, Wire};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// How long nothing may arrive behind an answer before its connection is reused: a node's second small write
/// waits for the first one's acknowledgement (Nagle), which this side's kernel sends 40 ms late, or with the
/// next request, at the worst moment. It is a timer's wait, not a look at the clock: when it has passed, the
/// runtime has polled the sockets too, however long this process stood still.
const REUSE_DELAY: Duration = Duration::from_millis(50);
/// What is kept of an answer's head that has not ended yet.
const MAX_HEAD: usize = 32 * 1024;

/// A connection to a node, and what is known of what crossed it.
pub(crate) struct NodeConnection {
    address: SocketAddr,
    reused: bool,
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) wire: Arc<Wire>,
}

/// Why there is no connection.
#[derive(Debug, PartialEq)]
pub(crate) enum ConnectError {
    /// Every descriptor is in use on this side.
    NoDescriptor,
    /// It was not established in time.
    Unreachable,
}

/// A connection that may be reused, and since when it is idle.
struct IdleConnection {
    connection: NodeConnection,
    since: Instant,
}

/// The connections to all nodes.
pub(crate) struct Pool {
    connect_timeout: Duration,
    max_idle: Duration,
    /// Descriptors left.
    descriptors: Arc<Semaphore>,
    /// By node; an address whose last connection is taken out goes too.
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    reuse_health: Mutex<ReuseHealth>,
}

impl Pool {
    /// A pool of at most `max_connections`, in use or idle. One that has been idle for `max_idle` is not
    /// reused.
    pub(crate) fn new(max_connections: usize, connect_timeout: Duration, max_idle: Duration) -> Arc<Self> {
        Arc::new(Pool {
            connect_timeout,
            max_idle,
            descriptors: Arc::new(Semaphore::new(max_connections)),
            idle: Mutex::default(),
            reuse_health: Mutex::default(),
        })
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reuse_health(&self) -> MutexGuard<'_, ReuseHealth> {
        self.reuse_health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether a request that was written completely broke before its answer began.
    pub(crate) fn record(&self, connection: &NodeConnection, broke: bool) {
        self.reuse_health().record(connection.reused, broke);
    }

    /// A connection that is idle, newest first, or a new one.
    pub(crate) async fn connection(
        &self,
        address: SocketAddr,
        read: bool,
    ) -> Result<NodeConnection, ConnectError> {
        let allowed = self.reuse_health().allows_reuse(read);
        if let Some(connection) = allowed.then(|| self.reuse(address)).flatten() {
            return Ok(connection);
        }
        if self.descriptors.available_permits() == 0 && !self.close_oldest() {
            tracing::warn!("no room for another connection to a node");
            return Err(ConnectError::NoDescriptor);
        }
        let connecting = tokio::time::timeout(self.connect_timeout, self.connect(address));
        connecting.await.ok().flatten().ok_or(ConnectError::Unreachable)
    }

    fn reuse(&self, address: SocketAddr) -> Option<NodeConnection> {
        let mut idle = self.idle();
        let at_node = idle.get_mut(&address)?;
        let found = std::iter::from_fn(|| at_node.pop())
            .find(|idle| idle.connection.sender.is_ready() && idle.since.elapsed() < self.max_idle);
        if at_node.is_empty() {
            idle.remove(&address);
        }
        found.map(|idle| NodeConnection { reused: true, ..idle.connection })
    }

    async fn connect(&self, address: SocketAddr) -> Option<NodeConnection> {
        // The semaphore is never closed.
        let permit = self.descriptors.clone().acquire_owned().await.ok()?;
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (stream, wire) = Watched::new(TokioIo::new(stream));
        let (sender, connection) =
            http1::Builder::new().max_buf_size(MAX_HEAD).handshake(stream).await.ok()?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, %address, "node connection failed");
            }
            drop(permit);
        });
        Some(NodeConnection { address, reused: false, sender, wire })
    }

    /// Closes the connection that has been idle longest, where there is one.
    fn close_oldest(&self) -> bool {
        let mut idle = self.idle();
        let oldest = idle.iter().filter_map(|(address, at_node)| Some((at_node.first()?.since, *address)));
        let Some((_, address)) = oldest.min_by_key(|(since, _)| *since) else { return false };
        let Some(at_node) = idle.get_mut(&address) else { return false };
        drop(at_node.remove(0));
        if at_node.is_empty() {
            idle.remove(&address);
        }
        true
    }

    /// Takes back a connection whose answer is complete, for reuse after [`REUSE_DELAY`]. Anything that
    /// arrives behind that answer ends it: hyper reads it while no request is open, and closes.
    ///
    /// The task is detached: it holds nothing but this connection, and ends after the delay.
    pub(crate) fn release(self: &Arc<Self>, connection: NodeConnection) {
        let pool = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(REUSE_DELAY).await;
            if connection.sender.is_ready() {
                pool.add_idle(connection);
            }
        });
    }

    fn add_idle(&self, connection: NodeConnection) {
        let mut idle = self.idle();
        let now = Instant::now();
        // Expired ones are dropped here, for every node: a replaced node's address is never asked for again.
        idle.retain(|_, at_node| {
            at_node.retain(|idle| !idle.connection.sender.is_closed() && now - idle.since < self.max_idle);
            !at_node.is_empty()
        });
        // While reused ones are avoided, one for each node is enough for trials.
        if idle.contains_key(&connection.address) && self.reuse_health().avoids_reuse() {
            return;
        }
        idle.entry(connection.address).or_default().push(IdleConnection { connection, since: now });
    }
}

//! Connections to storage nodes. hyper-util's pool hands a connection on the moment an answer ends; here it is
//! held back until nothing has come behind that answer, since what came would pass for the next one's.

use crate::written::{Watched, Wire};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// How long a connection must be quiet behind an answer: a node's second small write waits for the first one's
/// acknowledgement (Nagle), which this side's kernel sends 40 ms late, or with the next request, at the worst
/// moment. It is a timer's wait, not a look at the clock: when it has passed, the runtime has heard from the
/// sockets too, however long this process stood still.
const QUIET: Duration = Duration::from_millis(50);
/// What is kept of an answer's head that has not ended yet.
const MOST_HEAD: usize = 32 * 1024;

/// A connection to a node, and what is known of what crossed it.
pub(crate) struct Link {
    address: SocketAddr,
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) wire: Arc<Wire>,
}

/// Why there is no connection.
#[derive(Debug, PartialEq)]
pub(crate) enum NoLink {
    /// Every descriptor is in use on this side.
    NoRoom,
    /// It did not come up.
    NoWay,
}

struct Parked {
    link: Link,
    since: Instant,
}

/// The connections to all nodes.
pub(crate) struct Pool {
    connect_time: Duration,
    keep: Duration,
    /// Descriptors left.
    room: Arc<Semaphore>,
    /// By node; an address whose last connection is taken out goes too.
    idle: Mutex<HashMap<SocketAddr, Vec<Parked>>>,
}

impl Pool {
    /// A pool of so many connections at the most, in use or not.
    pub(crate) fn new(most: usize, connect_time: Duration, keep: Duration) -> Arc<Self> {
        Arc::new(Pool { connect_time, keep, room: Arc::new(Semaphore::new(most)), idle: Mutex::default() })
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Parked>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection that is idle, newest first, or a new one.
    pub(crate) async fn link(&self, address: SocketAddr) -> Result<Link, NoLink> {
        if let Some(link) = self.reuse(address) {
            return Ok(link);
        }
        if self.room.available_permits() == 0 && !self.close_oldest() {
            tracing::warn!("no room for another connection to a node");
            return Err(NoLink::NoRoom);
        }
        let connecting = tokio::time::timeout(self.connect_time, self.connect(address));
        connecting.await.ok().flatten().ok_or(NoLink::NoWay)
    }

    fn reuse(&self, address: SocketAddr) -> Option<Link> {
        let mut idle = self.idle();
        let parked = idle.get_mut(&address)?;
        let link = std::iter::from_fn(|| parked.pop())
            .find(|parked| parked.link.sender.is_ready() && parked.since.elapsed() < self.keep);
        if parked.is_empty() {
            idle.remove(&address);
        }
        link.map(|parked| parked.link)
    }

    async fn connect(&self, address: SocketAddr) -> Option<Link> {
        // The semaphore is never closed.
        let permit = self.room.clone().acquire_owned().await.ok()?;
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (stream, wire) = Watched::new(TokioIo::new(stream));
        let (sender, connection) =
            http1::Builder::new().max_buf_size(MOST_HEAD).handshake(stream).await.ok()?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, %address, "node connection");
            }
            drop(permit);
        });
        Some(Link { address, sender, wire })
    }

    /// Closes the connection that has been idle longest, where there is one.
    fn close_oldest(&self) -> bool {
        let mut idle = self.idle();
        let oldest = idle.iter().filter_map(|(address, parked)| Some((parked.first()?.since, *address)));
        let Some((_, address)) = oldest.min_by_key(|(since, _)| *since) else { return false };
        let Some(parked) = idle.get_mut(&address) else { return false };
        drop(parked.remove(0));
        if parked.is_empty() {
            idle.remove(&address);
        }
        true
    }

    /// Takes back a connection whose answer has come whole. Anything behind that answer ends it: hyper reads
    /// it while nothing is asked, and closes.
    pub(crate) fn give_back(self: &Arc<Self>, link: Link) {
        let pool = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(QUIET).await;
            if link.sender.is_ready() {
                pool.park(link);
            }
        });
    }

    fn park(&self, link: Link) {
        let mut idle = self.idle();
        let now = Instant::now();
        // Those past their time go here, for every node: one that was replaced is never asked again.
        idle.retain(|_, parked| {
            parked.retain(|parked| !parked.link.sender.is_closed() && now - parked.since < self.keep);
            !parked.is_empty()
        });
        idle.entry(link.address).or_default().push(Parked { link, since: now });
    }
}

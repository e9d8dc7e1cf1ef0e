//! A fault proxy: one listener on loopback for each scheduler and each peer it talks to, which passes bytes on,
//! or holds them, delays them, cuts a connection halfway or refuses it, as it is set.
//!
//! Guards against a rig whose faults are not those of a network: a link that is dropped says nothing (the
//! connections stay open and silent, new ones never come up), a refused one resets, a cut one ends in the middle.

use crate::scale::meter::Taken;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a link does now.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Fault {
    /// Bytes pass at once.
    Up,
    /// Nothing passes and nothing is said: open connections fall silent, new ones are taken and never served.
    Dropped,
    /// New connections are reset; open ones are reset too.
    Refused,
    /// Every piece waits a time drawn from a log-normal law with this median and spread (its sigma).
    Delayed {
        /// The median wait, in milliseconds.
        median_ms: f64,
        /// The sigma of the law's logarithm.
        sigma: f64,
    },
    /// Each connection is cut after this many bytes towards the peer.
    Cut {
        /// Bytes passed before the cut.
        after: u64,
    },
}

use serde::{Deserialize, Serialize};

/// One link: its listener's address, the switch that sets its fault, and what went through it.
#[derive(Clone)]
pub struct Link {
    /// Where the scheduler is told its peer is.
    pub address: SocketAddr,
    fault: Arc<watch::Sender<Fault>>,
    passed: Arc<Passed>,
}

/// What went through a link.
#[derive(Debug, Default)]
struct Passed {
    connections: AtomicU64,
    calls: AtomicU64,
    bytes: AtomicU64,
}

/// How long a piece may be, in bytes.
const PIECE: usize = 16 * 1024;

impl Link {
    /// Opens a link to `peer` on a port of its own; `seed` draws its delays.
    ///
    /// # Errors
    /// A listener that could not be opened.
    pub async fn open(peer: SocketAddr, seed: u64) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fault = Arc::new(watch::channel(Fault::Up).0);
        let passed = Arc::new(Passed::default());
        let link = Link { address, fault: fault.clone(), passed: passed.clone() };
        tokio::spawn(async move {
            let mut number = 0u64;
            while let Ok((stream, _)) = listener.accept().await {
                number += 1;
                passed.connections.fetch_add(1, Ordering::Relaxed);
                let rng = SmallRng::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
                tokio::spawn(carry(stream, peer, fault.subscribe(), rng, passed.clone()));
            }
        });
        Ok(link)
    }

    /// Sets its fault from now on.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Its fault now.
    pub fn fault(&self) -> Fault {
        *self.fault.borrow()
    }

    /// Connections taken since it was opened.
    pub fn connections(&self) -> u64 {
        self.passed.connections.load(Ordering::Relaxed)
    }

    /// HTTP calls and bytes passed on since it was opened, both directions. A call is a piece towards the peer that
    /// begins as one: exact where calls are small and follow each other on a connection.
    pub fn taken(&self) -> Taken {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Taken { calls: read(&self.passed.calls), bytes: read(&self.passed.bytes) }
    }
}

/// Waits while the link is dropped; ends with false where it was refused meanwhile.
async fn passable(fault: &mut watch::Receiver<Fault>) -> bool {
    loop {
        match *fault.borrow_and_update() {
            Fault::Refused => return false,
            Fault::Dropped => {}
            _ => return true,
        }
        if fault.changed().await.is_err() {
            return false;
        }
    }
}

async fn carry(
    client: TcpStream,
    peer: SocketAddr,
    mut fault: watch::Receiver<Fault>,
    mut rng: SmallRng,
    passed: Arc<Passed>,
) {
    // A connection to a dropped link comes up on neither side until the link heals.
    if !passable(&mut fault).await {
        let _ = client.set_zero_linger();
        return;
    }
    let Ok(server) = TcpStream::connect(peer).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let mut towards = fault.clone();
    let seed = rng.random::<u64>();
    let up = async {
        let mut rng = SmallRng::seed_from_u64(seed);
        pass(&mut client_read, &mut server_write, &mut towards, &mut rng, (&passed, true)).await
    };
    let down = pass(&mut server_read, &mut client_write, &mut fault, &mut rng, (&passed, false));
    // Either way ending ends the connection; a refusal resets both sides.
    let reset = tokio::select! { reset = up => reset, reset = down => reset };
    if reset {
        let (client, server) = (client_read.reunite(client_write), server_read.reunite(server_write));
        if let Ok(client) = client {
            let _ = client.set_zero_linger();
        }
        if let Ok(server) = server {
            let _ = server.set_zero_linger();
        }
    }
}

/// Passes one direction until it ends; tells whether the end is a reset.
async fn pass(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    fault: &mut watch::Receiver<Fault>,
    rng: &mut SmallRng,
    (all, towards_peer): (&Passed, bool),
) -> bool {
    let mut buffer = vec![0; PIECE];
    let mut passed = 0u64;
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            Ok(()) = fault.changed() => {
                if *fault.borrow() == Fault::Refused {
                    return true;
                }
                continue;
            }
        };
        let Ok(read @ 1..) = read else {
            let _ = to.shutdown().await;
            return false;
        };
        if !passable(fault).await {
            return true;
        }
        let now = *fault.borrow();
        let mut piece = &buffer[..read];
        match now {
            Fault::Delayed { median_ms, sigma } => {
                let law = LogNormal::new(median_ms.max(0.001).ln(), sigma.max(0.0)).expect("a finite law");
                tokio::time::sleep(Duration::from_secs_f64(law.sample(rng) / 1000.0)).await;
            }
            Fault::Cut { after } if towards_peer => {
                let room = after.saturating_sub(passed) as usize;
                if room < piece.len() {
                    piece = &piece[..room];
                    let _ = to.write_all(piece).await;
                    return true;
                }
            }
            _ => {}
        }
        passed += piece.len() as u64;
        all.bytes.fetch_add(piece.len() as u64, Ordering::Relaxed);
        if towards_peer && [&b"GET "[..], b"POST ", b"PUT "].iter().any(|method| piece.starts_with(method)) {
            all.calls.fetch_add(1, Ordering::Relaxed);
        }
        if to.write_all(piece).await.is_err() {
            return true;
        }
    }
}

//! The NBD front: data sets as network block devices, served through the same core as HTTP's requests.
//!
//! Guards against a write that is acknowledged in part: a command is checked completely before any block of it is sent.
//! The protocol is NBD's fixed newstyle negotiation with structured replies (NBD project, *doc/proto.md*).

mod session;
pub mod wire;

use crate::connection_slots::ConnectionSlots;
use crate::shutdown::{Phase, Shutdown, drain_timeout};
use crate::store::{Call, Store};
use crate::telemetry::Telemetry;
use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderValue, Method};
use pointcross_core::{Answer, Core, NewRequest};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;
use wire::{Errno, Geometry};

/// What the operator's file sets for this front.
#[derive(Clone, Debug, PartialEq)]
pub struct NbdConfig {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// How long a negotiation may take.
    pub negotiation_timeout: Duration,
    /// Open sessions at most.
    pub max_sessions: usize,
    /// The data sets.
    pub exports: Vec<Export>,
}

/// A data set offered as a block device: each block is one piece of its data.
#[derive(Clone, Debug, PartialEq)]
pub struct Export {
    /// Its name in negotiation.
    pub name: String,
    /// The volume.
    pub volume: u64,
    /// Its plan's number.
    pub plan: u16,
    /// Through how many schedulers its requests come.
    pub hosts: f64,
    /// The shard that holds it.
    pub shard: u32,
    /// Bytes in all.
    pub size: u64,
    /// Bytes of a block.
    pub block: u32,
    /// The size of a block's request in units.
    pub units: f64,
    /// The class of reads.
    pub read: ExportClass,
    /// The class of writes; none on a read-only export.
    pub write: Option<ExportClass>,
}

/// A request class as an export uses it.
#[derive(Clone, Debug, PartialEq)]
pub struct ExportClass {
    /// Its number in the settings.
    pub number: u16,
    /// Its name.
    pub name: String,
    /// How long a request of it is waited for.
    pub deadline: Duration,
}

impl Export {
    fn geometry(&self) -> Geometry {
        Geometry { size: self.size, block: self.block, read_only: self.write.is_none() }
    }
}

/// Why a block was not read or written.
#[derive(Debug, PartialEq)]
struct BlockError {
    errno: Errno,
    message: String,
}

/// What every session shares.
pub struct Nbd {
    config: NbdConfig,
    core: Arc<Core>,
    store: Arc<Store>,
    telemetry: Telemetry,
    shutdown: Shutdown,
    next_id: AtomicU64,
    sessions: TaskTracker,
}

impl Nbd {
    /// A front on this core; `seed` keeps its request ids apart from an earlier process's.
    pub fn new(
        config: NbdConfig,
        core: Arc<Core>,
        store: Arc<Store>,
        telemetry: Telemetry,
        shutdown: Shutdown,
        seed: u64,
    ) -> Self {
        let next_id = AtomicU64::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Nbd { config, core, store, telemetry, shutdown, next_id, sessions: TaskTracker::new() }
    }

    /// Accepts sessions until the stop begins, then ends when every session has.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        // Guards against idle clients: a session that has not mounted an export is evicted.
        let slots = ConnectionSlots::new(self.config.max_sessions);
        let accepting = async {
            loop {
                match listener.accept().await {
                    Ok((stream, peer)) => {
                        slots.wait_for_slot().await;
                        let _ = stream.set_nodelay(true);
                        let (front, slot) = (self.clone(), slots.acquire());
                        self.sessions.spawn(async move {
                            let ended = tokio::select! {
                                biased;
                                ended = session::run(&front, &slot, stream) => ended,
                                () = slot.wait_for_eviction(|| true) => session::End::Evicted,
                            };
                            tracing::debug!(%peer, ?ended, "NBD session ended");
                        });
                    }
                    Err(error) => {
                        tracing::warn!(%error, "NBD accept failed");
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                }
            }
        };
        tokio::select! {
            () = accepting => {}
            () = self.shutdown.reached(Phase::StopRequested) => {}
        }
        drop(listener);
        self.sessions.close();
        tokio::select! {
            () = self.sessions.wait() => return,
            () = self.shutdown.reached(Phase::Draining) => {}
        }
        // What was taken is over by its class's deadline; a client that does not read its replies is not
        // waited for beyond that.
        let timeout = drain_timeout(self.core.settings());
        let _ = tokio::time::timeout(timeout, self.sessions.wait()).await;
    }

    /// Whether no session is to begin.
    fn rejects_sessions(&self) -> bool {
        self.shutdown.phase() != Phase::Running
    }

    /// Whether no command is to begin.
    fn rejects_commands(&self) -> bool {
        self.shutdown.phase() >= Phase::Draining
    }

    /// The export of this name; the only one needs none.
    fn export(&self, name: &str) -> Option<&Export> {
        match self.config.exports.as_slice() {
            [only] if name.is_empty() => Some(only),
            all => all.iter().find(|export| export.name == name),
        }
    }

    /// Reads or, with data, writes one block: one request to the core.
    async fn block(&self, export: &Export, index: u64, data: Option<Bytes>) -> Result<Bytes, BlockError> {
        let writes = data.is_some();
        let class = match (&export.write, writes) {
            (Some(write), true) => write,
            (None, true) => {
                return Err(BlockError { errno: Errno::Perm, message: "the export is read-only".into() });
            }
            (_, false) => &export.read,
        };
        // Piece 0 is no piece, so the first block is piece 1.
        let key = index + 1;
        let path = format!("/{}/{:016x}/{key:016x}", class.name, export.volume);
        // A number that an HTTP client's open request bears is passed over.
        let id = loop {
            let id = format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed));
            if let Some(id) = self.store.open(&HeaderValue::try_from(id).expect("hex digits")) {
                break id;
            }
        };
        let last = Instant::now() + class.deadline;
        let request = NewRequest {
            class: class.number,
            plan: export.plan,
            volume: export.volume,
            key,
            units: export.units,
            shard: Some(export.shard),
            volume_hosts: export.hosts,
            client_repeat: false,
            writes,
            deadline: self.shutdown.answer_by().map_or(last, |by| last.min(by)),
        };
        let call = Call {
            method: if writes { Method::PUT } else { Method::GET },
            path: PathAndQuery::try_from(path).expect("class names are checked when they are read"),
            id,
            body: data.unwrap_or_default(),
            note: self.telemetry.request("nbd", &request),
        };
        let answer = self.core.serve(&*self.store, &call, request).await;
        call.note.answered(&answer);
        let message = match answer {
            Answer::Served(content) if writes || content.bytes.len() == export.block as usize => {
                return Ok(content.bytes);
            }
            Answer::Served(content) => format!("the store's block holds {} bytes", content.bytes.len()),
            Answer::Refused { retry_after } => {
                format!("refused and never run; come back in {:.3} s", retry_after.as_secs_f64())
            }
            Answer::Failed if writes => "failed; it may have run, so read it before writing again".into(),
            Answer::Failed => "failed; come back at any time".into(),
        };
        let errno = if self.rejects_sessions() { Errno::Shutdown } else { Errno::Io };
        Err(BlockError { errno, message })
    }
}

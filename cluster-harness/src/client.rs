//! Open-loop clients: requests at their intended times, each to one scheduler, counted by how they ended.
//!
//! A request that never went out (no connection, or hyper gives it back) goes on to the next scheduler; one that went
//! out is never sent again, so that a node's log can tell doubled writes.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// Requests a second, all clients together.
    pub rate: f64,
    /// The part of requests that write.
    pub write_share: f64,
    /// What a client waits for an answer, in milliseconds.
    pub deadline_ms: u64,
    /// Shards the requests are spread over.
    pub shards: u32,
}

impl Default for LoadSettings {
    fn default() -> Self {
        LoadSettings { rate: 200.0, write_share: 0.3, deadline_ms: 2000, shards: 4 }
    }
}

/// How the requests ended.
#[derive(Debug, Default)]
pub struct Outcomes {
    /// Sent.
    pub sent: AtomicU64,
    /// Answered 200.
    pub served: AtomicU64,
    /// Answered 429 or 503.
    pub refused: AtomicU64,
    /// Answered otherwise, or broken off where a crash explains it.
    pub failed: AtomicU64,
    /// No final answer in time from a scheduler that was not killed meanwhile.
    pub unanswered: AtomicU64,
    /// The same by the second in which they were sent: served, refused, failed, unanswered. Bounded by the run's
    /// length, an hour at the most.
    pub seconds: Mutex<Vec<[u32; 4]>>,
}

/// How a request ended, as the clients count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    Served,
    Refused,
    Failed,
    Unanswered,
}

impl Outcomes {
    fn count(&self, second: usize, ended: Ended) {
        let counter = match ended {
            Ended::Served => &self.served,
            Ended::Refused => &self.refused,
            Ended::Failed => &self.failed,
            Ended::Unanswered => &self.unanswered,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let mut seconds = self.seconds.lock().unwrap();
        if seconds.len() <= second {
            seconds.resize(second + 1, [0; 4]);
        }
        seconds[second][ended as usize] += 1;
    }
}

/// Schedulers that a request which never went out is tried at.
const MAX_TRIES: usize = 3;

/// Kept connections to each scheduler; bounded by the requests in flight, since one is kept only after its answer.
#[derive(Default)]
struct Pool(Mutex<HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>);

/// The clients of a run.
#[derive(Clone)]
pub struct Clients {
    settings: LoadSettings,
    pool: Arc<Pool>,
    /// How they ended.
    pub outcomes: Arc<Outcomes>,
}

/// What the clients ask of the rig: where each scheduler is, and how many times it was killed so far.
pub trait Fleet: Send + Sync + 'static {
    /// Where scheduler `i` takes clients.
    fn address(&self, i: usize) -> Option<SocketAddr>;
    /// How many schedulers there are.
    fn count(&self) -> usize;
    /// Kills of scheduler `i` so far.
    fn kills(&self, i: usize) -> u64;
}

impl Clients {
    /// Clients with this load.
    pub fn new(settings: LoadSettings) -> Self {
        Clients { settings, pool: Arc::default(), outcomes: Arc::default() }
    }

    /// Sends for `length`, from now; ends when the last request has ended.
    pub async fn run(&self, fleet: Arc<dyn Fleet>, length: Duration, seed: u64) {
        let gap = Duration::from_secs_f64(1.0 / self.settings.rate.max(0.001));
        let begun = Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        let mut number = 0u64;
        while begun.elapsed() < length {
            number += 1;
            let due = begun + gap.mul_f64(number as f64);
            tokio::time::sleep_until(due).await;
            let (clients, fleet) = (self.clone(), fleet.clone());
            let second = (due - begun).as_secs() as usize;
            tasks.spawn(async move {
                clients.outcomes.sent.fetch_add(1, Ordering::Relaxed);
                let ended = clients.one(fleet, seed, number).await;
                clients.outcomes.count(second, ended);
            });
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn one(&self, fleet: Arc<dyn Fleet>, seed: u64, number: u64) -> Ended {
        let mixed = splitmix(seed ^ number);
        let writes = (mixed % 1000) as f64 / 1000.0 < self.settings.write_share;
        let shard = ((mixed >> 20) % u64::from(self.settings.shards.max(1))) as u32;
        let deadline = Instant::now() + Duration::from_millis(self.settings.deadline_ms);
        let first = (mixed >> 40) as usize % fleet.count().max(1);
        let mut crossed = false;
        for turn in 0..MAX_TRIES {
            let i = (first + turn) % fleet.count().max(1);
            let Some(address) = fleet.address(i) else { continue };
            let kills = fleet.kills(i);
            let request = request(number, shard, writes, deadline);
            let answered =
                tokio::time::timeout_at(deadline + Duration::from_millis(500), self.send(address, request));
            match answered.await {
                Ok(Ok(status)) => {
                    return match status {
                        200 => Ended::Served,
                        429 | 503 => Ended::Refused,
                        _ => Ended::Failed,
                    };
                }
                // The request never went out: it goes on to the next scheduler, a write too.
                Ok(Err(Sent::Never)) => continue,
                // A kept connection closed while the request was on its way: once more on a new one, as the
                // platform's clients do. Had the scheduler read it, a write would show as doubled.
                Ok(Err(Sent::Crossed)) if fleet.kills(i) == kills && !crossed => {
                    crossed = true;
                    continue;
                }
                _ if fleet.kills(i) != kills => return Ended::Failed,
                _ => return Ended::Unanswered,
            }
        }
        // It never went out: no scheduler was there, and the client knows.
        Ended::Failed
    }

    async fn send(&self, address: SocketAddr, request: http::Request<Full<Bytes>>) -> Result<u16, Sent> {
        let kept = self.pool.0.lock().unwrap().get_mut(&address).and_then(Vec::pop);
        let mut used = false;
        let mut sender = match kept {
            Some(sender) if !sender.is_closed() => {
                used = true;
                sender
            }
            _ => {
                let stream = TcpStream::connect(address).await.map_err(|_| Sent::Never)?;
                let _ = stream.set_nodelay(true);
                let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|_| Sent::Never)?;
                tokio::spawn(connection);
                sender
            }
        };
        sender.ready().await.map_err(|_| Sent::Never)?;
        // A request that hyper gives back was never written: it may go elsewhere.
        let response =
            sender.try_send_request(request).await.map_err(|mut error| match error.take_message() {
                Some(_) => Sent::Never,
                None if used => Sent::Crossed,
                None => Sent::Broken,
            })?;
        let status = response.status().as_u16();
        let whole = response.into_body().collect().await.is_ok();
        if !whole {
            return Err(Sent::Broken);
        }
        self.pool.0.lock().unwrap().entry(address).or_default().push(sender);
        Ok(status)
    }
}

/// How a send failed.
#[derive(Debug)]
enum Sent {
    /// The connection was refused or closed before the request went out.
    Never,
    /// A kept connection ended before any answer.
    Crossed,
    /// It broke after the request went out.
    Broken,
}

fn request(number: u64, shard: u32, writes: bool, deadline: Instant) -> http::Request<Full<Bytes>> {
    let (method, class) = if writes { ("PUT", "reading-put") } else { ("GET", "reading-get") };
    let left = deadline.saturating_duration_since(Instant::now()).as_millis();
    let body = if writes { Bytes::from(format!("reading {number}")) } else { Bytes::new() };
    http::Request::builder()
        .method(method)
        .uri(format!("/{class}/0000000000000007/{number:016x}"))
        .header("host", "service.internal")
        .header("x-correlation-id", format!("{number:016x}"))
        .header("x-service-class", class)
        .header("tier", "standard")
        .header("x-time-left", format!("{left}m"))
        .header("io-info", format!("units=1,shard={shard},hosts=1"))
        .body(Full::new(body))
        .expect("a request of these parts")
}

/// Mixes a number into another, so that neighbouring requests differ in every part.
pub fn splitmix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

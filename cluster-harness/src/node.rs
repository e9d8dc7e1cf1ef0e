//! A stand-in storage node in the platform's protocol: one shard, a queue with a limit, a warm-up after each
//! start, and its own log of what it ran.
//!
//! Guards against a rig that takes the schedulers' word for what happened: every count of the verdict comes from
//! here (calls in each 10 ms slot, requests over the queue's limit, writes run per key).

use crate::ledger::Slots;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

/// How a node behaves now.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Mood {
    /// As its settings say.
    Up,
    /// Every request takes this many times as long.
    Slow {
        /// The factor.
        factor: f64,
    },
    /// Takes requests and never answers.
    Silent,
    /// Resets every connection, as a dead process's port does.
    Down,
}

/// A node's settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Requests at once, running and waiting, beyond which one is turned away unrun.
    pub queue_limit: usize,
    /// Requests that run side by side.
    pub workers: usize,
    /// Time of one unit of work when warm, in milliseconds.
    pub unit_ms: f64,
    /// How many times slower a request is right after a start; it falls to 1 over `warm_ms`.
    pub cold_factor: f64,
    /// Time to warm up after a start, in milliseconds.
    pub warm_ms: f64,
}

impl Default for NodeSettings {
    fn default() -> Self {
        NodeSettings { queue_limit: 64, workers: 8, unit_ms: 4.0, cold_factor: 4.0, warm_ms: 5000.0 }
    }
}

impl NodeSettings {
    /// How many times slower a node is at this age, in milliseconds.
    pub fn coldness(&self, age: f64) -> f64 {
        1.0 + (self.cold_factor - 1.0).max(0.0) * (1.0 - age / self.warm_ms.max(1e-3)).max(0.0)
    }
}

/// What a node has seen, from its own side.
#[derive(Debug, Default)]
pub struct NodeLog {
    /// Requests that came, by 10 ms slot from the rig's start.
    pub calls: Slots,
    /// Requests turned away because the queue was at its limit.
    pub overloads: u64,
    /// The most requests held at once.
    pub most_held: usize,
    /// How often each written path ran.
    pub writes: HashMap<String, u32>,
    /// Requests answered 200.
    pub served: u64,
}

struct Inner {
    shard: u32,
    settings: NodeSettings,
    started: Mutex<Instant>,
    held: Mutex<usize>,
    workers: tokio::sync::Semaphore,
    log: Mutex<NodeLog>,
    mood: watch::Sender<Mood>,
    epoch: Instant,
}

/// A running stand-in node.
#[derive(Clone)]
pub struct Node {
    /// Its listener.
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

impl Node {
    /// Starts a node holding `shard`, cold; `epoch` is the rig's start, from which slots count.
    ///
    /// # Errors
    /// A listener that could not be opened.
    pub async fn start(shard: u32, settings: NodeSettings, epoch: Instant) -> std::io::Result<Node> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let inner = Arc::new(Inner {
            shard,
            workers: tokio::sync::Semaphore::new(settings.workers.max(1)),
            settings,
            started: Mutex::new(Instant::now()),
            held: Mutex::new(0),
            log: Mutex::default(),
            mood: watch::channel(Mood::Up).0,
            epoch,
        });
        let serving = inner.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if *serving.mood.borrow() == Mood::Down {
                    let _ = stream.set_zero_linger();
                    continue;
                }
                let inner = serving.clone();
                tokio::spawn(async move {
                    let service = service_fn(move |request| answer(inner.clone(), request));
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(Node { address, inner })
    }

    /// The shard it holds.
    pub fn shard(&self) -> u32 {
        self.inner.shard
    }

    /// Sets how it behaves from now on.
    pub fn set(&self, mood: Mood) {
        self.inner.mood.send_replace(mood);
    }

    /// Starts it again: cold from now.
    pub fn restart(&self) {
        *self.inner.started.lock().unwrap() = Instant::now();
    }

    /// Requests it holds now, running and waiting.
    pub fn held(&self) -> usize {
        *self.inner.held.lock().unwrap()
    }

    /// The requests that came to it between two times, in Unix milliseconds. Slots of the log that are in this time
    /// in part are left out.
    pub fn calls_between(&self, from_ms: u64, until_ms: u64) -> u64 {
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let epoch = now_ms.saturating_sub(self.inner.epoch.elapsed());
        let since_epoch = |at_ms| Duration::from_millis(at_ms).saturating_sub(epoch);
        self.log(|log| log.calls.between(since_epoch(from_ms), since_epoch(until_ms)))
    }

    /// Reads its log.
    pub fn log<R>(&self, read: impl FnOnce(&NodeLog) -> R) -> R {
        read(&self.inner.log.lock().unwrap())
    }
}

fn text(status: StatusCode, body: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(body.as_bytes())));
    *response.status_mut() = status;
    response
}

async fn answer(inner: Arc<Inner>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let now = Instant::now();
    let (head, body) = request.into_parts();
    let Some(id) = head.headers.get("x-correlation-id").and_then(|id| id.to_str().ok()).map(str::to_owned)
    else {
        return Ok(text(StatusCode::NOT_FOUND, "no id"));
    };
    // A node begins a request once its last byte has come.
    let Ok(_body) = body.collect().await else { return Ok(text(StatusCode::BAD_REQUEST, "")) };
    let units = units_of(&head.headers).max(1);
    let shard = shard_of(&head.headers);
    inner.log.lock().unwrap().calls.note(now - inner.epoch);
    let unrun = |why| {
        let mut response = text(StatusCode::SERVICE_UNAVAILABLE, why);
        response.headers_mut().insert("x-unprocessed", http::HeaderValue::from_static("1"));
        response
    };
    if shard.is_some_and(|shard| shard != inner.shard) {
        return Ok(unrun("not this shard"));
    }
    {
        let mut held = inner.held.lock().unwrap();
        if *held >= inner.settings.queue_limit {
            inner.log.lock().unwrap().overloads += 1;
            return Ok(unrun("queue full"));
        }
        *held += 1;
        let mut log = inner.log.lock().unwrap();
        log.most_held = log.most_held.max(*held);
    }
    let released = Release(inner.clone());
    let mood = *inner.mood.borrow();
    if mood == Mood::Silent {
        std::future::pending::<()>().await;
    }
    let _worker = inner.workers.acquire().await.expect("never closed");
    let age = inner.started.lock().unwrap().elapsed().as_secs_f64() * 1000.0;
    let cold = inner.settings.coldness(age);
    let slow = if let Mood::Slow { factor } = mood { factor } else { 1.0 };
    let work = inner.settings.unit_ms * units as f64 * cold * slow;
    tokio::time::sleep(Duration::from_secs_f64(work / 1000.0)).await;
    {
        let mut log = inner.log.lock().unwrap();
        if head.method == http::Method::PUT {
            *log.writes.entry(head.uri.path().to_owned()).or_default() += 1;
        }
        log.served += 1;
    }
    drop(released);
    let mut response = Response::new(Full::new(Bytes::from(format!("served {id}"))));
    *response.status_mut() = StatusCode::OK;
    Ok(response)
}

/// Gives a request's place in the queue back, however it ends.
struct Release(Arc<Inner>);

impl Drop for Release {
    fn drop(&mut self) {
        *self.0.held.lock().unwrap() -= 1;
    }
}

fn io_info(headers: &http::HeaderMap, key: &str) -> Option<i64> {
    let info = headers.get("io-info")?.to_str().ok()?;
    info.split(',').find_map(|part| part.trim().strip_prefix(key)?.strip_prefix('=')?.parse().ok())
}

fn units_of(headers: &http::HeaderMap) -> u64 {
    io_info(headers, "units").and_then(|units| u64::try_from(units).ok()).unwrap_or(1)
}

fn shard_of(headers: &http::HeaderMap) -> Option<u32> {
    io_info(headers, "shard").and_then(|shard| u32::try_from(shard).ok())
}

//! A stand-in list service: `GET /api/targets`, whole or as a watch, one endpoint a scheduler so that each is
//! told its own way to every node, all counted together by 10 ms slot.

use crate::ledger::Slots;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

/// How the list service behaves now.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ListMood {
    /// Answers at once.
    Up,
    /// Each answer waits so long first, in milliseconds.
    Slow {
        /// The wait.
        ms: u64,
    },
    /// Answers 503 at once.
    Down,
}

/// One storage node as the list gives it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its id, the same for every scheduler.
    pub id: String,
    /// Its shard.
    pub cell: u32,
    /// When it last started, Unix milliseconds.
    pub up_since_ms: u64,
}

struct Inner {
    /// The list, and for each scheduler its address of each entry.
    entries: Mutex<Vec<Entry>>,
    ways: Mutex<Vec<Vec<SocketAddr>>>,
    revision: watch::Sender<u64>,
    mood: watch::Sender<ListMood>,
    calls: Mutex<Slots>,
    epoch: Instant,
}

/// The running service.
#[derive(Clone)]
pub struct ListService {
    inner: Arc<Inner>,
}

/// The longest a watch is held, whatever it asks: as the platform's service.
const MAX_HOLD: Duration = Duration::from_secs(60);

impl ListService {
    /// A service with these entries; `epoch` is the rig's start.
    pub fn new(entries: Vec<Entry>, epoch: Instant) -> Self {
        let inner = Inner {
            entries: Mutex::new(entries),
            ways: Mutex::default(),
            revision: watch::channel(1).0,
            mood: watch::channel(ListMood::Up).0,
            calls: Mutex::default(),
            epoch,
        };
        ListService { inner: Arc::new(inner) }
    }

    /// Opens the endpoint of one scheduler, which reaches entry `i` at `ways[i]`.
    ///
    /// # Errors
    /// A listener that could not be opened.
    pub async fn endpoint(&self, ways: Vec<SocketAddr>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let number = {
            let mut all = self.inner.ways.lock().unwrap();
            all.push(ways);
            all.len() - 1
        };
        let inner = self.inner.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let inner = inner.clone();
                tokio::spawn(async move {
                    let service = service_fn(move |request| answer(inner.clone(), number, request));
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(address)
    }

    /// Sets how it behaves from now on.
    pub fn set(&self, mood: ListMood) {
        self.inner.mood.send_replace(mood);
    }

    /// Notes that entry `i` started again now: a new revision.
    pub fn restarted(&self, i: usize, up_since_ms: u64) {
        self.inner.entries.lock().unwrap()[i].up_since_ms = up_since_ms;
        self.inner.revision.send_modify(|revision| *revision += 1);
    }

    /// Its calls so far.
    pub fn calls(&self) -> Slots {
        self.inner.calls.lock().unwrap().clone()
    }

    /// The whole list in the platform's form, as scheduler `number` reaches it.
    pub fn text(&self, number: usize) -> String {
        text(&self.inner, number)
    }
}

fn text(inner: &Inner, number: usize) -> String {
    let revision = *inner.revision.borrow();
    let entries = inner.entries.lock().unwrap();
    let ways = inner.ways.lock().unwrap();
    let members: Vec<String> = entries
        .iter()
        .zip(&ways[number])
        .map(|(entry, way)| {
            format!(
                r#"{{"id":"{}","host_port":"{way}","locality":"a","cell":{},"phase":"up","size":1.0,"up_since_ms":{}}}"#,
                entry.id, entry.cell, entry.up_since_ms
            )
        })
        .collect();
    format!(r#"{{"revision":{revision},"complete":true,"members":[{}]}}"#, members.join(","))
}

fn query(uri: &http::Uri, key: &str) -> Option<u64> {
    uri.query()?.split('&').find_map(|part| part.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
}

async fn answer(
    inner: Arc<Inner>,
    number: usize,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    inner.calls.lock().unwrap().note(inner.epoch.elapsed());
    let reply = |status, body: String| {
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        Ok(response)
    };
    if request.uri().path() != "/api/targets" {
        return reply(StatusCode::NOT_FOUND, String::new());
    }
    let mood = *inner.mood.borrow();
    match mood {
        ListMood::Down => return reply(StatusCode::SERVICE_UNAVAILABLE, String::new()),
        ListMood::Slow { ms } => tokio::time::sleep(Duration::from_millis(ms)).await,
        ListMood::Up => {}
    }
    if let Some(from) = query(request.uri(), "from") {
        let hold = Duration::from_millis(query(request.uri(), "hold_ms").unwrap_or(0)).min(MAX_HOLD);
        let mut revision = inner.revision.subscribe();
        let _ = tokio::time::timeout(hold, revision.wait_for(|&now| now > from)).await;
    }
    reply(StatusCode::OK, text(&inner, number))
}

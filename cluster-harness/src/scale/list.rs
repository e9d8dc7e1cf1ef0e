//! A stand-in list service for thousands of watchers: whole lists and changes, on a thread of its own whose time is
//! read from the kernel, with a ledger of calls and bytes by side.

use super::meter::{Meter, Metered, thread_cpu_ns};
use super::unix_us;
use super::world::{Changed, Entry, Phase};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::convert::Infallible;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// The longest a watch is held, whatever it asks: as the platform's service.
const MAX_HOLD: Duration = Duration::from_secs(60);
/// Changes kept for watches; a watch from before them is told the whole list.
const HISTORY: usize = 4096;

struct Table {
    entries: Vec<Entry>,
    /// Which entries each revision changed, the oldest first; the last is the revision now.
    history: VecDeque<(u64, Vec<usize>)>,
    revision: u64,
    /// Answers of this revision, by the revision asked from: many watchers ask the same. Emptied at each change, and
    /// bounded by the history.
    texts: HashMap<Option<u64>, Bytes>,
}

struct Inner {
    names: Vec<String>,
    table: Mutex<Table>,
    revision: watch::Sender<u64>,
    watches: AtomicUsize,
    most_watches: AtomicUsize,
}

/// The running service; its thread ends when this is dropped.
pub struct ListService {
    inner: Arc<Inner>,
    /// Where each side asks, with its ledger.
    pub sides: [(SocketAddr, Arc<Meter>); 2],
    thread: String,
    _end: oneshot::Sender<()>,
}

/// Which side a scheduler is on: its place in [`ListService::sides`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// A process of its own.
    Real,
    /// One of many in a process.
    Hollow,
}

impl ListService {
    /// Starts it with these entries, for zones of these names, on a thread of its own; slots count from `epoch`.
    ///
    /// # Errors
    /// A listener that could not be opened.
    pub fn start(entries: Vec<Entry>, names: Vec<String>, epoch: Instant) -> std::io::Result<Self> {
        let table = Table { entries, history: VecDeque::new(), revision: 1, texts: HashMap::new() };
        let inner = Arc::new(Inner {
            names,
            table: Mutex::new(table),
            revision: watch::channel(1).0,
            watches: AtomicUsize::new(0),
            most_watches: AtomicUsize::new(0),
        });
        let mut sides = Vec::new();
        let mut listeners = Vec::new();
        for _ in 0..2 {
            let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            let meter = Arc::new(Meter::new(epoch));
            sides.push((listener.local_addr()?, meter.clone()));
            listeners.push((listener, meter));
        }
        let (end, ended) = oneshot::channel::<()>();
        let (said, thread) = std::sync::mpsc::channel();
        let serving = inner.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new().name("list service".into()).spawn(move || {
            let _ = said.send(std::fs::read_link("/proc/thread-self"));
            runtime.block_on(async move {
                for (listener, meter) in listeners {
                    if let Ok(listener) = TcpListener::from_std(listener) {
                        tokio::spawn(accept(serving.clone(), listener, meter));
                    }
                }
                let _ = ended.await;
            });
        })?;
        let thread = thread.recv().map_err(std::io::Error::other)??;
        let sides = <[_; 2]>::try_from(sides).expect("two sides");
        Ok(ListService { inner, sides, thread: format!("/proc/{}", thread.display()), _end: end })
    }

    /// Puts changed entries into the list and wakes every watch; gives the new revision and when it was made, in
    /// Unix microseconds.
    pub fn publish(&self, changed: Changed) -> (u64, u64) {
        let at = unix_us();
        let revision = {
            let mut table = self.inner.table.lock().unwrap();
            table.revision += 1;
            let revision = table.revision;
            let numbers = changed.iter().map(|&(n, _)| n).collect();
            table.history.push_back((revision, numbers));
            if table.history.len() > HISTORY {
                table.history.pop_front();
            }
            table.texts.clear();
            for (n, entry) in changed {
                table.entries[n] = entry;
            }
            revision
        };
        self.inner.revision.send_replace(revision);
        (revision, at)
    }

    /// The revision now.
    pub fn revision(&self) -> u64 {
        *self.inner.revision.borrow()
    }

    /// The whole list as a call gets it now.
    pub fn whole(&self) -> Bytes {
        self.inner.text(None).1
    }

    /// Time that its thread has had on a core so far, in nanoseconds.
    pub fn cpu_ns(&self) -> u64 {
        thread_cpu_ns(&self.thread)
    }

    /// The most watches open at once since the last call of this.
    pub fn take_most_watches(&self) -> usize {
        let now = self.inner.watches.load(Ordering::Relaxed);
        self.inner.most_watches.swap(now, Ordering::Relaxed)
    }
}

fn write_entry(text: &mut String, entry: &Entry, names: &[String]) {
    let phase = match entry.phase {
        Phase::Up => "up",
        Phase::Draining => "draining",
        Phase::Removed => "removed",
    };
    let zone = names.get(entry.zone).map_or("", String::as_str);
    let comma = if text.ends_with('[') { "" } else { "," };
    let _ = write!(
        text,
        r#"{comma}{{"id":"{}","host_port":"{}","locality":"{zone}","flavor":"m2","cell":{},"phase":"{phase}","size":1.0,"up_since_ms":{}}}"#,
        entry.id, entry.address, entry.cell, entry.up_since_ms
    );
}

impl Inner {
    /// The revision and the answer to a call from `from`: the changes since, or the whole list where they are not had.
    fn text(&self, from: Option<u64>) -> (u64, Bytes) {
        let mut table = self.table.lock().unwrap();
        let revision = table.revision;
        // What changed since is had where the history begins no later than the revision behind `from`.
        let first = table.history.front().map_or(revision + 1, |(revision, _)| *revision);
        let from = from.filter(|&from| from <= revision && from + 1 >= first);
        if let Some(text) = table.texts.get(&from) {
            return (revision, text.clone());
        }
        let mut text = format!(r#"{{"revision":{revision},"complete":{},"members":["#, from.is_none());
        match from {
            None => {
                let listed = table.entries.iter().filter(|entry| entry.phase != Phase::Removed);
                listed.for_each(|entry| write_entry(&mut text, entry, &self.names));
            }
            Some(from) => {
                let since = table.history.iter().filter(|(revision, _)| *revision > from);
                let changed: BTreeSet<usize> =
                    since.flat_map(|(_, numbers)| numbers.iter().copied()).collect();
                changed.into_iter().for_each(|n| write_entry(&mut text, &table.entries[n], &self.names));
            }
        }
        text.push_str("]}");
        let text = Bytes::from(text);
        table.texts.insert(from, text.clone());
        (revision, text)
    }
}

async fn accept(inner: Arc<Inner>, listener: TcpListener, meter: Arc<Meter>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors: those that end give theirs back.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (inner, meter) = (inner.clone(), meter.clone());
        let stream = Metered::new(stream, meter.clone());
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(inner.clone(), meter.clone(), request));
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn query(uri: &http::Uri, key: &str) -> Option<u64> {
    uri.query()?.split('&').find_map(|part| part.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
}

/// Counts a watch as open for as long as it lives, however it ends.
struct Open<'a>(&'a Inner);

impl<'a> Open<'a> {
    fn new(inner: &'a Inner) -> Self {
        let now = inner.watches.fetch_add(1, Ordering::Relaxed) + 1;
        inner.most_watches.fetch_max(now, Ordering::Relaxed);
        Open(inner)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.watches.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn answer(
    inner: Arc<Inner>,
    meter: Arc<Meter>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    meter.call();
    if request.uri().path() != "/api/targets" {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return Ok(response);
    }
    let from = query(request.uri(), "from");
    if let Some(from) = from {
        let hold = Duration::from_millis(query(request.uri(), "hold_ms").unwrap_or(0)).min(MAX_HOLD);
        let _open = Open::new(&inner);
        let mut revision = inner.revision.subscribe();
        // A version that was never given out is answered at once, with the whole list.
        let _ = tokio::time::timeout(hold, revision.wait_for(|&now| now != from)).await;
    }
    Ok(Response::new(Full::new(inner.text(from).1)))
}

//! What traffic costs one scheduler process: its clients' connections and requests, and its connections to storage
//! nodes. Beside it, what members of [`pointcross_coordination`] cost one another in quiet.
//!
//! Load is open loop: times run from when a request was meant to go out, as in [`crate::load`]. Clients and nodes share
//! the calling runtime; how late they were themselves is told with each point, so that the tool's own limit is seen.

use crate::client_connection::{ReadingRequest, Sender, connect, send};
use crate::load::LoadError;
use crate::script::Script;
use crate::virtual_time::settings;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::convert::Infallible;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::Instant;

pub mod peers;

/// Between two requests of one connection at the target: 8,334 connections bring 3,833 requests a second.
pub const GAP: f64 = 2.17;
/// What goes before a window of paced connections, so that all are open and have their rhythm.
const WARM: f64 = 2.5;
/// What goes before a window at a rate, so that most nodes were asked once.
const WARM_RATE: f64 = 1.5;
/// Idle connections are opened at this rate: far under what fills the listener's queue.
const OPENINGS: f64 = 5000.0;
/// A request that got no answer by then is given up: past the scheduler's own limit of 5 s.
const PATIENCE: Duration = Duration::from_secs(6);
/// A tool whose timers are this late put other load on than was asked for.
const MAX_LATE_MS: f64 = 5.0;

/// What connections do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// One request each, and then rest.
    Idle,
    /// One request each [`GAP`] seconds, at even gaps or exponential ones.
    Paced {
        /// Even gaps.
        regular: bool,
    },
    /// Requests a second over all connections.
    Rate(f64),
}

/// What one point is of.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// What connections do.
    pub kind: Kind,
    /// Clients' connections.
    pub connections: usize,
    /// Storage nodes, each with a shard of its own.
    pub nodes: u32,
    /// `limits.sockets` of the platform's file.
    pub sockets: u32,
    /// Of all that is drawn.
    pub seed: u64,
    /// The window.
    pub seconds: f64,
}

/// One measured point. Shares and times are of requests meant in the window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Point {
    /// `idle`, `paced` or `rate`.
    pub kind: &'static str,
    /// Connections that rest after one request.
    pub connections_idle: usize,
    /// Connections that go on asking.
    pub connections_active: usize,
    /// Whether each connection asks at even gaps.
    pub regular: bool,
    /// Requests a second that were meant.
    pub rate: f64,
    /// Storage nodes.
    pub nodes: u32,
    /// `limits.sockets`.
    pub sockets: u32,
    /// Seed.
    pub seed: u64,
    /// The window.
    pub seconds: f64,
    /// The scheduler's processor time, as a part of one core.
    pub cpu_pct: f64,
    /// The same for each answer that came in the window, in microseconds.
    pub cpu_us_each: Option<f64>,
    /// The scheduler's resident memory before any load but 20 requests.
    pub rss_mb_start: f64,
    /// The same at the window's end.
    pub rss_mb: f64,
    /// Its descriptors before any load.
    pub descriptors_start: usize,
    /// The same at the window's end.
    pub descriptors: usize,
    /// Answers that came in the window, a second.
    pub per_second: f64,
    /// Of all answers.
    pub p50_ms: f64,
    /// The same.
    pub p99_ms: f64,
    /// Served, as a part of all answers.
    pub served_share: f64,
    /// Answered 429.
    pub refused: u64,
    /// Answered with something else that is no success.
    pub failed: u64,
    /// Ended without an answer.
    pub broken: u64,
    /// Connections that the scheduler closed and clients opened anew.
    pub reconnects_per_s: f64,
    /// The most connections open at once at the nodes' end, in the window.
    pub node_connections: usize,
    /// Connections opened to nodes.
    pub node_connects_per_s: f64,
    /// Times that the scheduler said that it had no room for another connection to a node.
    pub no_room: u64,
    /// The same, as a part of the requests meant.
    pub no_room_share: f64,
    /// How late the tool's own timers were, at the 99th of a hundred requests.
    pub tool_late_p99_ms: f64,
    /// The tool's processor time, clients and nodes, as a part of one core.
    pub tool_cpu_pct: f64,
    /// Whether the tool put other load on than was asked for.
    pub tool_limited: bool,
    /// What became of connections that rest; only there for `idle`.
    #[serde(flatten)]
    pub rest: Option<Rest>,
}

/// What became of connections that rest. Times run from the last one's answer.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Rest {
    /// From the first connection to the last one's answer.
    pub opened_s: f64,
    /// Clients whose connection is not closed 0.1 s later.
    pub held: usize,
    /// The same after 1 s.
    pub held_1s: usize,
    /// The same after 2.5 s.
    pub held_2500ms: usize,
    /// Memory with `held` connections.
    pub rss_mb_held: f64,
    /// Descriptors with `held` connections.
    pub descriptors_held: usize,
    /// Descriptors after 1 s.
    pub descriptors_1s: usize,
    /// Descriptors after 2.5 s.
    pub descriptors_2500ms: usize,
    /// Processor time in the rest of the first second, in which nobody asks anything, as a part of one core.
    pub rest_cpu_pct: f64,
}

/// What the system says of a process.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    cpu: Duration,
    rss_mb: f64,
    descriptors: usize,
}

/// Processor time of a task's threads whose name passes, by `schedstat`: in nanoseconds, where `stat` has ticks.
pub(crate) fn thread_time(process: &str, wanted: impl Fn(&str) -> bool) -> Duration {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).into_iter().flatten().flatten();
    let times = tasks.filter_map(|task| {
        let name = std::fs::read_to_string(task.path().join("comm")).ok()?;
        let told = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        wanted(name.trim_end()).then_some(told.split_whitespace().next()?.parse::<u64>().ok()?)
    });
    Duration::from_nanos(times.sum())
}

/// Resident memory.
pub(crate) fn rss_mb(process: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1024.0
}

impl Used {
    fn of(process: &str) -> Self {
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
        Used { cpu: thread_time(process, |_| true), rss_mb: rss_mb(process), descriptors }
    }
}

/// Connections at the nodes' end.
#[derive(Default)]
struct NodeCounts {
    open: AtomicUsize,
    peak: AtomicUsize,
    opened: AtomicU64,
}

/// Starts nodes that answer at once and count their connections; they take some for as long as the set is there.
async fn counting_nodes(count: u32) -> Result<(Vec<SocketAddr>, Arc<NodeCounts>, JoinSet<()>), LoadError> {
    let counts = Arc::<NodeCounts>::default();
    let (mut addresses, mut accepting) = (Vec::new(), JoinSet::new());
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(system("a node's port"))?;
        addresses.push(listener.local_addr().map_err(system("a node's port"))?);
        let counts = counts.clone();
        accepting.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let counts = counts.clone();
                let open = counts.open.fetch_add(1, Ordering::Relaxed) + 1;
                counts.peak.fetch_max(open, Ordering::Relaxed);
                counts.opened.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    let service = service_fn(|request: Request<hyper::body::Incoming>| async move {
                        let _ = request.into_body().collect().await;
                        let answer = Response::builder().header("x-backend-load", "TEXT inflight=1");
                        let body = Full::new(Bytes::from_static(b"done"));
                        Ok::<_, Infallible>(answer.body(body).expect("a plain answer"))
                    });
                    let server = hyper::server::conn::http1::Builder::new();
                    let _ = server.serve_connection(TokioIo::new(stream), service).await;
                    counts.open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
    }
    Ok((addresses, counts, accepting))
}

fn system(what: &str) -> impl FnOnce(std::io::Error) -> LoadError {
    let what = what.to_owned();
    move |error| LoadError::System { what, error }
}

/// A scheduler of the tool's own; it ends with this.
struct Process {
    child: Child,
    folder: PathBuf,
    address: SocketAddr,
    no_room: Arc<AtomicU64>,
}

/// One plan beyond any limit: measured is the program and not its plans.
fn open_settings(nodes: u32) -> String {
    let script = format!(
        "name = \"traffic\"\n[site]\nseconds = 1\nnodes = {nodes}\nschedulers = 1\nvolumes_per_node = 8\nload = 1\n\
         [node]\nunit_ms = 0.05\n[[plan]]\nname = \"standard\"\nshare = 1\n[[class]]\nname = \"reading-get\"\n\
         share = 1\nunits = [1, 2]\naim_ms = 250\ngive_up_ms = 5000\n"
    );
    settings(&Script::parse(&script).expect("a script of our own"), 0)
}

impl Process {
    /// Starts `program serve` before these nodes, logging what it does unless told otherwise.
    async fn start(program: &Path, nodes: &[SocketAddr], sockets: u32) -> Result<Self, LoadError> {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let members = nodes.iter().enumerate().map(|(shard, address)| {
            serde_json::json!({"id": format!("s-{shard}"), "host_port": address.to_string(), "cell": shard,
                "phase": "up", "up_since_ms": 0})
        });
        let members: Vec<serde_json::Value> = members.collect();
        let settings: serde_json::Value =
            serde_json::from_str(&open_settings(nodes.len() as u32)).expect("JSON of our own");
        // Bound and given up again, so that the port is free; taken in between, the start says so.
        let free = std::net::TcpListener::bind("127.0.0.1:0").map_err(system("a port"))?;
        let address = free.local_addr().map_err(system("a port"))?;
        drop(free);
        let config = serde_json::json!({
            "name": "traffic", "listen": address.to_string(), "discovery": "127.0.0.1:1", "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": {"revision": 1, "complete": true, "members": members}, "settings": settings,
        });
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("pointcross-traffic-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(system("a folder for the configuration"))?;
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string()).map_err(system("the configuration"))?;
        let mut command = Command::new(program);
        for key in ["RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_NAME", "RELAY_OPS", "POINTCROSS_OPERATOR"] {
            command.env_remove(key);
        }
        command.args(["--log-format", "text", "--log-filter", "info", "serve"]).env("RELAY_CONFIG", &file);
        let child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn();
        let mut child = child.map_err(system("the scheduler"))?;
        let (no_room, log) = (Arc::<AtomicU64>::default(), child.stderr.take());
        let told = no_room.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(log?).lines().map_while(Result::ok) {
                told.fetch_add(u64::from(line.contains("no room for another")), Ordering::Relaxed);
            }
            Some(())
        });
        let mut process = Process { child, folder, address, no_room };
        let begun = Instant::now();
        loop {
            if let Ok(Some(status)) = process.child.try_wait() {
                return Err(LoadError::NotStarted(status.to_string()));
            }
            if TcpStream::connect(address).await.is_ok() {
                return Ok(process);
            }
            if begun.elapsed() > Duration::from_secs(10) {
                return Err(LoadError::NotStarted("no connection within 10 s".into()));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn used(&self) -> Used {
        Used::of(&self.child.id().to_string())
    }
}

impl Drop for Process {
    /// Guards against a process left behind.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// When a request is meant, in seconds from the beginning, and its shard.
type Meant = (f64, u32);
/// The requests of one connection, in order.
type Turns = Box<dyn FnMut() -> Option<Meant> + Send>;

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Requests of each connection until `end`, all drawn from the seed.
pub fn turns(kind: Kind, connections: usize, nodes: u32, seed: u64, end: f64) -> Vec<Turns> {
    let drawn = |n: u64| SmallRng::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ n);
    match kind {
        Kind::Rate(rate) => {
            let (mut rng, mut at, mut all) = (drawn(0), 0.0, Vec::new());
            loop {
                at += exponential(&mut rng, 1.0 / rate);
                if at >= end {
                    break;
                }
                all.push((at, rng.random_range(0..nodes)));
            }
            let (all, next) = (Arc::new(all), Arc::new(AtomicUsize::new(0)));
            let one = || -> Turns {
                let (all, next) = (all.clone(), next.clone());
                Box::new(move || all.get(next.fetch_add(1, Ordering::Relaxed)).copied())
            };
            (0..connections).map(|_| one()).collect()
        }
        Kind::Paced { regular } => (0..connections as u64)
            .map(|n| -> Turns {
                let mut rng = drawn(n + 1);
                let mut at = if regular { rng.random_range(0.0..GAP) } else { exponential(&mut rng, GAP) };
                Box::new(move || {
                    let meant = (at, rng.random_range(0..nodes));
                    at += if regular { GAP } else { exponential(&mut rng, GAP) };
                    (meant.0 < end).then_some(meant)
                })
            })
            .collect(),
        Kind::Idle => (0..connections as u64)
            .map(|n| -> Turns {
                let mut once = Some((n as f64 / OPENINGS, drawn(n + 1).random_range(0..nodes)));
                Box::new(move || once.take())
            })
            .collect(),
    }
}

/// What clients counted; of requests meant before the window only connections are.
#[derive(Default)]
struct Tally {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    broken: AtomicU64,
    /// Answers that came since the beginning, whenever they were meant.
    answers: AtomicU64,
    /// Connections opened anew since the beginning.
    reconnects: AtomicU64,
    number: AtomicU64,
    /// Times of answers and how late the tool was, in microseconds.
    times: Mutex<(Vec<u64>, Vec<u64>)>,
}

/// The clients' common part.
#[derive(Clone)]
struct Clients {
    address: SocketAddr,
    begun: Instant,
    from: Instant,
    tally: Arc<Tally>,
}

impl Clients {
    async fn ask(&self, sender: &mut Option<Sender>, shard: u32) -> Option<StatusCode> {
        if sender.as_ref().is_none_or(Sender::is_closed) {
            // One that was had before was closed by the scheduler.
            if sender.take().is_some() {
                self.tally.reconnects.fetch_add(1, Ordering::Relaxed);
            }
            *sender = Some(connect(self.address).await?);
        }
        let number = self.tally.number.fetch_add(1, Ordering::Relaxed) + 1;
        let reading =
            ReadingRequest { host: "pointcross.internal", number, piece: number, shard: shard.into() };
        send(sender.as_mut()?, reading).await
    }

    /// One connection's life; gives the connection back where it is still open.
    async fn live(self, mut turns: Turns) -> Option<Sender> {
        let mut sender = None;
        let (mut times, mut late) = (Vec::new(), Vec::new());
        while let Some((at, shard)) = turns() {
            let meant = self.begun + Duration::from_secs_f64(at);
            // A sleep until now would take a millisecond: timers round up.
            if meant > Instant::now() {
                tokio::time::sleep_until(meant).await;
                late.push(meant.elapsed().as_micros() as u64);
            }
            let answer = tokio::time::timeout(PATIENCE, self.ask(&mut sender, shard)).await.ok().flatten();
            let counted = u64::from(meant >= self.from);
            let what = match answer {
                Some(StatusCode::OK) => &self.tally.served,
                Some(StatusCode::TOO_MANY_REQUESTS) => &self.tally.refused,
                Some(_) => &self.tally.failed,
                None => &self.tally.broken,
            };
            what.fetch_add(counted, Ordering::Relaxed);
            self.tally.answers.fetch_add(u64::from(answer.is_some()), Ordering::Relaxed);
            match answer {
                Some(_) if counted > 0 => times.push(meant.elapsed().as_micros() as u64),
                Some(_) => {}
                // Broken under a request, it counts as closed by the scheduler too.
                None if sender.take().is_some() => _ = self.tally.reconnects.fetch_add(1, Ordering::Relaxed),
                None => {}
            }
        }
        let mut all = self.tally.times.lock().expect("no panic before");
        all.0.append(&mut times);
        all.1.append(&mut late);
        sender
    }
}

fn quantile_ms(micros: &[u64], quantile: f64) -> f64 {
    let mut histogram = Histogram::<u64>::new(3).expect("3 digits");
    micros.iter().for_each(|&time| _ = histogram.record(time));
    if micros.is_empty() { 0.0 } else { histogram.value_at_quantile(quantile) as f64 / 1e3 }
}

/// Measures one point at a scheduler of its own, in bounded time.
///
/// # Errors
/// [`LoadError`] where the scheduler or the nodes could not be started, or the run did not end in its time.
pub async fn measure(program: &Path, spec: Spec) -> Result<Point, LoadError> {
    let most = Duration::from_secs_f64(spec.seconds + 60.0);
    let late = || LoadError::NotStarted(format!("the run did not end within {most:?}"));
    tokio::time::timeout(most, measured(program, spec)).await.unwrap_or_else(|_| Err(late()))
}

async fn measured(program: &Path, spec: Spec) -> Result<Point, LoadError> {
    let Spec { kind, connections, nodes, sockets, seed, seconds } = spec;
    let (addresses, counts, _accepting) = counting_nodes(nodes).await?;
    let process = Process::start(program, &addresses, sockets).await?;
    // A connection that only says 20 requests: what a process first needs is no cost of load.
    let first = Clients {
        address: process.address,
        begun: Instant::now(),
        from: Instant::now(),
        tally: Arc::default(),
    };
    let mut sender = None;
    for n in 0..20 {
        let _ = tokio::time::timeout(PATIENCE, first.ask(&mut sender, n % nodes)).await;
    }
    drop(sender);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let start = process.used();
    let begun = Instant::now() + Duration::from_millis(20);
    let idle = kind == Kind::Idle;
    let warm = match kind {
        Kind::Idle => 0.0,
        Kind::Paced { .. } => WARM,
        Kind::Rate(_) => WARM_RATE,
    };
    let from = begun + Duration::from_secs_f64(warm);
    let clients = Clients { address: process.address, begun, from, tally: Arc::default() };
    let turns = turns(kind, connections, nodes, seed, warm + seconds);
    let tasks: Vec<_> = turns.into_iter().map(|turns| tokio::spawn(clients.clone().live(turns))).collect();
    tokio::time::sleep_until(from).await;
    let tally = clients.tally.clone();
    let look = || {
        let counted = [&tally.reconnects, &counts.opened, &process.no_room, &tally.answers];
        let own = thread_time("self", |_| true);
        (Instant::now(), process.used(), own, counted.map(|count| count.load(Ordering::Relaxed)))
    };
    counts.peak.store(counts.open.load(Ordering::Relaxed), Ordering::Relaxed);
    let before = look();
    let (after, rest) = if idle {
        let (after, rest) = rested(tasks, &process, begun, look).await;
        (after, Some(rest))
    } else {
        tokio::time::sleep_until(from + Duration::from_secs_f64(seconds)).await;
        let after = look();
        for task in tasks {
            let _ = task.await;
        }
        (after, None)
    };
    let window = (after.0 - before.0).as_secs_f64();
    let [reconnects, opened, no_room, came] = std::array::from_fn(|i| after.3[i] - before.3[i]);
    let [served, refused, failed, broken] = [&tally.served, &tally.refused, &tally.failed, &tally.broken]
        .map(|count| count.load(Ordering::Relaxed));
    let answers = served + refused + failed;
    let (times, late) = std::mem::take(&mut *tally.times.lock().expect("no panic before"));
    let tool_late_p99_ms = quantile_ms(&late, 0.99);
    let share = |used: Duration, of: Duration| (used.saturating_sub(of)).as_secs_f64() / window * 100.0;
    let (name, regular, rate) = match kind {
        Kind::Idle => ("idle", false, 0.0),
        Kind::Paced { regular } => ("paced", regular, connections as f64 / GAP),
        Kind::Rate(rate) => ("rate", false, rate),
    };
    let cpu = after.1.cpu.saturating_sub(before.1.cpu);
    Ok(Point {
        kind: name,
        connections_idle: if idle { connections } else { 0 },
        connections_active: if idle { 0 } else { connections },
        regular,
        rate,
        nodes,
        sockets,
        seed,
        seconds: window,
        cpu_pct: share(after.1.cpu, before.1.cpu),
        cpu_us_each: (came > 0).then(|| cpu.as_secs_f64() * 1e6 / came as f64),
        rss_mb_start: start.rss_mb,
        rss_mb: after.1.rss_mb,
        descriptors_start: start.descriptors,
        descriptors: after.1.descriptors,
        per_second: came as f64 / window,
        p50_ms: quantile_ms(&times, 0.5),
        p99_ms: quantile_ms(&times, 0.99),
        served_share: served as f64 / answers.max(1) as f64,
        refused,
        failed,
        broken,
        reconnects_per_s: reconnects as f64 / window,
        node_connections: counts.peak.load(Ordering::Relaxed),
        node_connects_per_s: opened as f64 / window,
        no_room,
        no_room_share: no_room as f64 / (answers + broken).max(1) as f64,
        tool_late_p99_ms,
        tool_cpu_pct: share(after.2, before.2),
        tool_limited: tool_late_p99_ms > MAX_LATE_MS,
        rest,
    })
}

/// Waits for connections that rest; the window ends 2.5 s after the last one's answer.
async fn rested<T>(
    tasks: Vec<tokio::task::JoinHandle<Option<Sender>>>,
    process: &Process,
    begun: Instant,
    look: impl Fn() -> T,
) -> (T, Rest) {
    let mut senders = Vec::new();
    for task in tasks {
        senders.extend(task.await.ok().flatten());
    }
    let held = || senders.iter().filter(|sender| !sender.is_closed()).count();
    let all = Instant::now();
    // Closes under way reach their clients.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let (then, first) = (Instant::now(), process.used());
    let mut rest = Rest {
        opened_s: (all - begun).as_secs_f64(),
        held: held(),
        rss_mb_held: first.rss_mb,
        descriptors_held: first.descriptors,
        ..Rest::default()
    };
    tokio::time::sleep_until(all + Duration::from_secs(1)).await;
    let second = process.used();
    (rest.held_1s, rest.descriptors_1s) = (held(), second.descriptors);
    rest.rest_cpu_pct = (second.cpu - first.cpu).as_secs_f64() / then.elapsed().as_secs_f64() * 100.0;
    tokio::time::sleep_until(all + Duration::from_millis(2500)).await;
    let last = look();
    (rest.held_2500ms, rest.descriptors_2500ms) = (held(), process.used().descriptors);
    (last, rest)
}

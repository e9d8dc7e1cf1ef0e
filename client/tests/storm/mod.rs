//! Every scheduler killed and back together under thousands of clients: first with the library, then with naive
//! clients that reconnect at once. Shared by the test and the example `restart_storm`.

use hdrhistogram::Histogram;
use pointcross_client::{ClassConfig, Client, Failure, Item, Observed, Observer, Outcome};
use pointcross_test_support::cluster::SchedulerCluster;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// What is played.
#[derive(Clone, Debug)]
pub struct Storm {
    pub clients: usize,
    pub schedulers: usize,
    pub seed: u64,
    /// Before the kill, while down, and after.
    pub before: Duration,
    pub down: Duration,
    pub after: Duration,
    /// A client waits from this to three times this between its calls.
    pub pause: Duration,
}

/// What came of it.
#[derive(Debug, Default, Serialize)]
pub struct Figures {
    pub clients: usize,
    pub calls: u64,
    pub served: u64,
    /// Calls served in a second, before the kill and once the restart was over.
    pub served_per_s_before: f64,
    pub served_per_s_after: f64,
    /// Clients that no scheduler had served by the end since the restart.
    pub unserved_clients: usize,
    pub refused: u64,
    pub failed: u64,
    pub unanswered: u64,
    pub doubled_writes: usize,
    pub writes_run: usize,
    pub reconnects: usize,
    pub reconnect_window_ms: u64,
    pub busiest_100ms_share: f64,
    pub baseline_reconnects: usize,
    pub baseline_busiest_100ms_share: f64,
    pub baseline_connects_tried: u64,
    pub connects_tried: u64,
    pub scheduler_p99_ms_before: f64,
    pub scheduler_p99_ms_after: f64,
}

/// Times of each client's first connection after the kill, and what was tried.
#[derive(Default)]
struct Reconnects {
    killed: AtomicBool,
    tried: AtomicU64,
    times: Mutex<Vec<Instant>>,
}

struct Watch {
    shared: Arc<Reconnects>,
    seen: AtomicBool,
}

impl Observer for Watch {
    fn observed(&self, what: &Observed) {
        if !self.shared.killed.load(Ordering::SeqCst) {
            return;
        }
        match what {
            Observed::Connecting => _ = self.shared.tried.fetch_add(1, Ordering::Relaxed),
            Observed::Connected if !self.seen.swap(true, Ordering::SeqCst) => {
                self.shared.times.lock().unwrap().push(Instant::now());
            }
            _ => {}
        }
    }
}

/// The share of all that falls into the fullest 100 ms, and the time from the first to the last.
fn busiest(times: &Mutex<Vec<Instant>>) -> (usize, f64, Duration) {
    let mut times = times.lock().unwrap().clone();
    times.sort_unstable();
    let mut most = 0;
    for (n, first) in times.iter().enumerate() {
        let until = *first + Duration::from_millis(100);
        most = most.max(times.partition_point(|time| *time < until) - n);
    }
    if std::env::var_os("STORM_BUCKETS").is_some() {
        let mut buckets = std::collections::BTreeMap::<u128, u32>::new();
        for time in &times {
            *buckets.entry((*time - times[0]).as_millis() / 50).or_default() += 1;
        }
        eprintln!("{buckets:?}");
    }
    let window = times.last().zip(times.first()).map_or(Duration::ZERO, |(last, first)| *last - *first);
    (times.len(), most as f64 / times.len().max(1) as f64, window)
}

#[derive(Default)]
struct Tally {
    calls: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    restarted: AtomicBool,
    /// Clients that were served since the restart.
    served_since_restart: AtomicU64,
}

/// Calls served by a moment.
#[derive(Clone, Copy)]
struct ServedAt {
    at: Instant,
    served: u64,
}

impl Tally {
    fn served_now(&self) -> ServedAt {
        ServedAt { at: Instant::now(), served: self.served.load(Ordering::SeqCst) }
    }

    /// Waits until each client was served since the restart, at most for `timeout`; returns those that were not.
    fn wait_until_all_served(&self, clients: usize, timeout: Duration) -> usize {
        let until = Instant::now() + timeout;
        loop {
            let served = self.served_since_restart.load(Ordering::SeqCst) as usize;
            if served >= clients || Instant::now() >= until {
                return clients - served;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Calls served in a second between two moments.
fn rate(from: ServedAt, to: ServedAt) -> f64 {
    (to.served - from.served) as f64 / (to.at - from.at).as_secs_f64()
}

const PLAN: &str = "standard";
const STORES: u32 = 8;
/// A starved processor makes a restart slow, but no client may stay unserved for longer than this. At 40 busy processes
/// beside the test a quarter of the calls was served, and after 60 s some clients were still unserved by chance alone.
const MAX_WAIT_FOR_CLIENTS: Duration = Duration::from_secs(240);

impl Storm {
    /// Plays both halves; takes a little over twice the three spans.
    pub fn play(&self) -> Figures {
        let mut cluster = SchedulerCluster::start(self.schedulers, STORES as usize);
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build().unwrap();
        let mut figures = Figures { clients: self.clients, ..Figures::default() };
        self.library(&mut cluster, &runtime, &mut figures);
        self.naive(&mut cluster, &runtime, &mut figures);
        figures
    }

    fn kill(&self, cluster: &mut SchedulerCluster, killed: &Reconnects) {
        std::thread::sleep(self.before);
        killed.killed.store(true, Ordering::SeqCst);
        (0..self.schedulers).for_each(|n| cluster.kill(n));
    }

    fn start_again(&self, cluster: &mut SchedulerCluster) {
        std::thread::sleep(self.down);
        (0..self.schedulers).for_each(|n| cluster.up(n));
    }

    fn library(
        &self,
        cluster: &mut SchedulerCluster,
        runtime: &tokio::runtime::Runtime,
        figures: &mut Figures,
    ) {
        let (reconnects, tally, over) =
            (Arc::<Reconnects>::default(), Arc::<Tally>::default(), Arc::<AtomicBool>::default());
        let times = || Mutex::new(Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).unwrap());
        let (before, after) = (Arc::new(times()), Arc::new(times()));
        let settled = Arc::<AtomicBool>::default();
        let tasks: Vec<_> = (0..self.clients as u64)
            .map(|number| {
                let watch = Watch { shared: reconnects.clone(), seen: AtomicBool::new(false) };
                let schedulers = cluster.schedulers.clone();
                let (reconnects, tally, over) = (reconnects.clone(), tally.clone(), over.clone());
                let (before, after, settled) = (before.clone(), after.clone(), settled.clone());
                let (seed, pause) = (self.seed.wrapping_mul(1 << 20) + number, self.pause);
                let mut served_since_restart = false;
                runtime.spawn(async move {
                    let builder = Client::builder()
                        .set("all", schedulers)
                        .class("reading-get", ClassConfig::read(Duration::from_secs(2)))
                        .class("reading-put", ClassConfig::write(Duration::from_secs(2)))
                        .with(|config| {
                            config.sets.get_mut("all").unwrap().spread = Some(1);
                            config.connections.idle_timeout_ms = 1900.0;
                        });
                    let client = builder.seed(seed).observer(Arc::new(watch)).build().unwrap();
                    let mut rng = SmallRng::seed_from_u64(seed);
                    for call in 0u64.. {
                        let wait =
                            pause.mul_f64(rng.random_range(if call == 0 { 0.0..1.0 } else { 1.0..3.0 }));
                        tokio::time::sleep(wait).await;
                        if over.load(Ordering::Relaxed) {
                            return;
                        }
                        let shard = rng.random_range(0..STORES);
                        let item = Item::new(number + 1, (number << 24) + call + 1, PLAN, Some(shard));
                        tally.calls.fetch_add(1, Ordering::Relaxed);
                        let begun = Instant::now();
                        let outcome = match call % 3 {
                            0 => client.put(item, "21.4 C").await,
                            _ => client.get(item).await,
                        };
                        let counter = match outcome.unwrap() {
                            Outcome::Served(_) => {
                                let took = begun.elapsed().as_micros() as u64;
                                if !reconnects.killed.load(Ordering::Relaxed) {
                                    before.lock().unwrap().saturating_record(took);
                                } else if settled.load(Ordering::Relaxed) {
                                    after.lock().unwrap().saturating_record(took);
                                }
                                if tally.restarted.load(Ordering::SeqCst)
                                    && !std::mem::replace(&mut served_since_restart, true)
                                {
                                    tally.served_since_restart.fetch_add(1, Ordering::SeqCst);
                                }
                                &tally.served
                            }
                            Outcome::Refused(_) => &tally.refused,
                            Outcome::Failed(Failure::MayHaveRun(_) | Failure::NeverRan(_)) => &tally.failed,
                        };
                        counter.fetch_add(1, Ordering::Relaxed);
                    }
                })
            })
            .collect();
        let begun = tally.served_now();
        self.kill(cluster, &reconnects);
        let killed = tally.served_now();
        self.start_again(cluster);
        tally.restarted.store(true, Ordering::SeqCst);
        // The first half of the time after the start is the coming back itself.
        std::thread::sleep(self.after / 2);
        figures.unserved_clients = tally.wait_until_all_served(self.clients, MAX_WAIT_FOR_CLIENTS);
        settled.store(true, Ordering::SeqCst);
        let settled_from = tally.served_now();
        std::thread::sleep(self.after / 2);
        figures.served_per_s_before = rate(begun, killed);
        figures.served_per_s_after = rate(settled_from, tally.served_now());
        over.store(true, Ordering::SeqCst);
        // Every call ends by its deadline: a task that has not ended some time later was left without.
        let ended = runtime.block_on(async {
            let all = async {
                let mut ended = 0;
                for task in tasks {
                    ended += u64::from(task.await.is_ok());
                }
                ended
            };
            tokio::time::timeout(Duration::from_secs(15), all).await
        });
        let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        (figures.calls, figures.served) = (count(&tally.calls), count(&tally.served));
        (figures.refused, figures.failed) = (count(&tally.refused), count(&tally.failed));
        figures.unanswered = figures.calls - figures.served - figures.refused - figures.failed;
        assert_eq!(ended.unwrap_or(0), self.clients as u64, "a client never ended");
        (figures.doubled_writes, figures.writes_run) =
            (cluster.write_log.repeated_writes(), cluster.write_log.writes());
        let (reconnected, share, window) = busiest(&reconnects.times);
        (figures.reconnects, figures.busiest_100ms_share) = (reconnected, share);
        figures.reconnect_window_ms = window.as_millis() as u64;
        figures.connects_tried = count(&reconnects.tried);
        let p99 = |times: &Mutex<Histogram<u64>>| times.lock().unwrap().value_at_quantile(0.99) as f64 / 1e3;
        (figures.scheduler_p99_ms_before, figures.scheduler_p99_ms_after) = (p99(&before), p99(&after));
    }

    /// The same clients with a connection each that is made again at once when it is lost, and every 10 ms
    /// while that fails.
    fn naive(
        &self,
        cluster: &mut SchedulerCluster,
        runtime: &tokio::runtime::Runtime,
        figures: &mut Figures,
    ) {
        let (reconnects, over) = (Arc::<Reconnects>::default(), Arc::<AtomicBool>::default());
        for number in 0..self.clients as u64 {
            let address = cluster.schedulers[number as usize % self.schedulers];
            let (reconnects, over) = (reconnects.clone(), over.clone());
            let (seed, pause) = (self.seed.wrapping_mul(1 << 20) + number, self.pause);
            runtime.spawn(async move {
                let mut rng = SmallRng::seed_from_u64(seed);
                let mut back = false;
                for call in 0u64.. {
                    if reconnects.killed.load(Ordering::SeqCst) {
                        reconnects.tried.fetch_add(1, Ordering::Relaxed);
                    }
                    let Ok(stream) = TcpStream::connect(address).await else {
                        tokio::time::sleep(Duration::from_millis(10)).await;
                        continue;
                    };
                    if reconnects.killed.load(Ordering::SeqCst) && !std::mem::replace(&mut back, true) {
                        reconnects.times.lock().unwrap().push(Instant::now());
                    }
                    let mut stream = BufReader::new(stream);
                    for turn in 0u64.. {
                        if over.load(Ordering::Relaxed) {
                            return;
                        }
                        let wait = pause.mul_f64(rng.random_range(1.0..3.0));
                        // A lost connection shows in the pause already.
                        let lost = tokio::time::timeout(wait, stream.fill_buf()).await;
                        let id = (number << 32) + (call << 16) + turn;
                        if lost.is_ok() || naive_get(&mut stream, address, id).await.is_none() {
                            break;
                        }
                    }
                }
            });
        }
        self.kill(cluster, &reconnects);
        self.start_again(cluster);
        std::thread::sleep(self.after);
        over.store(true, Ordering::SeqCst);
        let (count, share, _) = busiest(&reconnects.times);
        (figures.baseline_reconnects, figures.baseline_busiest_100ms_share) = (count, share);
        figures.baseline_connects_tried = reconnects.tried.load(Ordering::SeqCst);
    }
}

async fn naive_get(stream: &mut BufReader<TcpStream>, address: SocketAddr, id: u64) -> Option<()> {
    let request = format!(
        "GET /reading-get/{:016x}/{:016x} HTTP/1.1\r\nHost: {address}\r\nX-Correlation-Id: b{id:015x}\r\n\
         X-Service-Class: reading-get\r\nTier: {PLAN}\r\nX-Time-Left: 2000m\r\n\
         IO-Info: units=1,shard={},hosts=1\r\n\r\n",
        id + 1,
        id + 1,
        id % u64::from(STORES)
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let (mut line, mut length) = (String::new(), 0);
    loop {
        line.clear();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if let Some(stated) = line.to_lowercase().strip_prefix("content-length:") {
            length = stated.trim().parse().ok()?;
        }
        if line.trim().is_empty() {
            break;
        }
    }
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    Some(())
}

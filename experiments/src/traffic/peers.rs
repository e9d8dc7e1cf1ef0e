//! What members of the agreement cost one another while nothing is to be agreed.
//!
//! Members run in this process, each on threads of its own, so that the system tells their processor time apart. Every
//! call to a member goes through a relay before it, which counts calls and the bytes of their bodies and answers'
//! bodies; HTTP heads and TCP are not counted. The relay runs on threads of its own and is charged to nobody.

use super::{rss_mb, system, thread_time};
use crate::load::LoadError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use pointcross_coordination::driver::{Bound, LocalActions, Peers, PlanReport};
use pointcross_coordination::maintenance::decide::Rules;
use pointcross_coordination::settings::{Peer, PeerSettings};
use pointcross_coordination::wire::{CallError, Caller};
use serde::Serialize;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// More would take more descriptors than one process has: members and the relay before each are all here, and when all
/// start at once every one calls every other several times over.
pub const MAX_MEMBERS: usize = 48;
/// The group has its leader and has heard of all by then, or never.
const MAX_FORMING: Duration = Duration::from_secs(20);
/// What goes before the window.
const SETTLING: Duration = Duration::from_secs(2);
/// As in the program's `[maintenance]`.
const ELECTION: Duration = Duration::from_millis(1000);

/// One measured point. Each member's share of calls and bytes is of those that come to it; with no member apart from
/// the leader, as many leave it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PeersPoint {
    /// `peers`.
    pub kind: &'static str,
    /// Members.
    pub members: usize,
    /// Seed.
    pub seed: u64,
    /// The window.
    pub seconds: f64,
    /// Whether one leader was known to all, and all were alive to all, at the window's begin and end.
    pub whole: bool,
    /// Until that was so for the first time, in seconds.
    pub formed_s: f64,
    /// Processor time of a member that does not lead, in the mean, as a part of one core.
    pub cpu_pct: f64,
    /// The most of any of them.
    pub cpu_pct_most: f64,
    /// The leader's.
    pub cpu_pct_leader: f64,
    /// Membership messages that come to a member each second, in the mean.
    pub swim_messages_per_s: f64,
    /// Their bytes.
    pub swim_bytes_per_s: f64,
    /// Calls of all kinds that come to a member that does not lead, in the mean.
    pub messages_per_s: f64,
    /// Their bytes and those of the answers.
    pub bytes_per_s: f64,
    /// Appends that the leader sends.
    pub leader_appends_per_s: f64,
    /// Their bytes and those of the answers.
    pub leader_append_bytes_per_s: f64,
    /// Votes, snapshots and commands, over all members: quiet has none.
    pub other_messages: u64,
    /// Calls that the relay could not deliver.
    pub undelivered: u64,
    /// Resident memory of all members, the relays and the tool together.
    pub rss_mb_all: f64,
}

#[derive(Default)]
struct Count {
    calls: AtomicU64,
    bytes: AtomicU64,
}

/// What came to one member.
#[derive(Default)]
struct Counts {
    swim: Count,
    append: Count,
    other: Count,
    undelivered: AtomicU64,
}

impl Counts {
    fn now(&self) -> [u64; 7] {
        let Counts { swim, append, other, undelivered } = self;
        let counts = [&swim.calls, &swim.bytes, &append.calls, &append.bytes, &other.calls, &other.bytes];
        let counted = counts.map(|count| count.load(Ordering::Relaxed));
        let [a, b, c, d, e, f] = counted;
        [a, b, c, d, e, f, undelivered.load(Ordering::Relaxed)]
    }
}

async fn relay(listener: tokio::net::TcpListener, to: SocketAddr, counts: Arc<Counts>) {
    let caller = Caller::default();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let (caller, counts) = (caller.clone(), counts.clone());
        tokio::spawn(async move {
            let service = service_fn(|request: Request<hyper::body::Incoming>| {
                let (caller, counts) = (caller.clone(), counts.clone());
                async move {
                    let (head, body) = request.into_parts();
                    let body = body.collect().await.map(http_body_util::Collected::to_bytes);
                    let body = body.unwrap_or_default();
                    let count = match head.uri.path() {
                        "/peers/swim" => &counts.swim,
                        "/peers/append" => &counts.append,
                        _ => &counts.other,
                    };
                    count.calls.fetch_add(1, Ordering::Relaxed);
                    count.bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
                    let (path, within) = (head.uri.path(), Duration::from_secs(2));
                    let (status, answer) = match caller.call("POST", to, path, body, within).await {
                        Ok(answer) => (StatusCode::OK, answer),
                        Err(CallError::Status(status, text)) => (status, Bytes::from(text)),
                        Err(_) => {
                            counts.undelivered.fetch_add(1, Ordering::Relaxed);
                            (StatusCode::BAD_GATEWAY, Bytes::new())
                        }
                    };
                    count.bytes.fetch_add(answer.len() as u64, Ordering::Relaxed);
                    let mut response = Response::new(Full::new(answer));
                    *response.status_mut() = status;
                    Ok::<_, Infallible>(response)
                }
            });
            let server = hyper::server::conn::http1::Builder::new();
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Hands that have nothing to do.
struct Idle;

impl LocalActions for Idle {
    fn cordon(&self, _: &str) {}
    fn uncordon(&self, _: &str) {}
    fn attempts_in_flight(&self, _: &str) -> usize {
        0
    }
    fn set_out_of_service(&self, _: bool) {}
    fn open_requests(&self) -> usize {
        0
    }
    fn nodes(&self) -> BTreeMap<String, u32> {
        BTreeMap::new()
    }
}

/// The threads of member `i`, by their names; the system keeps 15 bytes of these.
fn thread_name(i: usize) -> String {
    format!("pc-member-{i}")
}

/// One member on threads of its own, until `stop` changes.
fn member(
    settings: PeerSettings,
    mut stop: watch::Receiver<bool>,
    started: mpsc::Sender<Result<(usize, Arc<Peers>), String>>,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let me = settings.me;
    std::thread::Builder::new().name(thread_name(me)).spawn(move || {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        // A thread that ended would take its time with it.
        builder.enable_all().thread_name(thread_name(me)).thread_keep_alive(Duration::from_secs(300));
        let runtime = match builder.build() {
            Ok(runtime) => runtime,
            Err(error) => {
                let _ = started.send(Err(error.to_string()));
                return;
            }
        };
        runtime.block_on(async {
            match Bound::start(settings).await {
                Err(error) => _ = started.send(Err(error.to_string())),
                Ok(bound) => {
                    let _ = started.send(Ok((me, bound.peers())));
                    tokio::select! {
                        () = bound.run(Arc::new(Idle)) => {}
                        _ = stop.changed() => {}
                    }
                }
            }
        });
        runtime.shutdown_timeout(Duration::from_secs(1));
    })
}

/// The one leader where all members know it, and all are alive to all.
fn whole(peers: &BTreeMap<usize, Arc<Peers>>) -> Option<String> {
    let mut leader = None;
    for member in peers.values() {
        let told: PlanReport = serde_json::from_str(&member.plan_text()).ok()?;
        let alive = told.seen.values().filter(|seen| *seen == "alive").count();
        if alive < peers.len() || leader.is_some() && leader != told.leader {
            return None;
        }
        leader = Some(told.leader?);
    }
    leader
}

/// Ends what it started, also where a start failed.
struct Group {
    stop: watch::Sender<bool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Drop for Group {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
        self.threads.drain(..).for_each(|thread| _ = thread.join());
    }
}

/// Measures one point, in bounded time; `folder` is for the members' state files. Not to be called on a runtime.
///
/// # Errors
/// [`LoadError`] where a member or a relay could not be started.
pub fn measure(members: usize, seed: u64, seconds: f64, folder: &Path) -> Result<PeersPoint, LoadError> {
    let relays = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let relays = relays.map_err(system("a runtime"))?;
    // Bound and given up again, so that the ports are free. Each member has an address of its own: connections leave
    // from 127.0.0.1, and none takes a listener's port before it starts.
    let mut listens: Vec<SocketAddr> = Vec::new();
    for i in 0..members {
        let free = std::net::TcpListener::bind((Ipv4Addr::new(127, 0, 1, i as u8 + 1), 0));
        listens.push(free.and_then(|free| free.local_addr()).map_err(system("a member's port"))?);
    }
    let counts: Vec<Arc<Counts>> = (0..members).map(|_| Arc::default()).collect();
    let mut peers = Vec::new();
    for (i, (&to, counts)) in listens.iter().zip(&counts).enumerate() {
        let listener = relays.block_on(tokio::net::TcpListener::bind("127.0.0.1:0"));
        let listener = listener.map_err(system("a relay's port"))?;
        let address = listener.local_addr().map_err(system("a relay's port"))?;
        peers.push(Peer { name: format!("n{i}"), address });
        relays.spawn(relay(listener, to, counts.clone()));
    }
    std::fs::create_dir_all(folder).map_err(system("a folder for the state"))?;
    let (stop, stopping) = watch::channel(false);
    let (started, starts) = mpsc::channel();
    let mut group = Group { stop, threads: Vec::new() };
    let begun = Instant::now();
    for (me, &listen) in listens.iter().enumerate() {
        let settings = PeerSettings {
            me,
            peers: peers.clone(),
            listen,
            state: folder.join(format!("plan-{members}-{seed}-{me}")),
            rules: Rules { limit: 1, lease_ms: 4000, work_ms: None, nodes_left: 1, schedulers_left: 1 },
            forget: Duration::from_secs(10),
            election: ELECTION,
            seed: seed.wrapping_mul(1000) + me as u64,
        };
        let thread = member(settings, stopping.clone(), started.clone());
        group.threads.push(thread.map_err(system("a member's thread"))?);
    }
    let mut group_of = BTreeMap::new();
    for _ in 0..members {
        let told = starts.recv_timeout(MAX_FORMING).unwrap_or(Err("not within 20 s".into()));
        let (me, peers) = told.map_err(LoadError::NotStarted)?;
        group_of.insert(me, peers);
    }
    while whole(&group_of).is_none() {
        if begun.elapsed() > MAX_FORMING {
            return Err(LoadError::NotStarted(format!("{members} members did not form a group within 20 s")));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let formed_s = begun.elapsed().as_secs_f64();
    std::thread::sleep(SETTLING);
    let look = || {
        let times: Vec<Duration> =
            (0..members).map(|i| thread_time("self", |name| name == thread_name(i))).collect();
        (Instant::now(), times, counts.iter().map(|counts| counts.now()).collect::<Vec<_>>())
    };
    let (leader, before) = (whole(&group_of), look());
    std::thread::sleep(Duration::from_secs_f64(seconds));
    let (after, leader_after) = (look(), whole(&group_of));
    let rss_mb_all = rss_mb("self");
    let window = (after.0 - before.0).as_secs_f64();
    let number = |name: &Option<String>| name.as_ref()?.strip_prefix('n')?.parse::<usize>().ok();
    let first = number(&leader).or(number(&leader_after)).unwrap_or(0);
    let cpu: Vec<f64> =
        (0..members).map(|i| after.1[i].saturating_sub(before.1[i]).as_secs_f64() / window * 100.0).collect();
    let came: Vec<[f64; 7]> = (0..members)
        .map(|i| std::array::from_fn(|k| (after.2[i][k] - before.2[i][k]) as f64 / window))
        .collect();
    let sum = |k: usize| came.iter().map(|came| came[k]).sum::<f64>();
    let follow = |i: &usize| *i != first;
    let others = (members - 1).max(1) as f64;
    let each = |k: &[usize]| {
        (0..members).filter(follow).map(|i| k.iter().map(|&k| came[i][k]).sum::<f64>()).sum::<f64>() / others
    };
    let point = PeersPoint {
        kind: "peers",
        members,
        seed,
        seconds: window,
        whole: leader.is_some() && leader == leader_after,
        formed_s,
        cpu_pct: (0..members).filter(follow).map(|i| cpu[i]).sum::<f64>() / others,
        cpu_pct_most: (0..members).filter(follow).map(|i| cpu[i]).fold(0.0, f64::max),
        cpu_pct_leader: cpu[first],
        swim_messages_per_s: sum(0) / members as f64,
        swim_bytes_per_s: sum(1) / members as f64,
        messages_per_s: each(&[0, 2, 4]),
        bytes_per_s: each(&[1, 3, 5]),
        leader_appends_per_s: sum(2),
        leader_append_bytes_per_s: sum(3),
        other_messages: (sum(4) * window).round() as u64,
        undelivered: (sum(6) * window).round() as u64,
        rss_mb_all,
    };
    drop(group);
    relays.shutdown_background();
    Ok(point)
}

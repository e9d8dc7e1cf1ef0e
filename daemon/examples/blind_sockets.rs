//! The blind start on real sockets with the real program: schedulers that start from a saved list while discovery
//! is silent, before stand-in stores of which a quarter is gone and some addresses belong to other shards. One
//! scheduler's disk is stuck; its answers are compared with the others'. Prints one line of JSON. Each client
//! asks again 10 ms after its last answer, so a start that keeps clients waiting shows in fewer requests.
//!
//!     cargo run --release -p pointcross --example blind_sockets -- --nodes 24 --silent-s 20 --seed 7

use hdrhistogram::Histogram;
use pointcross::config::{Config, Wins};
use pointcross::{Daemon, shutdown::Shutdown};
use pointcross_membership::decide::{SavedList, SavedNode, Source};
use pointcross_membership::snapshot::{encode_image, now_stamp};
use pointcross_membership::staleness::Stamp;
use pointcross_test_support::{
    SETTINGS, StubAction, connect, exchange, ok, request, serve_node_list, stub_server,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};
use tokio::sync::watch;

const SCHEDULERS: usize = 4;
const CLIENTS: usize = 16;
/// Of each client's requests.
const PAUSE: Duration = Duration::from_millis(10);
const AFTER: Duration = Duration::from_secs(10);
const TURNED_AWAY: &[u8] = b"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

fn argument(name: &str, default: u64) -> u64 {
    let mut arguments = std::env::args().skip_while(|argument| argument != name).skip(1);
    arguments.next().map_or(default, |text| text.parse().expect(name))
}

struct Run {
    served: u64,
    turned_away: u64,
    requests: u64,
    p99_us_stuck: u64,
    p99_us_others: u64,
}

/// One run: from the saved list, weighed or trusted blindly (as the platform's known list, with no guard).
#[expect(clippy::too_many_lines, reason = "a measurement, read from top to bottom")]
fn run(nodes: usize, silent: Duration, weighed: bool) -> Run {
    let outside =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("runtime");
    let folder = std::env::temp_dir().join(format!("pointcross-blind-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder for temporary files");
    let turned = Arc::<AtomicU64>::default();
    let gone = nodes / 4;
    // What stands at each address now: nothing, another shard's node, or the node that was saved.
    let places: Vec<(SocketAddr, u32)> = (0..nodes)
        .map(|n| {
            if n < gone / 2 {
                let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
                return (closed.local_addr().expect("bound"), n as u32);
            }
            let holds = if n < gone { (n - gone / 2) as u32 } else { n as u32 };
            let turned = turned.clone();
            let (address, _) = outside.block_on(stub_server(move |message| {
                let shard =
                    message.path().rsplit('/').next().and_then(|piece| u64::from_str_radix(piece, 16).ok());
                let right = shard.is_some_and(|piece| (piece >> 32) as u32 == holds);
                if !right {
                    turned.fetch_add(1, Ordering::Relaxed);
                }
                async move { if right { ok("fresh") } else { StubAction::Raw(vec![TURNED_AWAY.to_vec()]) } }
            }));
            (address, holds)
        })
        .collect();
    let entry = |n: usize, name: &str, shard: u32| {
        let address = places[n].0;
        format!(
            r#"{{"id":"{name}-{n}","host_port":"{address}","cell":{shard},"phase":"up","up_since_ms":0}}"#
        )
    };
    let saved: Vec<SavedNode> = (0..nodes)
        .map(|n| SavedNode {
            name: format!("s-{n}"),
            address: places[n].0,
            zone: 0,
            shard: n as u32,
            draining: false,
            started: 0.0,
            rate: 0.0,
            source: Source::Discovery,
        })
        .collect();
    let truth: Vec<String> =
        (gone / 2..nodes).map(|n| entry(n, if n < gone { "t" } else { "s" }, places[n].1)).collect();
    let (returns, told) = watch::channel((0, String::new()));
    let (discovery, _) = outside.block_on(stub_server(serve_node_list(told)));
    let now = now_stamp();
    let hour_ago = Stamp { wall_ms: now.wall_ms - 3.6e6, uptime_ms: 0.0, boot: "before".into() };
    let list = SavedList { revision: 41, discovery: discovery.to_string(), confirmed: hour_ago };
    let mut stops = Vec::new();
    let addresses: Vec<SocketAddr> = (0..SCHEDULERS)
        .map(|number| {
            let path = folder.join(format!("nodes-{number}"));
            std::fs::write(&path, encode_image(&list, &saved)).expect("room");
            if number == 0 {
                let beside = folder.join("nodes-0.new");
                let made = std::process::Command::new("mkfifo").arg(&beside).status();
                assert!(made.is_ok_and(|made| made.success()), "a disk that never ends a write");
            }
            let operator =
                format!("[membership]\nsnapshot = {:?}\ninterval_ms = 1\n", path.display().to_string());
            let blindly: Vec<String> = (0..nodes).map(|n| entry(n, "s", n as u32)).collect();
            let known = if weighed { String::new() } else { blindly.join(",") };
            let platform = format!(
                r#"{{"name":"n{number}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{number:x}",
                    "known":{{"revision":41,"complete":true,"members":[{known}]}},"settings":{SETTINGS}}}"#
            );
            let operator = if weighed { operator } else { String::new() };
            let config = Config::from_texts(|_| None, &platform, &operator, Wins::Variable).expect("sound");
            let (bound, address) = mpsc::channel();
            let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
            let thread = std::thread::spawn(move || {
                let runtime =
                    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
                runtime.block_on(async {
                    let daemon = Daemon::bind(config).await.expect("a port");
                    bound.send(daemon.http_address().expect("bound")).expect("heard");
                    let shutdown = Shutdown::when(std::future::pending());
                    tokio::select! { () = daemon.run(shutdown) => {}, _ = stopped => {} }
                });
            });
            stops.push((stop, thread));
            address.recv().expect("it starts")
        })
        .collect();
    let began = Instant::now();
    let (served, requests) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
    let histogram = || Mutex::new(Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds"));
    let times = Arc::new([histogram(), histogram()]);
    let clients: Vec<_> = (0..CLIENTS * SCHEDULERS)
        .map(|client| {
            let (served, requests, times) = (served.clone(), requests.clone(), times.clone());
            let (scheduler, to) = (client % SCHEDULERS, addresses[client % SCHEDULERS]);
            outside.spawn(async move {
                let mut stream = connect(to).await;
                for turn in 0u64.. {
                    if began.elapsed() > silent + AFTER {
                        return;
                    }
                    let shard = (client as u64 * 7 + turn * 5) % nodes as u64;
                    let id = ((client as u64) << 32) + turn;
                    let piece = (shard << 32) + turn + 1;
                    let text =
                        String::from_utf8(request("reading-get", "standard", piece, id, b"")).expect("text");
                    let text = text.replace("shard=1", &format!("shard={shard}"));
                    let asked = Instant::now();
                    requests.fetch_add(1, Ordering::Relaxed);
                    match exchange(&mut stream, text.as_bytes()).await {
                        Some(answer) if answer.status() == 200 => {
                            let took = asked.elapsed().as_micros() as u64;
                            times[usize::from(scheduler > 0)]
                                .lock()
                                .expect("no panic")
                                .saturating_record(took);
                            served.fetch_add(1, Ordering::Relaxed);
                        }
                        Some(_) => {}
                        None => stream = connect(to).await,
                    }
                    tokio::time::sleep(PAUSE).await;
                }
            })
        })
        .collect();
    outside.spawn(async move {
        tokio::time::sleep(silent).await;
        returns.send_replace((3, truth.join(",")));
        std::future::pending::<()>().await;
    });
    outside.block_on(async {
        for client in clients {
            client.await.expect("no panic");
        }
    });
    for (stop, thread) in stops {
        let _ = stop.send(());
        let _ = thread.join();
    }
    let _ = std::fs::remove_dir_all(&folder);
    let p99 = |n: usize| times[n].lock().expect("no panic").value_at_quantile(0.99);
    let requests = requests.load(Ordering::Relaxed);
    Run {
        served: served.load(Ordering::Relaxed),
        turned_away: turned.load(Ordering::Relaxed),
        requests,
        p99_us_stuck: p99(0),
        p99_us_others: p99(1),
    }
}

fn main() {
    let nodes = argument("--nodes", 24) as usize;
    let silent = Duration::from_secs(argument("--silent-s", 20));
    let (ours, blind) = (run(nodes, silent, true), run(nodes, silent, false));
    println!(
        "{}",
        serde_json::json!({
            "schedulers": SCHEDULERS, "nodes": nodes, "silent_s": silent.as_secs(),
            "clients": CLIENTS * SCHEDULERS,
            "requests": ours.requests, "requests_trusting_blindly": blind.requests,
            "served": ours.served, "served_trusting_blindly": blind.served,
            "served_share": ours.served as f64 / ours.requests as f64,
            "turned_away_by_other_shards": ours.turned_away,
            "turned_away_trusting_blindly": blind.turned_away,
            "p99_us_with_a_stuck_disk": ours.p99_us_stuck, "p99_us_with_a_good_disk": ours.p99_us_others,
        })
    );
}

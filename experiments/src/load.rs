//! The load tool: requests over so many connections to a scheduler, closed loop or at a set rate. At a rate, times
//! run from when a request was meant to go out, so that a scheduler that stalls is charged for all that it held up
//! (coordinated omission). Beside it, nodes that answer at once, and a scheduler of one's own to measure.

use crate::client_connection::{ReadingRequest, Sender, connect, send};
use crate::script::Script;
use crate::virtual_time::settings;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Why nothing could be measured.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// Something of the system's.
    #[error("{what}: {error}")]
    System {
        /// What was tried.
        what: String,
        /// What the system said.
        error: std::io::Error,
    },
    /// The scheduler did not come up.
    #[error("the scheduler did not start: {0}")]
    NotStarted(String),
}

fn system(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> LoadError {
    let what = what.into();
    move |error| LoadError::System { what, error }
}

/// What one measurement is of.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Connections, each with one request at a time.
    pub connections: usize,
    /// Requests a second over all of them; as fast as they are answered where left out.
    pub rate: Option<f64>,
    /// For how long.
    pub seconds: f64,
    /// Shards that are asked for in turn.
    pub shards: u32,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    /// Connections.
    pub connections: usize,
    /// Answers a second.
    pub per_second: f64,
    /// Served, as a part of all answers.
    pub served_share: f64,
    /// Of all answers, in milliseconds.
    pub p50_ms: f64,
    /// The same.
    pub p99_ms: f64,
    /// Processor time of the scheduler for each answer, in microseconds, where it is ours.
    pub cpu_us: Option<f64>,
    /// Requests that ended without an answer.
    pub broken: u64,
}

/// Puts load on a scheduler.
pub async fn load(address: SocketAddr, load: Load) -> Measured {
    let begun = Instant::now();
    let end = begun + Duration::from_secs_f64(load.seconds);
    let times = Arc::new(Mutex::new(Histogram::<u64>::new(3).expect("3 digits")));
    let (next, served, broken) =
        (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
    let tasks: Vec<_> = (0..load.connections)
        .map(|_| {
            let (times, next, served, broken) = (times.clone(), next.clone(), served.clone(), broken.clone());
            tokio::spawn(async move {
                let mut sender = None;
                let mut own = Vec::new();
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let meant = match load.rate {
                        None => Instant::now(),
                        Some(rate) => begun + Duration::from_secs_f64(number as f64 / rate),
                    };
                    if meant >= end {
                        break;
                    }
                    // A sleep until now would take a millisecond: timers round up.
                    if meant > Instant::now() {
                        tokio::time::sleep_until(meant).await;
                    }
                    match ask(&mut sender, address, number, load.shards).await {
                        Some(status) => {
                            own.push(meant.elapsed().as_micros() as u64);
                            served.fetch_add(u64::from(status == StatusCode::OK), Ordering::Relaxed);
                        }
                        None => {
                            sender = None;
                            broken.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                }
                let mut times = times.lock().expect("no panic before");
                own.into_iter().for_each(|time| _ = times.record(time));
            })
        })
        .collect();
    for task in tasks {
        let _ = task.await;
    }
    let took = begun.elapsed().as_secs_f64();
    let times = times.lock().expect("no panic before");
    let count = times.len();
    let ms = |quantile| if count == 0 { 0.0 } else { times.value_at_quantile(quantile) as f64 / 1e3 };
    Measured {
        connections: load.connections,
        per_second: count as f64 / took,
        served_share: served.load(Ordering::Relaxed) as f64 / count.max(1) as f64,
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
        cpu_us: None,
        broken: broken.load(Ordering::Relaxed),
    }
}

async fn ask(
    sender: &mut Option<Sender>,
    address: SocketAddr,
    number: u64,
    shards: u32,
) -> Option<StatusCode> {
    if sender.as_ref().is_none_or(Sender::is_closed) {
        *sender = Some(connect(address).await?);
    }
    let host = address.to_string();
    let shard = number % u64::from(shards.max(1));
    let reading = ReadingRequest { host: &host, number, piece: number + 1, shard };
    send(sender.as_mut()?, reading).await
}

/// Starts nodes that answer at once; they serve for as long as the runtime that this is called on.
///
/// # Errors
/// A listener that could not be opened.
pub async fn instant_nodes(count: u32) -> Result<Vec<SocketAddr>, LoadError> {
    let mut addresses = Vec::new();
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(system("a node's port"))?;
        addresses.push(listener.local_addr().map_err(system("a node's port"))?);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(async move {
                    let service = service_fn(|request: Request<hyper::body::Incoming>| async move {
                        let _ = request.into_body().collect().await;
                        let answer = Response::builder().header("x-backend-load", "TEXT inflight=1");
                        Ok::<_, Infallible>(
                            answer.body(Full::new(Bytes::from_static(b"done"))).expect("a plain answer"),
                        )
                    });
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
    }
    Ok(addresses)
}

/// A scheduler started for a measurement; it ends with this.
pub struct Scheduler {
    child: Child,
    folder: PathBuf,
    /// Where it serves.
    pub address: SocketAddr,
}

/// Settings with one plan beyond any limit, for measurements of the program and not of its plans.
const OPEN: &str = "name = \"load\"\n[site]\nseconds = 1\nnodes = 12\nschedulers = 1\nvolumes_per_node = 8\nload = 1\n\
    [node]\nunit_ms = 0.05\n[[plan]]\nname = \"standard\"\nshare = 1\n[[class]]\nname = \"reading-get\"\nshare = 1\n\
    units = [1, 2]\naim_ms = 250\ngive_up_ms = 5000\n";

impl Scheduler {
    /// Starts `program serve` before these nodes, with so many descriptors as its limit.
    ///
    /// # Errors
    /// A file that could not be written, or a program that could not be started or did not become ready.
    pub async fn start(program: &Path, nodes: &[SocketAddr], sockets: u32) -> Result<Self, LoadError> {
        let script = Script::parse(OPEN).expect("a script of our own");
        let members: Vec<serde_json::Value> = nodes
            .iter()
            .enumerate()
            .map(|(shard, address)| {
                serde_json::json!({"id": format!("s-{shard}"), "host_port": address.to_string(), "cell": shard,
                    "phase": "up", "up_since_ms": 0})
            })
            .collect();
        let settings: serde_json::Value =
            serde_json::from_str(&settings(&script, 0)).expect("JSON of our own");
        // Bound and given up again, so that the port is free; taken in between, the start says so.
        let free = std::net::TcpListener::bind("127.0.0.1:0").map_err(system("a port"))?;
        let address = free.local_addr().map_err(system("a port"))?;
        drop(free);
        let config = serde_json::json!({
            "name": "load", "listen": address.to_string(), "discovery": "127.0.0.1:1", "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": {"revision": 1, "complete": true, "members": members}, "settings": settings,
        });
        let folder = std::env::temp_dir().join(format!("pointcross-load-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(system("a folder for the configuration"))?;
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string()).map_err(system("the configuration"))?;
        let child = Command::new(program)
            .args(["--log-filter", "error", "serve"])
            .env("RELAY_CONFIG", &file)
            .env_remove("POINTCROSS_OPERATOR")
            .stdin(Stdio::null())
            .spawn()
            .map_err(system(format!("{}", program.display())))?;
        let mut scheduler = Scheduler { child, folder, address };
        let begun = Instant::now();
        loop {
            if let Ok(Some(status)) = scheduler.child.try_wait() {
                return Err(LoadError::NotStarted(status.to_string()));
            }
            if TcpStream::connect(address).await.is_ok() {
                return Ok(scheduler);
            }
            if begun.elapsed() > Duration::from_secs(10) {
                return Err(LoadError::NotStarted("no connection within 10 s".into()));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Processor time that it has used, where the system tells.
    pub fn cpu(&self) -> Option<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        // Behind the name in brackets: utime and stime are the 12th and 13th, in ticks of a hundredth of a second.
        let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
        let (user, system): (u64, u64) = (fields.next()?.parse().ok()?, fields.next()?.parse().ok()?);
        Some(Duration::from_millis((user + system) * 10))
    }
}

impl Drop for Scheduler {
    /// Guards against a process left behind.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

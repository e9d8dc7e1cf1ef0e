//! Several schedulers with stand-in stores. Each scheduler runs in a thread of its own, can be killed, shut
//! down gracefully, and started again at its address.

use crate::{Message, SETTINGS, read_message};
use pointcross::config::{Config, Wins};
use pointcross::{Daemon, shutdown::Shutdown};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, mpsc};
use std::thread::JoinHandle;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::oneshot;

/// The writes that the stores have run: how often each path was written.
#[derive(Clone, Debug, Default)]
pub struct WriteLog(Arc<Mutex<HashMap<String, u32>>>);

impl WriteLog {
    fn note(&self, message: &Message) {
        if message.first.starts_with("PUT") {
            *self.0.lock().unwrap().entry(message.path().to_owned()).or_default() += 1;
        }
    }

    /// Paths written at least once.
    pub fn writes(&self) -> usize {
        self.0.lock().unwrap().len()
    }

    /// Paths written more than once.
    pub fn repeated_writes(&self) -> usize {
        self.0.lock().unwrap().values().filter(|&&runs| runs > 1).count()
    }

    /// How often this path was written.
    pub fn runs(&self, path: &str) -> u32 {
        self.0.lock().unwrap().get(path).copied().unwrap_or(0)
    }
}

enum Stop {
    Kill,
    Term,
}

struct Running {
    stop: oneshot::Sender<Stop>,
    thread: JoinHandle<()>,
}

/// Schedulers and stores on loopback; dropping it kills the schedulers and ends the stores.
pub struct SchedulerCluster {
    /// Addresses by scheduler number; a stopped scheduler retains its address.
    pub schedulers: Vec<SocketAddr>,
    /// The writes that the stores have run.
    pub write_log: WriteLog,
    running: Vec<Option<Running>>,
    known_members: String,
    _stores: Runtime,
}

impl SchedulerCluster {
    /// Starts this many schedulers and stores. Shards are numbered from 0, one for each store; stores
    /// respond at once.
    pub fn start(schedulers: usize, stores: usize) -> SchedulerCluster {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        let write_log = WriteLog::default();
        let entries: Vec<String> = (0..stores)
            .map(|shard| {
                let address = runtime.block_on(store(write_log.clone()));
                format!(
                    r#"{{"id":"s-{shard}","host_port":"{address}","cell":{shard},"phase":"up","up_since_ms":0}}"#
                )
            })
            .collect();
        let unassigned = "127.0.0.1:0".parse().unwrap();
        let mut cluster = SchedulerCluster {
            schedulers: vec![unassigned; schedulers],
            write_log,
            running: (0..schedulers).map(|_| None).collect(),
            known_members: entries.join(","),
            _stores: runtime,
        };
        for number in 0..schedulers {
            cluster.up(number);
        }
        cluster
    }

    /// Starts a scheduler, at its previous address if it has run before.
    pub fn up(&mut self, number: usize) {
        let listen = self.schedulers[number];
        // Nothing listens on port 1: the scheduler works from its configured node list.
        let platform = format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"127.0.0.1:1","seed":"{number:x}",
                "limits":{{"sockets":16384,"memory_mb":1024}},
                "known":{{"revision":1,"complete":true,"members":[{}]}},"settings":{SETTINGS}}}"#,
            self.known_members
        );
        let config = Config::from_texts(|_| None, &platform, "", Wins::Variable).unwrap();
        let (stop, stop_request) = oneshot::channel();
        let (bound, address) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let daemon = Daemon::bind(config).await.unwrap();
                bound.send(daemon.http_address().unwrap()).unwrap();
                let (term, termed) = oneshot::channel::<()>();
                let shutdown = Shutdown::when(async {
                    let _ = termed.await;
                });
                let serving = daemon.run(shutdown);
                tokio::pin!(serving);
                tokio::select! {
                    () = &mut serving => return,
                    stop = stop_request => match stop {
                        Ok(Stop::Term) => _ = term.send(()),
                        // Dropping the runtime drops every task: connections end as when a process dies.
                        Ok(Stop::Kill) | Err(_) => return,
                    },
                }
                serving.await;
            });
        });
        self.schedulers[number] = address.recv().unwrap();
        self.running[number] = Some(Running { stop, thread });
    }

    /// Ends a scheduler without a graceful shutdown; waits for its thread.
    pub fn kill(&mut self, number: usize) {
        if let Some(running) = self.running[number].take() {
            let _ = running.stop.send(Stop::Kill);
            running.thread.join().unwrap();
        }
    }

    /// Requests a graceful shutdown, as SIGTERM does; returns the thread, which ends with the scheduler.
    pub fn term(&mut self, number: usize) -> Option<JoinHandle<()>> {
        let running = self.running[number].take()?;
        let _ = running.stop.send(Stop::Term);
        Some(running.thread)
    }
}

impl Drop for SchedulerCluster {
    fn drop(&mut self) {
        for number in 0..self.running.len() {
            self.kill(number);
        }
    }
}

async fn store(write_log: WriteLog) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(serve(stream, write_log.clone()));
        }
    });
    address
}

async fn serve(stream: TcpStream, write_log: WriteLog) {
    let mut stream = BufReader::new(stream);
    while let Some(message) = read_message(&mut stream).await {
        write_log.note(&message);
        if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone").await.is_err() {
            return;
        }
    }
}

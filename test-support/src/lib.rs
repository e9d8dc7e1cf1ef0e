//! Stand-ins for what surrounds the program: storage nodes, discovery and clients, on loopback sockets.
#![warn(missing_docs)]

pub mod cluster;
pub mod peer;
pub mod stalled_connection;

use pointcross::config::{Config, Wins};
use pointcross::{Daemon, shutdown::Shutdown};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// One HTTP message, either way.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// Headers, their names in lower case.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).unwrap().parse().unwrap()
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap()
    }
}

/// Reads a message; `None` at the connection's end.
pub async fn read_message(input: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    let mut message = Message::default();
    if input.read_line(&mut line).await.ok()? == 0 {
        return None;
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        input.read_line(&mut line).await.ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = message.headers.get("content-length").map_or(0, |length| length.parse().unwrap());
    message.body.resize(length, 0);
    input.read_exact(&mut message.body).await.ok()?;
    Some(message)
}

/// What a stand-in does with a request it has read.
#[derive(Clone, Debug)]
pub enum Deed {
    /// Answers with this status and body.
    Answer(&'static str, Vec<u8>),
    /// Takes it and says nothing until the client has gone.
    Silence,
    /// Sends half of an answer, then ends the connection.
    MidReply,
    /// Ends the connection without a word.
    Close,
    /// Sends these bytes, each part a little later than the one before, and goes on reading.
    Raw(Vec<Vec<u8>>),
}

/// A served answer.
pub fn ok(body: impl Into<Vec<u8>>) -> Deed {
    Deed::Answer("200 OK", body.into())
}

/// Serves connections with `handle` for each request, until dropped.
pub async fn stand_in<F, R>(handle: F) -> (SocketAddr, JoinHandle<()>)
where
    F: Fn(Message) -> R + Clone + Send + 'static,
    R: Future<Output = Deed> + Send,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let handle = handle.clone();
            tokio::spawn(async move {
                let mut stream = BufReader::new(stream);
                while let Some(message) = read_message(&mut stream).await {
                    let (status, body) = match handle(message).await {
                        Deed::Answer(status, body) => (status, body),
                        Deed::Silence => {
                            let _ = stream.read_u8().await;
                            return;
                        }
                        Deed::MidReply => {
                            let _ =
                                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf").await;
                            return;
                        }
                        Deed::Close => return,
                        Deed::Raw(parts) => {
                            for part in parts {
                                let _ = stream.write_all(&part).await;
                                tokio::time::sleep(std::time::Duration::from_millis(1)).await;
                            }
                            continue;
                        }
                    };
                    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
                    if stream.write_all(&[head.as_bytes(), &body].concat()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, task)
}

/// What the stand-in store has been sent: when and what, one entry for each whole request.
#[derive(Clone, Default)]
pub struct Seen(Arc<Mutex<Vec<(Instant, Message)>>>);

impl Seen {
    /// Notes a request.
    pub fn note(&self, message: &Message) {
        self.0.lock().unwrap().push((Instant::now(), message.clone()));
    }

    /// All that were noted.
    pub fn all(&self) -> Vec<(Instant, Message)> {
        self.0.lock().unwrap().clone()
    }
}

/// A store whose deeds `deed` chooses by the request and the number of those seen before it.
pub async fn store(
    deed: impl Fn(&Message, usize) -> Deed + Clone + Send + Sync + 'static,
) -> (SocketAddr, Seen) {
    let seen = Seen::default();
    let noted = seen.clone();
    let (address, _) = stand_in(move |message| {
        let before = noted.all().len();
        noted.note(&message);
        let deed = deed(&message, before);
        async move { deed }
    })
    .await;
    (address, seen)
}

/// A program on loopback, with its one storage node and a discovery that lists it.
pub struct Running {
    /// Where HTTP clients connect.
    pub http: SocketAddr,
    /// Where NBD clients connect.
    pub nbd: Option<SocketAddr>,
    /// The operators' door, where the configuration names one.
    pub ops: Option<SocketAddr>,
    /// Its core.
    pub core: Arc<pointcross_core::Core>,
    /// How far its stop has come.
    pub shutdown: Shutdown,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

/// Settings of the platform with one store and generous times.
pub const SETTINGS: &str = r#"{"me":0,"instances":1,"resolution":2.0,"discovery":"on_request",
 "classes":[{"name":"reading-get","aim":2000,"give_up":8000,"importance":2,"repeat":"safe","group":"all"},
  {"name":"reading-put","aim":2000,"give_up":8000,"importance":2,"repeat":"unsafe","group":"all"}],
 "service_levels":[{"name":"basic","base_rate":20,"reservation":10,"cap":40,"cap_depth":20,"cap_slack":4},
  {"name":"standard","base_rate":2000,"reservation":1000}],
 "guarantees":{"grace_to_answer":8,"drain_grace":250,"ask_within":10000},
 "limits":{"cancelling":true,"connect_timeout":250,"keepalive":15000,"max_attempts":3,"max_retry_after":1000},
 "family_info":{"max_units":6,"unit_mean":2,"slots_total":2,"writes":[false,true],"tells_elsewhere":true},
 "report":{"how":"inline","names":["inflight"]}}"#;

/// An operator's file with one export: 16 blocks of 512 bytes on the volume 7 of this plan.
pub fn operator(plan: &str, more: &str) -> String {
    format!(
        "[nbd]\nlisten = \"127.0.0.1:0\"\n{more}\n[[nbd.export]]\nname = \"grid\"\nvolume = \"7\"\n\
         plan = \"{plan}\"\nhosts = 1\nshard = 1\nsize = 8192\nblock_size = 512\nread_class = \"reading-get\"\n\
         write_class = \"reading-put\"\n"
    )
}

/// Discovery's entry of a store.
pub fn list_entry(store: SocketAddr) -> String {
    format!(r#"{{"id":"s-1","host_port":"{store}","locality":"a","cell":1,"phase":"up","up_since_ms":0}}"#)
}

/// The configuration of a program before this store.
pub fn config(store: SocketAddr, discovery: SocketAddr, operator: &str) -> Config {
    let entry = list_entry(store);
    let platform = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"0badcafe",
            "known":{{"revision":1,"complete":true,"members":[{entry}]}},"settings":{SETTINGS}}}"#
    );
    Config::from_texts(|_| None, &platform, operator, Wins::Variable).unwrap()
}

impl Running {
    /// Starts the program before this store.
    pub async fn start(store: SocketAddr, operator: &str) -> Running {
        // Nothing changes in this discovery: a watch waits as long as it may.
        let (discovery, _) = stand_in(|_| async { Deed::Silence }).await;
        Running::with(config(store, discovery, operator)).await
    }

    /// Starts the program with this configuration.
    pub async fn with(config: Config) -> Running {
        Running::of(Daemon::bind(config).await.unwrap())
    }

    /// Runs a program that is bound already.
    pub fn of(daemon: Daemon) -> Running {
        let (stop, told) = oneshot::channel();
        let (http, nbd, core) = (daemon.http_address().unwrap(), daemon.nbd_address(), daemon.core().clone());
        let ops = daemon.admin_address();
        let shutdown = Shutdown::when(async {
            let _ = told.await;
        });
        let task = tokio::spawn(daemon.run(shutdown.clone()));
        Running { http, nbd, ops, core, shutdown, stop: Some(stop), task }
    }

    /// As SIGTERM does.
    pub fn stop(&mut self) {
        let _ = self.stop.take().unwrap().send(());
    }

    /// Ends the program without its stop, as a crash does.
    pub fn abandon(self) {
        self.task.abort();
    }

    /// Waits for the end, which must come by itself.
    pub async fn ended(self) {
        self.task.await.unwrap();
    }
}

/// Sends a request on this connection and reads its answer.
pub async fn exchange(stream: &mut BufReader<TcpStream>, request: &[u8]) -> Option<Message> {
    stream.write_all(request).await.ok()?;
    read_message(stream).await
}

/// A client's request in the platform's form.
pub fn request(class: &str, plan: &str, piece: u64, id: u64, body: &[u8]) -> Vec<u8> {
    let method = if class == "reading-put" { "PUT" } else { "GET" };
    let head = format!(
        "{method} /{class}/0000000000000007/{piece:016x} HTTP/1.1\r\nHost: service.internal\r\n\
         X-Correlation-Id: c{id}\r\nX-Service-Class: {class}\r\nTier: {plan}\r\nX-Time-Left: 7900m\r\n\
         IO-Info: units=1,shard=1,hosts=1\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Connects as a client.
pub async fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    BufReader::new(TcpStream::connect(address).await.unwrap())
}

/// Waits until `what` holds, looking after every turn of the runtime; a test that hangs here has failed.
pub async fn until(what: impl Fn() -> bool) {
    let waited = tokio::time::timeout(std::time::Duration::from_secs(20), async {
        while !what() {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
    });
    waited.await.expect("it never came to hold");
}

/// A list that changes when told to, as discovery serves it.
pub fn listed(changes: watch::Receiver<(u64, String)>) -> impl Fn(Message) -> ListAnswer + Clone {
    move |message| {
        let mut changes = changes.clone();
        Box::pin(async move {
            let from: Option<u64> = message
                .path()
                .split(['?', '&'])
                .find_map(|part| part.strip_prefix("from="))
                .map(|from| from.parse().unwrap());
            // The sender outlives the program in every test.
            let (revision, members) =
                changes.wait_for(|(revision, _)| Some(*revision) != from).await.unwrap().clone();
            if revision == 0 {
                return Deed::Answer("503 Service Unavailable", Vec::new());
            }
            ok(format!(r#"{{"revision":{revision},"complete":true,"members":[{members}]}}"#))
        })
    }
}

/// What a stand-in discovery answers with.
pub type ListAnswer = std::pin::Pin<Box<dyn Future<Output = Deed> + Send>>;

/// A store that keeps what is put; a block never put holds the last byte of its path.
pub fn keeping() -> impl Fn(&Message, usize) -> Deed + Clone + Send + Sync + 'static {
    let blocks = Arc::new(Mutex::new(HashMap::new()));
    move |message, _| {
        let piece = message.path().rsplit('/').next().unwrap().to_owned();
        let mut blocks = blocks.lock().unwrap();
        if message.first.starts_with("PUT") {
            blocks.insert(piece, message.body.clone());
            return ok("");
        }
        let fresh = vec![*piece.as_bytes().last().unwrap(); 512];
        ok(blocks.get(&piece).cloned().unwrap_or(fresh))
    }
}

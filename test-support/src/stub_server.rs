//! Servers whose every response a test chooses, and the log of what they were sent.

use crate::http::{Message, read_message};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// What a stub does with a request that it has read.
#[derive(Clone, Debug)]
pub enum StubAction {
    /// Responds with this status, as it stands on the status line, and this body.
    Respond(&'static str, Vec<u8>),
    /// Sends nothing until the client closes the connection.
    Stall,
    /// Sends half of a response, then closes the connection.
    TruncatedResponse,
    /// Closes the connection without a response.
    Close,
    /// Sends these bytes, each part a millisecond after the one before, and reads the next request.
    Raw(Vec<Vec<u8>>),
}

/// A response with status 200.
pub fn ok(body: impl Into<Vec<u8>>) -> StubAction {
    StubAction::Respond("200 OK", body.into())
}

/// The pause after each part of [`StubAction::Raw`].
const RAW_PART_DELAY: Duration = Duration::from_millis(1);

/// Listens on a free port; `handle` chooses the action for each request. Serves until the runtime ends or the
/// returned task is aborted; connections that are open by then go on.
pub async fn stub_server<F, R>(handle: F) -> (SocketAddr, JoinHandle<()>)
where
    F: Fn(Message) -> R + Clone + Send + 'static,
    R: Future<Output = StubAction> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve_connection(stream, handle.clone()));
        }
    });
    (address, task)
}

async fn serve_connection<F, R>(stream: TcpStream, handle: F)
where
    F: Fn(Message) -> R,
    R: Future<Output = StubAction>,
{
    let mut stream = BufReader::new(stream);
    while let Some(message) = read_message(&mut stream).await {
        let action = handle(message).await;
        if let AfterAction::Close = perform(action, &mut stream).await {
            return;
        }
    }
}

/// What becomes of a connection after an action.
enum AfterAction {
    ReadNext,
    Close,
}

async fn perform(action: StubAction, stream: &mut BufReader<TcpStream>) -> AfterAction {
    match action {
        StubAction::Respond(status, body) => {
            let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
            match stream.write_all(&[head.as_bytes(), &body].concat()).await {
                Ok(()) => AfterAction::ReadNext,
                Err(_) => AfterAction::Close,
            }
        }
        StubAction::Stall => {
            let _ = stream.read_u8().await;
            AfterAction::Close
        }
        StubAction::TruncatedResponse => {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf").await;
            AfterAction::Close
        }
        StubAction::Close => AfterAction::Close,
        StubAction::Raw(parts) => {
            for part in parts {
                let _ = stream.write_all(&part).await;
                tokio::time::sleep(RAW_PART_DELAY).await;
            }
            AfterAction::ReadNext
        }
    }
}

/// The complete requests that a stub has been sent, each with the time of its arrival.
#[derive(Clone, Default)]
pub struct RequestLog(Arc<Mutex<Vec<(Instant, Message)>>>);

impl RequestLog {
    /// Adds a request that has arrived now.
    pub fn note(&self, message: &Message) {
        self.0.lock().unwrap().push((Instant::now(), message.clone()));
    }

    /// All requests so far, in the order of their arrival.
    pub fn all(&self) -> Vec<(Instant, Message)> {
        self.0.lock().unwrap().clone()
    }
}

/// Starts a storage node; `choose` gets each request and the number of those before it.
pub async fn store(
    choose: impl Fn(&Message, usize) -> StubAction + Clone + Send + Sync + 'static,
) -> (SocketAddr, RequestLog) {
    let log = RequestLog::default();
    let server_log = log.clone();
    let (address, _) = stub_server(move |message| {
        let before = server_log.all().len();
        server_log.note(&message);
        let action = choose(&message, before);
        async move { action }
    })
    .await;
    (address, log)
}

/// The actions of a store that retains each block written to it; a block never written reads as 512 times the
/// last character of its path.
pub fn in_memory_store() -> impl Fn(&Message, usize) -> StubAction + Clone + Send + Sync + 'static {
    let blocks = Arc::new(Mutex::new(HashMap::new()));
    move |message, _| {
        let block = message.path().rsplit('/').next().unwrap().to_owned();
        let mut blocks = blocks.lock().unwrap();
        if message.first.starts_with("PUT") {
            blocks.insert(block, message.body.clone());
            return ok("");
        }
        let unwritten = vec![*block.as_bytes().last().unwrap(); 512];
        ok(blocks.get(&block).cloned().unwrap_or(unwritten))
    }
}

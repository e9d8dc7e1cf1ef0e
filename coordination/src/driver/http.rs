//! The HTTP service for other schedulers and for operators.
//!
//! Guards against callers that use the scheduler up: connections, the size of a body and the time of a
//! request's head are bounded.

use super::peers::{COMMAND_PATH, Peers};
use crate::consensus::network::{APPEND_PATH, SNAPSHOT_PATH, VOTE_PATH};
use crate::maintenance::decide::Machine;
use crate::swim::SWIM_PATH;
use crate::wire::MAX_BYTES;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Connections of other schedulers and of operators at once; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 256;
/// How long the head of a request may take.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before the next accept after one that failed, as by a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

const PLAN_PATH: &str = "/maintenance/plan";
const ASK_PATH: &str = "/maintenance/ask";
const DONE_PATH: &str = "/maintenance/done";

/// The body of an operator's request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MachinesRequest {
    machines: Vec<Machine>,
}

/// A reply with a status other than 200.
struct ErrorReply {
    status: StatusCode,
    text: String,
}

impl From<(StatusCode, String)> for ErrorReply {
    fn from((status, text): (StatusCode, String)) -> Self {
        ErrorReply { status, text }
    }
}

/// The body of a reply, or an error.
type Reply = Result<Vec<u8>, ErrorReply>;

/// Serves for as long as the program runs. Each connection has a detached task: it ends with its connection,
/// holds no state of its own, and ends with the runtime when the program does.
pub(super) async fn serve(listener: TcpListener, peers: Arc<Peers>) {
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "accept failed: listener=peers");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let peers = peers.clone();
        tokio::spawn(async move {
            let _permit = permit;
            serve_connection(stream, &peers).await;
        });
    }
}

async fn serve_connection(stream: TcpStream, peers: &Peers) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| handle(peers, request));
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    // A connection that breaks ends its own calls only; the caller retries.
    let _ = server.serve_connection(TokioIo::new(stream), service).await;
}

async fn handle(peers: &Peers, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let reply = match Limited::new(body, MAX_BYTES).collect().await {
        Ok(body) => route(peers, &head.method, head.uri.path(), body.to_bytes()).await,
        Err(error) => Err(invalid_body(error)),
    };
    let (status, body) = match reply {
        Ok(body) => (StatusCode::OK, body),
        Err(ErrorReply { status, text }) => (status, format!("{text}\n").into_bytes()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    Ok(response)
}

async fn route(peers: &Peers, method: &Method, path: &str, body: Bytes) -> Reply {
    match (method.as_str(), path) {
        ("POST", APPEND_PATH) => Ok(encode(&peers.raft.append_entries(decode(&body)?).await)),
        ("POST", VOTE_PATH) => Ok(encode(&peers.raft.vote(decode(&body)?).await)),
        ("POST", SNAPSHOT_PATH) => Ok(encode(&peers.raft.install_snapshot(decode(&body)?).await)),
        ("POST", SWIM_PATH) => {
            // A full queue drops the message, as a network may: SWIM tolerates that.
            let _ = peers.swim_messages.try_send(body);
            Ok(Vec::new())
        }
        ("POST", COMMAND_PATH) => commit(peers, &body).await,
        ("GET", PLAN_PATH) => Ok(encode(&peers.report())),
        ("POST", ASK_PATH) => {
            let MachinesRequest { machines } = decode(&body)?;
            Ok(peers.request_drains(machines).await?)
        }
        ("POST", DONE_PATH) => finish_work(peers, decode(&body)?).await,
        (_, PLAN_PATH | ASK_PATH | DONE_PATH) => Err(ErrorReply {
            status: StatusCode::METHOD_NOT_ALLOWED,
            text: format!("{method} does not go with {path}"),
        }),
        _ => Err(ErrorReply { status: StatusCode::NOT_FOUND, text: format!("{path}: no such call") }),
    }
}

/// A command that another scheduler forwards to this one as the leader.
async fn commit(peers: &Peers, body: &Bytes) -> Reply {
    match peers.commit(decode(body)?).await {
        Ok(applied) => Ok(encode(&applied)),
        Err(error) => Err(ErrorReply { status: StatusCode::SERVICE_UNAVAILABLE, text: error.to_string() }),
    }
}

/// One command a machine, until one fails; the reply is that of the last one.
async fn finish_work(peers: &Peers, MachinesRequest { machines }: MachinesRequest) -> Reply {
    let mut last = Vec::new();
    for machine in machines {
        last = peers.finish_work(machine).await?;
    }
    Ok(last)
}

fn decode<T: for<'a> Deserialize<'a>>(body: &Bytes) -> Result<T, ErrorReply> {
    serde_json::from_slice(body).map_err(invalid_body)
}

fn invalid_body(error: impl std::fmt::Display) -> ErrorReply {
    ErrorReply { status: StatusCode::BAD_REQUEST, text: format!("body: {error}") }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("the replies have string keys only and can be written as JSON")
}

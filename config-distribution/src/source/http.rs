//! The HTTP API of a source.

use super::shared::Shared;
use crate::decide::table::{Answer, Published};
use crate::wire::{PATH, PollRequest, SCHEDULERS_PATH, STATE_PATH, SUM_HEADER, VERSION_HEADER};
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// How long a request's head may take, and how long a connection may stay idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The buffer of a connection, and by that the longest head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Delay before the next accept after one that failed, as by a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Serves for as long as the program runs. Each connection has a task; all of them end when this future is
/// dropped.
pub(super) async fn serve(listener: TcpListener, shared: &Arc<Shared>, max_connections: usize) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "accept failed: listener=configuration");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if connections.len() >= max_connections {
            continue;
        }
        let shared = shared.clone();
        connections.spawn(async move { serve_connection(stream, &shared).await });
    }
}

async fn serve_connection(stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| handle(shared, request));
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
    // A connection that breaks ends its own request only; the scheduler sends it again.
    let _ = server.serve_connection(TokioIo::new(stream), service).await;
}

type Reply = Response<Full<Bytes>>;

async fn handle(shared: &Shared, request: Request<Incoming>) -> Result<Reply, Infallible> {
    let path = request.uri().path();
    let query = request.uri().query().unwrap_or("");
    Ok(match (request.method(), path) {
        (&Method::GET, PATH) => match PollRequest::decode(query) {
            Ok(poll_request) => poll_reply(shared, &poll_request).await,
            Err(error) => reply(StatusCode::BAD_REQUEST, format!("{error}\n")),
        },
        (&Method::GET, STATE_PATH | SCHEDULERS_PATH) if !query.is_empty() => {
            reply(StatusCode::BAD_REQUEST, format!("{query:.128}: unknown; {path} takes no keys\n"))
        }
        (&Method::GET, STATE_PATH) => json_reply(&shared.table().state(shared.now())),
        (&Method::GET, SCHEDULERS_PATH) => json_reply(&shared.table().schedulers(shared.now())),
        (method, PATH | STATE_PATH | SCHEDULERS_PATH) => {
            reply(StatusCode::METHOD_NOT_ALLOWED, format!("{method} does not go with {path}; GET does\n"))
        }
        _ => {
            let known = format!("{PATH}, {STATE_PATH} and {SCHEDULERS_PATH} are");
            reply(StatusCode::NOT_FOUND, format!("{path:.128}: no such path; {known}\n"))
        }
    })
}

/// The reply to a long poll: at once, when a newer version is published, or empty after the time-out.
async fn poll_reply(shared: &Shared, request: &PollRequest) -> Reply {
    // Subscribed before the table is asked: a version published in between is not missed.
    let mut version = shared.version.subscribe();
    let answer = shared.table().handle(shared.now(), request);
    let timeout = match answer {
        Answer::Document(published) => return document_reply(published),
        Answer::OtherFleet(fleet) => {
            let text = format!("fleet: {:?} asks, {fleet:?} is served here\n", request.fleet);
            return reply(StatusCode::CONFLICT, text);
        }
        Answer::Pending(timeout) => timeout,
    };
    let deadline = Instant::now() + timeout;
    while let Ok(Ok(())) = tokio::time::timeout_at(deadline, version.changed()).await {
        if let Some(published) = shared.table().newer(request) {
            return document_reply(published);
        }
    }
    reply(StatusCode::NO_CONTENT, Bytes::new())
}

fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

fn json_reply(value: &impl Serialize) -> Reply {
    let body =
        serde_json::to_vec(value).expect("the reports have string keys only and can be written as JSON");
    let mut response = reply(StatusCode::OK, body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn document_reply(published: Published) -> Reply {
    let mut response = reply(StatusCode::OK, published.text);
    let headers = response.headers_mut();
    let value = |text: String| HeaderValue::from_str(&text).expect("digits are valid in a header");
    headers.insert(SUM_HEADER, value(format!("{:08x}", published.checksum)));
    headers.insert(VERSION_HEADER, value(published.version.to_string()));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

//! Requests to a source over HTTP/1.1, without a task: a connection is polled by the request that uses it.

use crate::decide::CONNECT_TIMEOUT;
use crate::decide::follower::Event;
use crate::wire::{self, PollRequest, SUM_HEADER, VERSION_HEADER};
use bytes::Bytes;
use http::response::Parts;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::net::TcpStream;

/// How much of an error reply's text is read, in bytes.
const MAX_ERROR_BYTES: usize = 512;
/// The longest reply to [`get`], in bytes: a full table of the longest names is 1 MiB, and escaped six times
/// that at worst.
const MAX_REPORT_BYTES: usize = 8 << 20;

/// A connection to a source.
pub(super) struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    /// Moves the bytes; ends when the connection does.
    io: Pin<Box<dyn Future<Output = ()> + Send>>,
}

async fn connect(to: SocketAddr) -> Result<Connection, String> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
    let stream = stream.map_err(|_| format!("no connection in {CONNECT_TIMEOUT:?}"))?;
    let stream = stream.map_err(|error| format!("no connection: {error}"))?;
    let _ = stream.set_nodelay(true);
    let (sender, io) = handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
    Ok(Connection { sender, io: Box::pin(async move { _ = io.await }) })
}

/// Sends one request; returns its outcome, and the connection where it can be reused.
///
/// # Errors
/// Why the request failed.
pub(super) async fn poll(
    to: SocketAddr,
    reusable: Option<Connection>,
    poll_request: &PollRequest,
    max_bytes: usize,
) -> Result<(Event, Option<Connection>), String> {
    let mut connection = match reusable {
        Some(connection) => connection,
        None => connect(to).await?,
    };
    let request = Request::get(poll_request.target()).header("host", to.to_string()).body(Empty::new());
    let request = request.expect("an escaped path and a socket address form a valid request");
    let Connection { sender, io } = &mut connection;
    let (event, is_reusable) = {
        let reply = receive_reply(sender, request, max_bytes);
        tokio::pin!(reply);
        tokio::select! {
            biased;
            event = &mut reply => event?,
            // The connection may have ended together with the reply: all that came of it is there now.
            () = io => (reply.await?.0, false),
        }
    };
    Ok((event, is_reusable.then_some(connection)))
}

/// The outcome of a request, and whether its connection can be reused.
async fn receive_reply(
    sender: &mut SendRequest<Empty<Bytes>>,
    request: Request<Empty<Bytes>>,
    max_bytes: usize,
) -> Result<(Event, bool), String> {
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let (head, body) = response.into_parts();
    match head.status {
        StatusCode::NO_CONTENT => Ok((Event::NotModified, true)),
        StatusCode::OK => receive_document(&head, body, max_bytes).await,
        _ => Err(receive_error(&head, body).await),
    }
}

async fn receive_document(head: &Parts, body: Incoming, max_bytes: usize) -> Result<(Event, bool), String> {
    let header = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
    let version = header(VERSION_HEADER).and_then(|text| text.parse().ok());
    let checksum = header(SUM_HEADER).and_then(wire::parse_checksum);
    let announced_length = body.size_hint().lower();
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok((Event::Document { text: body.to_bytes(), version, checksum }, true)),
        Err(error) if error.is::<LengthLimitError>() => {
            let bytes = announced_length.max(max_bytes as u64 + 1);
            Ok((Event::TooLong { bytes, version }, false))
        }
        Err(error) => Err(format!("answer broken off: {error}")),
    }
}

/// The status and the text of a reply that is neither 200 nor 204. A text that is too long or ends early is
/// left out.
async fn receive_error(head: &Parts, body: Incoming) -> String {
    let text = match Limited::new(body, MAX_ERROR_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    };
    format!("answered {}: {}", head.status, String::from_utf8_lossy(&text).trim())
}

/// One GET that is answered at once, for tools; returns the body of a 200.
///
/// # Errors
/// What went wrong, after `timeout` at the latest.
pub async fn get(from: SocketAddr, target: &str, timeout: Duration) -> Result<Bytes, String> {
    let reply = async {
        let Connection { mut sender, io } = connect(from).await?;
        let request = Request::get(target).header("host", from.to_string()).body(Empty::new());
        let request = request.map_err(|error| error.to_string())?;
        let reply = receive_report(&mut sender, request);
        tokio::pin!(reply);
        tokio::select! {
            biased;
            reply = &mut reply => reply,
            () = io => reply.await,
        }
    };
    let reply = tokio::time::timeout(timeout, reply).await;
    reply.unwrap_or_else(|_| Err(format!("no answer in {timeout:?}")))
}

async fn receive_report(
    sender: &mut SendRequest<Empty<Bytes>>,
    request: Request<Empty<Bytes>>,
) -> Result<Bytes, String> {
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES).collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    match status {
        StatusCode::OK => Ok(body),
        _ => Err(format!("answered {status}: {}", String::from_utf8_lossy(&body).trim())),
    }
}

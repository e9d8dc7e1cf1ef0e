//! One connection to a scheduler: opened, probed for readiness, and one request at a time carried on it. This
//! module classifies what a response, or its absence, proves; what follows is decided in `crate::decide`.
//! Guards against a write that is sent twice: only what is proved counts as never run.

use crate::decide::retry_policy::{AttemptOutcome, MayHaveRunCause, NeverRanCause};
use crate::socket::Socket;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use pointcross_platform_http::platform::{self, READY_PATH, read_retry_after};
use pointcross_platform_http::watched::{Watched, Wire};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Upper bound of a response's head, in bytes.
const MAX_HEAD: usize = 32 * 1024;
/// A reused connection that ended without a response is checked for so long for a close that crossed the
/// request: ten times the way between two halls of the platform (1.4 to 2.6 ms) and back, with a pause of the
/// process.
const CROSSED_CLOSE_TIMEOUT: Duration = Duration::from_millis(25);
/// hyper ends a connection's task as it reports the end; this bounds a wait that should be none.
const TASK_END_TIMEOUT: Duration = Duration::from_millis(50);

/// A connection that is up.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    wire: Arc<Wire>,
    socket: Socket,
    task: ConnectionTask,
    /// Whether it has carried an answer.
    answered: bool,
}

/// The task that drives a connection; the connection ends with it.
struct ConnectionTask(JoinHandle<Result<(), hyper::Error>>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// How one request on a connection ended.
pub(crate) struct Exchange {
    pub end: AttemptOutcome,
    /// The body of a complete response; empty otherwise.
    pub body: Bytes,
    /// Whether the connection can carry another request.
    pub reusable: bool,
}

impl Exchange {
    /// Without a complete response: the connection carries nothing more.
    fn failed(end: AttemptOutcome) -> Self {
        Exchange { end, body: Bytes::new(), reusable: false }
    }
}

/// What a request carries.
#[derive(Clone, Debug)]
pub(crate) struct CallRequest {
    pub method: Method,
    pub path: String,
    pub class: HeaderValue,
    pub plan: HeaderValue,
    pub extras: HeaderValue,
    pub body: Bytes,
}

impl Connection {
    /// Opens a connection. `closed` is called once, when it ends, idle or not.
    pub(crate) async fn open(
        address: SocketAddr,
        closed: impl FnOnce() + Send + 'static,
    ) -> io::Result<Self> {
        let socket = Socket::connect(address).await?;
        let (io, wire) = Watched::new(TokioIo::new(socket.clone()));
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD).handshake(io).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = ConnectionTask(tokio::spawn(async move {
            let ended = connection.await;
            closed();
            ended
        }));
        Ok(Connection { sender, wire, socket, task, answered: false })
    }

    /// Asks whether the scheduler takes work.
    pub(crate) async fn ready(&mut self, address: SocketAddr) -> bool {
        let request = Request::get(READY_PATH).header(header::HOST, address.to_string());
        let Ok(request) = request.body(Full::default()) else { return false };
        let Ok(response) = self.sender.send_request(request).await else { return false };
        let ready = response.status() == StatusCode::OK;
        let drained = Limited::new(response.into_body(), MAX_HEAD).collect().await.is_ok();
        self.answered = true;
        ready && drained && self.sender.ready().await.is_ok()
    }

    /// Whether it is known to have ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Tells later whether a request was written in part only.
    pub(crate) fn wire(&self) -> Arc<Wire> {
        self.wire.clone()
    }

    /// Carries one request. Cancelled by dropping; the caller then has to drop the connection too.
    pub(crate) async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_response_bytes: usize,
    ) -> Exchange {
        let before = self.socket.received();
        let reused = std::mem::replace(&mut self.answered, true);
        if self.sender.ready().await.is_err() {
            return Exchange::failed(AttemptOutcome::NeverRan(NeverRanCause::Unopened));
        }
        let response = match self.sender.send_request(request).await {
            Ok(response) => response,
            Err(error) => return Exchange::failed(self.classify_failure(&error, reused, before).await),
        };
        let (head, body) = response.into_parts();
        let body = match Limited::new(body, max_response_bytes).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                let long = error.downcast_ref::<LengthLimitError>().is_some();
                let cause = if long { MayHaveRunCause::Unreadable } else { MayHaveRunCause::Cut };
                // What the head says of a refusal holds without its body.
                return Exchange::failed(
                    refused(&head.status, &head.headers).unwrap_or(AttemptOutcome::MayHaveRun(cause)),
                );
            }
        };
        let reusable = self.sender.ready().await.is_ok();
        if !reusable && self.has_excess_bytes().await {
            return Exchange::failed(AttemptOutcome::MayHaveRun(MayHaveRunCause::Unreadable));
        }
        let end = match refused(&head.status, &head.headers) {
            Some(refused) => refused,
            None if head.status == StatusCode::OK => AttemptOutcome::Served,
            None => AttemptOutcome::MayHaveRun(MayHaveRunCause::Reported(head.status.as_u16())),
        };
        Exchange { end, body, reusable }
    }

    /// What the end of a request without a response proves.
    async fn classify_failure(&mut self, error: &hyper::Error, reused: bool, before: u64) -> AttemptOutcome {
        tracing::debug!(%error, reused, "attempt failed");
        if error.is_canceled() {
            return AttemptOutcome::NeverRan(NeverRanCause::Unopened);
        }
        if self.wire.unfinished() {
            return AttemptOutcome::NeverRan(NeverRanCause::Unfinished);
        }
        if self.socket.received() > before {
            return AttemptOutcome::MayHaveRun(if error.is_parse() {
                MayHaveRunCause::Unreadable
            } else {
                MayHaveRunCause::Cut
            });
        }
        if reused && self.socket.crossed(CROSSED_CLOSE_TIMEOUT).await {
            return AttemptOutcome::NeverRan(NeverRanCause::Crossed);
        }
        AttemptOutcome::MayHaveRun(MayHaveRunCause::Broken { kept: reused })
    }

    /// Whether the connection ended because something came behind the answer that does not belong to it.
    /// Guards against an answer whose stated length is too short: what was read of it is not complete.
    async fn has_excess_bytes(&mut self) -> bool {
        match tokio::time::timeout(TASK_END_TIMEOUT, &mut self.task.0).await {
            Ok(Ok(Err(error))) => {
                let of_the_system = error.source().is_some_and(<dyn std::error::Error>::is::<io::Error>);
                !of_the_system && !error.is_incomplete_message() && !error.is_closed()
            }
            _ => false,
        }
    }
}

fn refused(status: &StatusCode, headers: &HeaderMap) -> Option<AttemptOutcome> {
    let refusal = matches!(*status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE);
    refusal.then(|| AttemptOutcome::Refused { retry_after: read_retry_after(headers) })
}

/// Encodes the request of one attempt, as it is sent.
pub(crate) fn encode(
    call: &CallRequest,
    address: SocketAddr,
    id: HeaderValue,
    left: Duration,
    is_retry: bool,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.path.as_str())
        .header(header::HOST, address.to_string())
        .header(platform::CORRELATION_ID, id)
        .header(platform::CLASS, call.class.clone())
        .header(platform::PLAN, call.plan.clone())
        .header(platform::TIME_LEFT, platform::write_time(left))
        .header(platform::EXTRAS, call.extras.clone());
    if is_retry {
        request = request.header(platform::REPEAT, "1");
    }
    if call.method == Method::PUT && call.body.is_empty() {
        request = request.header(header::CONTENT_LENGTH, "0");
    }
    request.body(Full::new(call.body.clone()))
}

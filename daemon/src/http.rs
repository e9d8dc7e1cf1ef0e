//! The platform's HTTP front: axum, kept thin. A request is decoded once, handed to the core, and answered.

use crate::client_stream::{ClientStream, Incoming, ReadAheadEnd};
use crate::connection_slots::{ConnectionSlot, ConnectionSlots};
use crate::service_state::ServiceState;
use crate::shutdown::{Phase, Shutdown, drain_timeout};
use crate::store::{Call, Content, MAX_BODY, Store};
use crate::telemetry::Telemetry;
use axum::body::{Body, HttpBody, to_bytes};
use axum::extract::{Request, State};
use axum::middleware::map_response_with_state;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Extension, Router};
use bytes::Bytes;
use futures_util::FutureExt;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use pointcross_core::{Answer, Core, NewRequest};
use pointcross_membership::guard::MembershipGuard;
use pointcross_platform_http::platform::{
    CLASS, CORRELATION_ID, EXTRAS, Extras, PLAN, READY_PATH, REPEAT, TIME_LEFT, read_hex, read_time,
};
use pointcross_platform_http::watched::Watched;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::task::TaskTracker;
use tracing::Instrument;

/// A client that asks nothing more for this long loses its connection. Guards against clients that ask once
/// and stay: they hold descriptors on both sides, and others then find none to ask with.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// A new connection has brought its first request whole by then, or is closed.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// A request's body follows its head within this.
const BODY_TIMEOUT: Duration = Duration::from_millis(1000);
/// What is kept of a head that has not ended yet: many times a usual one, and little for hundreds at once.
const MAX_HEAD: usize = 16 * 1024;

/// What every connection of the front shares.
pub struct Front {
    core: Arc<Core>,
    store: Arc<Store>,
    classes: Vec<FrontClass>,
    plans: Vec<String>,
    telemetry: Telemetry,
    shutdown: Shutdown,
    membership_guard: Option<Arc<MembershipGuard>>,
    service: ServiceState,
}

/// A request class as the front knows it.
#[derive(Clone, Debug)]
pub struct FrontClass {
    /// Its name.
    pub name: String,
    /// Whether its requests write.
    pub writes: bool,
}

/// What is wrong with a request.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Malformed {
    /// A header is missing or cannot be read.
    #[error("{0}: missing or not readable")]
    Header(HeaderName),
    /// The path does not name a class, a volume and a piece of data.
    #[error("path: wanted /class/volume/piece, the last two in 16 hex digits")]
    Path,
    /// The settings know no such class, or the path names another.
    #[error("class: unknown, or not the path's")]
    Class,
    /// The settings know no such plan.
    #[error("plan: unknown")]
    Plan,
    /// A read is a GET, a write a PUT.
    #[error("method: not the class's")]
    Method,
    /// A read has a body.
    #[error("body: a read has none")]
    ReadBody,
    /// The body is over 64 KiB.
    #[error("body: over 64 KiB")]
    Large,
    /// The body broke off or did not come in time.
    #[error("body: cut short, or too late")]
    Body,
    /// The body's length is not stated at its start.
    #[error("body: its length must be stated, in Content-Length alone")]
    Length,
    /// The id is that of a request that is still open.
    #[error("{CORRELATION_ID}: that of a request still open")]
    Open,
}

impl Malformed {
    fn status(&self) -> StatusCode {
        match self {
            Malformed::Large => StatusCode::PAYLOAD_TOO_LARGE,
            Malformed::Length => StatusCode::LENGTH_REQUIRED,
            Malformed::Open => StatusCode::CONFLICT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

impl Front {
    /// A front on this core, for these classes and plans by number. It is ready where `membership_guard`, if
    /// there is one, trusts enough nodes.
    #[allow(
        clippy::too_many_arguments,
        reason = "one caller, which names each part; a Params type is in the roadmap"
    )]
    pub fn new(
        core: Arc<Core>,
        store: Arc<Store>,
        classes: Vec<FrontClass>,
        plans: Vec<String>,
        telemetry: Telemetry,
        shutdown: Shutdown,
        membership_guard: Option<Arc<MembershipGuard>>,
        service: ServiceState,
    ) -> Self {
        Front { core, store, classes, plans, telemetry, shutdown, membership_guard, service }
    }

    /// Whether this process takes clients: not stopping, not out of service, a listed node takes work,
    /// and membership, where it is on, trusts enough nodes.
    pub fn is_ready(&self) -> bool {
        let trusted =
            self.membership_guard.as_ref().is_none_or(|guard| guard.membership().is_ready(self.core.now()));
        let running = self.shutdown.phase() == Phase::Running && self.service.is_listening();
        running && !self.service.is_out_of_service() && self.core.can_serve() && trusted
    }

    /// Decodes a request's head; its time runs from `now`.
    fn decode(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        now: Instant,
    ) -> Result<NewRequest, Malformed> {
        // Guards against a request hidden in another's body: where both lengths are stated, hyper goes by the
        // chunks and drops `Content-Length`, so that nothing here could tell. No client needs chunks.
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(Malformed::Length);
        }
        // A header that stands twice says nothing.
        let text = |name: HeaderName| {
            let mut values = headers.get_all(&name).iter();
            let value = values.next().filter(|_| values.next().is_none());
            let value = value.and_then(|value| value.to_str().ok()).map(str::trim);
            value.filter(|value| !value.is_empty()).ok_or(Malformed::Header(name))
        };
        let mut parts = path.strip_prefix('/').ok_or(Malformed::Path)?.split('/');
        let (Some(in_path), Some(volume), Some(piece), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(Malformed::Path);
        };
        let name = text(CLASS)?;
        let class = self.classes.iter().position(|class| class.name == name && name == in_path);
        let class = class.ok_or(Malformed::Class)?;
        let writes = self.classes[class].writes;
        if *method != if writes { Method::PUT } else { Method::GET } {
            return Err(Malformed::Method);
        }
        let plan_name = text(PLAN)?;
        let plan = self.plans.iter().position(|plan| plan == plan_name).ok_or(Malformed::Plan)?;
        let left = read_time(text(TIME_LEFT)?).ok_or(Malformed::Header(TIME_LEFT))?;
        let extras = Extras::read(text(EXTRAS)?).ok_or(Malformed::Header(EXTRAS))?;
        text(CORRELATION_ID)?;
        Ok(NewRequest {
            class: class as u16,
            plan: plan as u16,
            volume: read_hex(volume).ok_or(Malformed::Path)?,
            key: read_hex(piece).ok_or(Malformed::Path)?,
            units: extras.units,
            shard: extras.shard,
            volume_hosts: extras.hosts * self.service.hosts_factor(),
            client_repeat: headers.get(REPEAT).is_some_and(|value| value == "1"),
            writes,
            deadline: now + left,
        })
    }

    async fn answer(&self, slot: &ConnectionSlot, request: Request) -> Result<Answer<Content>, Malformed> {
        let now = Instant::now();
        let (head, body) = request.into_parts();
        let mut new = self.decode(&head.method, head.uri.path(), &head.headers, now)?;
        let body = if new.writes {
            let body = read_body(body, new.deadline.min(now + BODY_TIMEOUT)).await?;
            // A request's time counts from its last byte.
            new.deadline += now.elapsed();
            body
        } else if body.is_end_stream() {
            Bytes::new()
        } else {
            return Err(Malformed::ReadBody);
        };
        // Guards against an answer that the platform's kill cuts off.
        new.deadline = self.shutdown.answer_by().map_or(new.deadline, |by| new.deadline.min(by));
        // Two requests with one id would be taken for one that was sent twice.
        let header = &head.headers[CORRELATION_ID];
        let id = self.store.open(header).ok_or(Malformed::Open)?;
        // Every line that is logged while the request is served carries its id.
        let span = tracing::info_span!("request", id = header.to_str().unwrap_or_default());
        slot.open_request();
        let path = head.uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
        let note = self.telemetry.request("http", &new);
        let call = Call { method: head.method, path, id, body, note };
        let served = async {
            let answer = self.core.serve(&*self.store, &call, new).await;
            tracing::debug!(outcome = answer.name(), "request answered");
            answer
        };
        let answer = served.instrument(span).await;
        call.note.answered(&answer);
        Ok(answer)
    }

    /// Whether answers close their connections.
    fn closes(&self) -> bool {
        self.shutdown.phase() >= Phase::Draining || self.service.connections_may_close()
    }
}

/// Reads a body until it is whole. What is too long is known by its stated length and not read at all.
async fn read_body(body: Body, until: Instant) -> Result<Bytes, Malformed> {
    if body.size_hint().lower() > MAX_BODY as u64 {
        return Err(Malformed::Large);
    }
    // Guards against a client that stops in the middle of its body and keeps its connection for ever.
    let body = tokio::time::timeout_at(until, to_bytes(body, MAX_BODY)).await;
    body.ok().and_then(Result::ok).ok_or(Malformed::Body)
}

async fn is_ready(State(front): State<Arc<Front>>) -> StatusCode {
    if front.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

async fn serve_request(
    State(front): State<Arc<Front>>,
    Extension(slot): Extension<Arc<ConnectionSlot>>,
    request: Request,
) -> Response {
    let answered = front.answer(&slot, request).await;
    if answered.is_ok() {
        slot.close_request();
    }
    match answered {
        Ok(Answer::Served(content)) => Body::new(content).into_response(),
        Ok(Answer::Refused { retry_after }) => {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            (StatusCode::TOO_MANY_REQUESTS, [(header::RETRY_AFTER, seconds)]).into_response()
        }
        Ok(Answer::Failed) => StatusCode::BAD_GATEWAY.into_response(),
        // What follows a request that cannot be used cannot be trusted to be one.
        Err(malformed) => {
            let close = [(header::CONNECTION, "close")];
            (malformed.status(), close, malformed.to_string()).into_response()
        }
    }
}

/// Guards against answers that leave their connection open while stopping: `/-/ready`'s did.
async fn close_when_draining(State(front): State<Arc<Front>>, mut response: Response) -> Response {
    if front.closes() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// The front's routes.
fn router(front: Arc<Front>) -> Router {
    let routes = Router::new().route(READY_PATH, get(is_ready)).fallback(serve_request);
    routes.layer(map_response_with_state(front.clone(), close_when_draining)).with_state(front)
}

/// Accepts connections until the stop is far enough, then ends when every connection has.
pub async fn accept(listener: TcpListener, front: Arc<Front>, max_connections: usize) {
    let slots = ConnectionSlots::new(max_connections);
    let tracker = TaskTracker::new();
    let shutdown = front.shutdown.clone();
    let routes = router(front.clone());
    let serve = |stream, slot| {
        let (shutdown, service) = (shutdown.clone(), front.service.clone());
        tracker.spawn(connection(stream, slot, routes.clone(), shutdown, service));
    };
    // An accepted connection that has no slot yet.
    let mut waiting = None;
    let accepting = async {
        loop {
            if waiting.is_none() {
                match listener.accept().await {
                    Ok((stream, _)) => waiting = Some(stream),
                    Err(error) => {
                        // Out of descriptors, or a connection that died in the queue.
                        tracing::warn!(%error, "accept failed");
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                }
                continue;
            }
            slots.wait_for_slot().await;
            if let Some(stream) = waiting.take() {
                serve(stream, slots.acquire());
            }
        }
    };
    tokio::select! {
        () = accepting => {}
        () = shutdown.reached(Phase::NotAccepting) => {}
    }
    // Guards against resetting the clients that the system accepted and this loop did not come to yet.
    // The runtime hears from the listener once more, so that all that the system accepted by now is seen.
    tokio::task::yield_now().await;
    while let Some(stream) = waiting.take().or_else(|| queued(&listener)) {
        tokio::select! {
            () = slots.wait_for_slot() => serve(stream, slots.acquire()),
            () = shutdown.reached(Phase::Draining) => break,
        }
    }
    drop(listener);
    tracker.close();
    tokio::select! {
        () = tracker.wait() => return,
        () = shutdown.reached(Phase::Draining) => {}
    }
    // Requests that were taken end by their deadlines; a client that is still sending then has lost nothing.
    let timeout = drain_timeout(front.core.settings());
    let _ = tokio::time::timeout(timeout, tracker.wait()).await;
}

/// The next connection that waits in the listener's queue, where one does.
fn queued(listener: &TcpListener) -> Option<TcpStream> {
    let (stream, _) = listener.accept().now_or_never()?.ok()?;
    Some(stream)
}

async fn connection(
    stream: TcpStream,
    slot: ConnectionSlot,
    routes: Router,
    shutdown: Shutdown,
    service: ServiceState,
) {
    let _ = stream.set_nodelay(true);
    let slot = Arc::new(slot);
    let (stream, incoming) = ClientStream::new(stream, slot.clone());
    match serve_connection(stream, &incoming, &slot, routes, shutdown, service).await {
        // This side's sending has ended with what hyper held. The client reads the last answer, then ends
        // too.
        Close::AfterLastAnswer => incoming.wait_for_close().await,
        // A request that crosses this close stays unread, so that the system resets the connection: to the
        // client that is the proof that it never ran.
        Close::Idle => {}
        Close::Immediate => incoming.drain(),
        Close::Disconnected => {}
    }
}

/// How a connection is to be closed.
enum Close {
    /// Its last answer may still be on its way.
    AfterLastAnswer,
    /// It stood idle as it was told to end, or for too long: whatever it was asked before has been answered.
    Idle,
    /// Nothing was under way on it, and its place is needed or it never asked.
    Immediate,
    /// Its client has left.
    Disconnected,
}

/// How to close a connection that hyper has ended. `was_idle`: it was told to end, and answered nothing since.
fn end_of_serving(ended: hyper::Result<()>, was_idle: bool) -> Close {
    let Err(error) = ended else {
        return if was_idle { Close::Idle } else { Close::AfterLastAnswer };
    };
    tracing::debug!(%error, "client connection failed");
    match error {
        error if error.is_incomplete_message() => Close::Disconnected,
        // No whole head for [`IDLE_TIMEOUT`].
        error if error.is_timeout() => Close::Idle,
        _ => Close::AfterLastAnswer,
    }
}

async fn serve_connection(
    stream: ClientStream,
    incoming: &Incoming,
    slot: &Arc<ConnectionSlot>,
    routes: Router,
    shutdown: Shutdown,
    service: ServiceState,
) -> Close {
    let (stream, wire) = Watched::new(TokioIo::new(stream));
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT).max_buf_size(MAX_HEAD);
    let http_service = TowerToHyperService::new(routes.layer(Extension(slot.clone())));
    let serving = server.serve_connection(stream, http_service);
    // Guards against clients that say nothing, or never end what they say, and hold their connections.
    let first = tokio::time::sleep(FIRST_REQUEST_TIMEOUT);
    tokio::pin!(serving, first);
    let (mut came, mut stopping) = (false, false);
    // The writes made as the connection was told to end, where it was told so from outside.
    let mut writes_at_stop = None;
    loop {
        // The connection itself comes first: what has been read by now counts.
        tokio::select! {
            biased;
            ended = &mut serving => {
                let was_idle = writes_at_stop == Some(wire.writes());
                return end_of_serving(ended, was_idle);
            }
            // Guards against work for a client that has left: hyper does not see it behind bytes it cannot
            // use yet.
            end = incoming.read_ahead() => match end {
                ReadAheadEnd::Disconnected => return Close::Disconnected,
                ReadAheadEnd::Overrun => {
                    tracing::debug!("read-ahead limit exceeded");
                    stopping = true;
                    serving.as_mut().graceful_shutdown();
                }
            },
            () = &mut first, if !came => {
                came = true;
                if slot.never_had_request() && !wire.unfinished() {
                    return Close::Immediate;
                }
            }
            () = slot.wait_for_eviction(|| !wire.unfinished()) => return Close::Immediate,
            () = shutdown.reached(Phase::Draining), if !stopping => {
                // Idle connections close now, the others with their answer.
                stopping = true;
                writes_at_stop = Some(wire.writes());
                serving.as_mut().graceful_shutdown();
            }
            // Guards against clients kept on a scheduler that the staff sent them away from: the same close
            // as at a stop, but the program goes on and takes new connections again after the call back.
            () = service.wait_until_connections_may_close(), if !stopping => {
                stopping = true;
                writes_at_stop = Some(wire.writes());
                serving.as_mut().graceful_shutdown();
            }
        }
    }
}

//! The storage nodes' side: one attempt is one HTTP request to one node.

use crate::pool::{ConnectError, NodeConnection, Pool};
use crate::telemetry::RequestNote;
use bytes::{Bytes, BytesMut};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use pointcross_core::{Attempt, End, Ended, Report, Transport};
use pointcross_platform_http::platform::{CORRELATION_ID, TIME_LEFT, UNPROCESSED, write_time};
use std::collections::HashSet;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// A request's body holds at most this much.
pub const MAX_BODY: usize = 64 * 1024;
/// An answer's body holds at most this much: nodes send several hundred KiB, beyond what the protocol's text
/// says of bodies, and some claim gigabytes.
const MAX_ANSWER: usize = 2 << 20;
/// A body is passed on in pieces of this size, so that what is buffered of it twice stays small.
const PIECE: usize = 64 * 1024;
/// An answer that has begun goes on within the tightest aim, and within this: longer than a node stands still
/// for, and short enough to ask again in time.
const MAX_PAUSE: Duration = Duration::from_millis(300);
const ELSEWHERE: HeaderName = HeaderName::from_static("other-hosts");
const LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// A request as a node gets it.
pub struct Call {
    /// GET or PUT.
    pub method: Method,
    /// As the client wrote it.
    pub path: PathAndQuery,
    /// As the client wrote it.
    pub id: OpenId,
    /// Empty for a read.
    pub body: Bytes,
    /// The operator's note of the request, which notes its attempts.
    pub note: RequestNote,
}

/// The id of an open request; free again when it is dropped.
pub struct OpenId {
    id: HeaderValue,
    open: Arc<Mutex<HashSet<HeaderValue>>>,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}

/// The client for all nodes.
pub struct Store {
    pool: Arc<Pool>,
    report_names: Vec<String>,
    /// How long an answer that has begun may stand still.
    pause: Duration,
    /// Memory for answers, in bytes.
    memory: Arc<Semaphore>,
    open: Arc<Mutex<HashSet<HeaderValue>>>,
}

/// What the client for the nodes goes by.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Connections at the most, in use or idle.
    pub connections: usize,
    /// Bytes of answers that are held at once.
    pub answer_bytes: usize,
    /// How long a connection may take to come up, in milliseconds; 0 for no bound.
    pub connect_time: f64,
    /// After how long a node closes an idle connection, in milliseconds; 0 for never.
    pub keepalive: f64,
    /// The classes' aims, in milliseconds.
    pub aims: Vec<f64>,
    /// The names in a load report, in their order.
    pub report_names: Vec<String>,
}

impl Store {
    /// A client within these limits; it holds no connection yet.
    pub fn new(settings: StoreSettings) -> Self {
        let time = |ms: f64| if ms > 0.0 { millis(ms) } else { Duration::MAX };
        // A node closes idle connections at its keepalive; what is written to one from then on is lost.
        let keep = time(settings.keepalive * 0.8);
        Store {
            pool: Pool::new(settings.connections, time(settings.connect_time), keep),
            pause: settings.aims.iter().map(|&aim| millis(aim)).fold(MAX_PAUSE, Duration::min),
            memory: Arc::new(Semaphore::new(settings.answer_bytes)),
            report_names: settings.report_names,
            open: Arc::default(),
        }
    }

    /// Opens a request under this id, whichever front it came by; `None` while another has it. Guards against
    /// a node that gets one id twice: the second would be a copy of a request that is still out.
    pub fn open(&self, id: &HeaderValue) -> Option<OpenId> {
        let opened = self.open.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
        opened.then(|| OpenId { id: id.clone(), open: self.open.clone() })
    }

    fn report(&self, headers: &HeaderMap) -> Report {
        let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
        Report {
            elsewhere: text(ELSEWHERE).and_then(read_figure).unwrap_or(0.0),
            load: text(LOAD).and_then(|load| read_load(load, &self.report_names)).unwrap_or_default(),
        }
    }
}

fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or(Duration::MAX)
}

/// Reads a figure that counts something; what is none tells nothing.
fn read_figure(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|figure: &f64| figure.is_finite() && *figure >= 0.0)
}

/// Reads `TEXT inflight=7, queue=2` into the values of these names, in their order.
fn read_load(text: &str, names: &[String]) -> Option<Vec<f32>> {
    let fields = text.trim().strip_prefix("TEXT")?;
    let value = |name: &String| {
        fields
            .split(',')
            .filter_map(|field| field.split_once('='))
            .find_map(|(key, value)| (key.trim() == name).then(|| read_figure(value)).flatten())
            .map(|figure| figure as f32)
    };
    names.iter().map(value).collect()
}

impl Transport for Store {
    type Call = Call;
    type Answer = Content;

    async fn attempt(&self, attempt: Attempt, call: &Call) -> Ended<Content> {
        let note = call.note.attempt(&attempt);
        let ended = self.carry(attempt, call).await;
        note.ended(&ended.end);
        ended
    }
}

impl Store {
    async fn carry(&self, mut attempt: Attempt, call: &Call) -> Ended<Content> {
        let handed = Instant::now();
        let mut connection =
            match self.pool.connection(attempt.target.address, call.method == Method::GET).await {
                Ok(connection) => connection,
                Err(ConnectError::NoDescriptor) => return End::NotSent.into(),
                Err(ConnectError::Unreachable) => return End::NoConnection.into(),
            };
        // Between the decision and this connection the node may have been told to drain, or a repeat's time
        // be over.
        if !attempt.gate.is_open() {
            self.pool.release(connection);
            return End::NotSent.into();
        }
        attempt.time_left = attempt.time_left.saturating_sub(handed.elapsed());
        let (request, informed) = request(&attempt, call);
        connection.wire.clear_received();
        let response = tokio::select! {
            biased;
            response = connection.sender.send_request(request) => response,
            // Guards against a head that begins and never ends: the node has run the request, and what it
            // sends is of no use.
            () = answer_head_timeout(&connection, &informed, self.pause) => return End::Reset.into(),
        };
        let response = match response {
            Ok(response) => response,
            Err(error) => {
                tracing::debug!(%error, node = attempt.target.name, "attempt failed");
                // What hyper gives up unsent, or breaks off before its last byte, never ran.
                let never = error.is_canceled() || connection.wire.unfinished();
                if !never {
                    self.pool.record(&connection, true);
                }
                return if never { End::NoConnection } else { End::Reset }.into();
            }
        };
        self.pool.record(&connection, false);
        let (head, body) = response.into_parts();
        let report = self.report(&head.headers);
        let never_ran = head.headers.get(UNPROCESSED).is_some_and(|value| value == "1");
        let body = self.read_answer(body).await;
        if body.is_some() {
            self.pool.release(connection);
        }
        let end = match (body, head.status) {
            // The answer's head already proves it, whatever became of the body.
            (_, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT) if never_ran => End::Rejected,
            (Some(body), StatusCode::OK) => End::Served(body),
            (None, _) => End::Reset,
            _ => End::Error,
        };
        Ended { end, report }
    }

    /// An answer's body, where it is one: short enough, as long as it says, and never at a stand. Its memory
    /// is taken from what all answers share, and given back with the last of it.
    async fn read_answer(&self, mut body: Incoming) -> Option<Content> {
        let stated = usize::try_from(body.size_hint().lower()).ok()?;
        if stated > MAX_ANSWER {
            return None;
        }
        let mut memory = self.take_memory(stated.max(PIECE)).await?;
        let mut bytes = BytesMut::with_capacity(stated);
        while let Some(frame) = tokio::time::timeout(self.pause, body.frame()).await.ok()? {
            let Ok(data) = frame.ok()?.into_data() else { continue };
            if bytes.len() + data.len() > MAX_ANSWER {
                return None;
            }
            if bytes.len() + data.len() > memory.num_permits() {
                memory.merge(self.take_memory(data.len().max(PIECE)).await?);
            }
            bytes.extend_from_slice(&data);
        }
        Some(Content { bytes: bytes.freeze(), _memory: memory })
    }

    async fn take_memory(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        // The semaphore is never closed; the request's deadline bounds the wait.
        self.memory.clone().acquire_many_owned(u32::try_from(bytes).ok()?).await.ok()
    }
}

/// What a node sent, with the memory it takes.
#[derive(Debug)]
pub struct Content {
    /// The bytes, unchanged.
    pub bytes: Bytes,
    _memory: OwnedSemaphorePermit,
}

impl Body for Content {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.bytes.len().min(PIECE);
        Poll::Ready((piece > 0).then(|| Ok(Frame::data(self.bytes.split_to(piece)))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

/// The request of an attempt, and whether a 1xx answer has come in front of its own.
fn request(attempt: &Attempt, call: &Call) -> (http::Request<Full<Bytes>>, Arc<AtomicBool>) {
    let mut request = http::Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = http::Uri::from(call.path.clone());
    let headers = request.headers_mut();
    let digits = |text: String| HeaderValue::try_from(text).expect("digits and marks");
    headers.insert(header::HOST, digits(attempt.target.address.to_string()));
    headers.insert(CORRELATION_ID, call.id.id.clone());
    headers.insert(TIME_LEFT, write_time(attempt.time_left));
    if call.method == Method::PUT && call.body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
    }
    let informed = Arc::new(AtomicBool::new(false));
    let noted = informed.clone();
    hyper::ext::on_informational(&mut request, move |_| noted.store(true, Ordering::Relaxed));
    (request, informed)
}

/// Ends when an answer began and its head was incomplete after `pause`; a 1xx answer in front does not count
/// as its begin.
async fn answer_head_timeout(connection: &NodeConnection, informed: &AtomicBool, pause: Duration) {
    loop {
        connection.wire.received().await;
        tokio::time::sleep(pause).await;
        if !informed.swap(false, Ordering::Relaxed) {
            return;
        }
    }
}

//! The storage nodes' side: one attempt is one HTTP request to one node.

use crate::config::Config;
use crate::telemetry::RequestNote;
use crate::written::{Connector, broke_off};
use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use pointcross_core::{Attempt, End, Ended, Report, Transport};
use std::collections::HashSet;
use std::error::Error;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;

/// A body holds at most this much.
pub const MOST_BODY: usize = 64 * 1024;
/// A request's id, from its client to its node.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// How long the sender will wait.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
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
    client: Client<Connector, Full<Bytes>>,
    room: Semaphore,
    report_names: Vec<String>,
    open: Arc<Mutex<HashSet<HeaderValue>>>,
}

impl Store {
    /// A client within the configuration's limits; it holds no connection yet.
    pub fn new(config: &Config) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let connect_time = config.parsed.decide.connect_time;
        connector.set_connect_timeout((connect_time > 0.0).then(|| millis(connect_time)));
        let mut builder = Client::builder(TokioExecutor::new());
        // A resend by the library would be an attempt that nobody decided on, and a write could run twice.
        builder.retry_canceled_requests(false);
        // A node closes idle connections at its keepalive; what is written to one from then on is lost.
        let idle = (config.parsed.keepalive > 0.0).then(|| millis(config.parsed.keepalive * 0.8));
        builder.pool_timer(TokioTimer::new()).pool_idle_timeout(idle);
        builder.pool_max_idle_per_host(config.budget.idle_per_node);
        Store {
            client: builder.build(Connector(connector)),
            room: Semaphore::new(config.budget.attempts),
            report_names: config.parsed.decide.report_names.clone(),
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
            elsewhere: text(ELSEWHERE).and_then(|units| units.trim().parse().ok()).unwrap_or(0.0),
            load: text(LOAD).and_then(|load| read_load(load, &self.report_names)).unwrap_or_default(),
        }
    }
}

fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or(Duration::MAX)
}

/// Reads `TEXT inflight=7, queue=2` into the values of these names, in their order.
fn read_load(text: &str, names: &[String]) -> Option<Vec<f32>> {
    let fields = text.trim().strip_prefix("TEXT")?;
    let value = |name: &String| {
        fields
            .split(',')
            .filter_map(|field| field.split_once('='))
            .find_map(|(key, value)| (key.trim() == name).then(|| value.trim().parse().ok()).flatten())
    };
    names.iter().map(value).collect()
}

/// Whether a request failed before its last byte was written: no connection came up, the library gave it up
/// unsent, or its connection broke on the way.
fn never_written(error: &hyper_util::client::legacy::Error, connection: &CaptureConnection) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref::<hyper::Error>());
    error.is_connect() || cause.is_some_and(hyper::Error::is_canceled) || broke_off(connection)
}

impl Transport for Store {
    type Call = Call;
    type Answer = Bytes;

    async fn attempt(&self, attempt: Attempt, call: &Call) -> Ended<Bytes> {
        let note = call.note.attempt(&attempt);
        let ended = self.carry(attempt, call).await;
        note.ended(&ended.end);
        ended
    }
}

impl Store {
    async fn carry(&self, attempt: Attempt, call: &Call) -> Ended<Bytes> {
        let Ok(_room) = self.room.try_acquire() else {
            tracing::warn!("no room for another attempt");
            return End::NotSent.into();
        };
        let uri = http::Uri::builder()
            .scheme("http")
            .authority(attempt.target.address.to_string())
            .path_and_query(call.path.clone())
            .build()
            .expect("an address and a path make a URI");
        let mut request = http::Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = uri;
        let headers = request.headers_mut();
        headers.insert(CORRELATION_ID, call.id.id.clone());
        let left = format!("{}u", attempt.time_left.as_micros());
        headers.insert(TIME_LEFT, HeaderValue::try_from(left).expect("digits and a letter"));
        if call.method == Method::PUT && call.body.is_empty() {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
        }
        let connection = capture_connection(&mut request);
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) => {
                tracing::debug!(%error, cause = ?error.source(), node = attempt.target.name, "attempt");
                return if never_written(&error, &connection) { End::NoConnection } else { End::Reset }
                    .into();
            }
        };
        let (head, body) = response.into_parts();
        let report = self.report(&head.headers);
        let never_ran = head.headers.get(UNPROCESSED).is_some_and(|value| value == "1");
        let end = match (Limited::new(body, MOST_BODY).collect().await, head.status) {
            // The answer's head already proves it, whatever became of the body.
            (_, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT) if never_ran => {
                End::TurnedAway
            }
            (Ok(body), StatusCode::OK) => End::Served(body.to_bytes()),
            (Err(error), _) if !error.is::<LengthLimitError>() => End::Reset,
            _ => End::Error,
        };
        Ended { end, report }
    }
}

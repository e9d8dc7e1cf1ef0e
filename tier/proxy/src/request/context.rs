//! A client's request, read and routed: what its headers say, its deadline and its rank.
//!
//! Guarantees a bound on the body and on the time to read it, and that hop-by-hop headers and those that the
//! proxy sets anew are never forwarded. A malformed optional header counts as absent.

use crate::answer::{self, Answer};
use crate::proxy::Proxy;
use crate::upstream::strip_connection_headers;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use pointcross_tier_protocol::configuration::RouteType;
use pointcross_tier_protocol::headers;
use pointcross_tier_routing::{
    PromptParts, RequestTime, RouteTable, RoutedRequest, object_key, parse_prefix, priority,
};
use pointcross_tier_runtime::random;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// When a client may retry while no configuration is known yet, in milliseconds.
const NO_CONFIGURATION_RETRY_AFTER_MS: f64 = 200.0;
/// How long a request waits for the first configuration of a proxy that has just started: a refusal would
/// cost one of the client's few attempts.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(400);
/// Queued requests are ranked by their arrival in milliseconds; a step of priority counts as so many of them.
const PRIORITY_STEP_MS: u64 = 2000;
/// The time until a program should finish counts by one part in so many in the rank.
const FINISH_DIVISOR: u64 = 4;
/// The longest time until a program should finish that makes a difference, in milliseconds.
const MAX_FINISH_MS: u64 = 20_000;

/// A request whose body was read.
pub struct RequestContext {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Its body; later with the chain before it.
    pub body: Bytes,
    /// The route and the service that it goes to.
    pub routed: RoutedRequest,
    /// The routes that were active when it arrived.
    pub route_table: Rc<RouteTable>,
    /// The attempt's id.
    pub attempt: Option<HeaderValue>,
    /// When it has to be answered.
    pub deadline: Instant,
    /// Its prompt, where a server generates tokens.
    pub prompt: Option<PromptParts>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The maximum of tokens that are generated.
    pub max_tokens: u64,
    /// The program that it belongs to.
    pub program: Option<String>,
    /// The program's budget in tokens.
    pub budget: Option<u64>,
    /// The turn that it continues from.
    pub previous: Option<String>,
    /// The last event that the client has received.
    pub last_event: Option<String>,
    /// The hash of the object that it concerns, on routes whose servers are faster on objects they have seen.
    pub object: Option<u64>,
    /// When its program should finish.
    pub finish: Option<Instant>,
    /// Its rank in the queue; lower ones are served first.
    pub rank: u64,
}

/// What the optional headers say about a request.
struct RequestMetadata {
    prompt: Option<PromptParts>,
    prompt_tokens: u64,
    max_tokens: u64,
    program: Option<String>,
    budget: Option<u64>,
    previous: Option<String>,
    last_event: Option<String>,
    finish: Option<Instant>,
    affinity_key: Option<u64>,
}

impl RequestMetadata {
    fn parse(headers: &HeaderMap, started: Instant) -> Self {
        let owned = |name| text(headers, name).map(str::to_owned);
        let usage = text(headers, headers::TOKEN_USAGE).and_then(|usage| usage.split_once(','));
        let finish_ms = number::<f64>(headers, headers::FINISH_MS).filter(|ms| ms.is_finite());
        let finish = finish_ms
            .map(|ms| started + Duration::from_secs_f64(ms.clamp(0.0, MAX_FINISH_MS as f64) / 1000.0));
        RequestMetadata {
            prompt: text(headers, headers::PROMPT_PREFIX).map(parse_prefix),
            prompt_tokens: usage.and_then(|(prompt, _)| prompt.trim().parse().ok()).unwrap_or(0),
            max_tokens: usage.and_then(|(_, max_tokens)| max_tokens.trim().parse().ok()).unwrap_or(0),
            program: owned(headers::PROGRAM),
            budget: number(headers, headers::BUDGET),
            previous: owned(headers::PREVIOUS),
            last_event: owned(headers::LAST_EVENT_ID),
            finish,
            affinity_key: text(headers, headers::AFFINITY_KEY).map(object_key),
        }
    }
}

impl RequestContext {
    /// Reads and routes a request.
    ///
    /// # Errors
    ///
    /// The answer for the client where no configuration is known, no route matches, or the body can't be
    /// read.
    pub async fn read(proxy: &Rc<Proxy>, request: Request<Incoming>) -> Result<Self, Answer> {
        let started = Instant::now();
        let Some(route_table) = proxy.wait_for_route_table(started + CONFIGURATION_TIMEOUT).await else {
            return Err(answer::refusal("no configuration is known yet", NO_CONFIGURATION_RETRY_AFTER_MS));
        };
        let (head, body) = request.into_parts();
        let target = head.uri.path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string);
        let host = text(&head.headers, "host").or_else(|| head.uri.host()).unwrap_or_default();
        let Some(routed) = route_table.route(host, head.uri.path(), random::number()) else {
            return Err(answer::failure(StatusCode::NOT_FOUND, "no route begins this path at this host"));
        };
        let deadline = started + allowed_time(&head.headers, routed.route.timeout_ms);
        let body = read_body(body, route_table.limits().max_body_bytes, deadline).await?;
        let rank = rank(proxy, &head.headers, routed.route.priority);
        let metadata = RequestMetadata::parse(&head.headers, started);
        Ok(RequestContext {
            method: head.method,
            target,
            attempt: head.headers.get(headers::ATTEMPT_ID).cloned(),
            headers: forwarded_headers(head.headers),
            body,
            object: metadata.affinity_key.filter(|_| routed.route.sticky),
            routed,
            route_table,
            deadline,
            prompt: metadata.prompt,
            prompt_tokens: metadata.prompt_tokens,
            max_tokens: metadata.max_tokens,
            program: metadata.program,
            budget: metadata.budget,
            previous: metadata.previous,
            last_event: metadata.last_event,
            finish: metadata.finish,
            rank,
        })
    }

    /// The attempt's id as text.
    pub fn attempt_text(&self) -> Option<String> {
        self.attempt.as_ref().and_then(|attempt| attempt.to_str().ok()).map(str::to_owned)
    }

    /// Milliseconds until the deadline.
    pub fn remaining_ms(&self) -> f64 {
        self.deadline.saturating_duration_since(Instant::now()).as_secs_f64() * 1000.0
    }

    /// The priority that an engine is given for it now.
    pub fn priority(&self) -> u8 {
        let now = Instant::now();
        let program_left =
            self.finish.map(|finish| finish.saturating_duration_since(now).as_secs_f64() * 1000.0);
        let timeout = self.routed.route.timeout_ms;
        priority(RequestTime { left: self.remaining_ms(), timeout, program_left })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.routed.route.route_type == RouteType::Streaming
    }

    /// Whether another server may run it after one may have run it: on idempotent routes, and on streams that
    /// a server can resume and whose turns are not retained.
    pub fn is_retry_safe(&self) -> bool {
        let route = &self.routed.route;
        route.is_idempotent() || (self.is_stream() && route.resumable && !route.retained)
    }

    /// Units of work: tokens where a server generates them, else one.
    pub fn units(&self) -> f64 {
        match self.route_table.engine(&self.routed.service) {
            Some(_) => ((self.prompt_tokens + self.max_tokens) as f64).max(1.0),
            None => 1.0,
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.parse().ok()
}

/// The time that the client allows, at most the route's timeout in milliseconds.
fn allowed_time(headers: &HeaderMap, timeout_ms: f64) -> Duration {
    let wanted_ms = number::<f64>(headers, headers::DEADLINE).filter(|ms| ms.is_finite() && *ms >= 0.0);
    Duration::from_secs_f64(wanted_ms.unwrap_or(timeout_ms).min(timeout_ms) / 1000.0)
}

/// Drops the headers that concern one hop, and those that are set anew for each attempt.
fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_connection_headers(&mut headers);
    headers.remove(headers::EXPECTED_INSTANCE);
    headers.remove(headers::DEADLINE);
    headers.remove(header::EXPECT);
    headers
}

fn rank(proxy: &Proxy, headers: &HeaderMap, priority: u8) -> u64 {
    let finish = number::<f64>(headers, headers::FINISH_MS).map_or(MAX_FINISH_MS, |ms| ms.max(0.0) as u64);
    let finish = finish.min(MAX_FINISH_MS) / FINISH_DIVISOR;
    proxy.now_ms() as u64 + u64::from(priority) * PRIORITY_STEP_MS + finish
}

async fn read_body(body: Incoming, max_bytes: usize, deadline: Instant) -> Result<Bytes, Answer> {
    let collecting = tokio::time::timeout_at(deadline, Limited::new(body, max_bytes).collect());
    match collecting.await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(answer::failure(StatusCode::PAYLOAD_TOO_LARGE, "the body is over MaxBodyBytes"))
        }
        Ok(Err(_)) => Err(answer::failure(StatusCode::BAD_REQUEST, "the body can't be read")),
        Err(_) => Err(answer::failure(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
    }
}

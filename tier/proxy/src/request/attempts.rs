//! The attempts of one request at servers, one after the other, until one answers.
//!
//! Guarantees that after an attempt that may have run the request, another server gets it only where
//! [`RequestContext::is_retry_safe`] allows that, and that such a request is never answered with a promise
//! that it has not run. Requests are never sent to two servers at once.

use super::context::RequestContext;
use super::exchange::{self, ReceivedHead};
use super::in_flight::InFlightAttempt;
use super::response::{HeadVerdict, load_report};
use super::selection::{self, ChosenServer};
use crate::answer::{self, Answer};
use crate::proxy::Proxy;
use crate::upstream::{AttemptError, Connection, ResponseHead};
use http::StatusCode;
use pointcross_tier_routing::{AnswerBegin, AttemptEnd};
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use std::rc::Rc;
use tokio::time::Instant;

/// Part of the remaining time after which a retryable request is sent to another server, in hundredths.
const ATTEMPT_TIME_PERCENT: u32 = 45;
/// When a client may retry after no server had capacity, in milliseconds.
const NO_CAPACITY_RETRY_AFTER_MS: f64 = 80.0;
/// Attempts that may end without a server having received the complete request. They don't count as the
/// route's attempts.
const MAX_UNSENT: usize = 6;

/// A response whose head was received, with the attempt that it answers.
pub struct ServerResponse {
    /// The connection that its body is read from.
    pub connection: Connection,
    /// The attempt that it answers.
    pub attempt: InFlightAttempt,
    /// Its head.
    pub head: ResponseHead,
}

/// What became of a request.
pub enum RequestOutcome {
    /// This is its answer.
    Complete(Answer),
    /// A server answers it with a stream of events, which has begun.
    Stream(Box<ServerResponse>),
    /// It may have run, and has no answer; the status says why.
    Failed(StatusCode),
}

/// What became of one attempt.
enum AttemptOutcome {
    /// The request's outcome is known.
    Answered(RequestOutcome),
    /// The server certainly has not run the request: another one may be tried.
    NotRun,
    /// The server may have run the request.
    MayHaveRun,
}

/// The attempts of one request.
pub struct Attempts {
    /// The proxy.
    pub proxy: Rc<Proxy>,
    /// The request.
    pub context: Rc<RequestContext>,
    /// Ids of the instances that were tried; none is tried twice.
    tried: Vec<String>,
    /// Attempts that may have reached a server in full; the route limits them.
    sent: u32,
    /// Attempts that certainly have not; [`MAX_UNSENT`] limits them.
    unsent: usize,
}

impl Attempts {
    /// No attempts yet.
    pub fn new(proxy: &Rc<Proxy>, context: &Rc<RequestContext>) -> Self {
        Attempts { proxy: proxy.clone(), context: context.clone(), tried: Vec::new(), sent: 0, unsent: 0 }
    }

    /// Chooses a server for the next attempt.
    ///
    /// # Errors
    ///
    /// The refusal for the client where no server can be chosen in time.
    pub async fn choose_server(&self) -> Result<ChosenServer, Answer> {
        selection::choose(&self.proxy, &self.context, &self.tried).await
    }

    fn may_retry(&self) -> bool {
        self.sent < self.context.routed.route.max_attempts
            && self.unsent < MAX_UNSENT
            && Instant::now() < self.context.deadline
    }

    /// Tries servers until one answers, beginning with the one that was chosen already.
    pub async fn run(&mut self, mut first_choice: Option<ChosenServer>) -> RequestOutcome {
        let mut may_have_run = false;
        while self.may_retry() {
            let server = match first_choice.take() {
                Some(server) => server,
                None => match self.choose_server().await {
                    Ok(server) => server,
                    Err(_) if may_have_run => return RequestOutcome::Failed(StatusCode::BAD_GATEWAY),
                    Err(refusal) => return RequestOutcome::Complete(refusal),
                },
            };
            match self.attempt(&server, None).await {
                AttemptOutcome::Answered(outcome) => return outcome,
                AttemptOutcome::NotRun => {}
                AttemptOutcome::MayHaveRun
                    if self.context.is_retry_safe() || is_injected(InjectedFault::RunAgain) =>
                {
                    may_have_run = true;
                }
                AttemptOutcome::MayHaveRun => return RequestOutcome::Failed(self.failure_status()),
            }
        }
        match may_have_run {
            true => RequestOutcome::Failed(self.failure_status()),
            false => {
                RequestOutcome::Complete(answer::refusal("no server took it", NO_CAPACITY_RETRY_AFTER_MS))
            }
        }
    }

    fn failure_status(&self) -> StatusCode {
        let is_late = Instant::now() >= self.context.deadline;
        if is_late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY }
    }

    /// Continues a stream at another server, behind the last event that was forwarded.
    pub async fn resume(&mut self, last_event: Option<&str>) -> Option<ServerResponse> {
        while self.may_retry() {
            let server = self.choose_server().await.ok()?;
            match self.attempt(&server, last_event).await {
                AttemptOutcome::Answered(RequestOutcome::Stream(response)) => return Some(*response),
                AttemptOutcome::Answered(_) => return None,
                AttemptOutcome::NotRun | AttemptOutcome::MayHaveRun => {}
            }
        }
        None
    }

    async fn attempt(&mut self, server: &ChosenServer, last_event: Option<&str>) -> AttemptOutcome {
        let attempt = self.start_attempt(server);
        let deadline = self.attempt_deadline();
        let exchange = exchange::exchange(&self.proxy, &self.context, &server.instance, last_event);
        let ReceivedHead { connection, head } = match tokio::time::timeout_at(deadline, exchange).await {
            Ok(Ok(received)) => received,
            Ok(Err(error)) => return self.fail_attempt(attempt, error),
            Err(_) => return self.fail_attempt(attempt, AttemptError::Broken),
        };
        self.sent += 1;
        self.evaluate(ServerResponse { connection, attempt, head }, deadline).await
    }

    /// Counts an attempt at its server before it is sent.
    fn start_attempt(&mut self, server: &ChosenServer) -> InFlightAttempt {
        let (proxy, context) = (self.proxy.clone(), &self.context);
        let id = &server.instance.id;
        self.tried.push(id.clone());
        let units = context.units();
        proxy.servers.borrow_mut().sent(proxy.now_ms(), id, units, context.prompt.as_ref());
        InFlightAttempt::new(proxy, id.clone(), units, server.expected_ms)
    }

    /// Ends an attempt without a response, by what its error proves.
    fn fail_attempt(&mut self, attempt: InFlightAttempt, error: AttemptError) -> AttemptOutcome {
        match error {
            AttemptError::NoConnection => {
                self.unsent += 1;
                attempt.end(AttemptEnd::NoConnection);
                AttemptOutcome::NotRun
            }
            AttemptError::NotSent => {
                self.unsent += 1;
                attempt.end(AttemptEnd::Failed);
                AttemptOutcome::NotRun
            }
            AttemptError::Broken => {
                self.sent += 1;
                attempt.end(AttemptEnd::Failed);
                AttemptOutcome::MayHaveRun
            }
        }
    }

    /// Goes on by what a response's head proves.
    async fn evaluate(&mut self, response: ServerResponse, deadline: Instant) -> AttemptOutcome {
        match HeadVerdict::of(&response.head) {
            HeadVerdict::OtherInstance => {
                self.sent -= 1;
                self.unsent += 1;
                response.attempt.end(AttemptEnd::OtherInstance);
                AttemptOutcome::NotRun
            }
            HeadVerdict::Rejected => {
                let ServerResponse { connection, attempt, .. } = response;
                exchange::discard_body_and_release(&self.proxy, attempt.instance_id(), connection).await;
                attempt.end(AttemptEnd::Rejected);
                AttemptOutcome::NotRun
            }
            HeadVerdict::Untrusted => {
                response.attempt.end(AttemptEnd::Failed);
                AttemptOutcome::MayHaveRun
            }
            HeadVerdict::EventStream => AttemptOutcome::Answered(RequestOutcome::Stream(Box::new(response))),
            HeadVerdict::Forwardable => self.complete(response, deadline).await,
        }
    }

    /// When the present attempt is abandoned: early enough for a retry where one is allowed, else at the
    /// deadline.
    pub fn attempt_deadline(&self) -> Instant {
        let context = &self.context;
        let now = Instant::now();
        let remaining = context.deadline.saturating_duration_since(now);
        let has_more_attempts = self.sent + 1 < context.routed.route.max_attempts;
        match has_more_attempts && context.is_retry_safe() {
            true => now + remaining * ATTEMPT_TIME_PERCENT / 100,
            false => context.deadline,
        }
    }

    /// Reads a response to its end and forwards it unchanged. A server error on an idempotent route is
    /// retried.
    async fn complete(&mut self, response: ServerResponse, deadline: Instant) -> AttemptOutcome {
        let ServerResponse { mut connection, attempt, head } = response;
        let Ok(Ok(body)) = tokio::time::timeout_at(deadline, exchange::read_body(&mut connection)).await
        else {
            attempt.end(AttemptEnd::Failed);
            return AttemptOutcome::MayHaveRun;
        };
        let took = attempt.elapsed_ms();
        self.proxy.pool.release(attempt.instance_id(), connection);
        let is_error = head.status.is_server_error();
        if !is_error {
            self.record_latency(&attempt, &head, took);
        }
        attempt.end(if is_error { AttemptEnd::ServerError } else { AttemptEnd::Served });
        if is_error && self.context.routed.route.is_idempotent() && self.may_retry() {
            return AttemptOutcome::MayHaveRun;
        }
        let answer = answer::complete(head.status, head.headers, body);
        AttemptOutcome::Answered(RequestOutcome::Complete(answer))
    }

    /// Records what a response took, in milliseconds. Requests with a prompt vary with its length, so only
    /// plain ones teach the route's usual time.
    fn record_latency(&self, attempt: &InFlightAttempt, head: &ResponseHead, took: f64) {
        let route = &self.context.routed.route.name;
        let plain_route = self.context.prompt.is_none().then_some(route.as_str());
        let expected_ms = attempt.expected_ms();
        let begin = AnswerBegin { plain_route, took, expected_ms, report: load_report(&head.headers) };
        let now = self.proxy.now_ms();
        self.proxy.servers.borrow_mut().answered(now, attempt.instance_id(), begin);
    }
}

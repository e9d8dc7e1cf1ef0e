//! Forwards a stream of events to the client, complete events as they arrive, and stores the turn at its end.
//!
//! Guarantees that the client receives only complete events, none twice, also where the stream is continued
//! at another server; that a server is never read faster than the client, by more than a bounded number of
//! events; and that the answer of a retained turn ends regularly only once the turn is stored. Where any of
//! that fails, the answer is aborted.

use super::attempts::{Attempts, ServerResponse};
use super::in_flight::InFlightAttempt;
use super::response::load_report;
use crate::answer::{self, Aborted, Answer};
use crate::budget::BudgetGrant;
use crate::turns;
use crate::upstream::{AttemptError, Connection};
use bytes::{Bytes, BytesMut};
use log::debug;
use pointcross_tier_protocol::events::EventSplitter;
use pointcross_tier_protocol::turns::TurnRecord;
use pointcross_tier_routing::{AnswerBegin, AttemptEnd, LoadReport};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Writes that may wait for a slow client; beyond that the server is not read.
const MAX_PENDING_WRITES: usize = 64;
/// How long storing a turn may take: a client abandons a stream without events after two seconds or more.
const STORE_TIMEOUT: Duration = Duration::from_millis(2500);

/// A turn that is stored once its answer is complete.
pub struct UnstoredTurn {
    /// Its id.
    pub id: String,
    /// The turn before it.
    pub previous: Option<String>,
    /// The turns before it, oldest first.
    pub chain: Rc<[TurnRecord]>,
    /// The key that its chain is placed by.
    pub placement: String,
    /// What the client sent.
    pub input: Bytes,
    /// How long it is retained, in milliseconds.
    pub retention_ms: u64,
}

/// Why forwarding from one server ended.
enum ForwardEnd {
    /// The stream is complete.
    Complete,
    /// The server's stream ended early; another server may continue it.
    Broken,
    /// The client has closed its connection.
    ClientDisconnected,
    /// The request's deadline has passed.
    DeadlineExceeded,
}

impl ForwardEnd {
    /// The end of forwarding from a server that sent nothing in time: before the request's deadline another
    /// server may continue.
    fn after_timeout(deadline: Instant) -> Self {
        if Instant::now() < deadline { ForwardEnd::Broken } else { ForwardEnd::DeadlineExceeded }
    }
}

/// What was read from a server within its bound.
enum ReadEvent {
    /// A part of the body, its end, or an error.
    Received(Result<Option<Bytes>, AttemptError>),
    /// The client has closed its connection.
    ClientDisconnected,
    /// Nothing was received in time.
    TimedOut,
}

struct StreamForwarder {
    attempts: Attempts,
    sender: mpsc::Sender<Result<Bytes, Aborted>>,
    /// The id of the last event that was forwarded.
    last_event: Option<String>,
    /// Events with data that were forwarded.
    events: u64,
    /// The data of all events, where the turn is to be stored.
    output: BytesMut,
    records_output: bool,
}

/// Forwards a stream that has begun to the client.
///
/// The forwarding task is detached, so that the budget is settled with what was forwarded also where the
/// client disconnects. It ends with the stream or with the client's connection.
pub fn forward(
    attempts: Attempts,
    response: ServerResponse,
    unstored: Option<UnstoredTurn>,
    grant: Option<BudgetGrant>,
) -> Answer {
    let (sender, receiver) = mpsc::channel(MAX_PENDING_WRITES);
    let answer = answer::streamed(response.head.status, response.head.headers.clone(), receiver);
    let last_event = attempts.context.last_event.clone();
    let records_output = unstored.is_some();
    let forwarder =
        StreamForwarder { attempts, sender, last_event, events: 0, output: BytesMut::new(), records_output };
    spawn_local(forwarder.run(response, unstored, grant));
    answer
}

impl StreamForwarder {
    async fn run(
        mut self,
        response: ServerResponse,
        unstored: Option<UnstoredTurn>,
        grant: Option<BudgetGrant>,
    ) {
        let is_complete = self.forward_from_servers(response).await;
        let tokens = self.events * self.tokens_per_event();
        let is_stored = match unstored {
            Some(turn) if is_complete => self.store_turn(turn).await,
            _ => true,
        };
        if let Some(grant) = grant {
            grant.settle(tokens);
        }
        if !is_complete || !is_stored {
            let _ = self.sender.send(Err(Aborted)).await;
        }
    }

    fn tokens_per_event(&self) -> u64 {
        let context = &self.attempts.context;
        context.route_table.engine(&context.routed.service).map_or(1, |engine| engine.stride.max(1))
    }

    /// Forwards from one server after the other until the stream is complete. Returns whether it is.
    async fn forward_from_servers(&mut self, response: ServerResponse) -> bool {
        let mut response = response;
        loop {
            match self.forward_from(response).await {
                ForwardEnd::Complete => return true,
                ForwardEnd::ClientDisconnected | ForwardEnd::DeadlineExceeded => return false,
                ForwardEnd::Broken if !self.attempts.context.is_retry_safe() => return false,
                ForwardEnd::Broken => {}
            }
            debug!("stream broken, resuming at another server: target={}", self.attempts.context.target);
            let last_event = self.last_event.clone();
            response = match self.attempts.resume(last_event.as_deref()).await {
                Some(resumed) => resumed,
                None => return false,
            };
        }
    }

    /// Forwards from one server.
    async fn forward_from(&mut self, response: ServerResponse) -> ForwardEnd {
        let ServerResponse { mut connection, mut attempt, head } = response;
        let deadline = self.attempts.context.deadline;
        let first_deadline = self.attempts.attempt_deadline();
        let mut splitter = EventSplitter::default();
        let mut is_first = true;
        loop {
            let read_deadline = if is_first { first_deadline } else { deadline };
            let part = match self.read_part(&mut connection, read_deadline).await {
                ReadEvent::Received(Ok(Some(part))) => part,
                // An event without its end is no event: the stream was cut.
                ReadEvent::Received(Ok(None)) if !splitter.has_rest() => break,
                ReadEvent::Received(Ok(None) | Err(_)) => {
                    attempt.end(AttemptEnd::Failed);
                    return ForwardEnd::Broken;
                }
                // The attempt's drop tells a slow server from an impatient client.
                ReadEvent::ClientDisconnected => return ForwardEnd::ClientDisconnected,
                ReadEvent::TimedOut => {
                    attempt.end(AttemptEnd::Failed);
                    return ForwardEnd::after_timeout(deadline);
                }
            };
            if is_first {
                is_first = false;
                attempt.record_response();
                self.record_first_event(&attempt, load_report(&head.headers));
            }
            if splitter.push(&part).is_err() {
                attempt.end(AttemptEnd::Failed);
                return ForwardEnd::Broken;
            }
            if !self.forward_events(&mut splitter).await {
                return ForwardEnd::ClientDisconnected;
            }
        }
        self.attempts.proxy.pool.release(attempt.instance_id(), connection);
        attempt.end(AttemptEnd::Served);
        ForwardEnd::Complete
    }

    /// The next part of the server's body, unless the client or the deadline ends the wait first.
    async fn read_part(&self, connection: &mut Connection, deadline: Instant) -> ReadEvent {
        tokio::select! {
            biased;
            part = connection.read_body_part() => ReadEvent::Received(part),
            () = self.sender.closed() => ReadEvent::ClientDisconnected,
            () = tokio::time::sleep_until(deadline) => ReadEvent::TimedOut,
        }
    }

    /// Records what the first event took. Streams don't teach a route's usual time.
    fn record_first_event(&self, attempt: &InFlightAttempt, report: Option<LoadReport>) {
        let proxy = &self.attempts.proxy;
        let (took, expected_ms) = (attempt.elapsed_ms(), attempt.expected_ms());
        let begin = AnswerBegin { plain_route: None, took, expected_ms, report };
        proxy.servers.borrow_mut().answered(proxy.now_ms(), attempt.instance_id(), begin);
    }

    /// Forwards the complete events in one write. Returns whether the client still receives them.
    async fn forward_events(&mut self, splitter: &mut EventSplitter) -> bool {
        let mut write = BytesMut::new();
        while let Some(event) = splitter.next_event() {
            if let Some(id) = event.id {
                self.last_event = Some(id);
            }
            if !event.data.is_empty() {
                self.events += 1;
            }
            if self.records_output {
                self.output.extend_from_slice(&event.data);
            }
            write.extend_from_slice(&event.bytes);
        }
        write.is_empty() || self.sender.send(Ok(write.freeze())).await.is_ok()
    }

    /// Stores the turn; the answer ends after that. Returns whether it is stored.
    async fn store_turn(&self, turn: UnstoredTurn) -> bool {
        let mut text = BytesMut::with_capacity(turn.input.len() + self.output.len());
        text.extend_from_slice(&turn.input);
        text.extend_from_slice(&self.output);
        let record = TurnRecord {
            id: turn.id,
            previous: turn.previous,
            placement: turn.placement,
            text: text.freeze(),
            retention_ms: turn.retention_ms,
            replicas: Vec::new(),
        };
        let deadline = Instant::now() + STORE_TIMEOUT;
        let stored = turns::store_turn(&self.attempts.proxy, record, turn.chain, deadline).await;
        stored.is_ok()
    }
}

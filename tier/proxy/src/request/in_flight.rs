//! An attempt in flight, as its server's load and health account for it.

use crate::proxy::Proxy;
use pointcross_tier_routing::AttemptEnd;
use std::rc::Rc;
use tokio::time::Instant;

/// A client that disconnects after a shorter wait than this proves nothing about the server, in milliseconds.
const MIN_UNRESPONSIVE_MS: f64 = 1000.0;
/// Nor does one that waited for less than so many times the expected service time.
const UNRESPONSIVE_FACTOR: f64 = 8.0;

/// An attempt at a server. Its units count towards the server's load until it ends or is dropped, exactly
/// once.
pub struct InFlightAttempt {
    proxy: Rc<Proxy>,
    instance_id: String,
    units: f64,
    sent_at: Instant,
    expected_ms: f64,
    has_response: bool,
    ended: bool,
}

impl InFlightAttempt {
    /// An attempt that starts now. The server's load has been counted by the caller.
    pub fn new(proxy: Rc<Proxy>, instance_id: String, units: f64, expected_ms: f64) -> Self {
        let sent_at = Instant::now();
        InFlightAttempt { proxy, instance_id, units, sent_at, expected_ms, has_response: false, ended: false }
    }

    /// The id of the instance that it was sent to.
    pub fn instance_id(&self) -> &str {
        &self.instance_id
    }

    /// The time that its response, or its first event, was expected to take, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.expected_ms
    }

    /// Milliseconds since it started.
    pub fn elapsed_ms(&self) -> f64 {
        self.sent_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Records that a part of the response's body was received.
    pub fn record_response(&mut self) {
        self.has_response = true;
    }

    /// Ends the attempt.
    pub fn end(mut self, end: AttemptEnd) {
        self.finish(end);
    }

    fn finish(&mut self, end: AttemptEnd) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.proxy.now_ms();
            self.proxy.servers.borrow_mut().ended(now, &self.instance_id, self.units, end);
            self.proxy.queues.notify_capacity();
        }
    }
}

/// Dropped before its end, as where the client disconnects. A client that gives up without any response, long
/// after the expected time, counts as a failure of the server.
impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        let limit_ms = MIN_UNRESPONSIVE_MS.max(UNRESPONSIVE_FACTOR * self.expected_ms);
        let is_unresponsive = !self.has_response && self.elapsed_ms() > limit_ms;
        self.finish(if is_unresponsive { AttemptEnd::Failed } else { AttemptEnd::Abandoned });
    }
}

//! What this host knows of a storage node. Plain state; the decisions on it stand in the other modules.

use crate::events::{NodeId, NodeState, RequestId};
use crate::service_rate::LearnedRate;
use crate::token_bucket::TokenBucket;
use crate::units::{Millis, Units, UnitsPerSecond, Value};
use std::collections::{BTreeMap, VecDeque};

/// The concurrency floor of a node not heard from yet: one request in work while the next is on its way.
pub(crate) const INITIAL_CONCURRENCY_FLOOR: f64 = 2.0;
/// Failures in a row, without an answer between, that make a node suspect: one or two are chance.
pub(crate) const SUSPECT_AFTER_FAILURES: u32 = 3;

/// An attempt in flight.
#[derive(Clone, Copy)]
pub(crate) struct InFlight {
    pub(crate) sent_at: Millis,
    pub(crate) request: RequestId,
    pub(crate) units: Units,
}

/// What was sent to a node while it warmed up.
pub(crate) struct WarmUpSend {
    pub(crate) at: Millis,
    pub(crate) units: Units,
}

/// Units a second that arrived lately with one value.
pub(crate) struct ArrivalRate {
    pub(crate) value: Value,
    pub(crate) rate: UnitsPerSecond,
}

/// A storage node, as this host sees it.
#[derive(Default)]
pub(crate) struct Node {
    pub(crate) id: NodeId,
    pub(crate) zone: u8,
    pub(crate) shard: u32,
    pub(crate) state: NodeState,
    pub(crate) started: Millis,
    /// Requests that wait here for this node.
    pub(crate) queue: Vec<RequestId>,
    pub(crate) queued_units: Units,
    /// Oldest first.
    pub(crate) in_flight: VecDeque<InFlight>,
    pub(crate) in_flight_units: Units,
    pub(crate) service_rate: LearnedRate,
    /// Since when work is in flight without an answer.
    pub(crate) gap_start: Millis,
    /// Requests that may be in flight whatever the rate; below one, a cool-down follows each answer.
    pub(crate) concurrency_floor: f64,
    /// About what a lone request of common size takes.
    pub(crate) base_service_time: Millis,
    pub(crate) last_answer_at: Millis,
    pub(crate) failures_in_a_row: u32,
    /// When a suspect node is probed next, by a single request.
    pub(crate) probe_at: Millis,
    /// The cool-down of the most valuable work after the last answer; work of less value waits longer.
    pub(crate) cool_down: Millis,
    pub(crate) cool_down_start: Millis,
    /// Sends while warming up, within the rule's window.
    pub(crate) warm_up_sends: VecDeque<WarmUpSend>,
    /// The debt of what was sent while warming up, as a negative level.
    pub(crate) warm_up_debt: TokenBucket,
    /// Virtual time of fair queueing over the volumes that ask for more than their reserve.
    pub(crate) virtual_time: f64,
    /// Start tags by volume; only those ahead of the virtual time.
    pub(crate) start_tags: BTreeMap<u64, f64>,
    pub(crate) arrivals: Vec<ArrivalRate>,
    pub(crate) arrivals_updated_at: Millis,
}

impl Node {
    /// A node that was just listed for the first time.
    pub(crate) fn listed(id: NodeId, now: Millis) -> Self {
        Node {
            id,
            gap_start: now,
            concurrency_floor: INITIAL_CONCURRENCY_FLOOR,
            last_answer_at: f64::NEG_INFINITY,
            ..Node::default()
        }
    }

    /// Takes a request off the queue. The sum starts anew with each empty queue, so that rounding does not add up.
    pub(crate) fn dequeue(&mut self, id: RequestId, units: Units) {
        self.queue.retain(|&queued| queued != id);
        self.queued_units = if self.queue.is_empty() { 0.0 } else { self.queued_units - units };
    }

    /// Takes units off those in flight, after the attempt has left the list.
    pub(crate) fn deduct_in_flight(&mut self, units: Units) {
        self.in_flight_units = if self.in_flight.is_empty() { 0.0 } else { self.in_flight_units - units };
    }

    /// Whether the circuit is open: nothing but single probes goes there.
    pub(crate) fn is_suspect(&self) -> bool {
        self.failures_in_a_row >= SUSPECT_AFTER_FAILURES
    }
}

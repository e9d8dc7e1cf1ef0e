//! What the forecast of a wait at a node builds on: its rate, what keeps arriving, and when it opens.

use crate::node::ArrivalRate;
use crate::scheduler::Scheduler;
use crate::units::{Millis, Units, UnitsPerSecond, Value};

/// An open gap of this many usual ones is rare by chance (a few in a hundred): beyond it the rate falls.
const OPEN_GAP_FACTOR: f64 = 4.0;
/// The longest cool-down, in tightest latency targets: a node that has room again is found within seconds.
const MAX_COOL_DOWN_TARGETS: f64 = 32.0;
/// Values closer than this are one.
const VALUE_TOLERANCE: Value = 1e-9;

impl Scheduler {
    /// Units a second that this host sees finish at a node; a node not heard from takes the others' mean.
    pub(crate) fn service_rate(&self, now: Millis, slot: usize) -> Option<UnitsPerSecond> {
        let node = &self.nodes[slot];
        // Work in flight without an answer for longer than usual counts as the next gap already: a hung node must not
        // look short of work. A stall that just ends is forgotten with the first answer.
        let open_gap = if node.in_flight.is_empty() { 0.0 } else { now - node.gap_start };
        node.service_rate.rate(open_gap / OPEN_GAP_FACTOR).or(self.typical_rate.rate(0.0))
    }

    /// Counts an arrival at its value: what keeps arriving ahead of a request delays it like what is queued.
    pub(crate) fn record_arrival(&mut self, now: Millis, slot: usize, value: Value, units: Units) {
        let span = self.settings.widest_target();
        let added = units * 1000.0 / span;
        let node = &mut self.nodes[slot];
        let decay = (-(now - node.arrivals_updated_at).max(0.0) / span).exp();
        node.arrivals_updated_at = now;
        node.arrivals.iter_mut().for_each(|arrivals| arrivals.rate *= decay);
        let same_value = |arrivals: &&mut ArrivalRate| (arrivals.value - value).abs() < VALUE_TOLERANCE;
        match node.arrivals.iter_mut().find(same_value) {
            Some(arrivals) => arrivals.rate += added,
            None => node.arrivals.push(ArrivalRate { value, rate: added }),
        }
    }

    /// Units a second that arrived lately at a node with more value than this. Guards against queueing work of low value
    /// that later arrivals pass until it is late; can harm for one span after arrivals stop.
    pub(crate) fn arrival_rate_above(&self, now: Millis, slot: usize, value: Value) -> UnitsPerSecond {
        let node = &self.nodes[slot];
        let above = node.arrivals.iter().filter(|arrivals| arrivals.value > value + VALUE_TOLERANCE);
        let rate: f64 = above.map(|arrivals| arrivals.rate).sum();
        rate * (-(now - node.arrivals_updated_at).max(0.0) / self.settings.widest_target()).exp()
    }

    /// From when a node takes work of this value from here: after its next probe if suspect, and its cool-down, as many
    /// times longer as the most valuable work is worth more: hosts with work of low value leave a crowded node to
    /// those with reserves, without any message between them. Meets late work and surges alike; can harm where all
    /// work at a node is of one low value.
    pub(crate) fn opens_at(&self, slot: usize, value: Value) -> Millis {
        let node = &self.nodes[slot];
        let probe_at = if node.is_suspect() && node.in_flight.is_empty() { node.probe_at } else { 0.0 };
        let cool_down = node.cool_down * (self.best_value / value.max(VALUE_TOLERANCE)).max(1.0);
        let longest = self.tightest_target * MAX_COOL_DOWN_TARGETS;
        probe_at.max(node.cool_down_start + cool_down.min(longest))
    }
}

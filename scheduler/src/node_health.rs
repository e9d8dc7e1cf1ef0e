//! What an attempt's end teaches of its node: speed from served units only, health from all outcomes.

use crate::events::{Action, Outcome};
use crate::node::{INITIAL_CONCURRENCY_FLOOR, InFlight, SUSPECT_AFTER_FAILURES};
use crate::scheduler::Scheduler;
use crate::units::{Millis, Units};

/// Part of the tightest latency target that waiting at a node may take: only what waits here keeps its order.
pub(crate) const NODE_WAIT_PART: f64 = 0.2;
/// What a lone request takes at a node is followed down and up with these weights: quick ones show its speed.
const FASTER_WEIGHT: f64 = 0.25;
const SLOWER_WEIGHT: f64 = 0.02;
/// And counts up to this part of the tightest target, lest lasting congestion be taken for the node's own speed.
const MAX_SERVICE_TIME_PART: f64 = 0.4;
/// The lowest floor keeps this many in flight at a node from all hosts together: one slow by itself stays in work.
const MIN_FLEET_CONCURRENCY: f64 = 6.0;
/// An attempt in flight for so many tightest targets counts as lost: its connection may have fallen silent alone, and
/// must not keep a node's few places. Few answers take that long, and they still count when they come.
const LOST_AFTER_TARGETS: f64 = 2.5;
/// The longest wait between probes of a suspect node, in tightest targets.
const MAX_PROBE_WAIT_TARGETS: f64 = 8.0;
/// Doublings of that wait before its bound; guards the shift.
const MAX_PROBE_DOUBLINGS: u32 = 16;

/// An attempt that ended, as the node's health is concerned.
#[derive(Clone, Copy)]
struct EndedAttempt {
    sent_at: Millis,
    units: Units,
    outcome: Outcome,
    /// From send to end; a rejection counts as slow at the least.
    took: Millis,
    /// Times a request of mean size.
    size: f64,
}

impl Scheduler {
    /// Records the end of an attempt that was in flight at this node.
    pub(crate) fn record_attempt_end(
        &mut self,
        now: Millis,
        slot: usize,
        sent_at: Millis,
        units: Units,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let jitter = 0.5 + self.random();
        self.nodes[slot].deduct_in_flight(units);
        let size = (units / self.settings.mean_units.max(1e-3)).max(1.0);
        let usual = self.usual_time(slot) * size;
        let took = now - sent_at;
        let took = if outcome == Outcome::Full { took.max(2.0 * usual) } else { took };
        let end = EndedAttempt { sent_at, units, outcome, took, size };
        self.adjust_concurrency_floor(slot, &end, usual);
        self.start_cool_down(now, slot, &end, jitter);
        self.record_outcome(now, slot, &end, jitter, actions);
    }

    /// What a lone request of mean size may take at a node before it counts as slow.
    fn usual_time(&self, slot: usize) -> Millis {
        let base = self.nodes[slot].base_service_time.min(self.tightest_target * MAX_SERVICE_TIME_PART);
        base + self.tightest_target * NODE_WAIT_PART
    }

    /// The floor follows the time to answer, sized by the request, whoever fills the node: few hosts may use all of
    /// it, many come below one request each and cool down between sends. Slow, warming and silent nodes meet it too,
    /// so one that returns is tried gently. Can harm where a heavy request looks like a crowd.
    fn adjust_concurrency_floor(&mut self, slot: usize, end: &EndedAttempt, usual: Millis) {
        let lowest = (MIN_FLEET_CONCURRENCY / f64::from(self.settings.hosts.max(1))).min(1.0);
        let node = &mut self.nodes[slot];
        let was_full = node.in_flight.len() as f64 + 2.0 > node.concurrency_floor;
        let floor = node.concurrency_floor;
        if end.took > usual {
            node.concurrency_floor = (floor - floor.min(1.0) * (1.0 - usual / end.took)).max(lowest);
        } else if was_full && end.outcome == Outcome::Served {
            let usual = if floor < INITIAL_CONCURRENCY_FLOOR { usual } else { usual / 2.0 };
            node.concurrency_floor += (1.0 - end.took / usual).max(0.0) / floor.max(1.0);
        }
    }

    /// Silence is left to the probes: a healed link must not find all hosts cooling down. What answers again may have
    /// started anew before the list says so: one request first.
    fn start_cool_down(&mut self, now: Millis, slot: usize, end: &EndedAttempt, jitter: f64) {
        let node = &mut self.nodes[slot];
        let is_silent = end.outcome == Outcome::TimedOut && node.last_answer_at <= end.sent_at;
        if is_silent {
            node.concurrency_floor = node.concurrency_floor.min(1.0);
        }
        let needs_cool_down = node.concurrency_floor < 1.0 && !is_silent;
        let pause = end.took * (1.0 / node.concurrency_floor - 1.0) * jitter;
        node.cool_down = if needs_cool_down { pause } else { 0.0 };
        node.cool_down_start = now;
    }

    fn record_outcome(
        &mut self,
        now: Millis,
        slot: usize,
        end: &EndedAttempt,
        jitter: f64,
        actions: &mut Vec<Action>,
    ) {
        let node = &mut self.nodes[slot];
        match end.outcome {
            Outcome::Served => self.record_answer(now, slot, end, actions),
            Outcome::Full => node.last_answer_at = now,
            // Silence counts only where nothing at all came since the send: slow is not dead. The probe also meets cut
            // links and nodes that only give errors; it can harm where chance fails three in a row.
            Outcome::TimedOut if node.last_answer_at > end.sent_at => {}
            Outcome::TimedOut => {
                node.gap_start = now;
                self.record_failure(now, slot, jitter, actions);
            }
            Outcome::NoConnection | Outcome::Reset | Outcome::Error => {
                self.record_failure(now, slot, jitter, actions);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn record_answer(&mut self, now: Millis, slot: usize, end: &EndedAttempt, actions: &mut Vec<Action>) {
        let shortest_gap = self.settings.tick.max(0.1) / 2.0;
        let node = &mut self.nodes[slot];
        let took = end.took / end.size;
        let weight = if took < node.base_service_time { FASTER_WEIGHT } else { SLOWER_WEIGHT };
        let is_first = node.base_service_time == 0.0;
        node.base_service_time += if is_first { took } else { weight * (took - node.base_service_time) };
        let gap = (now - node.gap_start).max(shortest_gap);
        node.service_rate.learn(end.units, gap);
        self.typical_rate.learn(end.units, gap);
        node.gap_start = now;
        node.last_answer_at = now;
        let failures = std::mem::take(&mut node.failures_in_a_row);
        if failures >= SUSPECT_AFTER_FAILURES {
            let text = format!("node recovered: node={} failures={failures}", node.id);
            self.log(now, actions, text);
        }
    }

    /// Counts a failure of a node; after a few in a row it waits for its next probe.
    fn record_failure(&mut self, now: Millis, slot: usize, jitter: f64, actions: &mut Vec<Action>) {
        let node = &mut self.nodes[slot];
        node.failures_in_a_row += 1;
        if node.is_suspect() {
            let doublings = (node.failures_in_a_row - SUSPECT_AFTER_FAILURES).min(MAX_PROBE_DOUBLINGS);
            let wait = self.tightest_target * f64::from(1u32 << doublings).min(MAX_PROBE_WAIT_TARGETS);
            node.probe_at = now + wait * jitter;
            let text = format!("node suspect: node={} failures={}", node.id, node.failures_in_a_row);
            self.log(now, actions, text);
        }
    }

    /// Takes attempts that are in flight for too long out of a node's count. Where nothing came from the node since,
    /// each is a failure of it; else only its connection was lost.
    pub(crate) fn give_up_lost_attempts(&mut self, now: Millis, slot: usize, actions: &mut Vec<Action>) {
        let limit = self.tightest_target * LOST_AFTER_TARGETS;
        let is_lost = |attempt: &&InFlight| now - attempt.sent_at > limit;
        while let Some(&lost) = self.nodes[slot].in_flight.front().filter(is_lost) {
            let node = &mut self.nodes[slot];
            node.in_flight.pop_front();
            node.deduct_in_flight(lost.units);
            node.gap_start = now;
            if node.last_answer_at <= lost.sent_at {
                let jitter = 0.5 + self.random();
                self.record_failure(now, slot, jitter, actions);
            }
        }
    }
}

//! Admission: which queued requests are sent now, which wait, and which are refused since their forecast passes the time
//! that is left.

use crate::events::{Action, RequestId};
use crate::node::{INITIAL_CONCURRENCY_FLOOR, InFlight, WarmUpSend};
use crate::node_health::NODE_WAIT_PART;
use crate::request::Attempt;
use crate::scheduler::{Scheduler, TIMER_TICKS};
use crate::units::{Millis, Units, UnitsPerSecond, Value};
use std::collections::BTreeMap;

/// Requests in flight at a node at the most, from the design.
const MAX_IN_FLIGHT: usize = 32;
/// What more valuable arrivals leave of a rate is reckoned as this part at the least.
const MIN_RATE_LEFT: f64 = 0.05;

/// What stands before the next request of a queue.
struct Ahead {
    /// The rate at which the node works it off, where one was learned.
    rate: Option<UnitsPerSecond>,
    /// In flight or before it in the queue.
    units: Units,
    /// Before it in the queue only.
    queued: Units,
    /// Before it in the queue, by volume.
    by_volume: BTreeMap<u64, Units>,
}

/// A queued request that is not sent now.
struct Candidate {
    id: RequestId,
    value: Value,
    /// How long until the node takes work of its value.
    opens_in: Millis,
}

impl Scheduler {
    /// Serves a node's queue in one pass over its order: sends what fits and may go, and refuses what its forecast
    /// rules out. `just_arrived` is counted as an arrival at its value.
    pub(crate) fn serve_queue(
        &mut self,
        now: Millis,
        slot: usize,
        just_arrived: Option<RequestId>,
        actions: &mut Vec<Action>,
    ) {
        if self.nodes[slot].queue.is_empty() {
            return;
        }
        self.give_up_lost_attempts(now, slot, actions);
        let rate = self.service_rate(now, slot);
        let in_flight = self.nodes[slot].in_flight_units;
        let mut ahead = Ahead { rate, units: in_flight, queued: 0.0, by_volume: BTreeMap::new() };
        for (id, value) in self.ordered_queue(now, slot) {
            let Some(pending) = self.requests.get(&id) else { continue };
            let (units, volume) = (pending.request.units, pending.request.volume);
            if just_arrived == Some(id) {
                self.record_arrival(now, slot, value, units);
            }
            let warm_up_wait = self.warm_up_wait(now, slot, units, ahead.queued);
            let opens_at = self.opens_at(slot, value).max(now + warm_up_wait);
            if opens_at <= now && self.fits(now, slot, units) && self.may_send(now, id, slot) {
                self.send(now, id, slot, actions);
                ahead.units += units;
                continue;
            }
            let candidate = Candidate { id, value, opens_in: opens_at - now };
            let forecast = self.forecast_wait(now, slot, &candidate, &ahead);
            let limit = self.wait_limit(now, id, slot);
            if forecast > limit || self.is_nearly_over(now, id) {
                self.finish(now, id, forecast - limit, actions);
            } else {
                ahead.units += units;
                ahead.queued += units;
                *ahead.by_volume.entry(volume).or_default() += units;
            }
        }
    }

    /// The wait of a queued request: until the node opens or the volume's limit allows it, then the work ahead.
    fn forecast_wait(&mut self, now: Millis, slot: usize, candidate: &Candidate, ahead: &Ahead) -> Millis {
        let better = self.arrival_rate_above(now, slot, candidate.value);
        let work = ahead.rate.map_or(0.0, |rate| {
            let rate_left = (rate - better).max(rate * MIN_RATE_LEFT);
            ahead.units / rate_left * 1000.0
        });
        let Some(pending) = self.requests.get(&candidate.id) else { return work };
        if pending.charged {
            return candidate.opens_in.max(0.0) + work;
        }
        let (units, volume_id) = (pending.request.units, pending.request.volume);
        let drawn = ahead.by_volume.get(&volume_id).copied().unwrap_or_default();
        let volume = self.volumes.get_mut(&volume_id);
        let limit_wait =
            volume.map_or(f64::INFINITY, |volume| volume.limit_wait(now, &self.settings, units + drawn));
        candidate.opens_in.max(limit_wait) + work
    }

    /// How long a request may wait. A cool-down or the next probe is part of the wait. With more hosts than nodes others
    /// make most of it, unseen here: at a node without room for two, what is put past the target will be late. With
    /// few hosts that would refuse what can be served.
    fn wait_limit(&self, now: Millis, id: RequestId, slot: usize) -> Millis {
        let Some(pending) = self.requests.get(&id) else { return 0.0 };
        let is_crowded = self.settings.hosts as usize > self.shard_nodes.len()
            && self.nodes[slot].concurrency_floor < INITIAL_CONCURRENCY_FLOOR;
        if is_crowded && pending.target_at > now {
            pending.target_at - now
        } else {
            pending.request.deadline - now
        }
    }

    /// Whether the deadline comes before the next look at the queue.
    fn is_nearly_over(&self, now: Millis, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|pending| pending.request.deadline - now <= self.settings.tick * (TIMER_TICKS + 1.0))
    }

    /// Whether another request fits at a node: the design's bound, and a single probe of a suspect node.
    fn fits(&self, now: Millis, slot: usize, units: Units) -> bool {
        let node = &self.nodes[slot];
        let in_flight = node.in_flight.len();
        if in_flight >= MAX_IN_FLIGHT || node.is_suspect() && in_flight > 0 {
            return false;
        }
        let rate = self.service_rate(now, slot).unwrap_or(0.0);
        in_flight == 0
            || in_flight as f64 + 1.0 <= node.concurrency_floor
            || node.in_flight_units + units <= rate * NODE_WAIT_PART * self.tightest_target / 1000.0
    }

    fn send(&mut self, now: Millis, id: RequestId, slot: usize, actions: &mut Vec<Action>) {
        let is_warming_up = self.warm_up_capacity(now, slot).is_some();
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let units = pending.request.units;
        let is_retry = !pending.attempts.is_empty();
        let (volume, charged_before) = (pending.request.volume, pending.charged);
        pending.charged = true;
        pending.queued = false;
        pending.attempts.push(Attempt { node: slot, sent_at: now, outcome: None });
        self.put_in_flight(now, id, slot, units, is_warming_up);
        if is_retry && self.settings.rules.budget.is_some() {
            self.retries.push_back(now);
        }
        self.charge(slot, volume, units, charged_before);
        let node = self.nodes[slot].id;
        actions.push(Action::Send { request: id, node, time_limit: None });
    }

    fn put_in_flight(&mut self, now: Millis, id: RequestId, slot: usize, units: Units, is_warming_up: bool) {
        let node = &mut self.nodes[slot];
        node.dequeue(id, units);
        if node.in_flight.is_empty() {
            node.gap_start = now;
        }
        node.in_flight_units += units;
        node.in_flight.push_back(InFlight { sent_at: now, request: id, units });
        if is_warming_up {
            let counted = units.max(self.settings.mean_units);
            node.warm_up_sends.push_back(WarmUpSend { at: now, units: counted });
            node.warm_up_debt.level -= counted;
        }
    }
}

//! The scheduler of one host: its state, its events and its timer. What it decides stands in the modules beside this one.

use crate::events::{Action, AttemptEnd, Event, NodeId, Outcome, Request, RequestId};
use crate::node::Node;
use crate::request::{KeyQueue, PendingRequest, never_ran};
use crate::service_rate::LearnedRate;
use crate::settings::{Plan, Settings, SettingsError};
use crate::units::{Millis, Value};
use crate::volume::Volume;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The timer's period in ticks: every second look at the clock keeps the checks of queued requests prompt.
pub(crate) const TIMER_TICKS: f64 = 2.0;
/// A request's pause after a rejection or no connection, as a part of the tightest latency target.
const RETRY_PAUSE_PART: f64 = 0.25;
/// Volumes, or keys, remembered before idle ones are forgotten.
const MAX_REMEMBERED: usize = 4096;
/// A volume without a request for so long is idle.
const IDLE_VOLUME_AFTER: Millis = 60_000.0;
/// The least time between two log lines.
const LOG_INTERVAL: Millis = 2000.0;

/// The scheduler of one host.
///
/// It has no clock, no I/O and no thread. Events go in by [`Scheduler::handle`], and what is to be done comes out.
pub struct Scheduler {
    pub(crate) settings: Settings,
    random_state: u64,
    pub(crate) started_at: Millis,
    pub(crate) tightest_target: Millis,
    /// Value of the most valuable work.
    pub(crate) best_value: Value,
    /// Over all nodes' answers: the rate of a node not heard from yet.
    pub(crate) typical_rate: LearnedRate,
    /// The node for each shard: of several ready ones, the one that started last; else the last that was ready.
    pub(crate) shard_nodes: BTreeMap<u32, usize>,
    /// The shards that requests here have named, of those that have a node.
    pub(crate) requested_shards: BTreeSet<u32>,
    pub(crate) nodes: Vec<Node>,
    /// Slots in `nodes` that are free again.
    pub(crate) free_slots: Vec<usize>,
    pub(crate) slots: BTreeMap<NodeId, usize>,
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
    pub(crate) key_queues: BTreeMap<u64, KeyQueue>,
    pub(crate) volumes: BTreeMap<u64, Volume>,
    /// Nodes with queued requests: what the timer has to look at.
    pub(crate) nodes_with_queue: BTreeSet<usize>,
    /// Requests by their deadlines, each as the bits of a number that is not negative, which order as the numbers do.
    pub(crate) deadlines: BTreeSet<(u64, RequestId)>,
    timer_set: bool,
    /// When the list is asked for next, where it is to be.
    pub(crate) list_request_at: Option<Millis>,
    pub(crate) list_backoff: Millis,
    /// When attempts beyond a request's first were sent, within the retry budget's window.
    pub(crate) retries: VecDeque<Millis>,
    /// When requests were accepted, within the same window.
    pub(crate) accepted: VecDeque<Millis>,
    last_log_at: Millis,
}

impl Scheduler {
    /// Starts a host's scheduler; it knows nothing yet.
    ///
    /// # Errors
    /// Settings that no decision can be built on.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut scheduler = Scheduler {
            random_state: seed,
            started_at: now,
            tightest_target: settings.tightest_target(),
            best_value: settings.best_value(),
            typical_rate: LearnedRate::default(),
            shard_nodes: BTreeMap::new(),
            requested_shards: BTreeSet::new(),
            nodes: Vec::new(),
            free_slots: Vec::new(),
            slots: BTreeMap::new(),
            requests: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            volumes: BTreeMap::new(),
            nodes_with_queue: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            timer_set: false,
            list_request_at: None,
            list_backoff: 0.0,
            retries: VecDeque::new(),
            accepted: VecDeque::new(),
            last_log_at: f64::NEG_INFINITY,
            settings,
        };
        scheduler.schedule_first_list_request(now);
        Ok(scheduler)
    }

    /// Applies other figures of the same plans from the next event on, or changes nothing. Open requests and what each
    /// volume has used stay: buckets refill at the old rates up to now, at the new ones after.
    ///
    /// # Errors
    /// Another number of plans, or a figure that is no number.
    pub fn reconfigure(&mut self, now: Millis, plans: Vec<Plan>) -> Result<(), SettingsError> {
        let old = self.settings.replace_plans(plans)?;
        for volume in self.volumes.values_mut() {
            volume.refill_reserve(now, &old);
            volume.limit_wait(now, &old, 0.0);
        }
        self.best_value = self.settings.best_value();
        Ok(())
    }

    /// Handles one event and appends what is to be done about it. An event that fits nothing known (an unknown
    /// attempt, a request already ended) is ignored.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, entries } => self.handle_list(now, kind, &entries, actions),
            Event::Arrived(request) => self.accept(now, request, actions),
            Event::Started { request, .. } => {
                if let Some(pending) = self.requests.get_mut(&request) {
                    pending.streaming = true;
                }
            }
            Event::Ended(end) => self.handle_attempt_end(now, &end, actions),
            Event::Abandoned { request } => self.close(request),
            Event::Timer { .. } => {
                self.timer_set = false;
                self.handle_timer(now, actions);
            }
            Event::Probed { .. } | Event::Message { .. } => {}
        }
        if self.list_request_at.take_if(|at| now >= *at).is_some() {
            actions.push(Action::FollowList { on: true });
        }
        if !self.timer_set && (!self.requests.is_empty() || self.list_request_at.is_some()) {
            self.timer_set = true;
            actions.push(Action::SetTimer { after: self.settings.tick.max(1.0) * TIMER_TICKS, token: 0 });
        }
    }

    /// A random number from 0 to 1, by splitmix64 from the seed.
    pub(crate) fn random(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Logs a line, unless one was logged just before.
    pub(crate) fn log(&mut self, now: Millis, actions: &mut Vec<Action>, text: String) {
        if now - self.last_log_at >= LOG_INTERVAL {
            self.last_log_at = now;
            actions.push(Action::Log(text));
        }
    }

    /// Accepts a request, or refuses at once what cannot be placed.
    fn accept(&mut self, now: Millis, mut request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let (class, plan) = (usize::from(request.class), usize::from(request.plan));
        if self.settings.rules.budget.is_some() {
            self.accepted.push_back(now);
        }
        let is_known = class < self.settings.classes.len() && plan < self.settings.plans.len();
        if !is_known || !request.deadline.is_finite() || request.deadline - now <= self.settings.tick {
            actions.push(Action::Refuse { request: id, retry_after: self.settings.max_retry_after });
            return;
        }
        request.units = if request.units.is_finite() { request.units.max(1e-3) } else { 1.0 };
        let class_settings = &self.settings.classes[class];
        let target_at = (now + class_settings.aim).min(request.deadline);
        if class_settings.ordered && request.key != 0 {
            self.key_queues.entry(request.key).or_default().waiting.push_back(id);
        }
        self.touch_volume(now, plan, &request);
        self.deadlines.insert((request.deadline.max(0.0).to_bits(), id));
        let pending = PendingRequest {
            request,
            class,
            target_at,
            queued: true,
            not_before: now,
            ..PendingRequest::default()
        };
        self.requests.insert(id, pending);
        self.enqueue(now, id, actions);
    }

    fn touch_volume(&mut self, now: Millis, plan: usize, request: &Request) {
        let is_known = (1.0..=f64::MAX).contains(&request.volume_hosts);
        let hosts = if is_known { request.volume_hosts } else { f64::from(self.settings.hosts.max(1)) };
        let settings = &self.settings;
        let volume =
            self.volumes.entry(request.volume).or_insert_with(|| Volume::new(plan, hosts, now, settings));
        volume.hosts = volume.hosts.max(hosts);
        volume.last_request_at = now;
    }

    /// Queues a request for its node, checks the forecast and sends what may go.
    pub(crate) fn enqueue(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let (shard, units) = (pending.request.shard, pending.request.units);
        let (slot, retry_after) = (self.node_for(now, shard, units), self.settings.max_retry_after);
        let (Some(pending), Some(slot)) = (self.requests.get_mut(&id), slot) else {
            return self.finish(now, id, retry_after, actions);
        };
        (pending.node, pending.queued) = (slot, true);
        self.requested_shards.insert(self.nodes[slot].shard);
        let just_arrived = pending.attempts.is_empty().then_some(id);
        self.nodes[slot].queue.push(id);
        self.nodes[slot].queued_units += units;
        self.nodes_with_queue.insert(slot);
        self.serve_queue(now, slot, just_arrived, actions);
    }

    fn handle_attempt_end(&mut self, now: Millis, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&end.request) else { return };
        let attempt = pending.attempts.get_mut(usize::from(end.attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.outcome.is_none()) else { return };
        attempt.outcome = Some(end.outcome);
        let (slot, sent_at, units) = (attempt.node, attempt.sent_at, pending.request.units);
        // An attempt given up for lost has left the node's count already; a late answer shows that the node lives.
        let in_flight = &mut self.nodes[slot].in_flight;
        if let Some(position) = in_flight.iter().position(|attempt| attempt.request == end.request) {
            in_flight.remove(position);
            self.record_attempt_end(now, slot, sent_at, units, end.outcome, actions);
        } else if end.outcome == Outcome::Served {
            (self.nodes[slot].last_answer_at, self.nodes[slot].failures_in_a_row) = (now, 0);
        }
        self.settle_attempt(now, end);
        self.retry_or_finish(now, end, actions);
        self.serve_queue(now, slot, None, actions);
    }

    /// What an attempt's end means for its volume and its key.
    fn settle_attempt(&mut self, now: Millis, end: &AttemptEnd) {
        let Some(pending) = self.requests.get_mut(&end.request) else { return };
        if let Some(volume) = self.volumes.get_mut(&pending.request.volume) {
            volume.deduct_elsewhere(end.elsewhere);
        }
        let may_still_run = matches!(end.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if may_still_run && let Some(key_queue) = self.key_queues.get_mut(&pending.request.key) {
            // A tick longer than asked.
            key_queue.blocked_until = Some(now + self.settings.rules.key_rest + self.settings.tick);
        }
    }

    fn retry_or_finish(&mut self, now: Millis, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&end.request) else { return };
        if end.over || pending.answered {
            self.close(end.request);
        } else if pending.in_flight() == 0 {
            pending.streaming = false;
            let pause = self.tightest_target * RETRY_PAUSE_PART;
            pending.not_before = now + if never_ran(Some(end.outcome)) { pause } else { 0.0 };
            if end.outcome == Outcome::TimedOut || !self.may_retry(now, end.request) {
                let retry_after = self.settings.max_retry_after;
                self.finish(now, end.request, retry_after, actions);
            } else {
                self.enqueue(now, end.request, actions);
            }
        }
    }

    /// Everything that time alone brings: deadlines, cool-downs, pauses, refills.
    pub(crate) fn handle_timer(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while let Some(&(_, id)) = self.deadlines.first().filter(|due| f64::from_bits(due.0) <= now) {
            self.deadlines.pop_first();
            if self.requests.get(&id).is_some_and(|pending| !pending.streaming) {
                self.finish(now, id, 0.0, actions);
            }
        }
        for slot in std::mem::take(&mut self.nodes_with_queue) {
            self.serve_queue(now, slot, None, actions);
            if !self.nodes[slot].queue.is_empty() {
                self.nodes_with_queue.insert(slot);
            }
        }
        if self.key_queues.len() > MAX_REMEMBERED {
            self.key_queues.retain(|_, key_queue| {
                !key_queue.waiting.is_empty() || key_queue.blocked_until.is_some_and(|until| now < until)
            });
        }
        if self.volumes.len() > MAX_REMEMBERED {
            self.volumes.retain(|_, volume| volume.last_request_at > now - IDLE_VOLUME_AFTER);
        }
    }
}

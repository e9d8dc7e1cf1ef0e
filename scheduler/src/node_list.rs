//! The list of nodes: when it is asked for, what an update changes, and which node holds a shard.

use crate::events::{Action, ListKind, NodeEntry, NodeState, RequestId};
use crate::node::Node;
use crate::scheduler::Scheduler;
use crate::token_bucket::TokenBucket;
use crate::units::{Millis, Units};
use std::collections::BTreeSet;

/// The first wait before the list is asked for again, as a part of the tightest latency target: what a lost answer
/// would have said counts as known two seconds after it was due.
const FIRST_BACKOFF_PART: f64 = 0.5;
/// The time between two hosts' requests for the list, where all may ask together.
const REQUEST_SPACING: Millis = 50.0;
/// The longest wait after a failed request for the list; before the first request, four of it. A change counts as known
/// after 6 s: two requests that fall silent (2.1 s each) and this twice leave half a second.
const MAX_BACKOFF: Millis = 600.0;
/// Added to the forecast of a suspect node, in milliseconds: any other node is better for a new object.
const SUSPECT_PENALTY: Millis = 1e9;

impl Scheduler {
    /// Spreads the first requests of hosts that start together.
    pub(crate) fn schedule_first_list_request(&mut self, now: Millis) {
        let place = f64::from(self.settings.host) + self.random();
        let wait = self.request_window() * place / f64::from(self.settings.hosts.max(1));
        self.list_request_at = self.settings.ask_for_list.then_some(now + wait);
        self.list_backoff = self.first_backoff();
    }

    /// The time in which every host may ask for the list once.
    fn request_window(&self) -> Millis {
        (f64::from(self.settings.hosts) * REQUEST_SPACING).min(4.0 * MAX_BACKOFF)
    }

    /// The first wait after a failed request. Guards against a fleet whose failed requests come back together and keep
    /// discovery busy with requests that end too late, so that nobody ever learns of a change.
    fn first_backoff(&self) -> Millis {
        (self.tightest_target * FIRST_BACKOFF_PART).max(self.request_window()).min(MAX_BACKOFF)
    }

    pub(crate) fn handle_list(
        &mut self,
        now: Millis,
        kind: ListKind,
        entries: &[NodeEntry],
        actions: &mut Vec<Action>,
    ) {
        if kind == ListKind::Failed {
            self.schedule_list_retry(now);
            return;
        }
        if kind != ListKind::Cached {
            self.list_backoff = self.first_backoff();
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            for node in &mut self.nodes {
                node.state = NodeState::Gone;
            }
        }
        for entry in entries {
            self.apply_entry(now, entry);
        }
        for id in self.take_stranded() {
            self.enqueue(now, id, actions);
        }
        self.handle_timer(now, actions);
        self.forget_removed_nodes(now);
    }

    /// The request failed or the subscription broke: asks again, later each time, hosts out of step.
    fn schedule_list_retry(&mut self, now: Millis) {
        if self.settings.ask_for_list {
            self.list_request_at = Some(now + self.list_backoff * (0.5 + 0.5 * self.random()));
            self.list_backoff = (self.list_backoff * 2.0).min(MAX_BACKOFF);
        }
    }

    fn apply_entry(&mut self, now: Millis, entry: &NodeEntry) {
        let slot = self.slot_of(now, entry);
        let place = f64::from(self.settings.host) + self.random();
        let window = self.settings.rules.fall_window;
        // Hosts' debts lie side by side, from a place of the node's own, so that few first sends cluster.
        let place = place / f64::from(self.settings.hosts.max(1)) + f64::from(entry.node.port) / 65_536.0;
        let node = &mut self.nodes[slot];
        (node.zone, node.shard, node.state) = (entry.zone, entry.shard, entry.state);
        if entry.started.is_finite() && entry.started > node.started {
            // A new process: what failed before says nothing of it.
            node.started = entry.started;
            node.failures_in_a_row = 0;
            // Debts run from the end of a predecessor's window, or all are paid within it.
            let from = if entry.started <= self.started_at { now.max(self.started_at + window) } else { now };
            node.warm_up_debt = TokenBucket::new(-self.settings.mean_units * place.fract(), from);
        }
        let (is_ready, started) = (node.state == NodeState::Ready, node.started);
        let holder = self.shard_nodes.entry(node.shard).or_insert(slot);
        let held_by = &self.nodes[*holder];
        if is_ready && (held_by.state != NodeState::Ready || started >= held_by.started) {
            *holder = slot;
        }
    }

    /// The slot of a listed node; a free one where it is new.
    fn slot_of(&mut self, now: Millis, entry: &NodeEntry) -> usize {
        if let Some(&slot) = self.slots.get(&entry.node) {
            return slot;
        }
        let slot = self.free_slots.pop().unwrap_or(self.nodes.len());
        if slot == self.nodes.len() {
            self.nodes.push(Node::default());
        }
        self.slots.insert(entry.node, slot);
        self.nodes[slot] = Node::listed(entry.node, now);
        slot
    }

    /// Empties the queues of nodes that take no work any more.
    fn take_stranded(&mut self) -> Vec<RequestId> {
        let not_ready = self.nodes.iter_mut().filter(|node| node.state != NodeState::Ready);
        not_ready
            .flat_map(|node| {
                node.queued_units = 0.0;
                std::mem::take(&mut node.queue)
            })
            .collect()
    }

    /// Frees the slots of nodes that were removed, have a successor and are named by no request. Guards against growth
    /// where nodes are replaced for ever; one that may come back keeps its shard and what was learnt of it. While it
    /// would still be warming up it may come back so, and what it was sent counts on.
    fn forget_removed_nodes(&mut self, now: Millis) {
        let attempts = self.requests.values().flat_map(|pending| &pending.attempts);
        let named = attempts.map(|attempt| attempt.node);
        let named = named.chain(self.requests.values().map(|pending| pending.node));
        let named: BTreeSet<usize> = named.chain(self.shard_nodes.values().copied()).collect();
        let (nodes, free_slots) = (&mut self.nodes, &mut self.free_slots);
        let warm_up = self.settings.rules.cold_for;
        self.slots.retain(|_, &mut slot| {
            let node = &nodes[slot];
            let is_warming_up = now < node.started + warm_up;
            let stays = node.state != NodeState::Gone || is_warming_up || named.contains(&slot);
            if !stays {
                nodes[slot] = Node::default();
                free_slots.push(slot);
            }
            stays
        });
    }

    /// How many nodes are remembered.
    pub fn remembered_nodes(&self) -> usize {
        self.slots.len()
    }

    /// The slot of the node for a request: the shard's, or for a new object the one with the shortest forecast. `None`
    /// where no node is ready.
    pub(crate) fn node_for(&self, now: Millis, shard: Option<u32>, units: Units) -> Option<usize> {
        let is_ready = |&slot: &usize| self.nodes[slot].state == NodeState::Ready;
        if let Some(shard) = shard {
            return self.shard_nodes.get(&shard).copied().filter(is_ready);
        }
        let wait = |slot: usize| {
            let node = &self.nodes[slot];
            let penalty = if node.is_suspect() { SUSPECT_PENALTY } else { 0.0 };
            let ahead = node.queued_units + node.in_flight_units + units;
            let work = ahead / self.service_rate(now, slot).unwrap_or(1.0);
            penalty + work * 1000.0 + (self.opens_at(slot, self.best_value) - now).max(0.0)
        };
        let ready = self.shard_nodes.values().copied().filter(is_ready);
        ready.min_by(|&a, &b| wait(a).total_cmp(&wait(b)))
    }
}

//! The platform's rules on attempts: every send passes [`Scheduler::may_send`], which is true only where no rule can be
//! broken by it.

use crate::events::{NodeState, RequestId};
use crate::request::PendingRequest;
use crate::scheduler::Scheduler;
use crate::settings::{Group, Repeat};
use crate::units::Millis;

impl Scheduler {
    /// Whether an attempt may be sent to this node now.
    pub(crate) fn may_send(&mut self, now: Millis, id: RequestId, slot: usize) -> bool {
        let Some(pending) = self.requests.get(&id) else { return false };
        let is_first = pending.attempts.is_empty();
        let (units, volume, charged) = (pending.request.units, pending.request.volume, pending.charged);
        self.is_due(now, pending)
            && self.is_served_by(pending, slot)
            && pending.in_flight() == 0
            && self.may_retry(now, id)
            && self.keeps_repeat_group(pending, slot)
            && self.is_next_of_its_key(now, id, pending)
            && (is_first || self.has_retry_budget(now))
            && (charged || self.is_within_limit(now, volume, units))
            && self.warm_up_wait(now, slot, units, 0.0) <= 0.0
    }

    /// Whether the rules could ever let a request have another attempt.
    pub(crate) fn may_retry(&self, now: Millis, id: RequestId) -> bool {
        let Some(pending) = self.requests.get(&id) else { return false };
        let class = &self.settings.classes[pending.class];
        let has_attempts_left = pending.attempts.len() < self.settings.max_attempts.max(1) as usize;
        let is_harmless = match (class.repeat, pending.may_have_run()) {
            (_, None) | (Repeat::Safe, _) => true,
            (Repeat::Unsafe, _) => false,
            (Repeat::Keyed, Some(first)) => now <= first.sent_at + class.repeat_window - self.settings.tick,
        };
        has_attempts_left && is_harmless && now + self.settings.tick < pending.request.deadline
    }

    /// Never after the end, nor for a moment that is as good as the end.
    fn is_due(&self, now: Millis, pending: &PendingRequest) -> bool {
        let is_over = pending.answered || now + self.settings.tick >= pending.request.deadline;
        !is_over && pending.queued && now >= pending.not_before
    }

    /// Only the node that holds the data. Drains: nothing new from the moment in which the list says so.
    fn is_served_by(&self, pending: &PendingRequest, slot: usize) -> bool {
        let node = &self.nodes[slot];
        pending.request.shard.is_none_or(|shard| shard == node.shard) && node.state == NodeState::Ready
    }

    /// No effect twice: a keyed request stays with the nodes that know its first attempt.
    fn keeps_repeat_group(&self, pending: &PendingRequest, slot: usize) -> bool {
        let class = &self.settings.classes[pending.class];
        let (Repeat::Keyed, Some(first)) = (class.repeat, pending.may_have_run()) else { return true };
        let (first, node) = (&self.nodes[first.node], &self.nodes[slot]);
        match class.group {
            Group::All => true,
            Group::Zone => first.zone == node.zone,
            Group::Shard => first.shard == node.shard,
        }
    }

    /// Requests of one key run one at a time, and not while an attempt may still be running.
    fn is_next_of_its_key(&self, now: Millis, id: RequestId, pending: &PendingRequest) -> bool {
        let class = &self.settings.classes[pending.class];
        if !class.ordered || pending.request.key == 0 {
            return true;
        }
        self.key_queues.get(&pending.request.key).is_some_and(|key_queue| {
            let is_free = key_queue.blocked_until.is_none_or(|until| now >= until);
            key_queue.waiting.front() == Some(&id) && (is_free || !pending.attempts.is_empty())
        })
    }

    /// The budget of attempts beyond each request's first.
    fn has_retry_budget(&mut self, now: Millis) -> bool {
        let Some(budget) = self.settings.rules.budget else { return true };
        let tick = self.settings.tick;
        let from = now - budget.window;
        self.retries.retain(|&at| at >= from - tick);
        self.accepted.retain(|&at| at > from + tick);
        let allowed = budget.free + budget.share * self.accepted.len() as f64;
        (self.retries.len() + 1) as f64 <= allowed
    }

    /// The first send draws from this host's part of the volume's limit.
    fn is_within_limit(&mut self, now: Millis, volume: u64, units: f64) -> bool {
        let settings = &self.settings;
        let volume = self.volumes.get_mut(&volume);
        volume.is_some_and(|volume| volume.limit_wait(now, settings, units) <= 0.0)
    }
}

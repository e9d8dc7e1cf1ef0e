//! Final answers: one for each request, and a refusal only where a retry can do no harm.

use crate::events::{Action, RequestId};
use crate::request::PendingRequest;
use crate::scheduler::Scheduler;
use crate::settings::{Group, Repeat};
use crate::units::Millis;

impl Scheduler {
    /// The one place that gives final answers. `wait` is how long the client should stay away, if it is refused.
    pub(crate) fn finish(&mut self, now: Millis, id: RequestId, wait: Millis, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id).filter(|pending| !pending.answered) else { return };
        if self.may_client_retry(pending) && now < pending.request.deadline {
            let tick = self.settings.tick;
            let retry_after = wait.clamp(tick, self.settings.max_retry_after.max(tick));
            actions.push(Action::Refuse { request: id, retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
        if self.settings.may_cancel {
            let attempts = pending.attempts.iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.outcome.is_none());
            actions
                .extend(in_flight.map(|(number, _)| Action::Cancel { request: id, attempt: number as u16 }));
        }
        self.close(id);
    }

    /// Whether a retry by the client can do no harm.
    fn may_client_retry(&self, pending: &PendingRequest) -> bool {
        let class = &self.settings.classes[pending.class];
        let repeats_are_dropped = class.repeat == Repeat::Keyed && class.group == Group::All;
        class.repeat == Repeat::Safe || repeats_are_dropped || pending.may_have_run().is_none()
    }

    /// A request is over: it is forgotten once all its attempts have their outcomes, and the next of its key may go.
    pub(crate) fn close(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        pending.answered = true;
        if pending.queued {
            pending.queued = false;
            if let Some(node) = self.nodes.get_mut(pending.node) {
                node.dequeue(id, pending.request.units);
            }
        }
        if pending.in_flight() > 0 {
            return;
        }
        self.deadlines.remove(&(pending.request.deadline.max(0.0).to_bits(), id));
        if let Some(key_queue) = self.key_queues.get_mut(&pending.request.key) {
            key_queue.waiting.retain(|&other| other != id);
        }
        self.requests.remove(&id);
    }
}

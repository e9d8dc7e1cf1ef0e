//! The states of a call: assigned to a scheduler, queued, delayed, unassigned, ended. Guarantees that a call
//! is in one state at a time and ends once, by an answer, by its deadline or by being dropped.

use super::{Action, CallState, Engine, NoRetryReason, Timer, Verdict};
use crate::decide::retry_policy::{MayHaveRunCause, NeverRanCause};
use crate::decide::scheduler::{Availability, EjectionCause, Health};
use crate::decide::{CallId, Instant, timer_wheel};
use rand::RngExt;

/// Where a call's next attempt goes.
struct Choice {
    /// The scheduler, where any takes work.
    chosen: Option<u32>,
    /// The schedulers of the volume, most fitting first.
    ranked: Vec<u32>,
}

impl Engine {
    /// Finds a call its state: sent at once, queued, delayed, unassigned, or ended.
    pub(super) fn route(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let min_remaining = self.rules.classes[usize::from(call.class)].min_remaining;
        let (volume, deadline) = (call.volume, call.deadline);
        if now + min_remaining >= deadline {
            return self.finish_without_time(id, actions);
        }
        if let Some(until) = self.volumes.paused_until(now, volume) {
            if until + min_remaining >= deadline {
                let retry_after = Some(now.until(until));
                return self.finish(id, Verdict::Refused { retry_after, why: NoRetryReason::Held }, actions);
            }
            return self.delay_call(now, id, until);
        }
        let Some(Choice { chosen, ranked }) = self.choose_scheduler(now, id) else { return };
        match chosen {
            Some(number) => self.assign(now, id, number, actions),
            None => self.leave_unassigned(id, actions),
        }
        for number in ranked {
            self.probe_due(now, number, actions);
        }
    }

    /// The scheduler of a call's next attempt: the preferred one while it is ready, otherwise the volume's
    /// choice among the most available ones. Marks every scheduler of the volume as in demand.
    fn choose_scheduler(&mut self, now: Instant, id: CallId) -> Option<Choice> {
        let call = self.calls.get(&id)?;
        let set = &self.sets[usize::from(call.set)];
        let volume = self.volumes.volume(now, call.volume, set.version, &set.members);
        let schedulers = &mut self.schedulers;
        for &number in volume.ranked() {
            if let Some(scheduler) = schedulers.get_mut(&number) {
                scheduler.last_demand = now;
            }
        }
        let load_at = |number: u32, availability: Availability| {
            let scheduler = schedulers.get(&number)?;
            (scheduler.availability(now)? <= availability).then(|| scheduler.load())
        };
        let mut choose =
            |availability| volume.choose(set.spread, call.avoided, |number| load_at(number, availability));
        let preferred =
            call.preferred_scheduler.filter(|&number| load_at(number, Availability::Ready).is_some());
        let chosen = preferred
            .or_else(|| choose(Availability::Ready))
            .or_else(|| choose(Availability::Recovering))
            .or_else(|| choose(Availability::Draining));
        Some(Choice { chosen, ranked: volume.ranked().to_vec() })
    }

    /// Queues a call until some scheduler of its set takes work.
    pub(super) fn leave_unassigned(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let most = self.rules.connections.max_queued;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.state = CallState::Unassigned;
        let (volume, deadline) = (call.volume, call.deadline);
        if let Some(loser) = self.sets[usize::from(call.set)].unassigned.push(id, volume, deadline, most) {
            self.finish_queue_full(loser, actions);
        }
    }

    /// Sends a call on an idle connection, or queues it for one.
    pub(super) fn assign(&mut self, now: Instant, id: CallId, number: u32, actions: &mut Vec<Action>) {
        if let Some(connection) = self.pop_idle(now, number, actions) {
            return self.send(now, id, connection, actions);
        }
        // Guards against a queue that never drains: the idle connections of a leaving scheduler were too old.
        if self.schedulers.get(&number).is_none_or(|scheduler| scheduler.health != Health::Healthy) {
            return self.leave_unassigned(id, actions);
        }
        let most = self.rules.connections.max_queued;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.state = CallState::Queued(number);
        let (volume, deadline) = (call.volume, call.deadline);
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        if let Some(loser) = scheduler.queue.push(id, volume, deadline, most) {
            self.finish_queue_full(loser, actions);
        }
        self.plan_connections(now, number, actions);
    }

    pub(super) fn finish_queue_full(&mut self, loser: CallId, actions: &mut Vec<Action>) {
        let verdict = Verdict::Refused { retry_after: None, why: NoRetryReason::LineFull };
        self.end_call(loser, verdict, actions);
    }

    /// Delays a call until then, plus a random jitter as far as its deadline allows.
    pub(super) fn delay_call(&mut self, now: Instant, id: CallId, until: Instant) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let latest = Instant(call.deadline.0.saturating_sub(
            self.rules.classes[usize::from(call.class)].min_remaining.as_micros() as u64
                + 2 * timer_wheel::TICK,
        ));
        let room = until.until(latest).min(self.rules.return_jitter);
        let at = until.max(now) + room.mul_f64(self.rng.random_range(0.0..1.0));
        call.state = CallState::Delayed(self.timers.start(at, Timer::DelayElapsed(id)));
    }

    /// A call's deadline has passed.
    pub(super) fn deadline_passed(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let CallState::InFlight { connection, since } = call.state else {
            return self.finish_without_time(id, actions);
        };
        let number = self.connections.get(&connection).map(|connection| connection.scheduler);
        actions.push(Action::Close { connection });
        self.remove_connection(connection);
        self.end_call(id, Verdict::MayHaveRun(MayHaveRunCause::Silent), actions);
        let Some(number) = number else { return };
        // Only a scheduler that has answered nothing at all since then is unresponsive; one that answers
        // other calls has left a single one unanswered.
        let unresponsive = self
            .schedulers
            .get(&number)
            .is_some_and(|s| s.health == Health::Healthy && s.last_response <= since);
        if unresponsive {
            self.eject(now, number, EjectionCause::Unresponsive, actions);
        }
        self.plan_connections(now, number, actions);
    }

    /// Ends a call that is not in flight and has no time left for an attempt.
    pub(super) fn finish_without_time(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let verdict = match (call.last_refusal, call.history.may_have_run) {
            (Some(retry_after), _) => Verdict::Refused { retry_after, why: NoRetryReason::NoTime },
            (None, Some(may_have_run)) => Verdict::MayHaveRun(may_have_run),
            (None, None) => Verdict::NeverRan(NeverRanCause::NotTried),
        };
        self.finish(id, verdict, actions);
    }

    pub(super) fn dropped(&mut self, now: Instant, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let out_on = match call.state {
            CallState::InFlight { connection, .. } => Some(connection),
            _ => None,
        };
        self.leave_state(id);
        if let Some(call) = self.calls.remove(&id) {
            self.timers.cancel(call.timer);
        }
        if let Some(connection) = out_on {
            let number = self.connections.get(&connection).map(|connection| connection.scheduler);
            actions.push(Action::Close { connection });
            self.remove_connection(connection);
            if let Some(number) = number {
                self.plan_connections(now, number, actions);
            }
        }
    }

    pub(super) fn leave_state(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        match call.state {
            CallState::Delayed(key) => {
                self.timers.cancel(key);
            }
            CallState::Queued(number) => {
                if let Some(scheduler) = self.schedulers.get_mut(&number) {
                    scheduler.queue.remove(id, call.deadline);
                }
            }
            CallState::Unassigned => {
                self.sets[usize::from(call.set)].unassigned.remove(id, call.deadline);
            }
            CallState::InFlight { .. } => {}
        }
    }

    pub(super) fn finish(&mut self, id: CallId, verdict: Verdict, actions: &mut Vec<Action>) {
        self.leave_state(id);
        self.end_call(id, verdict, actions);
    }

    /// Ends a call that is in no queue and has no timer but its deadline's.
    pub(super) fn end_call(&mut self, id: CallId, verdict: Verdict, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.timers.cancel(call.timer);
        actions.push(Action::Finish { call: id, verdict });
    }

    pub(super) fn reroute(&mut self, now: Instant, calls: Vec<CallId>, actions: &mut Vec<Action>) {
        for id in calls {
            if let Some(call) = self.calls.get_mut(&id) {
                call.state = CallState::Unassigned;
                self.route(now, id, actions);
            }
        }
    }

    /// Routes the calls that no scheduler could take.
    pub(super) fn reroute_unassigned(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for set in 0..self.sets.len() {
            let waiting = self.sets[set].unassigned.drain();
            self.reroute(now, waiting, actions);
        }
    }
}

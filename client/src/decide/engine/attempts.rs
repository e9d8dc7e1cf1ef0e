//! Attempts: sent, judged by how they ended, followed by a retry or by the call's end. Guards against an
//! attempt that is doubled while it may still run, and against retries beyond a call's limits and the common
//! budget.

use super::{Action, CallState, Connection, ConnectionUse, Engine, NoRetryReason, SchedulerEvent, Verdict};
use crate::decide::retry_policy::{
    self, AttemptHistory, AttemptOutcome, MayHaveRunCause, NeverRanCause, RetryDecision, RetryDelay,
};
use crate::decide::scheduler::{EjectionCause, Health};
use crate::decide::{CallId, ConnectionId, Instant, volumes};
use rand::RngExt;

/// An attempt that has just ended.
#[derive(Clone, Copy, Debug)]
struct EndedAttempt {
    call: CallId,
    /// The scheduler that it was sent to.
    scheduler: u32,
    end: AttemptOutcome,
}

/// Whether the scheduler answered completely, whatever it answered: the connection and the scheduler work.
fn is_complete_answer(end: AttemptOutcome) -> bool {
    matches!(
        end,
        AttemptOutcome::Served
            | AttemptOutcome::Refused { .. }
            | AttemptOutcome::MayHaveRun(MayHaveRunCause::Reported(_))
    )
}

/// Whether the connection broke under the request. A reused connection that ended without an answer does not
/// count: the scheduler may have closed it as idle.
fn is_broken_connection(end: AttemptOutcome) -> bool {
    matches!(
        end,
        AttemptOutcome::NeverRan(NeverRanCause::Unfinished)
            | AttemptOutcome::MayHaveRun(
                MayHaveRunCause::Broken { kept: false } | MayHaveRunCause::Cut | MayHaveRunCause::Unreadable
            )
    )
}

/// How a call ends whose last attempt is final.
fn final_verdict(end: AttemptOutcome, history: AttemptHistory) -> Verdict {
    match end {
        AttemptOutcome::Served => Verdict::Served,
        AttemptOutcome::Refused { retry_after } => {
            Verdict::Refused { retry_after, why: NoRetryReason::TriesSpent }
        }
        AttemptOutcome::MayHaveRun(cause) => Verdict::MayHaveRun(cause),
        AttemptOutcome::NeverRan(cause) => match history.may_have_run {
            Some(earlier) => Verdict::MayHaveRun(earlier),
            None => Verdict::NeverRan(cause),
        },
    }
}

/// How a call ends that would be retried, were there time and budget. An earlier attempt that may have run
/// decides over a later one that never did.
fn verdict_without_retry(end: AttemptOutcome, history: AttemptHistory, why: NoRetryReason) -> Verdict {
    match (end, history.may_have_run) {
        (AttemptOutcome::Refused { retry_after }, _) => Verdict::Refused { retry_after, why },
        (_, Some(cause)) => Verdict::MayHaveRun(cause),
        (AttemptOutcome::NeverRan(cause), None) => Verdict::NeverRan(cause),
        (AttemptOutcome::Served | AttemptOutcome::MayHaveRun(_), None) => {
            unreachable!("a served call is final, and an attempt that may have run is recorded before")
        }
    }
}

impl Engine {
    pub(super) fn send(
        &mut self,
        now: Instant,
        id: CallId,
        connection: ConnectionId,
        actions: &mut Vec<Action>,
    ) {
        let (Some(call), Some(open)) = (self.calls.get_mut(&id), self.connections.get_mut(&connection))
        else {
            return;
        };
        let Some(scheduler) = self.schedulers.get(&open.scheduler) else { return };
        call.state = CallState::InFlight { connection, since: now };
        open.usage = ConnectionUse::InFlight(id);
        let set = &self.sets[usize::from(call.set)];
        let host_count = set.spread.min(set.members.len()).max(1);
        actions.push(Action::Send {
            call: id,
            connection,
            address: scheduler.address,
            host_count,
            is_retry: call.is_retry,
        });
    }

    /// An attempt ended: its scheduler's record, the call's next step and the connection's next use, in that
    /// order of effects.
    pub(super) fn attempt_ended(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        end: AttemptOutcome,
        reusable: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(&Connection { scheduler, usage: ConnectionUse::InFlight(call) }) =
            self.connections.get(&connection)
        else {
            return;
        };
        let must_eject = self.record_at_scheduler(now, scheduler, end, actions);
        // Before the connection goes to the next call in the queue: guards against calls that are sent on a
        // volume whose refusal has just arrived on that same connection.
        self.record_outcome(now, call, end);
        if reusable {
            self.release_connection(now, connection, actions);
        } else {
            self.remove_connection(connection);
        }
        if must_eject {
            self.eject(now, scheduler, EjectionCause::BrokenConnections, actions);
        }
        self.follow_up(now, EndedAttempt { call, scheduler, end }, actions);
        self.plan_connections(now, scheduler, actions);
    }

    /// Records at the scheduler how an attempt ended; returns whether the scheduler is to be ejected for it.
    fn record_at_scheduler(
        &mut self,
        now: Instant,
        number: u32,
        end: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return false };
        if is_complete_answer(end) {
            scheduler.response_received(now);
            return false;
        }
        let broken = is_broken_connection(end);
        let busy = broken || matches!(end, AttemptOutcome::MayHaveRun(MayHaveRunCause::Broken { .. }));
        scheduler.connection_lost(now, busy, &self.rules.connections, &mut self.rng);
        actions.push(Action::Report(SchedulerEvent::ConnectionLost { address: scheduler.address }));
        broken && scheduler.count_broken_attempt() && scheduler.health == Health::Healthy
    }

    /// Applies what an attempt's end says beyond its own call: to the budget and to the volume's pause.
    fn record_outcome(&mut self, now: Instant, id: CallId, end: AttemptOutcome) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let volume = call.volume;
        match end {
            AttemptOutcome::Served => self.budget.earn(),
            AttemptOutcome::Refused { retry_after } => {
                call.last_refusal = Some(retry_after);
                if let Some(retry_after) = retry_after {
                    self.volumes
                        .pause(volume, now + volumes::pause_duration(retry_after, self.rules.max_pause));
                }
            }
            AttemptOutcome::MayHaveRun(may_have_run) => {
                call.history.may_have_run = call.history.may_have_run.or(Some(may_have_run));
            }
            AttemptOutcome::NeverRan(_) => {}
        }
    }

    /// What follows an attempt that has ended: the call's end, a replacement or a retry.
    fn follow_up(&mut self, now: Instant, ended: EndedAttempt, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&ended.call) else { return };
        let limits = self.rules.classes[usize::from(call.class)].retry;
        match retry_policy::decide_retry(limits, call.history, ended.end) {
            RetryDecision::Final => {
                let verdict = final_verdict(ended.end, call.history);
                self.end_call(ended.call, verdict, actions);
            }
            RetryDecision::Replace => {
                call.history.replaced = true;
                let unfinished = matches!(ended.end, AttemptOutcome::NeverRan(NeverRanCause::Unfinished));
                call.avoided = unfinished.then_some(ended.scheduler);
                self.route(now, ended.call, actions);
            }
            RetryDecision::Retry { when, elsewhere } => {
                self.retry(now, ended, when, elsewhere, actions);
            }
        }
    }

    /// Plans a marked retry, or ends the call where its time or the budget allows none. The backoff is drawn
    /// before either is checked, so that the order of random draws depends on the attempt's outcome alone.
    fn retry(
        &mut self,
        now: Instant,
        ended: EndedAttempt,
        when: RetryDelay,
        elsewhere: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&ended.call) else { return };
        let min_remaining = self.rules.classes[usize::from(call.class)].min_remaining;
        let backoff = self.rules.backoff_bound(call.history.retries);
        let until = match when {
            RetryDelay::Immediately => now,
            // A day's wait ends the call here, however short the volume's own pause is.
            RetryDelay::RetryAfter(Some(delay)) => now + delay,
            RetryDelay::RetryAfter(None) | RetryDelay::Backoff => {
                now + backoff.mul_f64(self.rng.random_range(0.0..1.0))
            }
        };
        let no_retry = if until + min_remaining >= call.deadline {
            Some(NoRetryReason::NoTime)
        } else if !self.budget.spend() {
            Some(NoRetryReason::BudgetSpent)
        } else {
            None
        };
        if let Some(why) = no_retry {
            let verdict = verdict_without_retry(ended.end, call.history, why);
            return self.end_call(ended.call, verdict, actions);
        }
        call.history.retries += 1;
        call.is_retry = true;
        (call.preferred_scheduler, call.avoided) =
            if elsewhere { (None, Some(ended.scheduler)) } else { (Some(ended.scheduler), None) };
        self.delay_call(now, ended.call, until);
    }
}

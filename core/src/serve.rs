//! Serves one request, from arrival to its one final answer.

use crate::clock::span;
use crate::counts::Final;
use crate::gate::AttemptGate;
use crate::guard::{Admission, AdmissionGuard};
use crate::nodes::Target;
use crate::request::{Answer, Attempt, Ended, NewRequest, Report, Transport};
use crate::state::{Command, Core};
use futures_util::FutureExt;
use futures_util::future::{AbortHandle, Abortable};
use futures_util::stream::{FuturesUnordered, StreamExt};
use pointcross_scheduler::{AttemptEnd, Event, Outcome, Repeat, Request, RequestId};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

impl Core {
    /// Serves one request.
    ///
    /// Cancellation: dropping this future means that the client has left. Attempts in flight are given up, which closes
    /// their connections, and the decision module is notified.
    pub async fn serve<T: Transport>(
        &self,
        transport: &T,
        call: &T::Call,
        request: NewRequest,
    ) -> Answer<T::Answer> {
        let class = request.class;
        let answer = self.serve_counted(transport, call, request).await;
        let how = match &answer {
            Answer::Served(_) => Final::Success,
            Answer::Refused { .. } => Final::Busy,
            Answer::Failed => Final::Failure,
        };
        self.counts().answered(class, how);
        answer
    }

    async fn serve_counted<T: Transport>(
        &self,
        transport: &T,
        call: &T::Call,
        request: NewRequest,
    ) -> Answer<T::Answer> {
        let (deadline, writes) = (request.deadline, request.writes);
        let mut admission = None;
        let mut attempt_limit = None;
        if let Some(guard) = self.guard() {
            match guard.admit(self.now(), &request) {
                Admission::Unrestricted => {}
                Admission::Counted { node, limit } => {
                    attempt_limit = limit;
                    admission = Some(CountedAdmission { core: self, guard: &**guard, node });
                }
                Admission::Refused { retry_after } => return Answer::Refused { retry_after },
            }
        }
        // Held until this future ends: dropped, it releases the count.
        let _admission = admission;
        let mut open = OpenRequest::register(self, request);
        // Declared after `open`, so dropped before it: attempts end before the module is notified that they did.
        let mut attempts = FuturesUnordered::new();
        loop {
            tokio::select! {
                biased;
                Some(command) = open.commands.recv() => match command {
                    Command::Send { target, time_limit, open: listed } => {
                        let limits = time_limit.map(span).into_iter().chain(attempt_limit);
                        let until = limits.fold(deadline, |until, limit| until.min(Instant::now() + limit));
                        let (attempt, registration) = open.begin(target, until, listed);
                        let number = usize::from(attempt.number);
                        let run = tokio::time::timeout_at(until, transport.attempt(attempt, call));
                        attempts.push(Abortable::new(run, registration).map(move |end| (number, end)));
                    }
                    Command::Cancel { attempt } => open.cancel(attempt),
                    Command::Refuse { retry_after } => {
                        open.answered = true;
                        return Answer::Refused { retry_after: span(retry_after) };
                    }
                    Command::Fail => {
                        open.answered = true;
                        return Answer::Failed;
                    }
                },
                Some((number, end)) = attempts.next() => {
                    let (outcome, report, answer) = match end {
                        Err(_aborted) => (Outcome::Cancelled, Report::default(), None),
                        Ok(Err(_elapsed)) => (Outcome::TimedOut, Report::default(), None),
                        Ok(Ok(Ended { end, report })) => {
                            let (outcome, answer) = end.split();
                            (outcome, report, answer)
                        }
                    };
                    open.answered = answer.is_some();
                    let ejected_for = open.attempt_ended(number, outcome, report);
                    if let Some(answer) = answer {
                        return Answer::Served(answer);
                    }
                    let never_ran =
                        matches!(outcome, Outcome::NoConnection | Outcome::Full | Outcome::NotSent);
                    if let Some(retry_after) = ejected_for.filter(|_| never_ran || !writes) {
                        return Answer::Refused { retry_after };
                    }
                }
            }
        }
    }
}

/// An attempt that has no outcome yet.
struct InFlightAttempt {
    target: Target,
    sent: Instant,
    abort: AbortHandle,
}

/// An open request's entry in the table. Dropped, it notifies the decision module of what became of it.
struct OpenRequest<'a> {
    core: &'a Core,
    id: RequestId,
    commands: mpsc::UnboundedReceiver<Command>,
    attempts: Vec<Option<InFlightAttempt>>,
    answered: bool,
    units: f64,
    class: usize,
    /// When the first attempt that may have run was decided on: what is dropped as a repeat counts from it.
    first_run: Option<Instant>,
}

/// A request that the guard counts; dropped, it releases the count.
struct CountedAdmission<'a> {
    core: &'a Core,
    guard: &'a dyn AdmissionGuard,
    node: String,
}

impl Drop for CountedAdmission<'_> {
    fn drop(&mut self) {
        self.guard.released(self.core.now(), &self.node);
    }
}

impl<'a> OpenRequest<'a> {
    fn register(core: &'a Core, request: NewRequest) -> Self {
        let (deadline, units) = (core.clock().at(request.deadline), request.units);
        let class = usize::from(request.class);
        let (id, commands) = core.register(|id| {
            Event::Arrived(Request {
                id,
                class: request.class,
                plan: request.plan,
                key: request.key,
                deadline,
                volume: request.volume,
                units: request.units,
                shard: request.shard,
                volume_hosts: request.volume_hosts,
                client_repeat: request.client_repeat,
                writes: request.writes,
            })
        });
        OpenRequest {
            core,
            id,
            commands,
            attempts: Vec::new(),
            answered: false,
            units,
            class,
            first_run: None,
        }
    }

    fn begin(
        &mut self,
        target: Target,
        until: Instant,
        listed: Arc<AtomicBool>,
    ) -> (Attempt, futures_util::future::AbortRegistration) {
        let (abort, registration) = AbortHandle::new_pair();
        let sent = Instant::now();
        let number = self.attempts.len() as u16;
        self.core.attempt_started(target.node);
        self.attempts.push(Some(InFlightAttempt { target: target.clone(), sent, abort }));
        // Nodes drop repeats of a keyed request for a while only, and a connection may take long to come up.
        let class = self.core.settings().classes.get(self.class);
        let window =
            class.filter(|class| class.repeat == Repeat::Keyed).map(|class| span(class.repeat_window));
        let begin_by = self.first_run.zip(window).map(|(first, window)| first + window);
        let gate = AttemptGate::new(listed, begin_by);
        (Attempt { target, time_left: until.saturating_duration_since(sent), number, gate }, registration)
    }

    fn cancel(&mut self, number: u16) {
        if let Some(Some(attempt)) = self.attempts.get(usize::from(number)) {
            attempt.abort.abort();
        }
    }

    /// Notifies guard and module. Returns for how long the guard ejected the node, where it did.
    fn attempt_ended(&mut self, number: usize, outcome: Outcome, report: Report) -> Option<Duration> {
        let attempt = self.attempts[number].take()?;
        self.core.attempt_ended(attempt.target.node);
        if !matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent) {
            self.first_run = Some(self.first_run.map_or(attempt.sent, |first| first.min(attempt.sent)));
        }
        // What never reached the node is no call to it; everything else may have been written whole.
        if !matches!(outcome, Outcome::NoConnection | Outcome::NotSent) {
            self.core.counts().attempted();
        }
        let elapsed = attempt.sent.elapsed().as_secs_f64() * 1000.0;
        let guard = self.core.guard();
        let ejected_for = guard.and_then(|guard| {
            guard.attempt_ended(self.core.now(), &attempt.target, outcome, self.units, elapsed)
        });
        self.core.notify(Event::Ended(AttemptEnd {
            request: self.id,
            attempt: number as u16,
            node: attempt.target.node,
            outcome,
            elapsed,
            over: self.answered,
            usage: None,
            elsewhere: report.elsewhere,
            load: report.load,
        }));
        ejected_for
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.core.unregister(self.id);
        if !self.answered {
            self.answered = true;
            self.core.notify(Event::Abandoned { request: self.id });
        }
        for number in 0..self.attempts.len() {
            self.attempt_ended(number, Outcome::Cancelled, Report::default());
        }
    }
}

//! The client's decisions as one state machine: an event and the time in, actions out. It owns the state of
//! every open call, connection and timer; `advance` handles the timers that have expired.
//!
//! Each call gets exactly one `Finish`, unless it is dropped first. Between a `Send` and the end of that
//! attempt nothing else is sent for the call, so an attempt that may still run is never doubled.

mod attempts;
mod calls;
mod connections;
mod messages;
mod rules;
mod schedulers;

pub use messages::{Action, Event, NoRetryReason, SchedulerEvent, Verdict};
pub use rules::{ClassRules, Rules, SetRules};

use super::call_queue::CallQueue;
use super::retry_budget::RetryBudget;
use super::retry_policy::AttemptHistory;
use super::scheduler::Scheduler;
use super::timer_wheel::{TimerKey, TimerWheel};
use super::volumes::{Candidate, Volumes};
use super::{CallId, ConnectionId, Instant};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// What a timer does when it expires. A number names a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timer {
    /// The call's deadline.
    Deadline(CallId),
    /// The call's delay is over: it is routed again.
    DelayElapsed(CallId),
    /// A planned connection is opened.
    OpenConnection(u32),
    /// A connection, or a probe, took too long.
    OpenTimeout(ConnectionId),
    /// Connections that were idle for too long are closed.
    CloseIdle(u32),
    /// An ejected scheduler may be probed.
    Probe(u32),
}

/// Where a call stands; it is in exactly one state.
#[derive(Debug)]
enum CallState {
    /// Waiting for the end of a pause or a backoff.
    Delayed(TimerKey),
    /// Waiting for a connection to this scheduler.
    Queued(u32),
    /// Waiting until some scheduler of the set takes work; also between two states.
    Unassigned,
    /// An attempt was sent and has not ended.
    InFlight { connection: ConnectionId, since: Instant },
}

/// An open call.
#[derive(Debug)]
struct Call {
    class: u16,
    set: u16,
    volume: u64,
    deadline: Instant,
    timer: TimerKey,
    history: AttemptHistory,
    /// The `Retry-After` of the last refusal, once the call was refused.
    last_refusal: Option<Option<Duration>>,
    /// The scheduler to send the next attempt to, or to avoid, if possible.
    preferred_scheduler: Option<u32>,
    avoided: Option<u32>,
    is_retry: bool,
    state: CallState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionUse {
    Opening(TimerKey),
    Probing(TimerKey),
    Idle,
    InFlight(CallId),
}

/// A connection from its opening until it is closed.
#[derive(Debug)]
struct Connection {
    scheduler: u32,
    usage: ConnectionUse,
}

/// A set of schedulers.
#[derive(Debug)]
struct Set {
    members: Vec<Candidate>,
    version: u64,
    spread: usize,
    /// Calls for which no scheduler takes work.
    unassigned: CallQueue,
}

/// The state machine.
#[derive(Debug)]
pub struct Engine {
    rules: Rules,
    sets: Vec<Set>,
    /// By number; numbers are never reused.
    schedulers: BTreeMap<u32, Scheduler>,
    next_scheduler: u32,
    calls: HashMap<CallId, Call>,
    connections: HashMap<ConnectionId, Connection>,
    next_connection: u64,
    volumes: Volumes,
    budget: RetryBudget,
    timers: TimerWheel<Timer>,
    fired: Vec<Timer>,
    rng: SmallRng,
}

impl Engine {
    /// An engine without calls or connections.
    pub fn new(rules: Rules) -> Self {
        let mut engine = Engine {
            sets: Vec::new(),
            schedulers: BTreeMap::new(),
            next_scheduler: 0,
            calls: HashMap::new(),
            connections: HashMap::new(),
            next_connection: 0,
            volumes: Volumes::default(),
            budget: RetryBudget::new(rules.retry_budget_ratio, rules.retry_budget_burst),
            timers: TimerWheel::default(),
            fired: Vec::new(),
            rng: SmallRng::seed_from_u64(rules.seed),
            rules,
        };
        for set in engine.rules.sets.clone() {
            let unassigned = CallQueue::default();
            engine.sets.push(Set { members: Vec::new(), version: 0, spread: set.spread, unassigned });
            let number = engine.sets.len() - 1;
            engine.replace_members(number, &set.schedulers);
        }
        engine
    }

    /// When `advance` should be called next; `None` while no timer runs.
    pub fn next(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Whether the engine still counts on a connection. One that it closed while an attempt was in flight is
    /// no longer tracked.
    pub fn tracks_connection(&self, connection: ConnectionId) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Calls that are open.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Connections to this scheduler, in any state.
    pub fn connections_to(&self, address: SocketAddr) -> usize {
        self.schedulers.values().filter(|s| s.address == address).map(|s| s.connections).sum()
    }

    /// Running timers.
    pub fn running_timers(&self) -> usize {
        self.timers.len()
    }

    /// Handles every timer that has expired by `now`.
    pub fn advance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut fired = std::mem::take(&mut self.fired);
        self.timers.fire(now, &mut fired);
        for timer in fired.drain(..) {
            match timer {
                Timer::Deadline(call) => self.deadline_passed(now, call, actions),
                Timer::DelayElapsed(call) => self.route(now, call, actions),
                Timer::OpenConnection(number) => self.open_due(now, number, actions),
                Timer::OpenTimeout(connection) => {
                    actions.push(Action::Close { connection });
                    self.open_failed(now, connection, actions);
                }
                Timer::CloseIdle(number) => self.close_idle(now, number, actions),
                Timer::Probe(number) => self.probe_due(now, number, actions),
            }
        }
        self.fired = fired;
    }

    /// Handles an event, after the timers that expired before it.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.advance(now, actions);
        match event {
            Event::Called { call, class, set, volume, deadline } => {
                let timer = self.timers.start(deadline, Timer::Deadline(call));
                let open = Call {
                    class,
                    set,
                    volume,
                    deadline,
                    timer,
                    history: AttemptHistory::default(),
                    last_refusal: None,
                    preferred_scheduler: None,
                    avoided: None,
                    is_retry: false,
                    state: CallState::Unassigned,
                };
                self.calls.insert(call, open);
                self.route(now, call, actions);
            }
            Event::Dropped { call } => self.dropped(now, call, actions),
            Event::Opened { connection } => self.connection_opened(now, connection, actions),
            Event::OpenFailed { connection } => self.open_failed(now, connection, actions),
            Event::Probed { connection, ready } => self.probed(now, connection, ready, actions),
            Event::AttemptEnded { connection, end, reusable } => {
                self.attempt_ended(now, connection, end, reusable, actions);
            }
            Event::Closed { connection } => self.idle_closed(now, connection, actions),
            Event::SchedulersChanged { set, addresses } => {
                self.replace_members(usize::from(set), &addresses);
                self.release_unlisted(now, actions);
                self.reroute_unassigned(now, actions);
            }
        }
    }
}

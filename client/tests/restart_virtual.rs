//! Every scheduler killed and back together under two thousand clients, in virtual time: the engines decide, the
//! network and the schedulers are a queue of events. The figures don't depend on how busy the machine is.

use pointcross_client::decide::engine::{Action, ClassRules, Engine, Event, Rules, SetRules, Verdict};
use pointcross_client::decide::retry_policy::{AttemptOutcome, MayHaveRunCause, RetryLimits};
use pointcross_client::decide::scheduler::ConnectionLimits;
use pointcross_client::decide::{CallId, ConnectionId, Instant};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

const CLIENTS: usize = 2000;
const SCHEDULERS: u16 = 4;
const READ: u16 = 0;
const WRITE: u16 = 1;
/// A client waits from this to three times this between its calls.
const PAUSE: Duration = Duration::from_millis(600);
const DEADLINE: Duration = Duration::from_secs(2);
const KILL: Instant = Instant(3_000_000);
const RESTART: Instant = Instant(4_000_000);
const END: Instant = Instant(12_000_000);
/// A connection is up, or refused, after this; an answer takes this at a scheduler.
const CONNECT: Duration = Duration::from_micros(300);
const SERVICE: Duration = Duration::from_millis(5);

/// What happens next at one client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    /// Its program calls.
    Call,
    /// Its engine has a timer.
    Timer,
    /// An opening of this connection ends, or a probe on it.
    Connect { connection: u64, address: SocketAddr, is_probe: bool },
    /// The attempt on this connection ends.
    Answer { connection: u64 },
}

/// A connection that is up.
#[derive(Clone, Copy, Debug)]
struct Up {
    address: SocketAddr,
    is_busy: bool,
    /// Whether it has carried a request before.
    is_used: bool,
}

struct VirtualClient {
    engine: Engine,
    random: SmallRng,
    connections: BTreeMap<u64, Up>,
    next_call: u64,
    timer: Option<Instant>,
}

/// What came of it.
#[derive(Debug, Default)]
struct Figures {
    calls: u64,
    served: u64,
    refused: u64,
    failed: u64,
    /// The time of each client's first connection after the restart.
    reconnects: Vec<Instant>,
    /// Clients that were served after the restart.
    served_after: usize,
    /// Connections tried while the schedulers were down.
    tried_while_down: u64,
}

struct World {
    clients: Vec<VirtualClient>,
    queue: BinaryHeap<Reverse<(Instant, u64, usize, Next)>>,
    sequence: u64,
    now: Instant,
    is_back: Vec<bool>,
    was_served_after: Vec<bool>,
    figures: Figures,
}

fn rules(seed: u64) -> Rules {
    let class = |idempotent| ClassRules {
        retry: RetryLimits { idempotent, max_retries: 1 },
        min_remaining: Duration::from_millis(1),
    };
    let schedulers = (0..SCHEDULERS).map(|n| SocketAddr::from(([127, 0, 0, 1], 7000 + n))).collect();
    Rules {
        classes: vec![class(true), class(false)],
        sets: vec![SetRules { schedulers, spread: 1 }],
        retry_budget_ratio: 0.2,
        retry_budget_burst: 10.0,
        backoff: Duration::from_millis(50),
        max_backoff: Duration::from_secs(1),
        return_jitter: Duration::from_millis(50),
        max_pause: Duration::from_secs(60),
        connections: ConnectionLimits {
            idle_timeout: Duration::from_millis(1900),
            ..ConnectionLimits::default()
        },
        seed,
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let client = |number: usize| {
            let seed = seed.wrapping_mul(1 << 20) + number as u64;
            VirtualClient {
                engine: Engine::new(rules(seed)),
                random: SmallRng::seed_from_u64(seed),
                connections: BTreeMap::new(),
                next_call: 0,
                timer: None,
            }
        };
        let mut world = World {
            clients: (0..CLIENTS).map(client).collect(),
            queue: BinaryHeap::new(),
            sequence: 0,
            now: Instant(0),
            is_back: vec![false; CLIENTS],
            was_served_after: vec![false; CLIENTS],
            figures: Figures::default(),
        };
        for number in 0..CLIENTS {
            let wait = PAUSE.mul_f64(world.clients[number].random.random_range(0.0..1.0));
            world.schedule(wait, number, Next::Call);
        }
        world
    }

    fn schedule(&mut self, wait: Duration, client: usize, next: Next) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + wait, self.sequence, client, next)));
    }

    fn are_schedulers_up(&self) -> bool {
        !(KILL..RESTART).contains(&self.now)
    }

    fn play(mut self) -> Figures {
        let mut was_killed = false;
        while let Some(Reverse((at, _, client, next))) = self.queue.pop() {
            if !was_killed && at >= KILL {
                self.now = KILL;
                was_killed = true;
                self.kill();
            }
            self.now = at;
            self.step(client, next);
        }
        self.figures.served_after = self.was_served_after.iter().filter(|served| **served).count();
        self.figures
    }

    /// All schedulers end at once: idle connections close, attempts in flight get no answer.
    fn kill(&mut self) {
        for client in 0..CLIENTS {
            for (id, up) in std::mem::take(&mut self.clients[client].connections) {
                let connection = ConnectionId(id);
                let cause = MayHaveRunCause::Broken { kept: up.is_used };
                let event = match up.is_busy {
                    false => Event::Closed { connection },
                    true => Event::AttemptEnded {
                        connection,
                        end: AttemptOutcome::MayHaveRun(cause),
                        reusable: false,
                    },
                };
                self.handle(client, event);
            }
        }
    }

    fn step(&mut self, client: usize, next: Next) {
        match next {
            Next::Call => self.call(client),
            Next::Timer => {
                self.clients[client].timer = None;
                let mut actions = Vec::new();
                self.clients[client].engine.advance(self.now, &mut actions);
                self.perform(client, actions);
            }
            Next::Connect { connection, address, is_probe } => {
                self.connected(client, connection, address, is_probe);
            }
            Next::Answer { connection } => self.answered(client, connection),
        }
    }

    fn call(&mut self, client: usize) {
        if self.now >= END {
            return;
        }
        let caller = &mut self.clients[client];
        let call = CallId(caller.next_call);
        caller.next_call += 1;
        let class = if call.0.is_multiple_of(3) { WRITE } else { READ };
        let wait = PAUSE.mul_f64(caller.random.random_range(1.0..3.0));
        self.figures.calls += 1;
        let deadline = self.now + DEADLINE;
        self.handle(client, Event::Called { call, class, set: 0, volume: client as u64 + 1, deadline });
        self.schedule(wait, client, Next::Call);
    }

    fn connected(&mut self, client: usize, id: u64, address: SocketAddr, is_probe: bool) {
        let is_up = self.are_schedulers_up();
        let connection = ConnectionId(id);
        if !self.clients[client].engine.tracks_connection(connection) {
            return;
        }
        self.figures.tried_while_down += u64::from(!is_up);
        if is_up {
            self.clients[client].connections.insert(id, Up { address, is_busy: false, is_used: false });
            if self.now >= RESTART && !std::mem::replace(&mut self.is_back[client], true) {
                self.figures.reconnects.push(self.now);
            }
        }
        let event = match (is_probe, is_up) {
            (true, ready) => Event::Probed { connection, ready },
            (false, true) => Event::Opened { connection },
            (false, false) => Event::OpenFailed { connection },
        };
        self.handle(client, event);
    }

    /// A scheduler answers, on a connection that was not lost meanwhile.
    fn answered(&mut self, client: usize, id: u64) {
        let Some(up) = self.clients[client].connections.get_mut(&id).filter(|up| up.is_busy) else { return };
        up.is_busy = false;
        let end = AttemptOutcome::Served;
        self.handle(client, Event::AttemptEnded { connection: ConnectionId(id), end, reusable: true });
    }

    fn handle(&mut self, client: usize, event: Event) {
        let mut actions = Vec::new();
        self.clients[client].engine.handle(self.now, event, &mut actions);
        self.perform(client, actions);
    }

    fn perform(&mut self, client: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Open { connection, address } => {
                    let next = Next::Connect { connection: connection.0, address, is_probe: false };
                    self.schedule(CONNECT, client, next);
                }
                Action::Probe { connection, address } => {
                    let next = Next::Connect { connection: connection.0, address, is_probe: true };
                    self.schedule(CONNECT * 2, client, next);
                }
                Action::Close { connection } => drop(self.clients[client].connections.remove(&connection.0)),
                Action::Send { connection, address, .. } => {
                    let up = self.clients[client].connections.get_mut(&connection.0).expect("it is up");
                    assert!(!up.is_busy && up.address == address, "sent on a connection that is in use");
                    (up.is_busy, up.is_used) = (true, true);
                    self.schedule(SERVICE, client, Next::Answer { connection: connection.0 });
                }
                Action::Finish { verdict, .. } => self.finish(client, verdict),
                Action::Report(_) => {}
            }
        }
        self.schedule_timer(client);
    }

    fn finish(&mut self, client: usize, verdict: Verdict) {
        match verdict {
            Verdict::Served => {
                self.figures.served += 1;
                self.was_served_after[client] |= self.now >= RESTART;
            }
            Verdict::Refused { .. } => self.figures.refused += 1,
            Verdict::MayHaveRun(_) | Verdict::NeverRan(_) => self.figures.failed += 1,
        }
    }

    fn schedule_timer(&mut self, client: usize) {
        let next = self.clients[client].engine.next();
        let Some(next) = next else { return };
        if self.clients[client].timer.is_some_and(|timer| timer <= next) {
            return;
        }
        self.clients[client].timer = Some(next);
        let wait = self.now.until(next);
        self.schedule(wait, client, Next::Timer);
    }
}

/// The share of all that falls into the fullest 100 ms.
fn busiest_share(times: &[Instant]) -> f64 {
    let mut times = times.to_vec();
    times.sort_unstable();
    let window = Duration::from_millis(100);
    let count_from = |n: usize| times.partition_point(|time| *time < times[n] + window) - n;
    let most = (0..times.len()).map(count_from).max().unwrap_or(0);
    most as f64 / times.len().max(1) as f64
}

/// The figures of `restart.rs` where no processor is short: over 5,000 calls are served, over 1,500 clients are
/// back in time, and not half of them within one tenth of a second, as clients that reconnect at once are.
#[test]
fn two_thousand_clients_are_served_again_after_a_restart() {
    for seed in [11, 12, 13] {
        let figures = World::new(seed).play();
        let ended = figures.served + figures.refused + figures.failed;
        assert_eq!(figures.calls, ended, "calls without an end");
        assert!(
            figures.served > 5000 && figures.served * 10 > figures.calls * 8,
            "{} of {}",
            figures.served,
            figures.calls
        );
        assert_eq!(figures.served_after, CLIENTS, "clients unserved after the restart");
        assert!(figures.reconnects.len() > 1500, "{}", figures.reconnects.len());
        let share = busiest_share(&figures.reconnects);
        assert!(share < 0.5, "{share} of all reconnects within 100 ms");
        let mean_tries = figures.tried_while_down as f64 / CLIENTS as f64;
        assert!(
            mean_tries < 10.0,
            "{mean_tries} connections tried a client in the second without schedulers"
        );
    }
}

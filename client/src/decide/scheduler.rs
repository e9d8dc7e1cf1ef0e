//! One scheduler as this client sees it: its connections and the queue for them, whether it takes work, and
//! when connections that were lost come back. Guards against two storms: everybody asking a scheduler that
//! has just come back, and everybody asking again and again one that has not.

use super::call_queue::CallQueue;
use super::timer_wheel::TimerKey;
use super::{ConnectionId, Instant};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::time::Duration;

/// How connections to one scheduler are opened, reused and opened again.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectionLimits {
    /// Upper bound of connections to one scheduler.
    pub max_connections: usize,
    /// Upper bound of connections being opened to one scheduler at once.
    pub max_opening: usize,
    /// Upper bound of calls queued for one scheduler.
    pub max_queued: usize,
    /// How long a connection may take to come up.
    pub connect_timeout: Duration,
    /// An idle connection is closed after this long; under the schedulers' own 2 s.
    pub idle_timeout: Duration,
    /// Connections come back within this after one was lost.
    pub reconnect_window: Duration,
    /// And within so much more for each further one that was lost with it.
    pub reconnect_window_per_lost: Duration,
    /// Upper bound of that window.
    pub max_reconnect_window: Duration,
    /// How long a scheduler is ejected first; each further ejection in a row is twice as long.
    pub ejection: Duration,
    /// The longest ejection.
    pub max_ejection: Duration,
    /// How long a probe may take.
    pub probe_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        let ms = Duration::from_millis;
        ConnectionLimits {
            max_connections: 64,
            max_opening: 8,
            max_queued: 1024,
            connect_timeout: ms(250),
            idle_timeout: ms(1500),
            reconnect_window: ms(500),
            reconnect_window_per_lost: ms(5),
            max_reconnect_window: ms(10_000),
            ejection: ms(500),
            max_ejection: ms(10_000),
            probe_timeout: ms(500),
        }
    }
}

/// Why a scheduler is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// A connection did not come up.
    ConnectFailed,
    /// A call's deadline passed there, and no response to any call arrived meanwhile.
    Unresponsive,
    /// Connections broke under requests several times in a row.
    BrokenConnections,
    /// A probe failed or was answered with not ready.
    NotReady,
}

/// Whether a scheduler takes work.
#[derive(Clone, Debug, PartialEq)]
pub enum Health {
    /// It does.
    Healthy,
    /// It gets no calls; one probe may start after `until`.
    Ejected {
        /// When a probe may start.
        until: Instant,
        /// Why.
        cause: EjectionCause,
        /// The probe's connection, while one runs.
        probe: Option<ConnectionId>,
    },
}

/// Requests that break in a row before a scheduler is ejected: one may be an accident of the network, and two
/// may be one of those that break together.
const BREAKS: u32 = 3;

/// One scheduler.
#[derive(Debug)]
pub struct Scheduler {
    /// Where it listens.
    pub address: SocketAddr,
    /// A hash of the address, for ranking.
    pub hash: u64,
    /// How many sets list it.
    pub listed: usize,
    /// Whether it takes work.
    pub health: Health,
    /// Idle connections and since when, the last used last.
    pub idle: Vec<(ConnectionId, Instant)>,
    /// All connections, in whatever state.
    pub connections: usize,
    /// Those being opened.
    pub opening: usize,
    /// Timers of connections that are to be opened later.
    pub planned_opens: Vec<TimerKey>,
    /// Calls that wait for a connection.
    pub queue: CallQueue,
    /// Whether the timer that closes idle connections runs.
    pub idle_check_planned: bool,
    /// When it last answered completely.
    pub last_response: Instant,
    /// When a call could last have used it.
    pub last_demand: Instant,
    consecutive_ejections: u32,
    broken_attempts: u32,
    /// Connections that were lost together, and when the last was.
    connections_lost: u32,
    last_lost_at: Instant,
    /// No connection is opened before this.
    reconnect_from: Instant,
    /// Connections are opened at times drawn from what is left until this.
    reconnect_until: Instant,
}

/// How much a scheduler can do for a call now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// A connection is there or may be opened at once.
    Ready,
    /// Connections come back, spread over a window.
    Recovering,
    /// No new connection comes up, but an idle one still answers: it is draining.
    Draining,
}

impl Scheduler {
    /// A scheduler of which nothing is known; it counts as taking work.
    pub fn new(address: SocketAddr, hash: u64) -> Self {
        Scheduler {
            address,
            hash,
            listed: 0,
            health: Health::Healthy,
            idle: Vec::new(),
            connections: 0,
            opening: 0,
            planned_opens: Vec::new(),
            queue: CallQueue::default(),
            idle_check_planned: false,
            last_response: Instant::default(),
            last_demand: Instant::default(),
            consecutive_ejections: 0,
            broken_attempts: 0,
            connections_lost: 0,
            last_lost_at: Instant::default(),
            reconnect_from: Instant::default(),
            reconnect_until: Instant::default(),
        }
    }

    /// How available it is now; `None` where no call may go there.
    pub fn availability(&self, now: Instant) -> Option<Availability> {
        match self.health {
            _ if self.listed == 0 => None,
            Health::Healthy if now >= self.reconnect_from || !self.idle.is_empty() => {
                Some(Availability::Ready)
            }
            Health::Healthy => Some(Availability::Recovering),
            Health::Ejected { cause: EjectionCause::ConnectFailed, .. } if !self.idle.is_empty() => {
                Some(Availability::Draining)
            }
            Health::Ejected { .. } => None,
        }
    }

    /// Attempts in flight and queued calls.
    pub fn load(&self) -> usize {
        (self.connections - self.idle.len() - self.opening) + self.queue.len()
    }

    /// A complete response arrived: the scheduler works.
    pub fn response_received(&mut self, now: Instant) {
        self.last_response = now;
        (self.consecutive_ejections, self.broken_attempts) = (0, 0);
    }

    /// The scheduler closed a connection unannounced. `busy`: an attempt was in flight on it.
    ///
    /// Connections come back at times of their own within a window that grows with how many were lost. One
    /// idle connection alone is no sign of a restart: schedulers close idle ones to make room.
    pub fn connection_lost(
        &mut self,
        now: Instant,
        busy: bool,
        limits: &ConnectionLimits,
        rng: &mut SmallRng,
    ) {
        if now >= self.reconnect_until && self.last_lost_at.until(now) > limits.reconnect_window {
            self.connections_lost = 0;
        }
        self.connections_lost += 1;
        self.last_lost_at = now;
        if busy || self.connections_lost > 1 {
            self.begin_window(now, limits, rng);
        }
    }

    fn begin_window(&mut self, now: Instant, limits: &ConnectionLimits, rng: &mut SmallRng) {
        let more = limits.reconnect_window_per_lost.saturating_mul(self.connections_lost.saturating_sub(1));
        let end = now + limits.reconnect_window.saturating_add(more).min(limits.max_reconnect_window);
        if now >= self.reconnect_until {
            self.reconnect_from = now + now.until(end).mul_f64(rng.random_range(0.0..1.0));
        }
        self.reconnect_until = self.reconnect_until.max(end);
    }

    /// Counts an attempt whose connection broke; returns whether the scheduler is to be ejected for it.
    pub fn count_broken_attempt(&mut self) -> bool {
        self.broken_attempts += 1;
        self.broken_attempts >= BREAKS
    }

    /// Ejects it; returns the time of the next probe. The waits double and are drawn from the upper half of
    /// each, so that no two clients come in step. They are as many times as long as schedulers of the set are
    /// `ejected_count`, this one among them: a client that has lost all of them tries no more often than one
    /// that has lost one. Measured: with four lost and waits of one, 26% of 2,000 clients came back within
    /// 100 ms.
    pub fn eject(
        &mut self,
        now: Instant,
        cause: EjectionCause,
        ejected_count: usize,
        limits: &ConnectionLimits,
        rng: &mut SmallRng,
    ) -> Instant {
        let wait = limits.ejection.saturating_mul(1 << self.consecutive_ejections.min(16));
        let wait = wait.saturating_mul(ejected_count as u32).min(limits.max_ejection);
        let until = now + wait.mul_f64(rng.random_range(0.5..1.0));
        self.consecutive_ejections += 1;
        self.broken_attempts = 0;
        self.health = Health::Ejected { until, cause, probe: None };
        until
    }

    /// A probe succeeded: connections are opened again within the window of what was lost.
    pub fn recovered(&mut self, now: Instant, limits: &ConnectionLimits, rng: &mut SmallRng) {
        self.health = Health::Healthy;
        self.last_response = now;
        self.reconnect_until = Instant::default();
        self.begin_window(now, limits, rng);
        // The probe's own connection carries calls at once.
        self.reconnect_from = now;
    }

    /// When the next connection is to be opened; `None` when enough are there, being opened or planned.
    pub fn plan_open(&self, now: Instant, limits: &ConnectionLimits, rng: &mut SmallRng) -> Option<Instant> {
        let coming = self.opening + self.planned_opens.len();
        let room = self.health == Health::Healthy
            && coming < self.queue.len()
            && coming < limits.max_opening
            && self.connections + self.planned_opens.len() < limits.max_connections;
        room.then(|| {
            if now >= self.reconnect_until {
                now
            } else if coming == 0 && self.connections == 0 {
                self.reconnect_from.max(now)
            } else {
                let from = self.reconnect_from.max(now);
                from + from.until(self.reconnect_until).mul_f64(rng.random_range(0.0..1.0))
            }
        })
    }
}

// In a file of its own under tests/: it checks state that is private here.
#[cfg(test)]
#[path = "../../tests/unit/scheduler.rs"]
mod tests;

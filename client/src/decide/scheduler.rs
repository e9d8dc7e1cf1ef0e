//! One scheduler as this client sees it: its connections and the line in front of them, whether it takes work,
//! and when connections that were lost come back. Guards against two storms: everybody asking a scheduler that
//! has just come back, and everybody asking again and again one that has not.

use super::line::Line;
use super::wheel::TimerKey;
use super::{LinkId, Moment};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::time::Duration;

/// How connections to one scheduler are opened, kept and opened again.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkLimits {
    /// Connections to one scheduler, at the most.
    pub most: usize,
    /// Connections being opened to one scheduler at once, at the most.
    pub most_opening: usize,
    /// Calls in one scheduler's line, at the most.
    pub most_waiting: usize,
    /// How long a connection may take to come up.
    pub connect: Duration,
    /// An idle connection is closed after this long; under the schedulers' own 2 s.
    pub idle: Duration,
    /// Connections come back within this after one was lost.
    pub window: Duration,
    /// And within so much more for each further one that was lost with it.
    pub window_per_lost: Duration,
    /// But within this at the most.
    pub most_window: Duration,
    /// The first wait of a scheduler that is set aside; each further one in a row is twice as long.
    pub aside: Duration,
    /// The longest such wait.
    pub most_aside: Duration,
    /// How long a trial may take.
    pub trial: Duration,
}

impl Default for LinkLimits {
    fn default() -> Self {
        let ms = Duration::from_millis;
        LinkLimits {
            most: 64,
            most_opening: 8,
            most_waiting: 1024,
            connect: ms(250),
            idle: ms(1500),
            window: ms(500),
            window_per_lost: ms(5),
            most_window: ms(10_000),
            aside: ms(500),
            most_aside: ms(10_000),
            trial: ms(500),
        }
    }
}

/// Why a scheduler is set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A connection did not come up.
    NoConnection,
    /// A call ran out of time there, and nothing at all was heard meanwhile.
    Silent,
    /// Connections broke under requests several times in a row.
    Breaks,
    /// A trial said that it takes no work, or nothing.
    NotReady,
}

/// Whether a scheduler takes work.
#[derive(Clone, Debug, PartialEq)]
pub enum Health {
    /// It does.
    Up,
    /// It is left alone until then, and asked by one trial after that.
    Aside {
        /// When a trial may begin.
        until: Moment,
        /// Why.
        cause: Cause,
        /// The trial, while one runs.
        trial: Option<LinkId>,
    },
}

/// Requests that break in a row before a scheduler is set aside: one may be an accident of the network, and two
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
    pub idle: Vec<(LinkId, Moment)>,
    /// All connections, in whatever state.
    pub links: usize,
    /// Those being opened.
    pub opening: usize,
    /// Timers of connections that are to be opened later.
    pub due: Vec<TimerKey>,
    /// Calls that wait for a connection.
    pub line: Line,
    /// Whether the look at idle connections is planned.
    pub sweep_planned: bool,
    /// When something was last heard.
    pub heard: Moment,
    /// When a call last wanted it.
    pub wanted: Moment,
    failures: u32,
    breaks: u32,
    /// Connections that were lost together, and when the last was.
    lost: u32,
    lost_at: Moment,
    /// No connection is opened before this.
    recover: Moment,
    /// Connections are opened at times drawn from what is left until this.
    window_end: Moment,
}

/// How much a scheduler can do for a call now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// A connection is there or may be opened at once.
    Ready,
    /// Connections come back, spread over a window.
    Recovering,
    /// No new connection comes up, but one that is kept still answers: it is leaving in good order.
    Leaving,
}

impl Scheduler {
    /// A scheduler of which nothing is known; it counts as taking work.
    pub fn new(address: SocketAddr, hash: u64) -> Self {
        Scheduler {
            address,
            hash,
            listed: 0,
            health: Health::Up,
            idle: Vec::new(),
            links: 0,
            opening: 0,
            due: Vec::new(),
            line: Line::default(),
            sweep_planned: false,
            heard: Moment::default(),
            wanted: Moment::default(),
            failures: 0,
            breaks: 0,
            lost: 0,
            lost_at: Moment::default(),
            recover: Moment::default(),
            window_end: Moment::default(),
        }
    }

    /// What it can do now.
    pub fn tier(&self, now: Moment) -> Option<Tier> {
        match self.health {
            _ if self.listed == 0 => None,
            Health::Up if now >= self.recover || !self.idle.is_empty() => Some(Tier::Ready),
            Health::Up => Some(Tier::Recovering),
            Health::Aside { cause: Cause::NoConnection, .. } if !self.idle.is_empty() => Some(Tier::Leaving),
            Health::Aside { .. } => None,
        }
    }

    /// Requests that are out there or wait to be.
    pub fn load(&self) -> usize {
        (self.links - self.idle.len() - self.opening) + self.line.len()
    }

    /// A whole answer came: it works.
    pub fn answered(&mut self, now: Moment) {
        self.heard = now;
        (self.failures, self.breaks) = (0, 0);
    }

    /// A connection was lost that this side did not close and that was not announced. `busy` tells that a
    /// request was out on it.
    ///
    /// Connections come back at times of their own within a window that grows with how many were lost. One
    /// idle connection alone is no sign of a restart: schedulers close idle ones to make room.
    pub fn lost(&mut self, now: Moment, busy: bool, limits: &LinkLimits, rng: &mut SmallRng) {
        if now >= self.window_end && self.lost_at.until(now) > limits.window {
            self.lost = 0;
        }
        self.lost += 1;
        self.lost_at = now;
        if busy || self.lost > 1 {
            self.begin_window(now, limits, rng);
        }
    }

    fn begin_window(&mut self, now: Moment, limits: &LinkLimits, rng: &mut SmallRng) {
        let more = limits.window_per_lost.saturating_mul(self.lost.saturating_sub(1));
        let end = now + limits.window.saturating_add(more).min(limits.most_window);
        if now >= self.window_end {
            self.recover = now + now.until(end).mul_f64(rng.random_range(0.0..1.0));
        }
        self.window_end = self.window_end.max(end);
    }

    /// A request broke; tells whether that was one too many.
    pub fn broke(&mut self) -> bool {
        self.breaks += 1;
        self.breaks >= BREAKS
    }

    /// Sets it aside; gives the time of the next trial. The waits double and are drawn from the upper half of
    /// each, so that no two clients come in step. They are as many times as long as schedulers of the set are
    /// `aside`, this one among them: a client that has lost all of them tries no more often than one that has
    /// lost one. Measured: with four lost and waits of one, 26% of 2,000 clients came back within 100 ms.
    pub fn set_aside(
        &mut self,
        now: Moment,
        cause: Cause,
        aside: usize,
        limits: &LinkLimits,
        rng: &mut SmallRng,
    ) -> Moment {
        let wait = limits.aside.saturating_mul(1 << self.failures.min(16));
        let wait = wait.saturating_mul(aside as u32).min(limits.most_aside);
        let until = now + wait.mul_f64(rng.random_range(0.5..1.0));
        self.failures += 1;
        self.breaks = 0;
        self.health = Health::Aside { until, cause, trial: None };
        until
    }

    /// A trial said that it takes work: connections come back within the window of what was lost.
    pub fn back(&mut self, now: Moment, limits: &LinkLimits, rng: &mut SmallRng) {
        self.health = Health::Up;
        self.heard = now;
        self.window_end = Moment::default();
        self.begin_window(now, limits, rng);
        // The trial's own connection carries calls at once.
        self.recover = now;
    }

    /// When the next connection is to be opened; `None` when enough are there, being opened or planned.
    pub fn next_open(&self, now: Moment, limits: &LinkLimits, rng: &mut SmallRng) -> Option<Moment> {
        let coming = self.opening + self.due.len();
        let room = self.health == Health::Up
            && coming < self.line.len()
            && coming < limits.most_opening
            && self.links + self.due.len() < limits.most;
        room.then(|| {
            if now >= self.window_end {
                now
            } else if coming == 0 && self.links == 0 {
                self.recover.max(now)
            } else {
                let from = self.recover.max(now);
                from + from.until(self.window_end).mul_f64(rng.random_range(0.0..1.0))
            }
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    fn one(seed: u64) -> (Scheduler, SmallRng, LinkLimits) {
        let mut scheduler = Scheduler::new("127.0.0.1:1".parse().unwrap(), 1);
        scheduler.listed = 1;
        (scheduler, SmallRng::seed_from_u64(seed), LinkLimits::default())
    }

    /// Guards against clients that come back in step: of a thousand that lost their connection together, no
    /// tenth of the window sees more than its part and half as much again.
    #[test]
    fn a_thousand_clients_come_back_spread_over_the_window() {
        let mut tenths = [0; 10];
        for seed in 0..1000 {
            let (mut scheduler, mut rng, limits) = one(seed);
            scheduler.lost(Moment(7), true, &limits, &mut rng);
            assert_eq!(scheduler.tier(Moment(7)), Some(Tier::Recovering));
            assert!(scheduler.line.join(super::super::CallId(0), 0, Moment(9), 9).is_none());
            let at = scheduler.next_open(Moment(7), &limits, &mut rng).unwrap();
            tenths[(Moment(7).until(at).as_micros() / 50_000) as usize] += 1;
        }
        assert!(tenths.iter().all(|&count| (50..150).contains(&count)), "{tenths:?}");
    }

    #[test]
    fn the_window_grows_with_what_was_lost_and_one_idle_connection_opens_none() {
        let (mut scheduler, mut rng, limits) = one(3);
        scheduler.lost(Moment(0), false, &limits, &mut rng);
        assert_eq!(scheduler.tier(Moment(0)), Some(Tier::Ready));
        for _ in 1..100 {
            scheduler.lost(Moment(0), false, &limits, &mut rng);
        }
        assert_eq!(scheduler.window_end, Moment(0) + Duration::from_millis(500 + 99 * 5));
        for _ in 0..10_000 {
            scheduler.lost(Moment(0), false, &limits, &mut rng);
        }
        assert_eq!(scheduler.window_end, Moment(0) + limits.most_window);
    }

    #[test]
    fn waits_aside_grow_to_their_bound_and_an_answer_ends_them() {
        let (mut scheduler, mut rng, limits) = one(5);
        let mut waits = Vec::new();
        for _ in 0..12 {
            let until = scheduler.set_aside(Moment(0), Cause::NoConnection, 1, &limits, &mut rng);
            waits.push(Moment(0).until(until));
            assert_eq!(scheduler.tier(until), None);
        }
        for (n, wait) in waits.iter().enumerate() {
            let whole = (limits.aside * (1 << n)).min(limits.most_aside);
            assert!(*wait >= whole / 2 && *wait < whole, "{n}: {wait:?}");
        }
        scheduler.back(Moment(1), &limits, &mut rng);
        scheduler.answered(Moment(2));
        let until = scheduler.set_aside(Moment(2), Cause::Silent, 1, &limits, &mut rng);
        assert!(Moment(2).until(until) < limits.aside);
    }
}

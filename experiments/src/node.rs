//! A storage node as a model: jobs come in, ends come out, time is given. It knows no clock and does no I/O; the
//! virtual mode and a socket server may both drive it.
//!
//! What it models (BRIEF 3 and 4): cores and a bounded queue that turns away; service time by units and class with
//! a spread; loss of efficiency when crowded; pauses in which it stands still; write work put off and done in one
//! go; less work for a piece among the last it took; cold start with warm-up, and falling over when pushed.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, Gamma};
use std::collections::VecDeque;

/// Microseconds since the script's start.
pub type Micros = u64;

const MILLI: f64 = 1e3;

/// How a node behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeLaws {
    /// Jobs in work at once.
    pub cores: u32,
    /// Jobs that wait, at the most.
    pub queue: usize,
    /// Milliseconds of work of one unit, on one core, warm.
    pub unit_ms: f64,
    /// Spread of service times: the coefficient of variation; 1 is exponential, 0 none.
    pub spread: f64,
    /// Each waiting job makes work so much slower, as a part: 0.01 is 1%.
    pub crowding: f64,
    /// Mean milliseconds between two pauses; 0 for none.
    pub pause_every_ms: f64,
    /// Length of a pause in milliseconds, from and to.
    pub pause_ms: (f64, f64),
    /// Part of a write's work that is put off.
    pub deferred: f64,
    /// Mean milliseconds between the times at which it is done in one go.
    pub deferred_every_ms: f64,
    /// Part of the work that a piece among the last `recent` costs less.
    pub recent_saves: f64,
    /// How many pieces count as recent.
    pub recent: usize,
    /// Part of its capacity that a node has when it starts.
    pub cold_from: f64,
    /// Milliseconds until it is warm.
    pub warm_after_ms: f64,
    /// Sent more than this many times what it can do at that moment, for a second, a cold node falls over.
    pub fall_multiple: f64,
    /// Units within a second that it always bears.
    pub always_bears: f64,
}

impl Default for NodeLaws {
    fn default() -> Self {
        NodeLaws {
            cores: 2,
            queue: 64,
            unit_ms: 18.0,
            spread: 0.4,
            crowding: 0.002,
            pause_every_ms: 5900.0,
            pause_ms: (130.0, 250.0),
            deferred: 0.37,
            deferred_every_ms: 2700.0,
            recent_saves: 0.5,
            recent: 2,
            cold_from: 0.18,
            warm_after_ms: 18_000.0,
            fall_multiple: 2.0,
            always_bears: 20.0,
        }
    }
}

/// Work that a node is asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Names it in what comes out.
    pub token: u64,
    /// Its size.
    pub units: f64,
    /// Whether it writes.
    pub writes: bool,
    /// The piece of data.
    pub piece: u64,
}

/// What became of a job at its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It waits or is in work.
    Taken,
    /// The queue is full.
    TurnedAway,
    /// The node has just fallen over, or had before: nothing comes back.
    Fallen,
}

/// One node, running.
#[derive(Debug)]
pub struct Node {
    laws: NodeLaws,
    rng: SmallRng,
    /// When it started; `None` for long ago.
    started: Option<Micros>,
    waiting: VecDeque<Job>,
    /// In work: when each ends, and what it is.
    working: Vec<(Micros, Job)>,
    recent: VecDeque<u64>,
    /// Work put off, in milliseconds.
    put_off: f64,
    /// The next pause, and the next time that put-off work is done.
    next_pause: Micros,
    next_flush: Micros,
    /// It stands still until then.
    still_until: Micros,
    /// Sends of the last second, while cold.
    lately: VecDeque<(Micros, f64)>,
    fallen: bool,
    /// Jobs that ended and were not given out yet.
    done: Vec<Job>,
    /// How many times slower it is made from outside.
    slowed: f64,
    /// Sum of jobs in it over time, for Little's law.
    area: f64,
    seen: Micros,
}

fn micros(ms: f64) -> Micros {
    (ms * MILLI).max(0.0) as Micros
}

impl Node {
    /// A node that starts now, cold, or has run for long.
    pub fn new(laws: NodeLaws, seed: u64, now: Micros, cold: bool) -> Self {
        let mut node = Node {
            rng: SmallRng::seed_from_u64(seed),
            started: cold.then_some(now),
            waiting: VecDeque::new(),
            working: Vec::new(),
            recent: VecDeque::new(),
            put_off: 0.0,
            next_pause: Micros::MAX,
            next_flush: Micros::MAX,
            still_until: 0,
            lately: VecDeque::new(),
            fallen: false,
            done: Vec::new(),
            slowed: 1.0,
            area: 0.0,
            seen: now,
            laws,
        };
        node.plan(now);
        node
    }

    fn gap(&mut self, mean_ms: f64) -> Micros {
        let gap: f64 = Exp1.sample(&mut self.rng);
        micros(gap * mean_ms).max(1)
    }

    fn plan(&mut self, now: Micros) {
        if self.laws.pause_every_ms > 0.0 {
            self.next_pause = now + self.gap(self.laws.pause_every_ms);
        }
        if self.laws.deferred > 0.0 && self.laws.deferred_every_ms > 0.0 {
            self.next_flush = now + self.gap(self.laws.deferred_every_ms);
        }
    }

    /// The part of its capacity that it has.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = (now - started) as f64 / MILLI / self.laws.warm_after_ms.max(1e-9);
        (self.laws.cold_from + (1.0 - self.laws.cold_from) * age).min(1.0)
    }

    /// Units a second that it can do at this moment.
    pub fn capacity(&self, now: Micros) -> f64 {
        f64::from(self.laws.cores) * 1000.0 / self.laws.unit_ms * self.warmth(now) / self.slowed
    }

    /// Makes it so many times slower from outside.
    pub fn slow(&mut self, times: f64) {
        self.slowed = times;
    }

    /// Whether it has fallen over.
    pub fn fallen(&self) -> bool {
        self.fallen
    }

    /// Jobs that it holds: what it reports as `inflight`.
    pub fn inflight(&self) -> usize {
        self.waiting.len() + self.working.len()
    }

    /// Mean of the jobs that it held, from its start to `now`, as jobs times microseconds.
    pub fn area(&self) -> f64 {
        self.area
    }

    fn look(&mut self, now: Micros) {
        self.area += self.inflight() as f64 * (now - self.seen) as f64;
        self.seen = now;
    }

    /// A job arrives.
    pub fn arrive(&mut self, now: Micros, job: Job) -> Arrival {
        // Guards against a pause of an idle time that would hold up what came after it.
        self.catch_up(now);
        if self.fallen {
            return Arrival::Fallen;
        }
        if self.warmth(now) < 1.0 {
            const SECOND: Micros = 1_000_000;
            self.lately.push_back((now, job.units));
            while self.lately.front().is_some_and(|(at, _)| at + SECOND <= now) {
                self.lately.pop_front();
            }
            let sent: f64 = self.lately.iter().map(|(_, units)| units).sum();
            if sent > (self.laws.fall_multiple * self.capacity(now)).max(self.laws.always_bears) {
                self.fallen = true;
                self.waiting.clear();
                self.working.clear();
                return Arrival::Fallen;
            }
        }
        if self.waiting.len() >= self.laws.queue {
            return Arrival::TurnedAway;
        }
        self.waiting.push_back(job);
        self.begin(now);
        Arrival::Taken
    }

    /// Drops a job that waits; one in work goes on. Tells whether it was dropped.
    pub fn cancel(&mut self, now: Micros, token: u64) -> bool {
        self.catch_up(now);
        let before = self.waiting.len();
        self.waiting.retain(|job| job.token != token);
        self.waiting.len() < before
    }

    /// When something next happens by itself.
    pub fn next(&self) -> Option<Micros> {
        if !self.done.is_empty() {
            return Some(self.seen);
        }
        let ends = self.working.iter().map(|(at, _)| *at).min();
        let idle = self.working.is_empty() && self.waiting.is_empty();
        // What it does by itself matters only while there is work; it is caught up with later.
        let own = (!idle).then_some(self.next_pause.min(self.next_flush)).filter(|at| *at < Micros::MAX);
        ends.into_iter().chain(own).min().filter(|_| !self.fallen)
    }

    /// Time has come to `now`; gives the jobs that ended, in order.
    pub fn advance(&mut self, now: Micros, ended: &mut Vec<Job>) {
        self.catch_up(now);
        ended.append(&mut self.done);
    }

    fn catch_up(&mut self, now: Micros) {
        loop {
            let ends = self.working.iter().map(|(at, job)| (*at, job.token)).min();
            let own = self.next_pause.min(self.next_flush);
            match ends {
                Some((at, token)) if at <= now && at <= own => {
                    self.look(at);
                    let place = self.working.iter().position(|(_, job)| job.token == token);
                    self.done.extend(place.map(|place| self.working.swap_remove(place).1));
                    self.begin(at);
                }
                _ if own <= now => {
                    self.look(own);
                    self.stand(own);
                }
                _ => break,
            }
        }
        self.look(now);
    }

    /// A pause begins, or put-off work is done: everything in work ends so much later.
    fn stand(&mut self, at: Micros) {
        let length = if self.next_pause <= self.next_flush {
            self.next_pause = at + self.gap(self.laws.pause_every_ms);
            let (from, to) = self.laws.pause_ms;
            micros(if to > from { self.rng.random_range(from..to) } else { from })
        } else {
            self.next_flush = at + self.gap(self.laws.deferred_every_ms);
            let work = std::mem::take(&mut self.put_off);
            micros(work / f64::from(self.laws.cores))
        };
        // A pause within a pause lengthens it.
        self.still_until = self.still_until.max(at) + length;
        self.working.iter_mut().for_each(|(ends, _)| *ends += length);
    }

    fn begin(&mut self, now: Micros) {
        while self.working.len() < self.laws.cores as usize {
            let Some(job) = self.waiting.pop_front() else { return };
            let crowd = 1.0 + self.laws.crowding * self.waiting.len() as f64;
            let recent = self.recent.contains(&job.piece);
            let mut work = job.units * self.laws.unit_ms * self.slowed / self.warmth(now) * crowd;
            if recent {
                work *= 1.0 - self.laws.recent_saves;
            }
            if job.writes {
                self.put_off += work * self.laws.deferred;
                work *= 1.0 - self.laws.deferred;
            }
            if self.laws.spread > 0.0 {
                let shape = 1.0 / (self.laws.spread * self.laws.spread);
                if let Ok(gamma) = Gamma::new(shape, 1.0 / shape) {
                    work *= gamma.sample(&mut self.rng);
                }
            }
            if self.laws.recent > 0 && !recent {
                self.recent.push_back(job.piece);
                if self.recent.len() > self.laws.recent {
                    self.recent.pop_front();
                }
            }
            self.working.push((now.max(self.still_until) + micros(work).max(1), job));
        }
    }
}

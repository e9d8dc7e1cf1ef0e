//! How fast a scheduler that has just started may send to each node: a slope that hundreds of fresh schedulers
//! share without a word between them.
//!
//! Guards against a hall that starts at once and pushes its nodes past their queues: each scheduler knows nothing,
//! so each one's forecast admits everything, and the sum of what is little alone is more than a cold node holds.
//!
//! Let `B` be the requests a second that a node that has just started bears from all schedulers together (the
//! operator's figure) and `n` the schedulers. Each one's slope for a node begins at `B / n`: all together send `B`,
//! which is what the fleet may send in total; the sum then doubles in `double_ms`. It draws from the slope a request at a time, with less than one whole
//! request at first, drawn from its seed and name, so that the first ones do not come together. An answer within
//! `fast_ms` makes the slope steeper by `grow`; one later than `slow_ms`, or none, makes it flatter; one turned away
//! halves it and holds it there for a while. At `release` times its begin the slope ends, and the decision module
//! alone decides. A node listed with a later start begins a new slope.
//!
//! Bound: one entry a shard, at most [`MAX_SHARDS`]; shards beyond it are not active_count. No I/O, no clock: times are
//! Unix milliseconds passed in.

use std::collections::HashMap;

/// Shards kept: more than any list names (a list is at most 4 MiB).
pub const MAX_SHARDS: usize = 65_536;
/// The slope never falls below this part of its begin: a node that is back is found again.
const MIN_RATE_PART: f64 = 1.0 / 16.0;
/// After a late answer or a turn away the slope stays for so long, in milliseconds: one queue shows in several.
const FREEZE_MS: f64 = 500.0;
/// An answer that is late flattens the slope by this.
const SLOW_FACTOR: f64 = 0.8;

/// The operator's figures.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize)]
#[serde(default)]
pub struct SlowStartRules {
    /// Requests a second that a node which has just started bears from all schedulers together.
    pub cold_rate: f64,
    /// An answer within this shows tokens, in milliseconds.
    pub fast_ms: f64,
    /// An answer after this shows a queue, in milliseconds.
    pub slow_ms: f64,
    /// While nothing shows a queue the slope doubles in this, in milliseconds: about as a node warms up. A
    /// scheduler that sends little learns from its answers too late.
    pub double_ms: f64,
    /// How many times steeper the slope is after an answer that shows tokens.
    pub grow: f64,
    /// The slope ends at this many times its begin.
    pub release: f64,
}

impl Default for SlowStartRules {
    fn default() -> Self {
        SlowStartRules {
            cold_rate: 50.0,
            fast_ms: 100.0,
            slow_ms: 300.0,
            double_ms: 4000.0,
            grow: 1.5,
            release: 16.0,
        }
    }
}

/// What an attempt showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptSignal {
    /// It was answered, well or with an error.
    Answered,
    /// It was turned away: the queue is full.
    Rejected,
    /// Nothing came back, or no connection came up.
    NoAnswer,
}

#[derive(Clone, Copy, Debug)]
struct Slope {
    /// Requests a second from this scheduler; `None` once it has ended.
    rate: Option<f64>,
    /// Requests that may go now, up to one.
    tokens: f64,
    updated_at: f64,
    /// When it began. Only a start later than that begins it anew: guards against a list that comes late, and
    /// tells of a start that the slope counts from already, setting every scheduler back.
    began: f64,
    /// Not steeper before then.
    frozen_until: f64,
}

impl Slope {
    /// Lets time advance: tokens fills by the slope, and the slope grows while nothing holds it.
    fn advance(&mut self, now: f64, rules: &SlowStartRules, begin: f64) {
        let Some(rate) = self.rate else { return };
        self.tokens = (self.tokens + (now - self.updated_at).max(0.0) / 1000.0 * rate).min(1.0);
        let grows = (now - self.updated_at.max(self.frozen_until)).max(0.0);
        let rate = rate * 2f64.powf((grows / rules.double_ms.max(1.0)).min(64.0));
        self.rate = (rate < begin * rules.release).then_some(rate);
        self.updated_at = self.updated_at.max(now);
    }
}

/// One scheduler's slopes.
#[derive(Clone, Debug)]
pub struct SlowStart {
    rules: SlowStartRules,
    /// The slope's begin: this scheduler's part.
    begin: f64,
    slopes: HashMap<u32, Slope>,
    random_state: u64,
}

impl SlowStart {
    /// The ramp of one of `schedulers`, with this seed and name.
    pub fn new(rules: SlowStartRules, schedulers: u32, seed: u64, name: &str) -> Self {
        let begin = rules.cold_rate.max(1e-3) / f64::from(schedulers.max(1));
        SlowStart { rules, begin, slopes: HashMap::new(), random_state: crate::random::seeded(seed, name) }
    }

    /// The list names a node of this shard that started at `started`: a later start begins anew, and a shard not
    /// seen before begins at `now`.
    pub fn listed(&mut self, now: f64, shard: u32, started: f64) {
        let known = self.slopes.get(&shard).map(|slope| slope.began);
        let anew = known.is_none_or(|began| started > began);
        if anew && (known.is_some() || self.slopes.len() < MAX_SHARDS) {
            let tokens = self.draw();
            let slope = Slope {
                rate: Some(self.begin),
                tokens,
                updated_at: now,
                began: now,
                frozen_until: f64::NEG_INFINITY,
            };
            self.slopes.insert(shard, slope);
        }
    }

    /// Whether a request may go to the shard's node now: takes its place on the slope, or gives how long to
    /// stay away, in milliseconds.
    ///
    /// # Errors
    /// How long the request should stay away, in milliseconds.
    pub fn admit(&mut self, now: f64, shard: u32) -> Result<(), f64> {
        let draw = self.draw();
        let Some(slope) = self.slopes.get_mut(&shard) else { return Ok(()) };
        slope.advance(now, &self.rules, self.begin);
        let Some(rate) = slope.rate else { return Ok(()) };
        if slope.tokens >= 1.0 {
            slope.tokens -= 1.0;
            return Ok(());
        }
        // Who comes back does so spread over as long again.
        Err((1.0 - slope.tokens) / rate * 1000.0 * (1.0 + draw))
    }

    /// An attempt at the shard's node ended after `took` milliseconds.
    pub fn attempt_ended(&mut self, now: f64, shard: u32, shown: AttemptSignal, took: f64) {
        let (rules, begin) = (&self.rules, self.begin);
        let Some(slope) = self.slopes.get_mut(&shard) else { return };
        slope.advance(now, rules, begin);
        let Some(rate) = slope.rate else { return };
        let lowest = begin * MIN_RATE_PART;
        let queue = shown == AttemptSignal::Answered && took > rules.slow_ms;
        if queue || shown == AttemptSignal::Rejected {
            slope.frozen_until = now + FREEZE_MS;
        }
        slope.rate = match shown {
            AttemptSignal::Rejected => Some((rate / 2.0).max(lowest)),
            AttemptSignal::NoAnswer => Some((rate / 2.0).max(lowest)),
            AttemptSignal::Answered if queue => Some((rate * SLOW_FACTOR).max(lowest)),
            AttemptSignal::Answered if took <= rules.fast_ms && now >= slope.frozen_until => {
                let steeper = rate * rules.grow.max(1.0);
                (steeper < begin * rules.release).then_some(steeper)
            }
            AttemptSignal::Answered => Some(rate),
        };
    }

    /// How many nodes are still on a slope.
    pub fn active_count(&self) -> usize {
        self.slopes.values().filter(|slope| slope.rate.is_some()).count()
    }

    /// Requests a second that this scheduler may send the shard's node now; `None` once its slow start is over.
    pub fn rate(&self, shard: u32) -> Option<f64> {
        self.slopes.get(&shard).and_then(|slope| slope.rate)
    }

    fn draw(&mut self) -> f64 {
        self.random_state = crate::random::next(self.random_state);
        crate::random::unit(self.random_state)
    }
}

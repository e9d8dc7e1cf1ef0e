//! The rate of a scheduler's calls to the list service, so that a fleet that starts at once does not call in the same
//! moment, nor retry in step after the service failed.
//!
//! Guards against a list service that a fleet's start or a failure overloads by the number of its callers: a
//! scheduler that holds a list already (saved, or the platform's) waits a part of `spread_ms` drawn from its seed
//! and name before its first call; after failures it waits a time drawn from zero to a doubling bound (full
//! jitter); and it never makes more than `budget` calls within `window_ms`. A scheduler with no list at all calls
//! at once: without one it serves nothing. No I/O, no clock: times are Unix milliseconds passed in.

use crate::random;
use std::collections::VecDeque;

/// The rules for calls; all times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRateRules {
    /// The first call of a scheduler that holds a list comes within this of its start.
    pub spread_ms: f64,
    /// After the `n`-th failure in a row the wait is drawn from 0 to `base_ms` times 2^(n-1) ...
    pub base_ms: f64,
    /// ... but never from more than this.
    pub cap_ms: f64,
    /// At most this many calls ...
    pub budget: usize,
    /// ... within this long.
    pub window_ms: f64,
}

impl Default for CallRateRules {
    fn default() -> Self {
        CallRateRules {
            spread_ms: 10_000.0,
            base_ms: 500.0,
            cap_ms: 30_000.0,
            budget: 8,
            window_ms: 10_000.0,
        }
    }
}

/// The kinds of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// The first since the start.
    First,
    /// One that follows an answer: the watch goes on.
    Next,
    /// One after a failure.
    Retry,
}

/// One scheduler's calls.
#[derive(Clone, Debug)]
pub struct CallRateLimiter {
    rules: CallRateRules,
    started: f64,
    /// Its part of the spread, drawn once from its seed and name, in milliseconds.
    offset: f64,
    has_list: bool,
    failures: u32,
    /// Times of its latest calls, at most `budget` of them.
    calls: VecDeque<f64>,
    random_state: u64,
}

impl CallRateLimiter {
    /// The limiter of a scheduler started at `started`, named `name`, with this seed; `has_list` where a saved
    /// or known list lets it serve before its first call.
    pub fn new(rules: CallRateRules, seed: u64, name: &str, started: f64, has_list: bool) -> Self {
        let random_state = random::seeded(seed, name);
        let offset = random::unit(random_state) * rules.spread_ms.max(0.0);
        let calls = VecDeque::with_capacity(rules.budget.min(1024));
        CallRateLimiter { rules, started, offset, has_list, failures: 0, calls, random_state }
    }

    /// The earliest time at which `call` may go, asked at `now`. Asked twice for a retry, it draws anew.
    pub fn earliest_call(&mut self, now: f64, call: Call) -> f64 {
        let wanted = match call {
            Call::First if self.has_list => self.started + self.offset,
            Call::First | Call::Next => now,
            Call::Retry => {
                self.random_state = random::next(self.random_state);
                let doubled = self.rules.base_ms * 2f64.powi(self.failures.saturating_sub(1).min(40) as i32);
                now + random::unit(self.random_state) * doubled.min(self.rules.cap_ms).max(0.0)
            }
        };
        let budget = match self.calls.front() {
            Some(&oldest) if self.calls.len() >= self.rules.budget.max(1) => oldest + self.rules.window_ms,
            _ => f64::NEG_INFINITY,
        };
        wanted.max(budget).max(now)
    }

    /// Records a call at `now`.
    pub fn record_call(&mut self, now: f64) {
        if self.calls.len() >= self.rules.budget.max(1) {
            self.calls.pop_front();
        }
        self.calls.push_back(now);
    }

    /// Records that a call brought a list.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.has_list = true;
    }

    /// Records that a call failed.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

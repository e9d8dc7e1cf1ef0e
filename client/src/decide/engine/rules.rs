//! What the engine goes by: limits of classes, sets of schedulers, retries and connections. Times are
//! durations; classes and sets are numbered by their position.

use crate::decide::retry_policy::RetryLimits;
use crate::decide::scheduler::ConnectionLimits;
use std::net::SocketAddr;
use std::time::Duration;

/// A class's limits.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRules {
    /// Whether and how often its calls are retried.
    pub retry: RetryLimits,
    /// An attempt is not started with less than this left until the deadline.
    pub min_remaining: Duration,
}

/// The engine's limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The classes, by number.
    pub classes: Vec<ClassRules>,
    /// The sets, by number.
    pub sets: Vec<SetRules>,
    /// What each served call adds to the budget, in retries.
    pub retry_budget_ratio: f64,
    /// Upper bound of the budget, in retries.
    pub retry_budget_burst: f64,
    /// The first backoff's upper bound, where the refusal had no `Retry-After`; doubled for each further one.
    pub backoff: Duration,
    /// The longest backoff.
    pub max_backoff: Duration,
    /// Delayed calls continue within so much after the delay, at a random time each.
    pub return_jitter: Duration,
    /// A refusal pauses its volume for no longer than this.
    pub max_pause: Duration,
    /// Connections.
    pub connections: ConnectionLimits,
    /// Seed of all that is drawn.
    pub seed: u64,
}

/// One set of schedulers.
#[derive(Clone, Debug, PartialEq)]
pub struct SetRules {
    /// Where they listen.
    pub schedulers: Vec<SocketAddr>,
    /// How many of them carry one volume.
    pub spread: usize,
}

impl Rules {
    /// The upper bound of the backoff before the retry that follows `retries` earlier ones.
    pub(super) fn backoff_bound(&self, retries: u16) -> Duration {
        self.backoff.saturating_mul(1 << retries.min(16)).min(self.max_backoff)
    }
}

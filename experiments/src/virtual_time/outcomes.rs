//! What came of a rehearsal: requests by how they ended, worth, and times.

use crate::ledger::Broken;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// One plan's or class's outcomes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcomes {
    /// Requests, without clients' retries.
    pub requests: u64,
    /// Served within their clients' time.
    pub served: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Failed in the end.
    pub failed: u64,
    /// Lost with a scheduler that was killed.
    pub lost: u64,
    /// Worth that was earned, as a part of what was due.
    pub served_worth_share: f64,
    /// Of answers, in milliseconds; 0 where none was served.
    pub p50_ms: f64,
    /// The same.
    pub p99_ms: f64,
}

/// What came of a rehearsal.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The script.
    pub script: String,
    /// The seed.
    pub seed: u64,
    /// How many times the script's size.
    pub size: u32,
    /// Schedulers.
    pub schedulers: u32,
    /// Nodes.
    pub nodes: u32,
    /// Requests, without clients' retries.
    pub requests: u64,
    /// Attempts at nodes.
    pub attempts: u64,
    /// Rules broken, over all.
    pub rules_broken: u64,
    /// Which.
    pub broken: Broken,
    /// Worth earned, as a part of what was due, over all plans.
    pub served_worth_share: f64,
    /// By plan.
    pub plans: BTreeMap<String, Outcomes>,
    /// By class.
    pub classes: BTreeMap<String, Outcomes>,
    /// By second: served, refused, failed and lost.
    pub seconds: Vec<[u32; 4]>,
    /// Jobs in each node, at each second's end; up to 64 nodes.
    pub inflight: Vec<Vec<u32>>,
    /// Everything that nodes and clients saw, in order, as one figure.
    pub ledger_hash: String,
}

#[derive(Default)]
pub(super) struct Tally {
    pub(super) outcomes: Outcomes,
    pub(super) due: f64,
    pub(super) earned: f64,
    pub(super) times: Option<Histogram<u64>>,
}

impl Tally {
    pub(super) fn add(&mut self, how: usize, worth: f64, earned: f64, took: Option<Duration>) {
        self.outcomes.requests += 1;
        let counter = match how {
            0 => &mut self.outcomes.served,
            1 => &mut self.outcomes.refused,
            2 => &mut self.outcomes.failed,
            _ => &mut self.outcomes.lost,
        };
        *counter += 1;
        self.due += worth;
        self.earned += earned;
        if let Some(took) = took {
            let times = self.times.get_or_insert_with(|| Histogram::new(3).expect("3 digits"));
            let _ = times.record(took.as_micros() as u64);
        }
    }

    pub(super) fn outcomes(&self) -> Outcomes {
        let ms = |quantile| self.times.as_ref().map_or(0.0, |t| t.value_at_quantile(quantile) as f64 / 1e3);
        Outcomes {
            served_worth_share: if self.due > 0.0 { self.earned / self.due } else { 1.0 },
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            ..self.outcomes.clone()
        }
    }
}

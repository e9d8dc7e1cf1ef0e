//! What the nodes saw, and which rules it broke. Everything is noted where it happens, at the node and at the
//! client, so that a broken rule is proved and not guessed; and all of it goes into one hash, in order.

use crate::node::Micros;
use serde::Serialize;
use std::collections::HashMap;

/// A drained node may get new work for so long after a scheduler was told (BRIEF 8.1), and 50 ms as on sockets.
const DRAIN_GRACE: Micros = 300_000;
/// The slack of a limit grows by what it allows in this time (PROTOCOL).
const LIMIT_SLACK_S: f64 = 0.150;

/// How often each rule was broken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Writes that ran more than once.
    pub doubled_writes: u64,
    /// Sends to a node later than the grace after its scheduler was told that it drains or is gone.
    pub drained_sends: u64,
    /// Requests that took a volume over its plan's limit and slack.
    pub over_limit: u64,
    /// Cold nodes that were pushed over.
    pub pushed_over: u64,
    /// Requests that had no answer when their client gave up, at a scheduler that was running.
    pub unanswered: u64,
}

impl Broken {
    /// All of them.
    pub fn total(&self) -> u64 {
        self.doubled_writes + self.drained_sends + self.over_limit + self.pushed_over + self.unanswered
    }
}

/// A plan's limit for one volume.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// What may come at once.
    pub depth: f64,
    /// What may come beyond.
    pub slack: f64,
}

/// A bucket that runs out where a volume is over its limit.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    at: Micros,
}

/// The ledger of one rehearsal.
#[derive(Debug, Default)]
pub struct Ledger {
    broken: Broken,
    /// Runs of each write.
    runs: HashMap<u64, u32>,
    volumes: HashMap<u64, Bucket>,
    /// When each scheduler was told that a node drains or is gone.
    told: HashMap<(u32, u32), Micros>,
    hash: (u32, u32),
    events: u64,
}

impl Ledger {
    fn mix(&mut self, parts: [u64; 4]) {
        // Two sums with different starts make a collision of both unlikely enough for a comparison.
        for part in parts {
            self.hash.0 = crc32c::crc32c_append(self.hash.0, &part.to_le_bytes());
            self.hash.1 = crc32c::crc32c_append(self.hash.1 ^ 0x9e37_79b9, &part.to_be_bytes());
        }
        self.events += 1;
    }

    /// A scheduler was told of a node: that it takes work, or that it does not.
    pub fn told(&mut self, now: Micros, scheduler: u32, node: u32, takes_work: bool) {
        self.mix([1, u64::from(scheduler), u64::from(node), now]);
        if takes_work {
            self.told.remove(&(scheduler, node));
        } else {
            self.told.entry((scheduler, node)).or_insert(now);
        }
    }

    /// A scheduler that starts again has been told nothing.
    pub fn started(&mut self, now: Micros, scheduler: u32) {
        self.mix([2, u64::from(scheduler), 0, now]);
        self.told.retain(|(told, _), _| *told != scheduler);
    }

    /// A scheduler sends a node a request.
    pub fn sent(&mut self, now: Micros, scheduler: u32, node: u32, request: u64) {
        self.mix([3, u64::from(scheduler) << 32 | u64::from(node), request, now]);
        let late = self.told.get(&(scheduler, node)).is_some_and(|told| now > told + DRAIN_GRACE);
        self.broken.drained_sends += u64::from(late);
    }

    /// A node takes a request's last byte: from here on it may run, and its units count.
    pub fn taken(
        &mut self,
        now: Micros,
        request: u64,
        writes: bool,
        volume: u64,
        units: f64,
        limit: Option<Limit>,
    ) {
        self.mix([4, request, volume, now]);
        if writes {
            let runs = self.runs.entry(request).or_default();
            *runs += 1;
            self.broken.doubled_writes += u64::from(*runs == 2);
        }
        let Some(limit) = limit else { return };
        let most = limit.depth + limit.slack + limit.rate * LIMIT_SLACK_S;
        let bucket = self.volumes.entry(volume).or_insert(Bucket { level: most, at: now });
        bucket.level = (bucket.level + (now - bucket.at) as f64 / 1e6 * limit.rate).min(most);
        bucket.at = now;
        bucket.level -= units;
        if bucket.level < -1e-6 {
            self.broken.over_limit += 1;
            // One request over is one breach, not one for each that follows.
            bucket.level = 0.0;
        }
    }

    /// A node fell over.
    pub fn pushed_over(&mut self, now: Micros, node: u32) {
        self.mix([5, u64::from(node), 0, now]);
        self.broken.pushed_over += 1;
    }

    /// A request ended for its client: 0 served, 1 refused, 2 failed, 3 lost with its scheduler.
    pub fn answered(&mut self, now: Micros, request: u64, how: u64) {
        self.mix([6, request, how, now]);
    }

    /// A client gave up on a request that a running scheduler never answered.
    pub fn unanswered(&mut self, now: Micros, request: u64) {
        self.mix([7, request, 0, now]);
        self.broken.unanswered += 1;
    }

    /// Which rules were broken, and how often.
    pub fn broken(&self) -> &Broken {
        &self.broken
    }

    /// Everything that was noted, as one figure.
    pub fn hash(&self) -> String {
        format!("{:08x}{:08x}-{}", self.hash.0, self.hash.1, self.events)
    }
}

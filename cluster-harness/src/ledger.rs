//! Counts by 10 ms slot, and the verdict over what the stand-ins logged.

use serde::Serialize;
use std::time::Duration;

/// The width of a slot.
pub const SLOT: Duration = Duration::from_millis(10);
/// The most slots kept: ten minutes. Later calls count in the last slot, so the table stays bounded.
const MAX_SLOTS: usize = 60_000;

/// Calls counted in slots of [`SLOT`] from the rig's start.
#[derive(Clone, Debug, Default)]
pub struct Slots(Vec<u32>);

impl Slots {
    /// Counts a call at `at` after the start.
    pub fn note(&mut self, at: Duration) {
        self.note_many(at, 1);
    }

    /// Counts so many at once, such as bytes.
    pub fn note_many(&mut self, at: Duration, many: u32) {
        let slot = ((at.as_millis() / SLOT.as_millis()) as usize).min(MAX_SLOTS - 1);
        if self.0.len() <= slot {
            self.0.resize(slot + 1, 0);
        }
        self.0[slot] = self.0[slot].saturating_add(many);
    }

    /// All calls.
    pub fn total(&self) -> u64 {
        self.0.iter().map(|&calls| u64::from(calls)).sum()
    }

    /// The calls in the slots that lie between these times as a whole.
    pub fn between(&self, from: Duration, until: Duration) -> u64 {
        let first = from.as_millis().div_ceil(SLOT.as_millis()) as usize;
        let end = ((until.as_millis() / SLOT.as_millis()) as usize).min(self.0.len());
        let slots = self.0.get(first..end).unwrap_or_default();
        slots.iter().map(|&calls| u64::from(calls)).sum()
    }

    /// The most calls in any second, reckoned over every window of 100 slots.
    pub fn peak_per_second(&self) -> u64 {
        let width = (Duration::from_secs(1).as_millis() / SLOT.as_millis()) as usize;
        let mut window: u64 = 0;
        let mut most = 0;
        for (i, &calls) in self.0.iter().enumerate() {
            window += u64::from(calls);
            if i >= width {
                window -= u64::from(self.0[i - width]);
            }
            most = most.max(window);
        }
        most
    }

    /// Adds another's counts to these.
    pub fn add(&mut self, other: &Slots) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        for (mine, theirs) in self.0.iter_mut().zip(&other.0) {
            *mine += theirs;
        }
    }

    /// Calls in each second from `from` on, for plots.
    pub fn per_second(&self, from: Duration) -> Vec<u64> {
        let from = ((from.as_millis() / SLOT.as_millis()) as usize).min(self.0.len());
        self.0[from..].chunks(100).map(|chunk| chunk.iter().map(|&calls| u64::from(calls)).sum()).collect()
    }
}

/// How a run went over time, for plots.
#[derive(Clone, Debug, Default)]
pub struct Series {
    /// Calls to the list service in each second from the clients' start.
    pub list_calls: Vec<u64>,
    /// Requests by the second in which they were sent: served, refused, failed, unanswered.
    pub answers: Vec<[u32; 4]>,
    /// The most requests that each node held in each second, by second and node.
    pub held: Vec<Vec<u32>>,
    /// What came of the maintenance plan, where there was one.
    pub plan: Option<crate::plan::PlanVerdict>,
}

/// What a fleet run comes to, from the stand-ins' logs and the clients' own count of answers.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Verdict {
    /// Scheduler processes started.
    pub schedulers: usize,
    /// Calls to the list service in its busiest second.
    pub list_peak_per_s: u64,
    /// All calls to the list service.
    pub list_calls: u64,
    /// Requests that nodes turned away for a full queue.
    pub node_overloads: u64,
    /// Requests sent by clients.
    pub sent: u64,
    /// Requests answered 200.
    pub served: u64,
    /// Requests refused (429 or 503).
    pub refused: u64,
    /// Requests answered otherwise.
    pub failed: u64,
    /// The part of requests served.
    pub served_share: f64,
    /// Written paths that a node ran more than once.
    pub doubled_writes: u64,
    /// Requests whose client never heard a final answer within its deadline and a margin.
    pub unanswered: u64,
    /// Scheduler processes that ended without being told to.
    pub crashed: u64,
}

impl Verdict {
    /// Whether the rules hold: no doubled write, every request answered, no crash.
    pub fn rules_hold(&self) -> bool {
        self.doubled_writes == 0 && self.unanswered == 0 && self.crashed == 0
    }
}

//! What the scheduler has done since it started, counted in the one place that every front passes.
//!
//! Guards against figures that disagree with each other: success, busy and failure are counted where
//! `Core::serve` gives its final answer, attempts where an attempt's end comes back, whatever the front.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts of final answers and attempts. Each is a plain atomic: read at any time without the core's lock.
#[derive(Debug)]
pub struct Counts {
    success: Vec<AtomicU64>,
    busy: Vec<AtomicU64>,
    failure: Vec<AtomicU64>,
    backend_calls: AtomicU64,
}

/// One class's figures at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests served.
    pub success: u64,
    /// Requests refused, with a time to come back.
    pub busy: u64,
    /// Requests failed.
    pub failure: u64,
}

/// How a request ended, as counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// Served.
    Success,
    /// Refused.
    Busy,
    /// Failed.
    Failure,
}

impl Counts {
    /// Counts for this many classes, all at zero.
    pub fn new(classes: usize) -> Self {
        let zeros = || (0..classes).map(|_| AtomicU64::new(0)).collect();
        Counts { success: zeros(), busy: zeros(), failure: zeros(), backend_calls: AtomicU64::new(0) }
    }

    /// Counts one final answer of a request of class `class`; a class out of range is not counted.
    pub fn answered(&self, class: u16, how: Final) {
        let row = match how {
            Final::Success => &self.success,
            Final::Busy => &self.busy,
            Final::Failure => &self.failure,
        };
        if let Some(count) = row.get(usize::from(class)) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts one attempt that went out to a storage node.
    pub fn attempted(&self) {
        self.backend_calls.fetch_add(1, Ordering::Relaxed);
    }

    /// One class's figures now; zeros for a class out of range.
    pub fn class(&self, class: usize) -> ClassCounts {
        let read = |row: &Vec<AtomicU64>| row.get(class).map_or(0, |count| count.load(Ordering::Relaxed));
        ClassCounts { success: read(&self.success), busy: read(&self.busy), failure: read(&self.failure) }
    }

    /// Attempts that went out to storage nodes.
    pub fn backend_calls(&self) -> u64 {
        self.backend_calls.load(Ordering::Relaxed)
    }
}

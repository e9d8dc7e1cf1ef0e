//! Ballots order proposals.

use serde::{Deserialize, Serialize};

/// A proposal's number; no two proposals share one. The zero ballot is that of the initial value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Compared first.
    pub counter: u64,
    /// The proposer, to tell equal counters apart. Drawn anew at each start of a process.
    pub proposer: u64,
}

impl Ballot {
    /// The least ballot of this proposer above another.
    pub fn above(other: Ballot, proposer: u64) -> Self {
        Ballot { counter: other.counter + 1, proposer }
    }
}

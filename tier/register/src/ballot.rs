//! Ballots: the proposal numbers of *Paxos Made Simple*, section 2.2.

use serde::{Deserialize, Serialize};

/// A proposal's number; totally ordered, and no two proposals share one. The zero ballot is that of the
/// initial value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Compared first.
    pub counter: u64,
    /// The proposer, to order equal counters. Drawn anew at each start of a process, which needn't remember
    /// the ballots that it used before.
    pub proposer: u64,
}

impl Ballot {
    /// This proposer's lowest ballot above another one.
    pub fn above(other: Ballot, proposer: u64) -> Self {
        Ballot { counter: other.counter + 1, proposer }
    }
}

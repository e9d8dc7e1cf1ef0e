//! The settings of a scheduler among its peers, from the operator's file.

use crate::maintenance::decide::Rules;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A scheduler: another one, or this one.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Where this scheduler reaches it.
    pub address: SocketAddr,
}

/// The settings. The peers must stand in the same order at every scheduler: their index is their number in
/// the consensus and in failure detection.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerSettings {
    /// The index of this scheduler in [`PeerSettings::peers`].
    pub me: usize,
    /// All schedulers, including this one.
    pub peers: Vec<Peer>,
    /// Where this scheduler listens for the others and for operators.
    pub listen: SocketAddr,
    /// The file that holds the consensus log and the vote: they must outlast the process and the machine's
    /// restart.
    pub state: PathBuf,
    /// Limits on the draining of machines.
    pub rules: Rules,
    /// A scheduler that has been down for this time need not confirm any more.
    pub forget: Duration,
    /// The election time-out: drawn from this up to twice this. Heartbeats come each fifth of it.
    pub election: Duration,
    /// Seed of the random numbers of failure detection.
    pub seed: u64,
}

impl PeerSettings {
    /// This scheduler's name.
    pub fn name(&self) -> &str {
        &self.peers[self.me].name
    }
}

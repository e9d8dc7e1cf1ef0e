//! A node of the list: where it is known from, how far it is verified, and how it is saved.

use crate::staleness::{Staleness, Stamp};

/// Where an entry is known from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// The platform's configuration, of unknown age.
    Known,
    /// The snapshot.
    Snapshot,
    /// Discovery.
    Discovery,
}

/// Why a node is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// Its connections do not come up.
    NoConnection,
    /// Nothing comes back.
    NoResponse,
    /// It rejects everything: another shard's node has its address.
    Rejecting,
}

/// How far an entry is verified.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verification {
    /// Discovery lists it.
    Listed,
    /// It answered, though discovery does not list it.
    Verified,
    /// It is on a saved list, and nothing has come from it since.
    Unverified(Staleness),
    /// It gets nothing until then, and then one request as a probe.
    Ejected {
        /// Until when.
        until: f64,
        /// Why.
        why: EjectionReason,
    },
}

/// A node as the snapshot records it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct SavedNode {
    /// Its id.
    pub name: String,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// Its zone's number.
    pub zone: u8,
    /// The shard it holds.
    pub shard: u32,
    /// Whether it was draining.
    #[serde(default)]
    pub draining: bool,
    /// Its last start in Unix milliseconds; 0 is long ago.
    pub started: f64,
    /// Units a second that it served this scheduler; 0 where not known.
    #[serde(default)]
    pub rate: f64,
    /// Where it was known from.
    pub source: Source,
}

/// What the snapshot records of the list as a whole.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct SavedList {
    /// Discovery's version.
    pub revision: u64,
    /// Where discovery was.
    pub discovery: String,
    /// When discovery last confirmed it.
    pub confirmed: Stamp,
}

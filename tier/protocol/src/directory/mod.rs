//! The directory: the state that the control members agree on in the register, with its changes.
//!
//! Guarantees, against orders that are repeated, reordered or sent to several members: a configuration is
//! committed once and under rising versions, and the active stores of an epoch never change. All changes are
//! pure functions of the directory and their arguments, since they are computed anew for each attempt of a
//! proposal.

mod configuration;
mod stores;

use bytes::Bytes;
pub use configuration::{CommittedConfiguration, Digest, MAX_REMEMBERED_CONFIGURATIONS, ReplaceOutcome};
use serde::{Deserialize, Serialize};
pub use stores::{
    MAX_REMEMBERED_STORE_EPOCHS, MAX_REMOVED_STORES, RetireOutcome, StoreEntry, StoreEpoch, StoreId,
    StoreState,
};

/// The most bytes that a directory takes besides its configuration: digests, stores, epochs of stores.
pub const MAX_DIRECTORY_OVERHEAD_BYTES: usize = 512 * 1024;

/// The state that the control members agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// Rises by one with every change.
    pub revision: u64,
    /// Rises by one with every change of the stores.
    pub store_epoch: u64,
    /// All stores in the order of their registration, with at most [`MAX_REMOVED_STORES`] that take no part
    /// any longer.
    pub stores: Vec<StoreEntry>,
    /// The version of the configuration; 0 before the first.
    pub configuration_version: u64,
    /// The configuration, byte for byte as the operator sent it.
    pub configuration: Bytes,
    /// The configurations committed so far, oldest first; at most [`MAX_REMEMBERED_CONFIGURATIONS`].
    #[serde(rename = "taken")]
    pub committed_configurations: Vec<CommittedConfiguration>,
    /// The highest version that was removed from `committed_configurations`; 0 while all are there.
    #[serde(default)]
    pub forgotten_through: u64,
    /// The epochs of the stores before this one, oldest first; at most [`MAX_REMEMBERED_STORE_EPOCHS`].
    #[serde(default)]
    pub earlier_store_epochs: Vec<StoreEpoch>,
}

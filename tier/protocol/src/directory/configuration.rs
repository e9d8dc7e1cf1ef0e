//! Replacing the configuration.

use super::Directory;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// Committed configurations whose digests are remembered, so that a repeated order is recognised. A day of
/// the largest deployment has 1,300 changes; this covers a day and a half. An order older than that is
/// neither acknowledged nor rejected: see [`ReplaceOutcome::HistoryTruncated`].
pub const MAX_REMEMBERED_CONFIGURATIONS: usize = 2048;

/// SHA-256 of a configuration's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(#[serde(with = "serde_bytes")] pub [u8; 32]);

impl Digest {
    /// The digest of these bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Digest(sha2::Sha256::digest(bytes).into())
    }
}

/// A configuration that was committed. The digest tells it from another one that was sent under the same
/// version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedConfiguration {
    /// Its version.
    pub version: u64,
    /// The digest of its bytes.
    pub digest: Digest,
}

/// The result of an order to replace the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplaceOutcome {
    /// The configuration is the current one now.
    Committed,
    /// The same version with the same bytes was committed before, as where the order is repeated.
    AlreadyCommitted,
    /// The order is based on another version than the current one. Final.
    BaseMismatch {
        /// The current version.
        current: u64,
    },
    /// The order's version is not above the current one. Final.
    VersionNotGreater {
        /// The current version.
        current: u64,
    },
    /// The order is based on a version above the current one, which may be committed yet: not final.
    BaseNotCommitted {
        /// The current version.
        current: u64,
    },
    /// The order is so old that it may have been committed without being remembered: neither is known.
    HistoryTruncated {
        /// The oldest version that is remembered.
        oldest: u64,
    },
}

impl Directory {
    /// Replaces the configuration with one that is based on the current version. Versions only rise, so that
    /// an order whose rejection is final can't be committed later.
    pub fn replace_configuration(&mut self, base: u64, version: u64, body: &Bytes) -> ReplaceOutcome {
        let replacement = CommittedConfiguration { version, digest: Digest::of(body) };
        if let Some(outcome) = self.rejection(base, &replacement) {
            return outcome;
        }
        self.configuration_version = version;
        self.configuration = body.clone();
        self.committed_configurations.push(replacement);
        self.truncate_committed_configurations();
        self.revision += 1;
        ReplaceOutcome::Committed
    }

    /// Why a configuration is not committed now; `None` where it is.
    fn rejection(&self, base: u64, replacement: &CommittedConfiguration) -> Option<ReplaceOutcome> {
        let current = self.configuration_version;
        let version = replacement.version;
        if self.committed_configurations.contains(replacement) {
            return Some(ReplaceOutcome::AlreadyCommitted);
        }
        if version <= self.forgotten_through {
            let oldest = self.committed_configurations.first().map_or(current, |oldest| oldest.version);
            return Some(ReplaceOutcome::HistoryTruncated { oldest });
        }
        if base > current && version > current {
            return Some(ReplaceOutcome::BaseNotCommitted { current });
        }
        if base != current {
            return Some(ReplaceOutcome::BaseMismatch { current });
        }
        (version <= current).then_some(ReplaceOutcome::VersionNotGreater { current })
    }

    fn truncate_committed_configurations(&mut self) {
        let surplus = self.committed_configurations.len().saturating_sub(MAX_REMEMBERED_CONFIGURATIONS);
        let removed = self.committed_configurations.drain(..surplus).map(|removed| removed.version).max();
        self.forgotten_through = self.forgotten_through.max(removed.unwrap_or(0));
    }
}

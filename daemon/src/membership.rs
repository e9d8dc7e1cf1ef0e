//! The start from a saved node list: the snapshot is opened, read and handed to the decisions of
//! `pointcross-membership`; a file that cannot be kept costs no more than what it would have told.

use crate::config::Config;
use pointcross_membership::decide::{Effects, Membership, MembershipRules};
use pointcross_membership::guard::MembershipGuard;
use pointcross_membership::snapshot::{Loaded, LockedSnapshot, SnapshotWriter, now_stamp};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// What the operator's file sets.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Where the list is saved; without it nothing is, and the known list alone is weighed.
    pub snapshot: Option<PathBuf>,
    /// How often it is written at the most.
    pub interval: Duration,
    /// Its bytes at the most.
    pub most_bytes: u64,
    /// What decides.
    pub bounds: MembershipRules,
}

impl MembershipConfig {
    /// The settings without the seed, which is new at each start.
    pub(crate) fn without_seed(&self) -> MembershipConfig {
        MembershipConfig { bounds: MembershipRules { seed: 0, ..self.bounds.clone() }, ..self.clone() }
    }
}

/// Opens and reads what was saved; gives what decides on membership from now on, and what it begins with.
pub(crate) fn restore(
    settings: &MembershipConfig,
    config: &Config,
    now: f64,
) -> (Arc<MembershipGuard>, Effects) {
    let locked = settings.snapshot.as_deref().and_then(|path| {
        LockedSnapshot::open(path)
            .map_err(|error| tracing::warn!(%error, "snapshot unavailable: the node list is not saved"))
            .ok()
    });
    let loaded = match locked.as_ref().map(|locked| locked.read(settings.most_bytes)) {
        None => Loaded::default(),
        Some(Ok(loaded)) => loaded,
        Some(Err(error)) => {
            tracing::warn!(%error, "snapshot not read");
            Loaded::default()
        }
    };
    for fault in &loaded.errors {
        tracing::warn!(%fault, "snapshot damaged: valid entries are used");
    }
    let mut membership = Membership::new(settings.bounds.clone(), now);
    let saved = loaded.list.as_ref().map(|list| (list, &loaded.nodes[..]));
    let known = (config.known.revision, &config.known.members[..]);
    let effects = membership.restore(&now_stamp(), saved, known);
    tracing::info!(
        saved = loaded.nodes.len(),
        discovery = loaded.list.as_ref().map(|list| list.discovery.as_str()),
        listed = membership.len(),
        "started from an unverified node list"
    );
    let keeper = locked.map(|locked| {
        let (address, nodes) = (config.discovery.to_string(), loaded.nodes);
        SnapshotWriter::start(locked, nodes, address, settings.interval, settings.most_bytes)
    });
    (MembershipGuard::new(membership, keeper), effects)
}

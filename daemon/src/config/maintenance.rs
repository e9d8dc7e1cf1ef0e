//! `[maintenance]` of the operator's file: the other schedulers and the limits of the maintenance plan.

use super::error::ConfigErrors;
use pointcross_coordination::maintenance::decide::Rules;
use pointcross_coordination::settings::{Peer, PeerSettings};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MaintenanceSection {
    listen: SocketAddr,
    state: PathBuf,
    limit: usize,
    #[serde(default)]
    work_ms: Option<u64>,
    #[serde(default = "MaintenanceSection::lease")]
    lease_ms: u64,
    #[serde(default = "MaintenanceSection::left")]
    nodes_left: usize,
    #[serde(default = "MaintenanceSection::left")]
    schedulers_left: usize,
    #[serde(default = "MaintenanceSection::forget")]
    forget_ms: u64,
    #[serde(default = "MaintenanceSection::election")]
    election_ms: u64,
    #[serde(rename = "peer")]
    peers: Vec<PeerSection>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PeerSection {
    name: String,
    address: SocketAddr,
}

impl MaintenanceSection {
    fn lease() -> u64 {
        3000
    }
    fn left() -> usize {
        1
    }
    fn forget() -> u64 {
        30_000
    }
    fn election() -> u64 {
        600
    }

    pub(super) fn check(self, name: &str, seed: u64, errors: &mut ConfigErrors) -> Option<PeerSettings> {
        let me = self.peers.iter().position(|peer| peer.name == name);
        let missing = format!("{} names; wanted {name:?} among them", self.peers.len());
        errors.require(me.is_some(), "maintenance.peer", missing);
        let names: std::collections::BTreeSet<_> = self.peers.iter().map(|peer| &peer.name).collect();
        errors.require(names.len() == self.peers.len(), "maintenance.peer", "a name twice".to_owned());
        errors.require(self.limit > 0, "maintenance.limit", "0: nothing is ever taken out");
        for (key, value, least) in [
            ("maintenance.lease_ms", self.lease_ms, 100),
            ("maintenance.forget_ms", self.forget_ms, 1000),
            ("maintenance.election_ms", self.election_ms, 50),
        ] {
            let wanted = format!("{value}: wanted {least} to 3600000 milliseconds");
            errors.require((least..=3_600_000).contains(&value), key, wanted);
        }
        errors.require(self.nodes_left > 0, "maintenance.nodes_left", "0: a shard would be without a node");
        let rules = Rules {
            limit: self.limit,
            lease_ms: self.lease_ms,
            work_ms: self.work_ms,
            nodes_left: self.nodes_left,
            schedulers_left: self.schedulers_left,
        };
        let peers = self.peers.into_iter().map(|peer| Peer { name: peer.name, address: peer.address });
        Some(PeerSettings {
            me: me?,
            peers: peers.collect(),
            listen: self.listen,
            state: self.state,
            rules,
            forget: Duration::from_millis(self.forget_ms),
            election: Duration::from_millis(self.election_ms),
            seed,
        })
    }
}

/// The settings without the seed, which is new at each start.
pub(super) fn without_seed(settings: Option<&PeerSettings>) -> Option<PeerSettings> {
    settings.map(|settings| PeerSettings { seed: 0, ..settings.clone() })
}

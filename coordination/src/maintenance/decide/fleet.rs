//! What one scheduler sees of the fleet: the input of its decisions. Two schedulers may see it differently.

use std::collections::{BTreeMap, BTreeSet};

/// One scheduler's view of nodes and schedulers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// The storage nodes that take work by the node list, and the shard of each.
    pub nodes: BTreeMap<String, u32>,
    /// The schedulers whose confirmation is needed: all but those that have been down for long enough.
    pub must_confirm: BTreeSet<String>,
    /// The schedulers that are alive.
    pub alive: BTreeSet<String>,
}

/// How failure detection sees a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerView {
    /// It answers, or others report that it does.
    Alive,
    /// Suspected, or nothing is known of it yet.
    Unknown,
    /// Declared down.
    Down {
        /// For how long, in milliseconds.
        for_ms: u64,
    },
}

impl PeerView {
    fn is_down_for(self, min_ms: u64) -> bool {
        matches!(self, PeerView::Down { for_ms } if for_ms >= min_ms)
    }
}

impl FleetView {
    /// A view of the nodes that take work and of each scheduler. A scheduler that has been down for
    /// `forget_ms` need not confirm; until then it may only be partitioned from this one, and still send to a
    /// machine that drains.
    pub fn new(
        nodes: BTreeMap<String, u32>,
        peers: impl IntoIterator<Item = (String, PeerView)>,
        forget_ms: u64,
    ) -> Self {
        let mut view = FleetView { nodes, ..FleetView::default() };
        for (name, peer) in peers {
            if peer == PeerView::Alive {
                view.alive.insert(name.clone());
            }
            if !peer.is_down_for(forget_ms) {
                view.must_confirm.insert(name);
            }
        }
        view
    }
}

//! The node list: which address stands behind each name that the module uses.

use pointcross_decide::{NodeEntry, NodeId, NodeState};
use std::collections::HashMap;
use std::net::SocketAddr;

/// One entry of discovery's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The node's id, the same at every scheduler.
    pub name: String,
    /// Where this scheduler reaches it.
    pub address: SocketAddr,
    /// Its zone's number.
    pub zone: u8,
    /// The shard it holds.
    pub shard: u32,
    /// Its state.
    pub state: NodeState,
    /// Its last start in Unix milliseconds; 0 is long ago.
    pub started: f64,
}

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The node, as the module names it.
    pub node: NodeId,
    /// The node's id in discovery's list.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
}

/// All nodes that were ever listed.
#[derive(Default)]
pub(crate) struct Nodes {
    by_name: HashMap<String, NodeId>,
    targets: HashMap<NodeId, Target>,
}

impl Nodes {
    /// Notes where a member is reached and gives the entry that the module is told.
    pub(crate) fn note(&mut self, member: Member) -> NodeEntry {
        let Member { name, address, zone, shard, state, started } = member;
        let node = match self.by_name.get(&name) {
            Some(&node) => node,
            None => {
                let node = self.unused(&name);
                tracing::info!(%node, name, %address, shard, "node listed");
                self.by_name.insert(name.clone(), node);
                node
            }
        };
        self.targets.insert(node, Target { node, name, address });
        NodeEntry { node, zone, shard, state, started }
    }

    pub(crate) fn target(&self, node: NodeId) -> Option<&Target> {
        self.targets.get(&node)
    }

    /// The module names nodes by six bytes, the same at every host: a hash of the listed id (FNV-1a), moved
    /// on by one where another node has it already.
    fn unused(&self, name: &str) -> NodeId {
        let mut hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        });
        loop {
            let [a, b, c, d, e, f, ..] = hash.to_le_bytes();
            let node = NodeId { address: [a, b, c, d], port: u16::from_le_bytes([e, f]) };
            if !self.targets.contains_key(&node) {
                return node;
            }
            hash = hash.wrapping_add(1);
        }
    }
}

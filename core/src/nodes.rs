//! The node list: which address stands behind each name that the module uses.

use pointcross_scheduler::{NodeEntry, NodeId, NodeState};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

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

/// The nodes that are listed, with the bans on them. What is removed is forgotten, since replaced nodes come under ever new ids; one that
/// returns gets its old name, a hash of its id, back.
#[derive(Default)]
pub struct Nodes {
    by_name: HashMap<String, NodeId>,
    targets: HashMap<NodeId, Target>,
    /// The nodes that take work, each with the start of the life it does so in. The flag is what attempts on
    /// their way see: it falls when the node drains, is gone or has started anew.
    ready: HashMap<NodeId, (f64, Arc<AtomicBool>)>,
    /// Each listed member as the list last gave it, before any ban: what applies once the ban ends.
    members: HashMap<String, Member>,
    /// Names that operators banned, and since when; they outlast the list, and a name that is gone keeps its
    /// ban. Bounded as `seen` is: a ban is set only on a seen name, or restored up to `MAX_SEEN`.
    banned: HashMap<String, f64>,
    /// Every name ever listed, so that a ban can be told from a typing error. Bounded by `MAX_SEEN`; at the
    /// bound the oldest are not forgotten but new ones are no longer noted, so a ban on them is refused.
    seen: HashSet<String>,
}

/// Names kept of nodes that were listed once: far more than a fleet's replacements over a day.
const MAX_SEEN: usize = 65_536;

/// Why a ban cannot be set or lifted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BanError {
    /// The id was never listed, nor banned before.
    #[error("storage node {0:?} was never listed")]
    Unknown(String),
}

impl Nodes {
    /// Applies an entry of the list and returns the entry that goes to the module.
    pub fn apply(&mut self, mut member: Member) -> NodeEntry {
        if member.state == NodeState::Gone {
            self.members.remove(&member.name);
        } else {
            if self.seen.len() < MAX_SEEN {
                self.seen.insert(member.name.clone());
            }
            self.members.insert(member.name.clone(), member.clone());
        }
        // A banned node is passed on as draining: the module stops sending to it as to any that drains.
        if member.state == NodeState::Ready && self.banned.contains_key(&member.name) {
            member.state = NodeState::Draining;
        }
        let Member { name, address, zone, shard, state, started } = member;
        let node = match self.by_name.get(&name) {
            Some(&node) => node,
            None => {
                let node = self.unused_id(&name);
                tracing::info!(%node, name, %address, shard, "node listed");
                self.by_name.insert(name.clone(), node);
                node
            }
        };
        if state != NodeState::Ready || self.ready.get(&node).is_some_and(|(life, _)| *life != started) {
            self.close_gate(node);
        }
        if state == NodeState::Ready {
            self.ready.entry(node).or_insert_with(|| (started, Arc::new(AtomicBool::new(true))));
        }
        if state == NodeState::Gone {
            self.forget(&name, node);
        } else {
            self.targets.insert(node, Target { node, name, address });
        }
        NodeEntry { node, zone, shard, state, started }
    }

    /// Forgets all that a whole list does not name.
    pub fn keep_only(&mut self, listed: &[Member]) {
        let listed: HashSet<&str> = listed.iter().map(|member| member.name.as_str()).collect();
        let missing = self.by_name.iter().filter(|(name, _)| !listed.contains(name.as_str()));
        let missing: Vec<_> = missing.map(|(name, node)| (name.clone(), *node)).collect();
        for (name, node) in missing {
            self.members.remove(&name);
            self.forget(&name, node);
        }
    }

    fn forget(&mut self, name: &str, node: NodeId) {
        tracing::info!(%node, name, "node removed");
        self.close_gate(node);
        self.by_name.remove(name);
        self.targets.remove(&node);
    }

    /// No attempt that was decided on before now begins at this node.
    fn close_gate(&mut self, node: NodeId) {
        if let Some((_, open)) = self.ready.remove(&node) {
            open.store(false, Ordering::Relaxed);
        }
    }

    /// Bans a node by its listed name from `now` on; returns the entries that go to the module, where it is listed. A
    /// repeated ban keeps its first time.
    ///
    /// Behind the node come the others of its shard: the module looks for a shard's next node among what it is told,
    /// and would else refuse what another node holds too.
    ///
    /// # Errors
    /// A name that was never listed nor banned.
    pub fn ban(&mut self, name: &str, now: f64) -> Result<Vec<NodeEntry>, BanError> {
        self.check_known(name)?;
        self.banned.entry(name.to_owned()).or_insert(now);
        let Some(member) = self.members.get(name).cloned() else { return Ok(Vec::new()) };
        let shard = member.shard;
        let mut others: Vec<Member> = self
            .members
            .values()
            .filter(|other| other.shard == shard && other.name != name)
            .cloned()
            .collect();
        others.sort_by(|a, b| a.started.total_cmp(&b.started).then_with(|| a.name.cmp(&b.name)));
        Ok(std::iter::once(member).chain(others).map(|member| self.apply(member)).collect())
    }

    /// Lifts a ban; returns the true entry. The node was restarted while it was banned and comes back
    /// warming up: from the start that the list tells where that lies within the ban, else from `now`. Guards against a
    /// node spared as if it had just started when it has been warming up since the middle of the ban.
    ///
    /// # Errors
    /// A name that was never listed nor banned.
    pub fn unban(&mut self, name: &str, now: f64) -> Result<Option<NodeEntry>, BanError> {
        self.check_known(name)?;
        let since = self.banned.remove(name);
        let member = self.members.get(name).cloned();
        let restarted = |member: &Member| since.is_some_and(|since| member.started > since);
        let started =
            |member: &Member| if restarted(member) { member.started } else { member.started.max(now) };
        Ok(member.map(|m| Member { started: started(&m), ..m }).map(|m| self.apply(m)))
    }

    fn check_known(&self, name: &str) -> Result<(), BanError> {
        let known = self.seen.contains(name) || self.banned.contains_key(name);
        if known { Ok(()) } else { Err(BanError::Unknown(name.to_owned())) }
    }

    /// The module's name for a listed one.
    pub fn named(&self, name: &str) -> Option<NodeId> {
        self.by_name.get(name).copied()
    }

    /// The nodes that are ready by the list, and the shard of each.
    pub fn ready_nodes(&self) -> BTreeMap<String, u32> {
        let ready = self.members.values().filter(|member| member.state == NodeState::Ready);
        ready.map(|member| (member.name.clone(), member.shard)).collect()
    }

    /// Names banned now, in order.
    pub fn banned(&self) -> Vec<String> {
        let mut names: Vec<_> = self.banned.keys().cloned().collect();
        names.sort();
        names
    }

    /// Restores bans read back from an earlier process; they hold before the first list comes, and count from
    /// `now`: a start before it may be older than the ban.
    /// At most `MAX_SEEN` are taken, so that a file of any length cannot grow the tables past their bound.
    pub fn restore(&mut self, names: impl IntoIterator<Item = String>, now: f64) {
        for name in names.into_iter().take(MAX_SEEN.saturating_sub(self.banned.len())) {
            self.seen.insert(name.clone());
            self.banned.insert(name, now);
        }
    }

    /// Listed nodes that accept nothing new now: banned, or draining by the list.
    pub fn unavailable(&self) -> usize {
        self.by_name.values().filter(|node| !self.ready.contains_key(node)).count()
    }

    /// Whether any is ready.
    pub fn any_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// How many are listed.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Where a node is reached, and the flag that falls once it takes no work.
    pub fn target(&self, node: NodeId) -> Option<(Target, Arc<AtomicBool>)> {
        let open = self.ready.get(&node).map(|(_, open)| open.clone()).unwrap_or_default();
        Some((self.targets.get(&node)?.clone(), open))
    }

    /// The module names nodes by six bytes, the same at every host: a hash of the listed id (FNV-1a), moved
    /// on by one where another node has it already.
    fn unused_id(&self, name: &str) -> NodeId {
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

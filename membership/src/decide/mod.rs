//! Every decision on membership: what is listed, how far each entry is verified, what may be sent to one that is not,
//! who is ejected, and what an update from discovery changes.
//!
//! Guards against a start without discovery that sends blindly by an old list, and against a discovery that comes back
//! empty or older than it was. Times are Unix milliseconds that never run backwards, as the decision module counts them.
//! No I/O, no clock, no random source but the seed.
//!
//! Bounded by the number of listed nodes; what a full list does not name is forgotten.

mod admission;
mod attempts;
mod effects;
mod entry;
mod node;
mod rules;

pub use effects::{AdmissionDecision, Effects, Listing, MembershipEvent, SnapshotChange};
pub use node::{EjectionReason, SavedList, SavedNode, Source, Verification};
pub use rules::MembershipRules;

use crate::random;
use crate::staleness::{Staleness, Stamp, assess_staleness};
use entry::Entry;
use pointcross_core::Member;
use pointcross_core::decide::{ListKind, NodeState};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What is known of all nodes.
#[derive(Debug)]
pub struct Membership {
    rules: MembershipRules,
    started_at: f64,
    entries: BTreeMap<String, Entry>,
    by_shard: HashMap<u32, BTreeSet<String>>,
    revision: u64,
    /// When discovery last sent anything; `None` before its first list.
    listed_at: Option<f64>,
    /// Since when discovery's list is empty while nodes answer.
    empty_since: Option<f64>,
    random_draws: u64,
}

/// A node of a list that was there before discovery answered.
struct RestoredNode {
    member: Member,
    source: Source,
    staleness: Staleness,
    rate: f64,
}

impl Membership {
    /// Knows nothing yet.
    pub fn new(rules: MembershipRules, now: f64) -> Self {
        Membership {
            rules,
            started_at: now,
            entries: BTreeMap::new(),
            by_shard: HashMap::new(),
            revision: 0,
            listed_at: None,
            empty_since: None,
            random_draws: 0,
        }
    }

    /// Restores the saved list and the platform's known list, each with its version. Of an id that both name, the list
    /// of the later version counts; what was draining is not sent anything.
    pub fn restore(
        &mut self,
        stamp: &Stamp,
        saved: Option<(&SavedList, &[SavedNode])>,
        known: (u64, &[Member]),
    ) -> Effects {
        let saved_revision = saved.map_or(0, |(list, _)| list.revision);
        let (known_revision, known) = known;
        let known = known.iter().map(|member| RestoredNode {
            member: member.clone(),
            source: Source::Known,
            staleness: Staleness::Careful,
            rate: 0.0,
        });
        let saved = self.saved_nodes(stamp, saved);
        // The later ones overwrite the earlier.
        let ordered: Vec<RestoredNode> = if known_revision > saved_revision {
            saved.into_iter().chain(known).collect()
        } else {
            known.chain(saved).collect()
        };
        for node in ordered {
            if node.member.state == NodeState::Gone {
                self.remove(&node.member.name);
                continue;
            }
            let entry = self.upsert(node.member, node.source, Verification::Unverified(node.staleness));
            entry.saved_rate = node.rate;
        }
        self.revision = saved_revision.max(known_revision);
        // With the starts as they were saved: a probe lists its node as started when it is made, and discovery may
        // answer before that. The module keeps the latest start, so a guess would stay.
        let members = self.entries.values().map(|entry| entry.member.clone()).collect();
        Effects { list: Some(Listing { kind: ListKind::Cached, members }), ..Effects::default() }
    }

    fn saved_nodes(&self, stamp: &Stamp, saved: Option<(&SavedList, &[SavedNode])>) -> Vec<RestoredNode> {
        let Some((list, nodes)) = saved else { return Vec::new() };
        let staleness = assess_staleness(Some(&list.confirmed), stamp, &self.rules.staleness_limits);
        let restored = nodes.iter().map(|node| {
            let state = if node.draining { NodeState::Draining } else { NodeState::Ready };
            let member = Member {
                name: node.name.clone(),
                address: node.address,
                zone: node.zone,
                shard: node.shard,
                state,
                started: node.started,
            };
            RestoredNode { member, source: Source::Snapshot, staleness, rate: node.rate }
        });
        restored.collect()
    }

    /// The version to watch from; `None` before discovery's first list: nobody knows whether the saved one is of the
    /// same discovery.
    pub fn revision(&self) -> Option<u64> {
        self.listed_at.map(|_| self.revision)
    }

    /// How many nodes are listed.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How far a node is verified; `None` where it is not listed.
    pub fn verification(&self, node: &str) -> Option<Verification> {
        self.entries.get(node).map(|entry| entry.verification)
    }

    /// The confidence in a node, from 0 to 1: it grows by answers and falls by silence and age.
    pub fn confidence(&self, now: f64, node: &str) -> f64 {
        let Some(entry) = self.entries.get(node) else { return 0.0 };
        let base = match entry.verification {
            Verification::Listed | Verification::Verified => 1.0,
            Verification::Unverified(Staleness::Fresh) => 0.9,
            Verification::Unverified(Staleness::Careful) => 0.5,
            Verification::Unverified(Staleness::Doubtful) => 0.1,
            Verification::Ejected { .. } => 0.05,
        };
        let silent = now - entry.last_response_at.max(self.listed_at.unwrap_or(self.started_at));
        base * (-silent.max(0.0) / (4.0 * self.rules.staleness_limits.careful.as_secs_f64() * 1e3)).exp()
    }

    /// Applies discovery's full list, or changes to it.
    pub fn apply_list(&mut self, now: f64, full: bool, revision: u64, members: Vec<Member>) -> Effects {
        let mut effects = Effects::default();
        if full {
            if members.is_empty() && self.ignores_empty_list(now, &mut effects) {
                return effects;
            }
            self.empty_since = None;
            self.remove_unlisted(revision, &members, &mut effects);
        } else if revision < self.revision || self.listed_at.is_none() {
            // Changes to a list that is not this one: of another discovery, or to a list that was only saved.
            effects.request_full_list = true;
            return effects;
        }
        let members: Vec<Member> =
            members.into_iter().map(|member| self.apply_member(member, &mut effects)).collect();
        self.revision = revision;
        self.listed_at = Some(now);
        effects.snapshot_changes.push(SnapshotChange::List { revision });
        let kind = if full { ListKind::Full } else { ListKind::Changes };
        effects.list = Some(Listing { kind, members });
        effects
    }

    /// Whether an empty full list is ignored, since nodes answer and the grace is not over.
    fn ignores_empty_list(&mut self, now: f64, effects: &mut Effects) -> bool {
        let answers = |entry: &&Entry| now - entry.last_response_at < self.rules.verification_ttl;
        let answering = self.entries.values().filter(answers).count();
        let since = *self.empty_since.get_or_insert(now);
        let ignores = answering > 0 && now - since < self.rules.empty_list_grace;
        if ignores {
            effects.events.push(MembershipEvent::EmptyListIgnored(answering));
            effects.request_full_list = true;
        }
        ignores
    }

    /// Removes what a full list does not name.
    fn remove_unlisted(&mut self, revision: u64, members: &[Member], effects: &mut Effects) {
        if revision < self.revision && self.listed_at.is_some() {
            let current = self.revision;
            effects.events.push(MembershipEvent::OlderListAccepted { current, accepted: revision });
        }
        let named: BTreeSet<&str> = members.iter().map(|member| member.name.as_str()).collect();
        let unlisted: Vec<String> =
            self.entries.keys().filter(|name| !named.contains(name.as_str())).cloned().collect();
        for name in unlisted {
            self.remove(&name);
            effects.snapshot_changes.push(SnapshotChange::Removed(name));
        }
    }

    fn apply_member(&mut self, member: Member, effects: &mut Effects) -> Member {
        if member.state == NodeState::Gone {
            if self.remove(&member.name) {
                effects.snapshot_changes.push(SnapshotChange::Removed(member.name.clone()));
            }
            return member;
        }
        let is_unchanged = self
            .entries
            .get(&member.name)
            .is_some_and(|entry| entry.member == member && entry.source == Source::Discovery);
        let entry = self.upsert(member.clone(), Source::Discovery, Verification::Listed);
        if !is_unchanged {
            let saved = entry.saved();
            effects.snapshot_changes.push(SnapshotChange::Node(saved));
        }
        member
    }

    /// Whether enough is known to take requests.
    pub fn is_ready(&self, now: f64) -> bool {
        let is_usable = |verification| {
            let unusable = matches!(
                verification,
                Verification::Unverified(Staleness::Doubtful) | Verification::Ejected { .. }
            );
            !unusable
        };
        let shards = self.by_shard.len();
        let nodes = self.by_shard.keys().filter_map(|&shard| self.shard_node(shard));
        let usable =
            nodes.filter(|name| self.entries.get(name).is_some_and(|entry| is_usable(entry.verification)));
        let usable = usable.count();
        let is_enough = usable > 0 && usable as f64 >= self.rules.ready_share * shards as f64;
        is_enough || shards > 0 && now - self.started_at >= self.rules.ready_timeout
    }

    /// All nodes, as they would be saved.
    pub fn saved(&self) -> Vec<SavedNode> {
        self.entries.values().map(Entry::saved).collect()
    }

    fn is_unrestricted(&self, now: f64, entry: &Entry) -> bool {
        let mut entry = entry.clone();
        entry.expire_verification(now, self.listed_at, &self.rules);
        matches!(
            entry.verification,
            Verification::Listed | Verification::Verified | Verification::Unverified(Staleness::Fresh)
        )
    }

    /// The node that the module has for a shard: of the ready ones, the one that started last.
    fn shard_node(&self, shard: u32) -> Option<String> {
        let entries = self.by_shard.get(&shard)?.iter().filter_map(|name| self.entries.get(name));
        let ready = entries.filter(|entry| entry.member.state == NodeState::Ready);
        let last = ready.max_by(|a, b| a.member.started.total_cmp(&b.member.started))?;
        Some(last.member.name.clone())
    }

    fn upsert(&mut self, member: Member, source: Source, verification: Verification) -> &mut Entry {
        let name = member.name.clone();
        let before = self.entries.get(&name).map(|entry| entry.member.shard);
        if let Some(shard) = before.filter(|shard| *shard != member.shard) {
            self.leave_shard(shard, &name);
        }
        self.by_shard.entry(member.shard).or_default().insert(name.clone());
        let entry =
            self.entries.entry(name).or_insert_with(|| Entry::new(member.clone(), source, verification));
        (entry.member, entry.source, entry.verification) = (member, source, verification);
        (entry.failures, entry.rejections) = (0, 0);
        entry
    }

    fn remove(&mut self, name: &str) -> bool {
        let Some(entry) = self.entries.remove(name) else { return false };
        self.leave_shard(entry.member.shard, name);
        true
    }

    fn leave_shard(&mut self, shard: u32, name: &str) {
        if let Some(names) = self.by_shard.get_mut(&shard) {
            names.remove(name);
            if names.is_empty() {
                self.by_shard.remove(&shard);
            }
        }
    }

    /// A number from 0 to 1, from the seed.
    fn draw(&mut self) -> f64 {
        self.random_draws = self.random_draws.wrapping_add(1);
        random::unit(random::finalize(random::step(self.rules.seed, self.random_draws)))
    }
}

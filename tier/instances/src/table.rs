//! The instances of all services, merged from what all processes report of them.
//!
//! Guarantees that tables which have merged the same reports have each instance in the same state, in
//! whatever order the reports came, as long as none had to be evicted; that an instance that has begun to
//! drain never takes requests again, so that a late heartbeat can't send requests to a process that is about
//! to end; and that an instance whose heartbeats were missing, however long, is ready with the next one.

use pointcross_tier_protocol::{Instance, InstanceState};
use std::collections::BTreeMap;

/// The number of instances in a table, terminated and expired ones included, beyond which of these two the
/// oldest are evicted.
///
/// That is safe: a late report may bring an evicted instance back, but its address is used by others by then,
/// and every request names the id that it is meant for. One that was expired and lives comes back with its next
/// heartbeat.
pub const MAX_INSTANCES: usize = 16 * 1024;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    instance: Instance,
    /// The table's revision at the last change that watches see.
    revision: u64,
}

/// All instances known, each with the revision of its last change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InstanceTable {
    entries: BTreeMap<String, Entry>,
    revision: u64,
}

/// Whether `new` is a later report of an instance than `old`.
///
/// Before draining, the later call counts, and of the same call the later state. From draining on, only the
/// state counts: a process that drains may still send heartbeats.
fn supersedes(new: &Instance, old: &Instance) -> bool {
    let is_final = |state| state >= InstanceState::Draining;
    if is_final(new.state) || is_final(old.state) {
        return new.state > old.state;
    }
    (new.call_seq, new.state) > (old.call_seq, old.state)
}

/// Whether two reports differ at most in the number of the call, which watches don't need.
fn equals_except_call_seq(one: &Instance, other: &Instance) -> bool {
    Instance { call_seq: 0, ..one.clone() } == Instance { call_seq: 0, ..other.clone() }
}

/// Whether an instance in this state takes no requests any longer, as far as is known.
fn has_ended(state: InstanceState) -> bool {
    matches!(state, InstanceState::Terminated | InstanceState::Expired)
}

impl InstanceTable {
    /// The number of changes so far that watches see.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Merges a report of an instance. Returns whether that changed more than the number of its last call.
    pub fn merge(&mut self, reported: Instance) -> bool {
        match self.entries.get_mut(&reported.id) {
            Some(entry) if !supersedes(&reported, &entry.instance) => return false,
            Some(entry) if equals_except_call_seq(&entry.instance, &reported) => {
                entry.instance = reported;
                return false;
            }
            _ => {}
        }
        self.revision += 1;
        let entry = Entry { instance: reported, revision: self.revision };
        self.entries.insert(entry.instance.id.clone(), entry);
        self.evict_oldest_ended();
        true
    }

    /// Counts an instance as changed, so that all watches get it again, though at most its last call's number
    /// differs. Returns whether the instance is known.
    pub fn mark_changed(&mut self, id: &str) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        self.revision += 1;
        entry.revision = self.revision;
        true
    }

    /// Sets a known instance to terminated. Returns whether that changed it; an unknown one is not entered.
    pub fn deregister(&mut self, id: &str) -> bool {
        match self.entries.get(id) {
            Some(entry) => {
                let instance = Instance { state: InstanceState::Terminated, ..entry.instance.clone() };
                self.merge(instance)
            }
            None => false,
        }
    }

    /// Evicts instances beyond the bound, as far as terminated or expired ones are left.
    fn evict_oldest_ended(&mut self) {
        while self.entries.len() > MAX_INSTANCES {
            let ended = self.entries.values().filter(|entry| has_ended(entry.instance.state));
            let oldest = ended.min_by_key(|entry| entry.revision);
            let Some(id) = oldest.map(|entry| entry.instance.id.clone()) else {
                return;
            };
            self.entries.remove(&id);
        }
    }

    /// Whether an unknown instance can be added without evicting one that may take requests.
    pub fn has_capacity(&self) -> bool {
        self.entries.len() < MAX_INSTANCES
            || self.entries.values().any(|entry| has_ended(entry.instance.state))
    }

    /// The instance with this id, if it is known.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.entries.get(id).map(|entry| &entry.instance)
    }

    /// All instances, in the order of their ids.
    pub fn all(&self) -> impl Iterator<Item = &Instance> {
        self.entries.values().map(|entry| &entry.instance)
    }

    /// The instances that changed after this revision, in the order of their ids.
    pub fn changed_since(&self, revision: u64) -> Vec<Instance> {
        let changed = self.entries.values().filter(|entry| entry.revision > revision);
        changed.map(|entry| entry.instance.clone()).collect()
    }
}

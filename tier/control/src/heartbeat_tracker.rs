//! When this member received the last heartbeat of each instance.
//!
//! Guarantees that one member at a time counts an instance's missed heartbeats: the one with its latest call.
//! A member that the instance has left for another one must not report it as unresponsive.
//!
//! Nothing here reads a clock or does I/O: the caller passes the times.

use pointcross_tier_protocol::{Instance, InstanceState};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// An instance whose heartbeats have been missing for longer than a timeout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredInstance {
    /// Its id.
    pub id: String,
    /// The sequence number of its last call to this member.
    pub call_seq: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LastHeartbeat {
    received_at: Instant,
    call_seq: u64,
}

/// The instances that this member tracks. Their number is bounded by the instance table, which refuses
/// further ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HeartbeatTracker {
    instances: BTreeMap<String, LastHeartbeat>,
}

impl HeartbeatTracker {
    /// Records a heartbeat. Returns whether the instance was not tracked here before.
    pub fn record(&mut self, id: &str, call_seq: u64, now: Instant) -> bool {
        self.instances.insert(id.to_owned(), LastHeartbeat { received_at: now, call_seq }).is_none()
    }

    /// Applies what another member sent of an instance: one with a later call there is tracked there from now
    /// on, and one that is draining or terminated is not tracked at all.
    pub fn observe_peer(&mut self, instance: &Instance) {
        let is_superseded =
            self.instances.get(&instance.id).is_some_and(|last| last.call_seq < instance.call_seq);
        if is_superseded || instance.state >= InstanceState::Draining {
            self.instances.remove(&instance.id);
        }
    }

    /// Stops tracking an instance.
    pub fn remove(&mut self, id: &str) {
        self.instances.remove(id);
    }

    /// Stops tracking all instances: this process is not, or no longer, a member, and others do not tell it
    /// where the instances have called.
    pub fn clear(&mut self) {
        self.instances.clear();
    }

    /// Counts all tracked instances as received now, after a time in which this member could not have
    /// received any heartbeat.
    pub fn renew_all(&mut self, now: Instant) {
        for last in self.instances.values_mut() {
            last.received_at = now;
        }
    }

    /// The instances without a heartbeat for longer than the timeout, by id.
    pub fn expired(&self, timeout: Duration, now: Instant) -> Vec<ExpiredInstance> {
        let is_expired = |last: &LastHeartbeat| now.saturating_duration_since(last.received_at) > timeout;
        let expired = self.instances.iter().filter(|(_, last)| is_expired(last));
        expired.map(|(id, last)| ExpiredInstance { id: id.clone(), call_seq: last.call_seq }).collect()
    }

    /// The number of tracked instances.
    pub fn tracked(&self) -> usize {
        self.instances.len()
    }
}

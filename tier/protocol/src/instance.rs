//! Instances: model schedulers and other servers, as they register themselves by heartbeats.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The state of an instance. Only the instance itself ends itself: one that is draining or terminated never
/// gets ready again, as a new start has a new id. Missing heartbeats are a suspicion, which the next heartbeat
/// revokes. The order is the one in which states replace each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceState {
    /// Accepts requests.
    Ready,
    /// Its heartbeats are missing.
    Unresponsive,
    /// Its heartbeats have been missing for so long that it gets no requests and may be forgotten.
    Expired,
    /// Will terminate soon; gets no new requests.
    Draining,
    /// Has terminated.
    Terminated,
}

impl InstanceState {
    /// Whether it was concluded from missing heartbeats, so that a later one revokes it.
    pub fn is_suspicion(self) -> bool {
        matches!(self, InstanceState::Unresponsive | InstanceState::Expired)
    }
}

/// An instance; each start of a server is another one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "InstanceRecord", into = "InstanceRecord")]
pub struct Instance {
    /// Its id, unique for each start.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The address for requests.
    pub address: SocketAddrV4,
    /// The zone of its machine.
    pub zone: String,
    /// Requests that it executes concurrently; at least 1.
    pub capacity: u32,
    /// Its state.
    pub state: InstanceState,
    /// The number of the instance's call that reported this; later calls have higher numbers.
    pub call_seq: u64,
}

impl Instance {
    /// The tombstone of an instance of which only the id is known.
    pub fn tombstone(id: String) -> Self {
        Instance {
            id,
            service: String::new(),
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            zone: String::new(),
            capacity: 1,
            state: InstanceState::Terminated,
            call_seq: 0,
        }
    }
}

/// An instance as it is sent and stored. Processes of earlier versions know four states and skip the field
/// `expired`: to them such an instance is unresponsive.
#[derive(Serialize, Deserialize)]
struct InstanceRecord {
    id: String,
    service: String,
    address: SocketAddrV4,
    zone: String,
    capacity: u32,
    state: RecordedState,
    call_seq: u64,
    #[serde(default, skip_serializing_if = "is_false")]
    expired: bool,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
enum RecordedState {
    Ready,
    Silent,
    Draining,
    Gone,
}

fn is_false(value: &bool) -> bool {
    !value
}

impl From<InstanceRecord> for Instance {
    fn from(record: InstanceRecord) -> Self {
        let InstanceRecord { id, service, address, zone, capacity, state, call_seq, expired } = record;
        let state = match state {
            RecordedState::Ready => InstanceState::Ready,
            RecordedState::Silent if expired => InstanceState::Expired,
            RecordedState::Silent => InstanceState::Unresponsive,
            RecordedState::Draining => InstanceState::Draining,
            RecordedState::Gone => InstanceState::Terminated,
        };
        Instance { id, service, address, zone, capacity, state, call_seq }
    }
}

impl From<Instance> for InstanceRecord {
    fn from(instance: Instance) -> Self {
        let Instance { id, service, address, zone, capacity, state, call_seq } = instance;
        let expired = state == InstanceState::Expired;
        let state = match state {
            InstanceState::Ready => RecordedState::Ready,
            InstanceState::Unresponsive | InstanceState::Expired => RecordedState::Silent,
            InstanceState::Draining => RecordedState::Draining,
            InstanceState::Terminated => RecordedState::Gone,
        };
        InstanceRecord { id, service, address, zone, capacity, state, call_seq, expired }
    }
}

/// The body of a heartbeat.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Heartbeat {
    /// The instance's service.
    pub service: String,
    /// The address for requests.
    pub address: SocketAddrV4,
    /// The zone of its machine.
    #[serde(default)]
    pub zone: String,
    /// Requests that it executes concurrently; 1 by default, and 0 counts as 1.
    #[serde(default = "default_capacity")]
    pub capacity: u32,
    /// `ready` or `draining`.
    pub state: HeartbeatState,
    /// Rises with every call of the instance, so that calls that arrive out of order are recognised; 0 by
    /// default.
    #[serde(default)]
    pub call_seq: u64,
}

/// The state that an instance reports of itself.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HeartbeatState {
    /// Accepts requests.
    Ready,
    /// Will terminate soon.
    Draining,
}

fn default_capacity() -> u32 {
    1
}

impl Heartbeat {
    /// The instance that this heartbeat reports.
    pub fn instance(self, id: String) -> Instance {
        let state = match self.state {
            HeartbeatState::Ready => InstanceState::Ready,
            HeartbeatState::Draining => InstanceState::Draining,
        };
        Instance {
            id,
            service: self.service,
            address: self.address,
            zone: self.zone,
            capacity: self.capacity.max(1),
            state,
            call_seq: self.call_seq,
        }
    }
}

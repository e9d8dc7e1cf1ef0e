//! Calls of instances: heartbeats and deregistration.
//!
//! Guarantees that an acknowledged end of an instance (draining or terminated) is on the disks of a majority
//! of the members: no later failure of a tolerated number of them makes proxies send requests to it again.

use crate::instance_liveness::apply_heartbeat;
use crate::member::Member;
use crate::reply::Reply;
use log::info;
use pointcross_tier_protocol::instance::Heartbeat;
use pointcross_tier_protocol::{Instance, InstanceState};
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a majority may take to acknowledge an end. An instance waits for one second; this leaves time for
/// the network.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(850);
/// The reply where the disk refused a tombstone.
const TOMBSTONE_NOT_WRITTEN: &str = "the end could not be written to the disk";
/// The reply of a process that is no member of the group; the instance calls another one.
const NOT_A_MEMBER: &str = "this process is not a member of the control group";
/// The reply where no majority has acknowledged in time.
const NOT_REPLICATED: &str = "not known by a majority of the control members yet";

/// Applies a heartbeat. One that says `draining` is acknowledged once a majority of the members has it, whoever
/// received it.
///
/// A process that is no member takes no others: it does not learn where an instance calls after that, and could
/// not tell a silent instance from one that has moved on.
pub async fn heartbeat(member: &Rc<Member>, id: &str, body: &[u8]) -> Reply {
    let heartbeat: Heartbeat = match serde_json::from_slice(body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return Reply::bad_request(format!("heartbeat of {id}: {error}")),
    };
    if !has_room_for(member, id) {
        return Reply::unavailable("too many instances");
    }
    let instance = heartbeat.instance(id.to_owned());
    let is_final = instance.state >= InstanceState::Draining;
    if !is_final && !member.is_member() {
        return Reply::unavailable(NOT_A_MEMBER);
    }
    if is_final && is_injected(InjectedFault::DrainingToldToNobody) {
        return Reply::json("{}");
    }
    if member.tombstones.persist(std::iter::once(&instance)).await.is_err() {
        return Reply::unavailable(TOMBSTONE_NOT_WRITTEN);
    }
    merge_heartbeat(member, instance);
    if is_final && !is_replicated(member).await {
        return Reply::unavailable(NOT_REPLICATED);
    }
    Reply::json("{}")
}

fn has_room_for(member: &Member, id: &str) -> bool {
    member.replicated_view.read(|view| view.instances().get(id).is_some() || view.instances().has_capacity())
}

/// Records the heartbeat of an instance, and merges what it says of itself.
fn merge_heartbeat(member: &Member, instance: Instance) {
    let (id, service, state) = (instance.id.clone(), instance.service.clone(), instance.state);
    let changed = member.replicated_view.change(|view| {
        let mut tracker = member.heartbeats.borrow_mut();
        apply_heartbeat(&mut tracker, view.instances_mut(), instance, Instant::now())
    });
    if changed {
        info!("instance state changed: instance={id} service={service} state={state:?}");
        member.wake_exchange();
    }
}

/// Terminates an instance at its own request. Acknowledged once a majority of the members has it.
///
/// One that this process does not know gets a tombstone too: others know it, as do proxies, where this process
/// is no member or has just started.
pub async fn deregister(member: &Rc<Member>, id: &str) -> Reply {
    let known = member.replicated_view.read(|view| view.instances().get(id).cloned());
    if known.is_none() && is_injected(InjectedFault::ForgetUnknownDeregister) {
        return Reply::json("{}");
    }
    let known = known.unwrap_or_else(|| Instance::tombstone(id.to_owned()));
    let terminated = Instance { state: InstanceState::Terminated, ..known };
    if member.tombstones.persist(std::iter::once(&terminated)).await.is_err() {
        return Reply::unavailable(TOMBSTONE_NOT_WRITTEN);
    }
    if member.replicated_view.change(|view| view.instances_mut().merge(terminated)) {
        info!("instance deregistered: instance={id}");
        member.wake_exchange();
    }
    if !is_replicated(member).await {
        return Reply::unavailable(NOT_REPLICATED);
    }
    Reply::json("{}")
}

/// Waits until a majority has acknowledged the current revision of the instances. Returns whether it did in
/// time.
async fn is_replicated(member: &Rc<Member>) -> bool {
    let revision = member.replicated_view.read(|view| view.instances().revision());
    let deadline = Instant::now() + REPLICATION_TIMEOUT;
    loop {
        let report_received = member.report_received.notified();
        if member.majority_has_instances(revision) {
            return true;
        }
        if tokio::time::timeout_at(deadline, report_received).await.is_err() {
            return false;
        }
    }
}

//! Which instances live: what heartbeats, reports of other members and missing heartbeats change at a member.
//!
//! Guarantees, against heartbeats that come late, twice or out of order and against members that miss each
//! other's reports: only the instance itself ends itself; a suspicion is revoked by each later call of the
//! instance, and a member that knows of a later call tells a member that suspects.
//!
//! A suspicion names the call that it counts from, as SWIM's suspicions name an incarnation (Das et al. 2002):
//! it says that nothing came *after that call*, and holds against no later one.
//!
//! Nothing here reads a clock or does I/O: the caller passes the times.

use crate::failure_detector::{self, HeartbeatTimeouts};
use crate::heartbeat_tracker::{ExpiredInstance, HeartbeatTracker};
use pointcross_tier_instances::InstanceTable;
use pointcross_tier_protocol::{Instance, InstanceState};
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use tokio::time::Instant;

/// Applies a heartbeat that this member received. Returns whether that changed what others have to learn.
///
/// A late one, with a lower number than the instance's last known call, does not make this member the one that
/// tracks the instance: that one is where the later call went.
pub fn apply_heartbeat(
    tracker: &mut HeartbeatTracker,
    table: &mut InstanceTable,
    reported: Instance,
    now: Instant,
) -> bool {
    let id = reported.id.clone();
    let is_late = table.get(&id).is_some_and(|known| reported.call_seq < known.call_seq);
    let is_tracked = !is_late || is_injected(InjectedFault::EndByMissingHeartbeats);
    let is_new_here = is_tracked && tracker.record(&id, reported.call_seq, now);
    // The member that tracked the instance before has to learn of its later call here.
    table.merge(reported) || (is_new_here && table.mark_changed(&id))
}

/// Applies what another member reported of an instance. Returns whether that changed what others have to learn.
pub fn apply_report(tracker: &mut HeartbeatTracker, table: &mut InstanceTable, reported: Instance) -> bool {
    tracker.observe_peer(&reported);
    let id = reported.id.clone();
    let is_refuted = reported.state.is_suspicion()
        && table.get(&id).is_some_and(|known| known.call_seq > reported.call_seq)
        && !is_injected(InjectedFault::EndByMissingHeartbeats);
    table.merge(reported) || (is_refuted && table.mark_changed(&id))
}

/// Applies the timeouts of the instances that this member tracks. Returns those whose state changed.
pub fn apply_timeouts(
    tracker: &mut HeartbeatTracker,
    table: &mut InstanceTable,
    timeouts: HeartbeatTimeouts,
    now: Instant,
) -> Vec<Instance> {
    let timed_out = failure_detector::check(tracker, timeouts, now);
    let mut changed = Vec::new();
    for instance in &timed_out.unresponsive {
        changed.extend(suspect(table, instance, InstanceState::Unresponsive));
    }
    for instance in &timed_out.expired {
        changed.extend(suspect(table, instance, expired_state(table, &instance.id)));
        tracker.remove(&instance.id);
    }
    changed
}

/// A draining instance never takes requests again, so that it may be forgotten for good.
fn expired_state(table: &InstanceTable, id: &str) -> InstanceState {
    match table.get(id).map(|known| known.state) {
        _ if is_injected(InjectedFault::EndByMissingHeartbeats) => InstanceState::Terminated,
        Some(InstanceState::Draining) => InstanceState::Terminated,
        _ => InstanceState::Expired,
    }
}

/// Puts an instance into this state, unless a later call than the one that was tracked is known. Returns the
/// instance where that changed it.
fn suspect(table: &mut InstanceTable, tracked: &ExpiredInstance, state: InstanceState) -> Option<Instance> {
    let is_ended = state == InstanceState::Terminated && is_injected(InjectedFault::EndByMissingHeartbeats);
    let known = table.get(&tracked.id).filter(|known| is_ended || known.call_seq <= tracked.call_seq)?;
    let suspected = Instance { state, ..known.clone() };
    table.merge(suspected.clone()).then_some(suspected)
}

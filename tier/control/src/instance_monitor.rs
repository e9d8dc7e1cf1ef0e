//! Marks instances whose heartbeats stop. Each instance is monitored by the member that received its latest
//! call.
//!
//! A member without a fresh quorum reports none: it can't tell its own partition from the instances' failure. A
//! process that is no member tracks none: nobody tells it which instances have moved on.

use crate::failure_detector::{CHECK_INTERVAL, HeartbeatTimeouts, PAUSE_THRESHOLD};
use crate::instance_liveness::apply_timeouts;
use crate::member::Member;
use log::info;
use pointcross_tier_protocol::Instance;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Checks the instances until cancelled.
pub async fn run(member: Rc<Member>) {
    let timeouts = HeartbeatTimeouts::for_interval(Duration::from_millis(member.settings.heartbeat_ms));
    let mut last_check = Instant::now();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if last_check.elapsed() > PAUSE_THRESHOLD || !member.has_fresh_quorum() {
            member.heartbeats.borrow_mut().renew_all(Instant::now());
        }
        last_check = Instant::now();
        if !member.is_member() {
            member.heartbeats.borrow_mut().clear();
        }
        check_instances(&member, timeouts);
    }
}

fn check_instances(member: &Member, timeouts: HeartbeatTimeouts) {
    let mut changed = Vec::new();
    member.replicated_view.change(|view| {
        let mut tracker = member.heartbeats.borrow_mut();
        changed = apply_timeouts(&mut tracker, view.instances_mut(), timeouts, Instant::now());
        !changed.is_empty()
    });
    for Instance { id, state, .. } in &changed {
        info!("heartbeat timeout: instance={id} state={state:?}");
    }
    if !changed.is_empty() {
        member.wake_exchange();
    }
}

//! The decision which instances have missed too many heartbeats.
//!
//! Guarantees that a fault on this member's side is not reported as a fault of instances: where most of them
//! time out at once, or this process was paused, none is reported.
//!
//! Nothing here reads a clock or does I/O: the caller passes the times.

use crate::heartbeat_tracker::{ExpiredInstance, HeartbeatTracker};
use std::time::Duration;
use tokio::time::Instant;

/// An instance is unresponsive after this many heartbeat intervals without one, in tenths.
const UNRESPONSIVE_TENTHS: u32 = 35;
/// It is expired after this many heartbeat intervals, in tenths: no longer tracked, and forgotten by proxies
/// until its next heartbeat.
const EXPIRY_TENTHS: u32 = 500;
/// The time between two checks.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// A check that comes so long after the one before shows that this process was paused; heartbeats sent
/// meanwhile may still be in its sockets.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(900);
/// Up to this many instances may time out at once without being taken for a fault on this side.
const MAX_INDEPENDENT_TIMEOUTS: usize = 2;

/// The timeouts of instances.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatTimeouts {
    /// Without a heartbeat for longer than this, an instance is unresponsive.
    pub unresponsive: Duration,
    /// Without a heartbeat for longer than this, it is expired.
    pub expiry: Duration,
}

impl HeartbeatTimeouts {
    /// The timeouts for instances that send a heartbeat once in `interval`: 3.5 and 50 intervals.
    pub fn for_interval(interval: Duration) -> Self {
        HeartbeatTimeouts {
            unresponsive: interval * UNRESPONSIVE_TENTHS / 10,
            expiry: interval * EXPIRY_TENTHS / 10,
        }
    }
}

/// The instances that a check found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TimedOutInstances {
    /// To be marked unresponsive; those in `expired` are among them.
    pub unresponsive: Vec<ExpiredInstance>,
    /// To be marked expired and tracked no longer.
    pub expired: Vec<ExpiredInstance>,
}

/// Checks all tracked instances.
pub fn check(tracker: &HeartbeatTracker, timeouts: HeartbeatTimeouts, now: Instant) -> TimedOutInstances {
    let unresponsive = tracker.expired(timeouts.unresponsive, now);
    if is_local_fault(unresponsive.len(), tracker.tracked()) {
        return TimedOutInstances::default();
    }
    TimedOutInstances { unresponsive, expired: tracker.expired(timeouts.expiry, now) }
}

/// Whether the timeouts are more likely a fault of this member, as a partition, than of the instances.
fn is_local_fault(timed_out: usize, tracked: usize) -> bool {
    timed_out > MAX_INDEPENDENT_TIMEOUTS && timed_out * 2 > tracked
}

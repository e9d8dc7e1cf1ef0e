//! What the maintenance plan does on this scheduler: it bans nodes and takes the scheduler out of service, by
//! the same calls as the admin API.

use crate::service_state::ServiceState;
use pointcross_coordination::driver::LocalActions;
use pointcross_core::Core;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The plan's actions on one scheduler.
pub struct SchedulerActions {
    core: Arc<Core>,
    service: ServiceState,
}

impl SchedulerActions {
    /// Actions on this core and service state.
    pub fn new(core: Arc<Core>, service: ServiceState) -> Arc<Self> {
        Arc::new(SchedulerActions { core, service })
    }
}

impl LocalActions for SchedulerActions {
    fn cordon(&self, node: &str) {
        // A node that is not listed here yet is banned from its first listing on.
        if self.core.ban(node).is_err() {
            self.core.restore_bans([node.to_owned()]);
        }
    }

    fn uncordon(&self, node: &str) {
        if let Err(error) = self.core.unban(node) {
            tracing::warn!(%error, "unban failed");
        }
    }

    fn attempts_in_flight(&self, node: &str) -> usize {
        self.core.attempts_at(node)
    }

    fn set_out_of_service(&self, out: bool) {
        if out { self.service.leave_service() } else { self.service.return_to_service() }
    }

    fn open_requests(&self) -> usize {
        self.core.open_requests()
    }

    fn nodes(&self) -> BTreeMap<String, u32> {
        self.core.ready_nodes()
    }
}

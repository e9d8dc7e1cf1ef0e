//! What the plan requires of this scheduler itself: nodes cordoned, and the scheduler in or out of service.

use crate::maintenance::decide::{DrainProgress, Machine, Plan};
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// The effects of the plan on the scheduler that it runs in. Calls return at once.
pub trait LocalActions: Send + Sync + 'static {
    /// Sends nothing new to the node.
    fn cordon(&self, node: &str);
    /// Sends to the node again, at first as to one that is warming up.
    fn uncordon(&self, node: &str);
    /// Attempts in flight at the node.
    fn attempts_in_flight(&self, node: &str) -> usize;
    /// Rejects clients, or accepts them again.
    fn set_out_of_service(&self, out: bool);
    /// Requests open at this scheduler.
    fn open_requests(&self) -> usize;
    /// The storage nodes that take work by the node list, and their shards.
    fn nodes(&self) -> BTreeMap<String, u32>;
}

/// What this scheduler has cordoned for the plan, and since when.
pub(super) struct LocalDrains {
    nodes: BTreeMap<String, Instant>,
    /// This scheduler itself, while it is out of service.
    scheduler: Option<Instant>,
}

impl LocalDrains {
    /// The nodes were cordoned before the plan was followed, by the plan as it was known at the start.
    pub(super) fn new(cordoned: BTreeSet<String>) -> Self {
        let nodes = cordoned.into_iter().map(|node| (node, Instant::now())).collect();
        LocalDrains { nodes, scheduler: None }
    }

    /// Takes the actions that the plan requires and that were not taken yet.
    pub(super) fn apply(&mut self, plan: &Plan, me: &str, actions: &dyn LocalActions) {
        let required = plan.cordoned_nodes();
        for node in &required {
            if !self.nodes.contains_key(node) {
                actions.cordon(node);
                self.nodes.insert(node.clone(), Instant::now());
            }
        }
        self.nodes.retain(|node, _| {
            let is_required = required.contains(node);
            if !is_required {
                actions.uncordon(node);
            }
            is_required
        });
        match (plan.is_scheduler_cordoned(me), self.scheduler) {
            (true, None) => {
                actions.set_out_of_service(true);
                self.scheduler = Some(Instant::now());
            }
            (false, Some(_)) => {
                actions.set_out_of_service(false);
                self.scheduler = None;
            }
            _ => {}
        }
    }

    /// How far this scheduler has come with a machine.
    pub(super) fn progress(&self, machine: &Machine, me: &str, actions: &dyn LocalActions) -> DrainProgress {
        let elapsed_ms = |since: &Instant| since.elapsed().as_millis() as u64;
        match machine {
            Machine::Node(node) => DrainProgress {
                is_relevant: true,
                cordoned_for_ms: self.nodes.get(node).map(elapsed_ms),
                in_flight: actions.attempts_in_flight(node),
            },
            Machine::Scheduler(name) => DrainProgress {
                is_relevant: name == me,
                cordoned_for_ms: self.scheduler.as_ref().map(elapsed_ms),
                in_flight: actions.open_requests(),
            },
        }
    }
}

//! The replicated state: machines with their phases, and the lease of the scheduler that drives them.
//!
//! All fields are written into the consensus log's snapshots and sent between schedulers, under the names
//! that `serde` gives them here.

use super::machine::Machine;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The most machines in a plan: all nodes and schedulers of a fleet.
pub const MAX_MACHINES: usize = 4096;

/// How far a machine's drain has come. The variants bear the names that operators read in the printed plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainPhase {
    /// Requested by operators, not started.
    Asked,
    /// Nothing new is sent to it; requests in flight are finished.
    Draining,
    /// Drained at every scheduler: operators may work on it.
    Out,
    /// Schedulers send to it again, at first as to one that is warming up; not every one has confirmed this
    /// yet.
    Returning,
    /// Its maintenance is over.
    Back,
}

impl DrainPhase {
    /// Whether a machine in this phase counts against [`Rules::limit`](super::Rules::limit).
    pub fn is_unavailable(self) -> bool {
        matches!(self, DrainPhase::Draining | DrainPhase::Out | DrainPhase::Returning)
    }

    /// Whether every scheduler has to confirm this phase before the next one begins.
    pub fn needs_confirmation(self) -> bool {
        matches!(self, DrainPhase::Draining | DrainPhase::Returning)
    }

    /// Whether nothing new is sent to a machine in this phase.
    pub(super) fn is_cordoned(self) -> bool {
        matches!(self, DrainPhase::Draining | DrainPhase::Out)
    }

    pub(super) fn successor(self) -> Option<DrainPhase> {
        match self {
            DrainPhase::Asked => Some(DrainPhase::Draining),
            DrainPhase::Draining => Some(DrainPhase::Out),
            DrainPhase::Out => Some(DrainPhase::Returning),
            DrainPhase::Returning => Some(DrainPhase::Back),
            DrainPhase::Back => None,
        }
    }
}

/// A machine's entry in the plan.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PlanEntry {
    /// The current phase.
    #[serde(rename = "stage")]
    pub phase: DrainPhase,
    /// Rises by one with each change of phase, over all drains of this machine. A command names the round it
    /// is for, so that one that was delayed since an earlier phase is rejected.
    pub round: u64,
    /// Position in the order of requests; lower ones are drained first.
    pub order: u64,
    /// When the current phase began, Unix milliseconds.
    pub since: u64,
    /// The schedulers that confirmed the current phase.
    pub confirmed: BTreeSet<String>,
    /// Operators said that their work on the machine is done.
    #[serde(rename = "done")]
    pub work_done: bool,
}

impl PlanEntry {
    pub(super) fn enter_phase(&mut self, phase: DrainPhase, now: u64) {
        self.phase = phase;
        self.round += 1;
        self.since = now;
        self.confirmed.clear();
        if phase == DrainPhase::Asked {
            self.work_done = false;
        }
    }
}

/// Which scheduler drives the plan. At most one lease is valid at any time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The scheduler that holds it.
    pub holder: String,
    /// The holder's incarnation. A scheduler that restarts under its name is another holder: what it decided
    /// before may still be on its way to the log.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The fencing token: higher than that of every earlier lease.
    pub epoch: u64,
    /// Expiry, Unix milliseconds. An expired lease stays in the plan, as the next epoch is counted from it.
    pub until: u64,
}

impl Lease {
    /// Whether it is of this scheduler in this incarnation, valid or expired.
    pub(super) fn is_held_by(&self, holder: &str, incarnation: u64) -> bool {
        self.holder == holder && self.incarnation == incarnation
    }
}

/// The plan: the same at every scheduler that has applied the same number of commands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// The latest lease, valid or expired.
    pub lease: Option<Lease>,
    /// The machines requested, until they are removed at [`MAX_MACHINES`].
    pub machines: BTreeMap<Machine, PlanEntry>,
    /// Requests ever accepted, one a machine; the source of [`PlanEntry::order`].
    #[serde(rename = "asked")]
    pub requested_total: u64,
}

impl Plan {
    /// How many machines are unavailable ([`DrainPhase::is_unavailable`]).
    pub fn unavailable_count(&self) -> usize {
        self.machines.values().filter(|entry| entry.phase.is_unavailable()).count()
    }

    /// Whether nothing is left to do: every machine is back.
    pub fn is_finished(&self) -> bool {
        self.machines.values().all(|entry| entry.phase == DrainPhase::Back)
    }

    /// The storage nodes to which nothing new may be sent.
    pub fn cordoned_nodes(&self) -> BTreeSet<String> {
        let nodes = self.machines.iter().filter_map(|(machine, entry)| match machine {
            Machine::Node(id) if entry.phase.is_cordoned() => Some(id.clone()),
            _ => None,
        });
        nodes.collect()
    }

    /// Whether this scheduler has to be out of service.
    pub fn is_scheduler_cordoned(&self, name: &str) -> bool {
        let entry = self.machines.get(&Machine::Scheduler(name.to_owned()));
        entry.is_some_and(|entry| entry.phase.is_cordoned())
    }
}

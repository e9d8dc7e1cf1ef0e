//! Which command the driving scheduler submits next, and whether a machine may be drained now.

use super::command::Command;
use super::fleet::FleetView;
use super::machine::Machine;
use super::plan::{DrainPhase, Plan, PlanEntry};
use super::rules::Rules;

/// The scheduler that wants to drive the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claimant<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its incarnation: it differs in each run of the process.
    pub incarnation: u64,
}

/// The next command of a scheduler that the consensus has as its leader, if there is one. Leadership alone is
/// not enough to move machines: two schedulers may both believe that they lead. The lease is claimed first,
/// and extended once half of it has passed.
///
/// At most one command at a time; the next one is asked for once that one is applied.
pub fn next_command(
    plan: &Plan,
    now: u64,
    claimant: Claimant<'_>,
    view: &FleetView,
    rules: &Rules,
) -> Option<Command> {
    if plan.is_finished() {
        return None;
    }
    match lease_status(plan, now, claimant, rules) {
        LeaseStatus::HeldByOther => None,
        LeaseStatus::ClaimNeeded => Some(Command::Claim {
            holder: claimant.name.to_owned(),
            life: claimant.incarnation,
            now,
            lasts: rules.lease_ms,
        }),
        LeaseStatus::Held { epoch } => next_move(plan, now, epoch, view, rules),
    }
}

/// What the lease allows a claimant.
enum LeaseStatus {
    /// Another holder's lease is valid.
    HeldByOther,
    /// None is valid, or the claimant's own one is to be extended.
    ClaimNeeded,
    /// The claimant may move machines under this epoch.
    Held { epoch: u64 },
}

fn lease_status(plan: &Plan, now: u64, claimant: Claimant<'_>, rules: &Rules) -> LeaseStatus {
    match plan.lease.as_ref().filter(|lease| now < lease.until) {
        None => LeaseStatus::ClaimNeeded,
        Some(lease) if !lease.is_held_by(claimant.name, claimant.incarnation) => LeaseStatus::HeldByOther,
        Some(lease) if lease.until - now < rules.lease_ms / 2 => LeaseStatus::ClaimNeeded,
        Some(lease) => LeaseStatus::Held { epoch: lease.epoch },
    }
}

/// Machines under maintenance are moved on before another drain begins.
fn next_move(plan: &Plan, now: u64, epoch: u64, view: &FleetView, rules: &Rules) -> Option<Command> {
    let (machine, entry, to) =
        ready_to_advance(plan, now, view, rules).or_else(|| next_drain(plan, view, rules))?;
    Some(Command::Move { epoch, machine: machine.clone(), round: entry.round, to, now })
}

/// A machine, its entry, and the phase it can enter.
type Transition<'a> = (&'a Machine, &'a PlanEntry, DrainPhase);

/// The first machine that has what its phase waits for.
fn ready_to_advance<'a>(plan: &'a Plan, now: u64, view: &FleetView, rules: &Rules) -> Option<Transition<'a>> {
    plan.machines.iter().find_map(|(machine, entry)| {
        let all_confirmed = view.must_confirm.is_subset(&entry.confirmed);
        let work_over =
            entry.work_done || rules.work_ms.is_some_and(|ms| now >= entry.since.saturating_add(ms));
        match entry.phase {
            DrainPhase::Draining if all_confirmed => Some((machine, entry, DrainPhase::Out)),
            DrainPhase::Out if work_over => Some((machine, entry, DrainPhase::Returning)),
            DrainPhase::Returning if all_confirmed => Some((machine, entry, DrainPhase::Back)),
            _ => None,
        }
    })
}

/// The earliest request that can be drained safely; one that cannot does not block those behind it.
fn next_drain<'a>(plan: &'a Plan, view: &FleetView, rules: &Rules) -> Option<Transition<'a>> {
    let requested = plan.machines.iter().filter(|(_, entry)| entry.phase == DrainPhase::Asked);
    let mut requested: Vec<_> = requested.collect();
    requested.sort_by_key(|(_, entry)| entry.order);
    let (machine, entry) =
        requested.into_iter().find(|(machine, _)| is_safe_to_drain(plan, machine, view, rules))?;
    Some((machine, entry, DrainPhase::Draining))
}

/// Whether a machine may be drained now, beside those that are unavailable already.
pub fn is_safe_to_drain(plan: &Plan, machine: &Machine, view: &FleetView, rules: &Rules) -> bool {
    if plan.unavailable_count() >= rules.limit {
        return false;
    }
    match machine {
        Machine::Node(id) => {
            // A node that the list does not name takes no work, so that nothing is lost with it.
            let Some(shard) = view.nodes.get(id) else { return true };
            let remaining = view.nodes.iter().filter(|(other, other_shard)| {
                *other != id && *other_shard == shard && is_available(plan, Machine::Node((*other).clone()))
            });
            remaining.count() >= rules.nodes_left.max(1)
        }
        Machine::Scheduler(name) => {
            let remaining = view
                .alive
                .iter()
                .filter(|other| *other != name && is_available(plan, Machine::Scheduler((*other).clone())));
            remaining.count() >= rules.schedulers_left.max(1)
        }
    }
}

fn is_available(plan: &Plan, machine: Machine) -> bool {
    !plan.machines.get(&machine).is_some_and(|entry| entry.phase.is_unavailable())
}

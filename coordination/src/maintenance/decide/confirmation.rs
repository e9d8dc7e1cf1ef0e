//! When a scheduler has done its part for a machine's phase, and which confirmations it still owes.

use super::command::Command;
use super::machine::Machine;
use super::plan::{DrainPhase, Plan};

/// How long a machine must be cordoned before it can count as drained, in milliseconds. A request that was
/// assigned to it just before the cordon is for a moment not counted as in flight yet.
pub const SETTLE_MS: u64 = 100;

/// What a scheduler has done about a machine so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainProgress {
    /// Whether the scheduler has anything to do for the machine: it is a node, or the scheduler itself.
    pub is_relevant: bool,
    /// How long this scheduler has sent nothing new there, in milliseconds; `None` where it does send.
    pub cordoned_for_ms: Option<u64>,
    /// Requests in flight there.
    pub in_flight: usize,
}

/// Whether a phase is complete at a scheduler, by what it has done.
pub fn is_phase_complete(phase: DrainPhase, progress: &DrainProgress) -> bool {
    match phase {
        _ if !progress.is_relevant => true,
        DrainPhase::Draining => {
            progress.cordoned_for_ms.is_some_and(|ms| ms >= SETTLE_MS) && progress.in_flight == 0
        }
        _ => progress.cordoned_for_ms.is_none(),
    }
}

/// The confirmations that the scheduler `me` has yet to submit, of all phases that are complete here.
pub fn pending_confirmations(
    plan: &Plan,
    me: &str,
    is_complete: impl Fn(&Machine, DrainPhase) -> bool,
) -> Vec<Command> {
    let unconfirmed = plan.machines.iter().filter(|(machine, entry)| {
        entry.phase.needs_confirmation() && !entry.confirmed.contains(me) && is_complete(machine, entry.phase)
    });
    let confirm =
        |machine: &Machine, round| Command::Confirm { by: me.to_owned(), machine: machine.clone(), round };
    unconfirmed.map(|(machine, entry)| confirm(machine, entry.round)).collect()
}

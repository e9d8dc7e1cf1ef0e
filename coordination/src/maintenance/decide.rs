//! Every decision on maintenance: what a command changes, which machine is drained next, whether that is
//! safe, whether a lease is valid. No I/O, no clock: times are Unix milliseconds passed in.
//!
//! Guards against two drains started side by side that together take out more than the fleet can spare. The
//! schedulers share one [`Plan`], replicated by a consensus log: each applies the same [`Command`]s in the
//! same order by [`Plan::apply`]. One scheduler drives the plan under a [`Lease`] (Gray and Cheriton 1989).
//! The *epoch* of a lease is higher than that of every lease before it, and a command that moves a machine
//! names the epoch under which it was decided. A holder that was cut off and comes back with an old decision
//! is rejected by that epoch (fencing), whatever it believes.
//!
//! A machine passes through `Asked`, `Draining`, `Out`, `Returning` and `Back` ([`DrainPhase`]). It is
//! unavailable from `Draining` to `Returning`: the next machine may use its allowance only when every
//! scheduler has confirmed that it sends to this one again.
//!
//! Bounds: [`MAX_MACHINES`] machines in a plan, [`MAX_NAME`] bytes a name. At the bound, machines that are
//! `Back` are removed from the plan to make room.

mod apply;
mod command;
mod confirmation;
mod fleet;
mod machine;
mod next;
mod plan;
mod rules;

pub use command::{Command, CommandRejected, Fencing};
pub use confirmation::{DrainProgress, SETTLE_MS, is_phase_complete, pending_confirmations};
pub use fleet::{FleetView, PeerView};
pub use machine::{InvalidMachine, MAX_NAME, Machine};
pub use next::{Claimant, is_safe_to_drain, next_command};
pub use plan::{DrainPhase, Lease, MAX_MACHINES, Plan, PlanEntry};
pub use rules::Rules;

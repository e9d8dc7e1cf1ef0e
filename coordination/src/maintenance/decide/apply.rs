//! What each command changes in the plan: the state machine of the replicated log.
//!
//! Deterministic: the result depends on the plan and the command alone. A rejected command leaves the plan as
//! it was.

use super::command::{Command, CommandRejected, Fencing};
use super::machine::Machine;
use super::plan::{DrainPhase, Lease, MAX_MACHINES, Plan, PlanEntry};
use std::collections::BTreeSet;

impl Plan {
    /// Applies a command.
    ///
    /// # Errors
    /// [`CommandRejected`]; the plan is then as before.
    pub fn apply(&mut self, command: &Command) -> Result<(), CommandRejected> {
        self.apply_with(command, Fencing::Fenced)
    }

    /// Like [`Plan::apply`], with or without the check of the lease's epoch.
    ///
    /// # Errors
    /// As for [`Plan::apply`].
    pub fn apply_with(&mut self, command: &Command, fencing: Fencing) -> Result<(), CommandRejected> {
        match command {
            Command::Ask { machines, now } => self.request_drains(machines, *now),
            Command::Done { machine, now } => self.finish_work(machine, *now),
            Command::Claim { holder, life, now, lasts } => self.claim_lease(holder, *life, *now, *lasts),
            Command::Move { epoch, machine, round, to, now } => {
                if fencing == Fencing::Fenced {
                    self.check_epoch(*epoch)?;
                }
                self.move_machine(machine, *round, *to, *now)
            }
            Command::Confirm { by, machine, round } => self.confirm_phase(by, machine, *round),
        }
    }

    /// A decision made under an earlier lease must not take effect beside those of the current holder.
    fn check_epoch(&self, epoch: u64) -> Result<(), CommandRejected> {
        let current = self.lease.as_ref().map_or(0, |lease| lease.epoch);
        if epoch == current { Ok(()) } else { Err(CommandRejected::StaleEpoch { epoch, current }) }
    }

    fn entry(&mut self, machine: &Machine) -> Result<&mut PlanEntry, CommandRejected> {
        self.machines.get_mut(machine).ok_or_else(|| CommandRejected::UnknownMachine(machine.to_string()))
    }

    fn move_machine(
        &mut self,
        machine: &Machine,
        round: u64,
        to: DrainPhase,
        now: u64,
    ) -> Result<(), CommandRejected> {
        let entry = self.entry(machine)?;
        if entry.round != round {
            return Err(CommandRejected::StaleRound(machine.to_string()));
        }
        if entry.phase.successor() != Some(to) {
            return Err(CommandRejected::InvalidTransition(machine.to_string()));
        }
        entry.enter_phase(to, now);
        Ok(())
    }

    fn confirm_phase(&mut self, by: &str, machine: &Machine, round: u64) -> Result<(), CommandRejected> {
        let entry = self.entry(machine)?;
        if entry.round != round || !entry.phase.needs_confirmation() {
            return Err(CommandRejected::StaleRound(machine.to_string()));
        }
        entry.confirmed.insert(by.to_owned());
        Ok(())
    }

    /// Whether a request for the machine adds a drain: it has none, or its last one is over.
    fn accepts_request(&self, machine: &Machine) -> bool {
        self.machines.get(machine).is_none_or(|entry| entry.phase == DrainPhase::Back)
    }

    fn request_drains(&mut self, machines: &[Machine], now: u64) -> Result<(), CommandRejected> {
        let added: BTreeSet<&Machine> =
            machines.iter().filter(|machine| self.accepts_request(machine)).collect();
        let unfinished = self.machines.values().filter(|entry| entry.phase != DrainPhase::Back).count();
        if unfinished + added.len() > MAX_MACHINES {
            return Err(CommandRejected::PlanFull);
        }
        if self.machines.len() + added.len() > MAX_MACHINES {
            self.machines.retain(|_, entry| entry.phase != DrainPhase::Back);
        }
        // In the order of the request, and checked once more: a machine may be named twice.
        for machine in machines {
            if self.accepts_request(machine) {
                self.add_request(machine, now);
            }
        }
        Ok(())
    }

    fn add_request(&mut self, machine: &Machine, now: u64) {
        self.requested_total += 1;
        let order = self.requested_total;
        let entry = self.machines.entry(machine.clone()).or_insert(PlanEntry {
            phase: DrainPhase::Back,
            round: 0,
            order,
            since: now,
            confirmed: BTreeSet::new(),
            work_done: false,
        });
        entry.order = order;
        entry.enter_phase(DrainPhase::Asked, now);
    }

    fn finish_work(&mut self, machine: &Machine, now: u64) -> Result<(), CommandRejected> {
        let entry = self.entry(machine)?;
        match entry.phase {
            DrainPhase::Asked => entry.enter_phase(DrainPhase::Back, now),
            DrainPhase::Draining | DrainPhase::Out => entry.work_done = true,
            DrainPhase::Returning | DrainPhase::Back => {}
        }
        Ok(())
    }

    /// Invariant: an epoch has one holder, and a valid lease is extended by its holder only.
    fn claim_lease(
        &mut self,
        holder: &str,
        incarnation: u64,
        now: u64,
        duration_ms: u64,
    ) -> Result<(), CommandRejected> {
        let until = now.saturating_add(duration_ms);
        match &mut self.lease {
            Some(lease) if now < lease.until && !lease.is_held_by(holder, incarnation) => {
                Err(CommandRejected::LeaseHeldByOther { holder: lease.holder.clone(), until: lease.until })
            }
            // A claim that was overtaken by a later one does not shorten the lease.
            Some(lease) if now < lease.until => {
                lease.until = lease.until.max(until);
                Ok(())
            }
            lease => {
                let epoch = lease.as_ref().map_or(0, |lease| lease.epoch) + 1;
                *lease = Some(Lease { holder: holder.to_owned(), incarnation, epoch, until });
                Ok(())
            }
        }
    }
}

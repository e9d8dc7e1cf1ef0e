//! Which schedulers take work: ejected, probed, recovered, listed and delisted. Guarantees that at most one
//! probe at a time goes to an ejected scheduler, and none where no call could have used it of late.

use super::{Action, Connection, ConnectionUse, Engine, SchedulerEvent, Set, Timer};
use crate::decide::scheduler::{EjectionCause, Health, Scheduler};
use crate::decide::volumes::{self, Candidate};
use crate::decide::{ConnectionId, Instant};
use std::net::SocketAddr;
use std::time::Duration;

/// An ejected scheduler is probed only for so long after a call could have used it.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);

impl Engine {
    /// Ejects a scheduler: its queued calls are routed elsewhere, and one probe is planned.
    pub(super) fn eject(
        &mut self,
        now: Instant,
        number: u32,
        cause: EjectionCause,
        actions: &mut Vec<Action>,
    ) {
        let ejected_count = |set: &Set| {
            let lost =
                |n: &u32| self.schedulers.get(n).is_some_and(|s| s.health != Health::Healthy || *n == number);
            let members = set.members.iter().map(|member| member.number);
            if members.clone().any(|n| n == number) { members.filter(lost).count() } else { 1 }
        };
        let ejected_count = self.sets.iter().map(ejected_count).max().unwrap_or(1);
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        let until = scheduler.eject(now, cause, ejected_count, &self.rules.connections, &mut self.rng);
        let wait = now.until(until);
        actions.push(Action::Report(SchedulerEvent::Ejected { address: scheduler.address, cause, wait }));
        self.timers.start(until, Timer::Probe(number));
        for timer in std::mem::take(&mut scheduler.planned_opens) {
            self.timers.cancel(timer);
        }
        // Where it is unresponsive, its idle connections are too.
        let useless: Vec<ConnectionId> = match cause {
            EjectionCause::Unresponsive => scheduler.idle.iter().map(|(connection, _)| *connection).collect(),
            _ => Vec::new(),
        };
        let waiting = scheduler.queue.drain();
        for connection in useless {
            actions.push(Action::Close { connection });
            self.remove_connection(connection);
        }
        self.reroute(now, waiting, actions);
    }

    /// Starts a scheduler's probe if it is due and a call could use the scheduler. The probe is a request of
    /// its own, so that no call is lost to it.
    pub(super) fn probe_due(&mut self, now: Instant, number: u32, actions: &mut Vec<Action>) {
        let Some(scheduler) = self.schedulers.get(&number) else { return };
        let Health::Ejected { until, probe: None, .. } = scheduler.health else { return };
        if now < until || scheduler.listed == 0 || scheduler.last_demand.until(now) > DEMAND_WINDOW {
            return;
        }
        let connection = ConnectionId(self.next_connection);
        let timer =
            self.timers.start(now + self.rules.connections.probe_timeout, Timer::OpenTimeout(connection));
        self.new_connection(number, ConnectionUse::Probing(timer));
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        scheduler.connections += 1;
        if let Health::Ejected { probe, .. } = &mut scheduler.health {
            *probe = Some(connection);
        }
        actions.push(Action::Probe { connection, address: scheduler.address });
    }

    pub(super) fn probed(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        ready: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(&Connection { scheduler: number, usage: ConnectionUse::Probing(timer) }) =
            self.connections.get(&connection)
        else {
            return;
        };
        if !ready {
            return self.open_failed(now, connection, actions);
        }
        self.timers.cancel(timer);
        if let Some(scheduler) = self.schedulers.get_mut(&number) {
            scheduler.recovered(now, &self.rules.connections, &mut self.rng);
            actions.push(Action::Report(SchedulerEvent::Recovered { address: scheduler.address }));
        }
        self.release_connection(now, connection, actions);
        self.reroute_unassigned(now, actions);
    }

    /// Replaces the members of a set.
    pub(super) fn replace_members(&mut self, set: usize, addresses: &[SocketAddr]) {
        let mut members: Vec<Candidate> = Vec::new();
        for &address in addresses {
            let known = self.schedulers.iter().find(|(_, s)| s.address == address);
            let number = known.map(|(&number, _)| number).unwrap_or_else(|| {
                let number = self.next_scheduler;
                self.next_scheduler += 1;
                self.schedulers.insert(number, Scheduler::new(address, volumes::address_hash(address)));
                number
            });
            if members.iter().any(|member| member.number == number) {
                continue;
            }
            if let Some(scheduler) = self.schedulers.get_mut(&number) {
                scheduler.listed += 1;
                members.push(Candidate { number, hash: scheduler.hash });
            }
        }
        let Some(set) = self.sets.get_mut(set) else { return };
        let before = std::mem::replace(&mut set.members, members);
        set.version += 1;
        for member in before {
            if let Some(scheduler) = self.schedulers.get_mut(&member.number) {
                scheduler.listed -= 1;
            }
        }
    }

    /// Reroutes the calls queued at schedulers that no set lists any more, and closes idle connections there.
    /// Attempts in flight continue.
    pub(super) fn release_unlisted(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let gone: Vec<u32> = self.schedulers.iter().filter(|(_, s)| s.listed == 0).map(|(&n, _)| n).collect();
        for number in gone {
            let Some(scheduler) = self.schedulers.get_mut(&number) else { continue };
            let waiting = scheduler.queue.drain();
            let idle: Vec<ConnectionId> = scheduler.idle.iter().map(|(connection, _)| *connection).collect();
            for connection in idle {
                actions.push(Action::Close { connection });
                self.remove_connection(connection);
            }
            self.forget(number);
            self.reroute(now, waiting, actions);
        }
    }

    /// Removes a scheduler that no set lists and to which no connection is left.
    pub(super) fn forget(&mut self, number: u32) {
        let gone = self
            .schedulers
            .get(&number)
            .is_some_and(|s| s.listed == 0 && s.connections == 0 && s.queue.is_empty());
        if gone && let Some(scheduler) = self.schedulers.remove(&number) {
            for timer in scheduler.planned_opens {
                self.timers.cancel(timer);
            }
        }
    }
}

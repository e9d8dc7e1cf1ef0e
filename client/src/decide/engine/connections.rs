//! The states of a connection: being opened, idle, in flight, removed. Guarantees that no more connections
//! are open to a scheduler than its limits allow, and that no idle one is used for longer than
//! `idle_timeout`.

use super::{Action, CallState, Connection, ConnectionUse, Engine, SchedulerEvent, Timer};
use crate::decide::scheduler::{EjectionCause, Health};
use crate::decide::{ConnectionId, Instant};

impl Engine {
    /// An idle connection that may be used, the last used first. Those idle for too long are closed: the
    /// scheduler may be closing them at this moment, also where this process was paused.
    pub(super) fn pop_idle(
        &mut self,
        now: Instant,
        number: u32,
        actions: &mut Vec<Action>,
    ) -> Option<ConnectionId> {
        let scheduler = self.schedulers.get_mut(&number)?;
        let (connection, since) = scheduler.idle.pop()?;
        if since.until(now) < self.rules.connections.idle_timeout {
            return Some(connection);
        }
        let stale: Vec<ConnectionId> =
            scheduler.idle.drain(..).map(|(connection, _)| connection).chain([connection]).collect();
        for connection in stale {
            actions.push(Action::Close { connection });
            self.remove_connection(connection);
        }
        None
    }

    /// Removes a connection's state.
    pub(super) fn remove_connection(&mut self, connection: ConnectionId) {
        let Some(Connection { scheduler: number, usage }) = self.connections.remove(&connection) else {
            return;
        };
        if let ConnectionUse::Opening(timer) | ConnectionUse::Probing(timer) = usage {
            self.timers.cancel(timer);
        }
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        scheduler.connections -= 1;
        scheduler.opening -= usize::from(matches!(usage, ConnectionUse::Opening(_)));
        if usage == ConnectionUse::Idle {
            scheduler.idle.retain(|(idle, _)| *idle != connection);
        }
        self.forget(number);
    }

    /// Opens or plans connections as long as queued calls need them.
    pub(super) fn plan_connections(&mut self, now: Instant, number: u32, actions: &mut Vec<Action>) {
        while let Some(scheduler) = self.schedulers.get_mut(&number) {
            let Some(at) = scheduler.plan_open(now, &self.rules.connections, &mut self.rng) else { return };
            if at > now {
                scheduler.planned_opens.push(self.timers.start(at, Timer::OpenConnection(number)));
                continue;
            }
            self.open(now, number, actions);
        }
    }

    pub(super) fn new_connection(&mut self, number: u32, usage: ConnectionUse) -> ConnectionId {
        let connection = ConnectionId(self.next_connection);
        self.next_connection += 1;
        self.connections.insert(connection, Connection { scheduler: number, usage });
        connection
    }

    pub(super) fn open(&mut self, now: Instant, number: u32, actions: &mut Vec<Action>) {
        let connection = ConnectionId(self.next_connection);
        let timer =
            self.timers.start(now + self.rules.connections.connect_timeout, Timer::OpenTimeout(connection));
        self.new_connection(number, ConnectionUse::Opening(timer));
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        scheduler.connections += 1;
        scheduler.opening += 1;
        actions.push(Action::Open { connection, address: scheduler.address });
    }

    /// The timer of a planned connection has expired.
    pub(super) fn open_due(&mut self, now: Instant, number: u32, actions: &mut Vec<Action>) {
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        // The expired timer's key is one that no longer runs.
        let timers = &mut self.timers;
        let mut fired = None;
        for (position, &key) in scheduler.planned_opens.iter().enumerate() {
            if timers.at(key).is_none() {
                fired = Some(position);
                break;
            }
        }
        let Some(position) = fired else { return };
        scheduler.planned_opens.swap_remove(position);
        let wanted = scheduler.opening < scheduler.queue.len()
            && scheduler.connections < self.rules.connections.max_connections;
        if wanted && scheduler.health == Health::Healthy {
            self.open(now, number, actions);
        }
        self.plan_connections(now, number, actions);
    }

    pub(super) fn connection_opened(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.connections.get_mut(&connection) else { return };
        let ConnectionUse::Opening(timer) = open.usage else { return };
        self.timers.cancel(timer);
        let number = open.scheduler;
        open.usage = ConnectionUse::Idle;
        if let Some(scheduler) = self.schedulers.get_mut(&number) {
            scheduler.opening -= 1;
        }
        self.release_connection(now, connection, actions);
    }

    /// Assigns an open connection to the most urgent queued call, or marks it as idle.
    pub(super) fn release_connection(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.connections.get_mut(&connection) else { return };
        open.usage = ConnectionUse::Idle;
        let number = open.scheduler;
        loop {
            let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
            let Some(id) = scheduler.queue.pop() else { break };
            let Some(call) = self.calls.get_mut(&id) else { continue };
            // It is in no queue now, and has no timer but its deadline's.
            call.state = CallState::Unassigned;
            if now + self.rules.classes[usize::from(call.class)].min_remaining >= call.deadline {
                self.finish_without_time(id, actions);
            } else if self.volumes.paused_until(now, self.calls[&id].volume).is_some() {
                // Its volume was paused while it was queued.
                self.route(now, id, actions);
            } else {
                return self.send(now, id, connection, actions);
            }
        }
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        if scheduler.listed == 0 {
            actions.push(Action::Close { connection });
            return self.remove_connection(connection);
        }
        scheduler.idle.push((connection, now));
        if !scheduler.idle_check_planned {
            scheduler.idle_check_planned = true;
            self.timers.start(now + self.rules.connections.idle_timeout, Timer::CloseIdle(number));
        }
    }

    pub(super) fn open_failed(&mut self, now: Instant, connection: ConnectionId, actions: &mut Vec<Action>) {
        let Some(open) = self.connections.get(&connection) else { return };
        let (number, usage) = (open.scheduler, open.usage);
        self.remove_connection(connection);
        let cause = match usage {
            ConnectionUse::Opening(_) => EjectionCause::ConnectFailed,
            ConnectionUse::Probing(_) => EjectionCause::NotReady,
            ConnectionUse::Idle | ConnectionUse::InFlight(_) => return,
        };
        // Of several that failed together, one counts.
        let counts = self.schedulers.get(&number).is_some_and(|scheduler| match scheduler.health {
            Health::Healthy => true,
            Health::Ejected { probe, .. } => probe == Some(connection),
        });
        if counts {
            self.eject(now, number, cause, actions);
        }
    }

    pub(super) fn idle_closed(&mut self, now: Instant, connection: ConnectionId, actions: &mut Vec<Action>) {
        let Some(&Connection { scheduler: number, usage: ConnectionUse::Idle }) =
            self.connections.get(&connection)
        else {
            return;
        };
        if let Some(scheduler) = self.schedulers.get_mut(&number) {
            scheduler.connection_lost(now, false, &self.rules.connections, &mut self.rng);
            actions.push(Action::Report(SchedulerEvent::ConnectionLost { address: scheduler.address }));
        }
        self.remove_connection(connection);
    }

    /// Closes connections that were idle for too long.
    pub(super) fn close_idle(&mut self, now: Instant, number: u32, actions: &mut Vec<Action>) {
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        let idle = self.rules.connections.idle_timeout;
        let stale: Vec<ConnectionId> = scheduler
            .idle
            .iter()
            .take_while(|(_, since)| since.until(now) >= idle)
            .map(|(connection, _)| *connection)
            .collect();
        let next = scheduler.idle.get(stale.len()).map(|(_, since)| *since + idle);
        scheduler.idle_check_planned = next.is_some();
        if let Some(at) = next {
            self.timers.start(at, Timer::CloseIdle(number));
        }
        for connection in stale {
            actions.push(Action::Close { connection });
            self.remove_connection(connection);
        }
    }
}

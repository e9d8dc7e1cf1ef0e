//! Carries the engine's actions out and feeds events back: connections, one timer task, and a channel of
//! commands for each call. It makes no decision. Guarantees that events reach the engine one at a time, and
//! that no task outlives the client: opening connections are aborted and the timer task ends when the driver
//! is dropped.

use crate::connection::Connection;
use crate::decide::engine::{Action, Engine, Event, SchedulerEvent, Verdict};
use crate::decide::retry_policy::{AttemptOutcome, NeverRanCause};
use crate::decide::{CallId, ConnectionId, Instant};
use crate::observe::{Observed, Observer};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::task::AbortHandle;
use tokio::time;

/// What a call has to do next.
pub(crate) enum CallCommand {
    /// Send the request here.
    Send(AttemptSlot),
    /// The call has ended.
    Finished(Verdict),
}

/// A connection lent to a call for one attempt.
pub(crate) struct AttemptSlot {
    pub connection: Connection,
    pub id: ConnectionId,
    pub address: SocketAddr,
    pub host_count: usize,
    pub is_retry: bool,
}

#[derive(Default)]
struct LiveHandles {
    /// Idle connections.
    connections: HashMap<ConnectionId, Connection>,
    /// Connections that are being opened or tried.
    opening: HashMap<ConnectionId, AbortHandle>,
    calls: HashMap<CallId, mpsc::UnboundedSender<CallCommand>>,
}

struct State {
    engine: Engine,
    handles: LiveHandles,
    actions: Vec<Action>,
    next_call: u64,
    /// What the timer task sleeps until.
    sleeps_until: Option<Instant>,
}

/// The engine with its connections, calls and timer task.
pub(crate) struct Driver {
    state: Mutex<State>,
    wake: Arc<Notify>,
    started: time::Instant,
    observer: Arc<dyn Observer>,
    me: Weak<Driver>,
}

impl Driver {
    /// Starts the timer task on the runtime that this is called on.
    pub(crate) fn start(engine: Engine, observer: Arc<dyn Observer>) -> Arc<Self> {
        let driver = Arc::new_cyclic(|me| Driver {
            state: Mutex::new(State {
                engine,
                handles: LiveHandles::default(),
                actions: Vec::new(),
                next_call: 0,
                sleeps_until: None,
            }),
            wake: Arc::default(),
            started: time::Instant::now(),
            observer,
            me: me.clone(),
        });
        tokio::spawn(run_timers(driver.me.clone(), driver.wake.clone()));
        driver
    }

    pub(crate) fn now(&self) -> Instant {
        self.to_engine_time(time::Instant::now())
    }

    pub(crate) fn to_engine_time(&self, at: time::Instant) -> Instant {
        Instant::default() + at.saturating_duration_since(self.started)
    }

    pub(crate) fn to_tokio_time(&self, at: Instant) -> time::Instant {
        self.started.checked_add(Duration::from_micros(at.0)).unwrap_or(self.started + FAR)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a call; its commands arrive on the channel.
    pub(crate) fn start_call(
        &self,
        class: u16,
        set: u16,
        volume: u64,
        deadline: Instant,
    ) -> (CallId, mpsc::UnboundedReceiver<CallCommand>) {
        // At most two commands are pending at once: a connection, and the end.
        let (sender, orders) = mpsc::unbounded_channel();
        let mut state = self.state();
        let call = CallId(state.next_call);
        state.next_call += 1;
        state.handles.calls.insert(call, sender);
        self.observer.observed(&Observed::Called);
        self.handle(state, Event::Called { call, class, set, volume, deadline });
        (call, orders)
    }

    /// Passes an event to the engine and carries out the actions.
    pub(crate) fn handle_event(&self, event: Event) {
        self.handle(self.state(), event);
    }

    /// Returns a connection after an attempt.
    pub(crate) fn ended(&self, sending: AttemptSlot, end: AttemptOutcome, reusable: bool) {
        let mut state = self.state();
        let reusable = reusable && !sending.connection.is_closed();
        let connection = sending.id;
        // Guards against keeping a connection open that the engine has closed and no longer tracks.
        if reusable && state.engine.tracks_connection(connection) {
            state.handles.connections.insert(connection, sending.connection);
        }
        self.handle(state, Event::AttemptEnded { connection, end, reusable });
    }

    /// The program no longer waits for a call.
    pub(crate) fn dropped(&self, call: CallId) {
        let mut state = self.state();
        if state.handles.calls.remove(&call).is_some() {
            self.observer.observed(&Observed::Dropped);
            self.handle(state, Event::Dropped { call });
        }
    }

    fn handle(&self, mut state: MutexGuard<'_, State>, event: Event) {
        let now = self.now();
        let mut actions = std::mem::take(&mut state.actions);
        state.engine.handle(now, event, &mut actions);
        self.perform(state, actions);
    }

    /// Handles expired timers; returns when the next one may expire.
    fn advance(&self) -> Option<time::Instant> {
        let now = self.now();
        let mut state = self.state();
        let mut actions = std::mem::take(&mut state.actions);
        state.engine.advance(now, &mut actions);
        state.sleeps_until = state.engine.next();
        let next = state.sleeps_until;
        self.perform(state, actions);
        next.map(|at| self.to_tokio_time(at))
    }

    /// Carries actions out under the lock, then wakes the timer task and informs the observer without it.
    fn perform(&self, mut state: MutexGuard<'_, State>, mut actions: Vec<Action>) {
        let mut observed = Vec::new();
        for action in actions.drain(..) {
            observed.extend(self.perform_one(&mut state.handles, action));
        }
        state.actions = actions;
        let next = state.engine.next();
        let earlier = next.is_some_and(|next| state.sleeps_until.is_none_or(|sleeps| next < sleeps));
        drop(state);
        if earlier {
            self.wake.notify_one();
        }
        for what in &observed {
            self.observer.observed(what);
        }
    }

    /// Carries one action out; returns what the observer is to know of it.
    fn perform_one(&self, handles: &mut LiveHandles, action: Action) -> Option<Observed> {
        match action {
            Action::Open { connection, address } => {
                let opening = tokio::spawn(open(self.me.clone(), connection, address));
                handles.opening.insert(connection, opening.abort_handle());
                Some(Observed::Connecting)
            }
            Action::Probe { connection, address } => {
                let probing = tokio::spawn(probe(self.me.clone(), connection, address));
                handles.opening.insert(connection, probing.abort_handle());
                Some(Observed::Connecting)
            }
            Action::Close { connection } => {
                handles.connections.remove(&connection);
                if let Some(opening) = handles.opening.remove(&connection) {
                    opening.abort();
                }
                None
            }
            Action::Send { call, connection, address, host_count, is_retry } => {
                handles.send(call, connection, address, host_count, is_retry);
                Some(Observed::Sent { is_retry })
            }
            Action::Finish { call, verdict } => {
                if let Some(commands) = handles.calls.remove(&call) {
                    // The receiver is gone where the program has just dropped the call.
                    let _ = commands.send(CallCommand::Finished(verdict));
                }
                Some(Observed::Ended(verdict))
            }
            Action::Report(event) => {
                log_scheduler_event(event);
                Some(Observed::SchedulerEvent(event))
            }
        }
    }

    fn opened(&self, connection: ConnectionId, up: Connection) {
        let mut state = self.state();
        // Closed meanwhile: the connection ends here.
        if state.handles.opening.remove(&connection).is_none() {
            return;
        }
        state.handles.connections.insert(connection, up);
        self.observer.observed(&Observed::Connected);
        self.handle(state, Event::Opened { connection });
    }

    fn open_failed(&self, connection: ConnectionId) {
        let mut state = self.state();
        state.handles.opening.remove(&connection);
        self.handle(state, Event::OpenFailed { connection });
    }

    fn probed(&self, connection: ConnectionId, up: Option<Connection>) {
        let mut state = self.state();
        if state.handles.opening.remove(&connection).is_none() {
            return;
        }
        let ready = up.is_some();
        if let Some(up) = up {
            state.handles.connections.insert(connection, up);
            self.observer.observed(&Observed::Connected);
        }
        self.handle(state, Event::Probed { connection, ready });
    }
}

impl LiveHandles {
    /// Hands an idle connection to a call for one attempt.
    fn send(
        &mut self,
        call: CallId,
        id: ConnectionId,
        address: SocketAddr,
        host_count: usize,
        is_retry: bool,
    ) {
        // Both exist: the engine sends on connections that it was told are open, for calls that are open.
        let (Some(connection), Some(commands)) = (self.connections.remove(&id), self.calls.get(&call)) else {
            tracing::error!(?call, connection = ?id, "engine state mismatch");
            return;
        };
        let slot = AttemptSlot { connection, id, address, host_count, is_retry };
        // A call that is just being dropped takes no command; its `Dropped` event follows.
        let _ = commands.send(CallCommand::Send(slot));
    }
}

/// Opens a connection and reports the result to the driver, if the client still exists.
async fn open(driver: Weak<Driver>, id: ConnectionId, address: SocketAddr) {
    let on_close = driver.clone();
    let opened = Connection::open(address, move || connection_closed(&on_close, id)).await;
    let Some(driver) = driver.upgrade() else { return };
    match opened {
        Ok(connection) => driver.opened(id, connection),
        Err(error) => {
            tracing::debug!(%error, %address, "connect failed");
            driver.open_failed(id);
        }
    }
}

/// Opens a connection, asks whether the scheduler takes work, and reports the answer to the driver.
async fn probe(driver: Weak<Driver>, id: ConnectionId, address: SocketAddr) {
    let on_close = driver.clone();
    let opened = Connection::open(address, move || connection_closed(&on_close, id)).await;
    let ready = match opened {
        Ok(mut connection) => connection.ready(address).await.then_some(connection),
        Err(_) => None,
    };
    let Some(driver) = driver.upgrade() else { return };
    driver.probed(id, ready);
}

fn log_scheduler_event(event: SchedulerEvent) {
    match event {
        SchedulerEvent::Ejected { address, cause, wait } => {
            tracing::warn!(%address, ?cause, ?wait, "scheduler ejected");
        }
        SchedulerEvent::Recovered { address } => tracing::info!(%address, "scheduler recovered"),
        SchedulerEvent::ConnectionLost { address } => tracing::debug!(%address, "connection lost"),
    }
}

/// Aborts what is being opened; open connections end with the driver's handles, and the timer task is woken
/// to find that its client is gone.
impl Drop for Driver {
    fn drop(&mut self) {
        self.wake.notify_one();
        for opening in self.state().handles.opening.values() {
            opening.abort();
        }
    }
}

/// While no timer runs, the timer task wakes up this often.
const FAR: Duration = Duration::from_secs(3600);

/// Handles timers whenever one may have expired, until the driver is dropped. Detached: it holds the driver
/// weakly, and the drop wakes it.
async fn run_timers(driver: Weak<Driver>, wake: Arc<Notify>) {
    loop {
        let next = match driver.upgrade() {
            Some(driver) => driver.advance().unwrap_or_else(|| time::Instant::now() + FAR),
            None => return,
        };
        tokio::select! {
            () = tokio::time::sleep_until(next) => {}
            () = wake.notified() => {}
        }
    }
}

/// A connection ended by itself. Only an idle one is reported here; an attempt in flight reports its own end.
fn connection_closed(driver: &Weak<Driver>, connection: ConnectionId) {
    let Some(driver) = driver.upgrade() else { return };
    let mut state = driver.state();
    let idle = state.handles.connections.remove(&connection).is_some();
    if idle {
        driver.handle(state, Event::Closed { connection });
    }
}

/// An attempt that was not started, because its time had run out by then.
pub(crate) const NOT_STARTED: AttemptOutcome = AttemptOutcome::NeverRan(NeverRanCause::Unopened);

//! The scheduler's state and the one lock round it.
//!
//! Commands of the decision module reach a request in the order in which the module gave them. The lock is never held
//! across an await.

use crate::clock::{Clock, span};
use crate::counts::Counts;
use crate::guard::AdmissionGuard;
use crate::nodes::{BanError, Member, Nodes, Target};
use pointcross_scheduler::{
    Action, Event, ListKind, NodeId, Plan, RequestId, Scheduler, Settings, SettingsError,
};
use std::cmp::Reverse;
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

/// A command of the decision module about one request.
#[derive(Debug)]
pub(crate) enum Command {
    Send { target: Target, time_limit: Option<f64>, open: Arc<AtomicBool> },
    Cancel { attempt: u16 },
    Refuse { retry_after: f64 },
    Fail,
}

/// Everything behind the lock, which no one holds across an await.
struct State {
    scheduler: Scheduler,
    nodes: Nodes,
    next_id: RequestId,
    requests: HashMap<RequestId, mpsc::UnboundedSender<Command>>,
    timers: BinaryHeap<Reverse<(Instant, u32)>>,
    actions: Vec<Action>,
}

/// One scheduler: the decision module with its clock, timers, request table and node list.
pub struct Core {
    settings: Settings,
    clock: Clock,
    state: Mutex<State>,
    timer_set: Notify,
    follow: watch::Sender<bool>,
    guard: Option<Arc<dyn AdmissionGuard>>,
    counts: Counts,
    /// Attempts that have not ended, by node; as long as the nodes that have any.
    attempts_in_flight: Mutex<HashMap<NodeId, usize>>,
}

impl Core {
    /// Builds a core that knows no nodes yet. Its timers run in [`Core::run_timers`].
    ///
    /// # Errors
    /// Settings that no decision can be built on.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Core::with_clock(settings, seed, Clock::new())
    }

    /// The same with a clock that stands at this Unix time now, in milliseconds: for rehearsals that must replay.
    ///
    /// # Errors
    /// Settings that no decision can be built on.
    pub fn at_unix(settings: Settings, seed: u64, unix_ms: f64) -> Result<Self, SettingsError> {
        Core::with_clock(settings, seed, Clock::at_unix(unix_ms))
    }

    fn with_clock(settings: Settings, seed: u64, clock: Clock) -> Result<Self, SettingsError> {
        let state = State {
            scheduler: Scheduler::new(settings.clone(), seed, clock.now())?,
            nodes: Nodes::default(),
            next_id: 1,
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
        };
        let (follow, _) = watch::channel(false);
        let counts = Counts::new(settings.classes.len());
        let state = Mutex::new(state);
        Ok(Core {
            settings,
            clock,
            state,
            timer_set: Notify::new(),
            follow,
            guard: None,
            counts,
            attempts_in_flight: Mutex::default(),
        })
    }

    /// The same core behind a guard.
    pub fn guarded(self, guard: Arc<dyn AdmissionGuard>) -> Self {
        Core { guard: Some(guard), ..self }
    }

    pub(crate) fn guard(&self) -> Option<&Arc<dyn AdmissionGuard>> {
        self.guard.as_ref()
    }

    /// The module's time: Unix time in milliseconds, which never runs backwards.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// What the module was started with; its plans' figures may be others now.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Applies other figures of the plans to every request from now on; open ones and what each volume has used
    /// stay. [`Core::settings`] goes on showing the plans of the start.
    ///
    /// # Errors
    /// What the module cannot work with; nothing changes then.
    pub fn reconfigure(&self, plans: Vec<Plan>) -> Result<(), SettingsError> {
        let mut state = self.lock();
        state.scheduler.reconfigure(self.clock.now(), plans)
    }

    /// Whether the list names a node that takes work.
    pub fn can_serve(&self) -> bool {
        self.lock().nodes.any_ready()
    }

    /// How many nodes are listed.
    pub fn listed_nodes(&self) -> usize {
        self.lock().nodes.len()
    }

    /// How many requests are open.
    pub fn open_requests(&self) -> usize {
        self.lock().requests.len()
    }

    /// Counts of answers and attempts since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// How many listed nodes take nothing new now, banned by hand or draining by the list.
    pub fn unavailable_nodes(&self) -> usize {
        self.lock().nodes.unavailable()
    }

    /// Bans a node by its listed name: the module sees it as draining, and every later list says so too
    /// until [`Core::unban`]. Setting a ban twice is the same as once.
    ///
    /// # Errors
    /// [`BanError::Unknown`] where the name was never listed nor banned; nothing changes then.
    pub fn ban(&self, name: &str) -> Result<(), BanError> {
        let mut state = self.lock();
        let entries = state.nodes.ban(name, self.clock.now())?;
        if !entries.is_empty() {
            tracing::info!(name, "storage node banned");
            self.handle(&mut state, Event::List { kind: ListKind::Changes, entries });
        }
        Ok(())
    }

    /// Lifts a ban; the node is passed on as the list has it and treated as cold, from the start that the list
    /// tells where that lies within the ban, else from now.
    ///
    /// # Errors
    /// [`BanError::Unknown`] as for [`Core::ban`].
    pub fn unban(&self, name: &str) -> Result<(), BanError> {
        let mut state = self.lock();
        if let Some(entry) = state.nodes.unban(name, self.clock.now())? {
            tracing::info!(name, "storage node ban lifted");
            self.handle(&mut state, Event::List { kind: ListKind::Changes, entries: vec![entry] });
        }
        Ok(())
    }

    /// Attempts at the node of this listed name that have not ended.
    pub fn attempts_at(&self, name: &str) -> usize {
        let Some(node) = self.lock().nodes.named(name) else { return 0 };
        self.attempts_in_flight().get(&node).copied().unwrap_or(0)
    }

    /// The listed nodes that are ready, whether banned or not, and the shard of each.
    pub fn ready_nodes(&self) -> BTreeMap<String, u32> {
        self.lock().nodes.ready_nodes()
    }

    fn attempts_in_flight(&self) -> MutexGuard<'_, HashMap<NodeId, usize>> {
        self.attempts_in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an attempt at this node.
    pub(crate) fn attempt_started(&self, node: NodeId) {
        *self.attempts_in_flight().entry(node).or_default() += 1;
    }

    /// Counts it off again.
    pub(crate) fn attempt_ended(&self, node: NodeId) {
        if let Entry::Occupied(mut attempts) = self.attempts_in_flight().entry(node) {
            *attempts.get_mut() -= 1;
            if *attempts.get() == 0 {
                attempts.remove();
            }
        }
    }

    /// The names banned now, sorted.
    pub fn banned(&self) -> Vec<String> {
        self.lock().nodes.banned()
    }

    /// Restores bans of an earlier process, before any list comes.
    pub fn restore_bans(&self, names: impl IntoIterator<Item = String>) {
        let now = self.clock.now();
        self.lock().nodes.restore(names, now);
    }

    /// Passes an update of the node list to the module.
    pub fn list(&self, kind: ListKind, members: Vec<Member>) {
        let mut state = self.lock();
        if let Some(guard) = &self.guard {
            guard.listed(self.clock.now(), kind, &members);
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            state.nodes.keep_only(&members);
        }
        let entries: Vec<_> = members.into_iter().map(|member| state.nodes.apply(member)).collect();
        self.handle(&mut state, Event::List { kind, entries });
    }

    /// Changes each time the module asks for the list to be watched, or not.
    pub fn list_subscription(&self) -> watch::Receiver<bool> {
        self.follow.subscribe()
    }

    /// Feeds the module its timers as they come due; runs for as long as the core is in use.
    pub async fn run_timers(&self) {
        loop {
            let next = self.lock().timers.peek().map(|Reverse((at, _))| *at);
            match next {
                None => self.timer_set.notified().await,
                // In this order always: a rehearsal must replay, and a due timer goes before what is set behind it.
                Some(at) => tokio::select! {
                    biased;
                    () = tokio::time::sleep_until(at) => self.fire(),
                    () = self.timer_set.notified() => {}
                },
            }
        }
    }

    fn fire(&self) {
        let mut state = self.lock();
        while let Some(&Reverse((at, token))) = state.timers.peek()
            && at <= Instant::now()
        {
            state.timers.pop();
            self.handle(&mut state, Event::Timer { token });
        }
    }

    /// Registers a request in the table and passes it to the module under the number it gets here.
    pub(crate) fn register(
        &self,
        event: impl FnOnce(RequestId) -> Event,
    ) -> (RequestId, mpsc::UnboundedReceiver<Command>) {
        let (sender, commands) = mpsc::unbounded_channel();
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        state.requests.insert(id, sender);
        self.handle(&mut state, event(id));
        (id, commands)
    }

    pub(crate) fn notify(&self, event: Event) {
        self.handle(&mut self.lock(), event);
    }

    /// Removes a finished request from the table.
    pub(crate) fn unregister(&self, id: RequestId) {
        self.lock().requests.remove(&id);
    }

    pub(crate) fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The state stays usable after a panic elsewhere: events that fit nothing known are ignored.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an event to the module and its commands to the requests, in the order in which it gave them.
    fn handle(&self, state: &mut State, event: Event) {
        let mut actions = std::mem::take(&mut state.actions);
        state.scheduler.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            let (request, command) = match action {
                Action::Send { request, node, time_limit } => match state.nodes.target(node) {
                    Some((target, open)) => (request, Command::Send { target, time_limit, open }),
                    None => continue,
                },
                Action::Refuse { request, retry_after } => (request, Command::Refuse { retry_after }),
                Action::Fail { request } => (request, Command::Fail),
                Action::Cancel { request, attempt } => (request, Command::Cancel { attempt }),
                Action::SetTimer { after, token } => {
                    state.timers.push(Reverse((Instant::now() + span(after), token)));
                    self.timer_set.notify_one();
                    continue;
                }
                Action::FollowList { on } => {
                    self.follow.send_replace(on);
                    continue;
                }
                Action::Log(text) => {
                    tracing::info!("{text}");
                    continue;
                }
                // The settings allow neither here, and the module asks for neither.
                Action::Probe { .. } | Action::Message { .. } => continue,
            };
            if let Some(sender) = state.requests.get(&request) {
                // The other end is gone only where the client has just left.
                let _ = sender.send(command);
            }
        }
        state.actions = actions;
    }
}

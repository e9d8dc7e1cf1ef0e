//! A scenario in virtual time, for halls that no machine starts as processes: the real decision module, pace and
//! ramp of each scheduler, before the same node law and list service, from one queue of events.
//!
//! What it leaves out: sockets, processes, links and their faults (a scenario that sets them is refused), the start's
//! own time, and the work of the schedulers. The same scenario, size and seed replay to the same figures: there is
//! no clock, no thread, and events of one time go in the order in which they were made.

use crate::client::splitmix;
use crate::ledger::{Slots, Verdict};
use crate::list::ListMood;
use crate::node::Mood;
use crate::scenario::{Scenario, ScenarioError, What};
use pointcross_core::decide::{
    Action, AttemptEnd, Event, ListKind, NodeEntry, NodeId, NodeState, Outcome, Request, Scheduler,
};
use pointcross_membership::call_rate::{Call, CallRateLimiter, CallRateRules};
use pointcross_membership::slow_start::{AttemptSignal, SlowStart, SlowStartRules};
use serde::Deserialize;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

/// One way over the network, in milliseconds: about what loopback and a link of the rig take.
const WAY: f64 = 0.25;
/// The clock's start, Unix milliseconds.
const UNIX: f64 = 1_750_000_000_000.0;
/// What the module counts as told after a hold; the watch of a scheduler without a pace (see the daemon).
const HOLD: f64 = 4000.0;

#[derive(Deserialize)]
struct Operator {
    list_calls: Option<ListCalls>,
    ramp: Option<SlowStartRules>,
}

#[derive(Deserialize)]
#[serde(default)]
struct ListCalls {
    spread_ms: f64,
    base_ms: f64,
    cap_ms: f64,
    budget: usize,
    window_ms: f64,
    hold_ms: f64,
}

impl Default for ListCalls {
    fn default() -> Self {
        let CallRateRules { spread_ms, base_ms, cap_ms, budget, window_ms } = CallRateRules::default();
        ListCalls { spread_ms, base_ms, cap_ms, budget, window_ms, hold_ms: HOLD }
    }
}

/// What happens next.
enum Next {
    Arrive(u64),
    Timer(usize, u64),
    /// A call for the list goes out.
    Calls(usize, u64),
    /// It is answered, or failed.
    Answered(usize, u64, bool),
    /// A request comes to a node.
    Reaches(usize, Job),
    /// A worker of a node is done; the number of the node's start.
    Done(usize, u64, Job),
    /// An attempt's end is heard.
    Ended(Job, Outcome),
    /// The scenario's event of this number.
    Scenario(usize),
}

#[derive(Clone, Copy)]
struct Job {
    scheduler: usize,
    life: u64,
    request: u64,
    attempt: u16,
    node: usize,
    sent: f64,
    writes: bool,
}

struct Host {
    module: Scheduler,
    pacer: Option<CallRateLimiter>,
    ramp: Option<SlowStart>,
    holds: bool,
    calling: bool,
    call: Call,
    /// Its lives so far; what belongs to an earlier one is nobody's.
    life: u64,
    running: bool,
    /// Attempts of open requests.
    attempts: HashMap<u64, u16>,
}

struct Node {
    started: f64,
    start: u64,
    busy: usize,
    waiting: VecDeque<Job>,
    mood: Mood,
}

/// A scenario as it goes on.
struct Play<'a> {
    scenario: &'a Scenario,
    operator: Operator,
    settings: pointcross_core::decide::Settings,
    seed: u64,
    now: f64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Next>,
    made: u64,
    hosts: Vec<Host>,
    nodes: Vec<Node>,
    list: ListMood,
    calls: Slots,
    writes: HashMap<u64, u32>,
    open: HashMap<u64, f64>,
    verdict: Verdict,
}

fn node_id(shard: usize) -> NodeId {
    NodeId { address: [127, 0, 0, 1], port: shard as u16 + 1 }
}

/// Plays `scenario` with so many schedulers; the figures are those of a run of real processes, where they apply.
///
/// # Errors
/// Where the scenario sets links or moods of nodes that virtual time does not play, or its operator's table has
/// keys of the wrong form.
pub fn play(scenario: &Scenario, schedulers: usize, seed: u64) -> Result<Verdict, ScenarioError> {
    for (n, event) in scenario.events.iter().enumerate() {
        let left_out = matches!(
            event.what,
            What::NodeLinks { .. }
                | What::ListLinks { .. }
                | What::PeerLinks { .. }
                | What::Terminate(_)
                | What::KillHolder
                | What::Ask { .. }
        );
        if left_out {
            let key = format!("event[{n}].do");
            let found = "links, terminate or a plan".into();
            return Err(ScenarioError::Range { key, found, wanted: "what virtual time plays" });
        }
    }
    let operator = scenario.operator.clone().unwrap_or_default().try_into::<Operator>()?;
    let mut settings = crate::cluster::platform_settings();
    settings["instances"] = schedulers.into();
    let parsed = pointcross_settings::parse(settings.to_string().as_bytes()).expect("the rig's own settings");
    let node = || Node { started: UNIX, start: 0, busy: 0, waiting: VecDeque::new(), mood: Mood::Up };
    let mut play = Play {
        scenario,
        operator,
        settings: parsed.decide,
        seed,
        now: UNIX,
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        made: 0,
        hosts: Vec::new(),
        nodes: (0..scenario.nodes).map(|_| node()).collect(),
        list: ListMood::Up,
        calls: Slots::default(),
        writes: HashMap::new(),
        open: HashMap::new(),
        verdict: Verdict { schedulers, ..Verdict::default() },
    };
    for i in 0..schedulers {
        let host = play.host(i, 0);
        play.hosts.push(host);
        play.begin(i);
    }
    for (n, event) in scenario.events.iter().enumerate() {
        play.after(event.at * 1000.0, Next::Scenario(n));
    }
    play.after(0.0, Next::Arrive(1));
    play.run();
    Ok(play.told())
}

impl Play<'_> {
    fn after(&mut self, wait: f64, next: Next) {
        self.made += 1;
        let at = (self.now + wait.max(0.0)).to_bits();
        self.queue.push(Reverse((at, self.made)));
        self.events.insert(self.made, next);
    }

    fn host(&self, i: usize, life: u64) -> Host {
        let settings = pointcross_core::decide::Settings { host: i as u32, ..self.settings.clone() };
        let (seed, name) = (splitmix(self.seed ^ life << 48 ^ i as u64), format!("n{i}"));
        let module = Scheduler::new(settings, seed, self.now).expect("the rig's own settings");
        let holds = self.scenario.known_list;
        let pacer = self.operator.list_calls.as_ref().map(|calls| {
            let ListCalls { spread_ms, base_ms, cap_ms, budget, window_ms, .. } = *calls;
            let rules = CallRateRules { spread_ms, base_ms, cap_ms, budget, window_ms };
            CallRateLimiter::new(rules, seed, &name, self.now, holds)
        });
        let hosts = self.settings.hosts;
        let ramp = self.operator.ramp.map(|rules| SlowStart::new(rules, hosts, seed, &name));
        let attempts = HashMap::new();
        Host { module, pacer, ramp, holds, calling: false, call: Call::First, life, running: true, attempts }
    }

    /// A scheduler's first moments: it is told the saved list, and an empty one where there is none.
    fn begin(&mut self, i: usize) {
        let known = self.scenario.known_list;
        self.tell(i, ListKind::Cached, known, UNIX);
    }

    /// Tells scheduler `i` the list, or an empty one; `start` in place of starts the list does not know yet.
    fn tell(&mut self, i: usize, kind: ListKind, whole: bool, start: f64) {
        let (now, mut entries) = (self.now, Vec::new());
        for (shard, node) in self.nodes.iter().enumerate().filter(|_| whole) {
            let started = if kind == ListKind::Cached { start } else { node.started };
            let (node, shard) = (node_id(shard), shard as u32);
            if let Some(ramp) = &mut self.hosts[i].ramp {
                ramp.listed(now, shard, started);
            }
            entries.push(NodeEntry { node, zone: 0, shard, state: NodeState::Ready, started });
        }
        self.handle(i, Event::List { kind, entries });
    }

    fn run(&mut self) {
        let last = UNIX + self.scenario.seconds * 1000.0 + self.scenario.load.deadline_ms as f64 + 1000.0;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = f64::from_bits(at);
            if self.now > last {
                break;
            }
            let Some(next) = self.events.remove(&number) else { continue };
            self.step(next);
        }
    }

    fn step(&mut self, next: Next) {
        match next {
            Next::Arrive(number) => self.arrive(number),
            Next::Timer(i, life) if self.hosts[i].life == life && self.hosts[i].running => {
                self.handle(i, Event::Timer { token: 0 });
            }
            Next::Calls(i, life) if self.hosts[i].life == life && self.hosts[i].running => self.call(i),
            Next::Answered(i, life, well) if self.hosts[i].life == life && self.hosts[i].running => {
                self.answered(i, well);
            }
            Next::Reaches(n, job) => self.reaches(n, job),
            Next::Done(n, start, job) if self.nodes[n].start == start => self.done(n, job),
            Next::Ended(job, outcome) => self.ended(job, outcome),
            Next::Scenario(n) => self.event(n),
            // What belongs to an earlier life.
            Next::Timer(..) | Next::Calls(..) | Next::Answered(..) | Next::Done(..) => {}
        }
    }

    fn arrive(&mut self, number: u64) {
        let load = &self.scenario.load;
        let gap = 1000.0 / load.rate.max(0.001);
        let due = UNIX + gap * (number + 1) as f64;
        if due < UNIX + self.scenario.seconds * 1000.0 {
            self.after(due - self.now, Next::Arrive(number + 1));
        }
        self.verdict.sent += 1;
        let mixed = splitmix(self.seed ^ number);
        let writes = (mixed % 1000) as f64 / 1000.0 < load.write_share;
        let shard = ((mixed >> 20) % u64::from(load.shards.max(1))) as u32;
        let first = (mixed >> 40) as usize % self.hosts.len();
        let deadline = self.now + load.deadline_ms as f64;
        let found = (0..3).map(|turn| (first + turn) % self.hosts.len()).find(|&i| self.hosts[i].running);
        let Some(i) = found else {
            self.verdict.failed += 1;
            return;
        };
        let now = self.now;
        if self.hosts[i].ramp.as_mut().is_some_and(|ramp| ramp.admit(now, shard).is_err()) {
            self.verdict.refused += 1;
            return;
        }
        self.open.insert(number, deadline);
        self.hosts[i].attempts.insert(number, 0);
        let request = Request {
            id: number,
            class: u16::from(writes),
            plan: 0,
            key: number,
            deadline,
            volume: 7,
            units: 1.0,
            shard: Some(shard),
            volume_hosts: 1.0,
            client_repeat: false,
            writes,
        };
        self.handle(i, Event::Arrived(request));
    }

    fn handle(&mut self, i: usize, event: Event) {
        let mut actions = Vec::new();
        let now = self.now;
        self.hosts[i].module.handle(now, event, &mut actions);
        let life = self.hosts[i].life;
        for action in actions {
            match action {
                Action::Send { request, node, .. } => {
                    let attempt = self.hosts[i].attempts.entry(request).or_default();
                    let number = *attempt;
                    *attempt += 1;
                    let node = usize::from(node.port) - 1;
                    let writes = self.writes_of(request);
                    let job = Job { scheduler: i, life, request, attempt: number, node, sent: now, writes };
                    self.after(WAY, Next::Reaches(node, job));
                }
                Action::Refuse { request, .. } => self.answer(i, request, |verdict| &mut verdict.refused),
                Action::Fail { request } => self.answer(i, request, |verdict| &mut verdict.failed),
                Action::SetTimer { after, .. } => self.after(after, Next::Timer(i, life)),
                Action::FollowList { on: true } if !self.hosts[i].calling => {
                    self.hosts[i].calling = true;
                    let call = self.hosts[i].call;
                    let at = self.hosts[i].pacer.as_mut().map_or(now, |pacer| pacer.earliest_call(now, call));
                    self.after(at - now, Next::Calls(i, life));
                }
                // A cancelled attempt goes on at its node, and its end fits nothing then.
                Action::Cancel { .. } | Action::FollowList { .. } | Action::Log(_) => {}
                Action::Probe { .. } | Action::Message { .. } => {}
            }
        }
    }

    fn writes_of(&self, request: u64) -> bool {
        (splitmix(self.seed ^ request) % 1000) as f64 / 1000.0 < self.scenario.load.write_share
    }

    /// Counts a request's final answer, once.
    fn answer(&mut self, i: usize, request: u64, counter: impl Fn(&mut Verdict) -> &mut u64) {
        self.hosts[i].attempts.remove(&request);
        if let Some(deadline) = self.open.remove(&request) {
            let late = self.now > deadline + 500.0;
            *(if late { &mut self.verdict.unanswered } else { counter(&mut self.verdict) }) += 1;
        }
    }

    fn call(&mut self, i: usize) {
        let (now, life) = (self.now, self.hosts[i].life);
        if let Some(pacer) = &mut self.hosts[i].pacer {
            pacer.record_call(now);
        }
        self.calls.note(Duration::from_secs_f64((now - UNIX) / 1000.0));
        // A whole list is told at once; a watch hears nothing until its hold is over.
        let hold = self.operator.list_calls.as_ref().map_or(HOLD, |calls| calls.hold_ms);
        let wait = if self.hosts[i].holds { hold } else { 2.0 * WAY };
        match self.list {
            ListMood::Up => self.after(wait, Next::Answered(i, life, true)),
            ListMood::Slow { ms } => self.after(wait + ms as f64, Next::Answered(i, life, true)),
            ListMood::Down => self.after(2.0 * WAY, Next::Answered(i, life, false)),
        }
    }

    fn answered(&mut self, i: usize, well: bool) {
        let (now, life) = (self.now, self.hosts[i].life);
        let host = &mut self.hosts[i];
        if well {
            (host.holds, host.call) = (true, Call::Next);
            let at = host.pacer.as_mut().map_or(now, |pacer| {
                pacer.record_success();
                pacer.earliest_call(now, Call::Next)
            });
            self.after(at - now, Next::Calls(i, life));
            self.tell(i, ListKind::Full, true, 0.0);
        } else {
            (host.calling, host.call) = (false, Call::Retry);
            if let Some(pacer) = &mut host.pacer {
                pacer.record_failure();
            }
            self.handle(i, Event::List { kind: ListKind::Failed, entries: Vec::new() });
        }
    }

    fn reaches(&mut self, n: usize, job: Job) {
        let (settings, node) = (&self.scenario.node, &mut self.nodes[n]);
        match node.mood {
            Mood::Down => return self.after(WAY, Next::Ended(job, Outcome::NoConnection)),
            Mood::Silent => return,
            Mood::Up | Mood::Slow { .. } => {}
        }
        if node.busy + node.waiting.len() >= settings.queue_limit {
            self.verdict.node_overloads += 1;
            return self.after(WAY, Next::Ended(job, Outcome::Full));
        }
        node.waiting.push_back(job);
        self.work(n);
    }

    /// Starts what waits where a worker is free.
    fn work(&mut self, n: usize) {
        let settings = &self.scenario.node;
        while self.nodes[n].busy < settings.workers.max(1) {
            let Some(job) = self.nodes[n].waiting.pop_front() else { return };
            let node = &mut self.nodes[n];
            node.busy += 1;
            let slow = if let Mood::Slow { factor } = node.mood { factor } else { 1.0 };
            let took = settings.unit_ms * settings.coldness(self.now - node.started) * slow;
            let start = node.start;
            self.after(took, Next::Done(n, start, job));
        }
    }

    fn done(&mut self, n: usize, job: Job) {
        self.nodes[n].busy -= 1;
        if job.writes {
            *self.writes.entry(job.request).or_default() += 1;
        }
        self.after(WAY, Next::Ended(job, Outcome::Served));
        self.work(n);
    }

    fn ended(&mut self, job: Job, outcome: Outcome) {
        let (i, now) = (job.scheduler, self.now);
        if self.hosts[i].life != job.life || !self.hosts[i].running {
            return;
        }
        let took = now - job.sent;
        if let Some(ramp) = &mut self.hosts[i].ramp {
            let shown = match outcome {
                Outcome::Served => AttemptSignal::Answered,
                Outcome::Full => AttemptSignal::Rejected,
                _ => AttemptSignal::NoAnswer,
            };
            ramp.attempt_ended(now, job.node as u32, shown, took);
        }
        let over = outcome == Outcome::Served;
        if over {
            self.answer(i, job.request, |verdict| &mut verdict.served);
        }
        let end = AttemptEnd {
            request: job.request,
            attempt: job.attempt,
            node: node_id(job.node),
            outcome,
            elapsed: took,
            over,
            usage: None,
            elsewhere: 0.0,
            load: Vec::new(),
        };
        self.handle(i, Event::Ended(end));
    }

    fn event(&mut self, n: usize) {
        let (hosts, nodes) = (self.hosts.len(), self.nodes.len());
        match &self.scenario.events[n].what {
            What::Kill(pick) => {
                for i in pick.members(hosts, self.seed, n) {
                    self.hosts[i].running = false;
                    // What it held is told to its clients by the broken connections.
                    for request in std::mem::take(&mut self.hosts[i].attempts).into_keys() {
                        if self.open.remove(&request).is_some() {
                            self.verdict.failed += 1;
                        }
                    }
                }
            }
            What::Restart(pick) => {
                for i in pick.members(hosts, self.seed, n) {
                    if !self.hosts[i].running {
                        self.hosts[i] = self.host(i, self.hosts[i].life + 1);
                        self.begin(i);
                    }
                }
            }
            What::RestartNodes(pick) => {
                for node in pick.members(nodes, self.seed, n) {
                    let node = &mut self.nodes[node];
                    (node.started, node.start, node.busy) = (self.now, node.start + 1, 0);
                    node.waiting.clear();
                }
            }
            What::Nodes { pick, mood } => {
                for node in pick.members(nodes, self.seed, n) {
                    self.nodes[node].mood = *mood;
                }
            }
            What::List { mood } => self.list = *mood,
            // Refused before the play.
            What::NodeLinks { .. }
            | What::ListLinks { .. }
            | What::PeerLinks { .. }
            | What::Terminate(_)
            | What::KillHolder
            | What::Ask { .. } => {}
        }
    }

    fn told(mut self) -> Verdict {
        self.verdict.unanswered += self.open.len() as u64;
        self.verdict.doubled_writes = self.writes.values().filter(|&&runs| runs > 1).count() as u64;
        self.verdict.list_peak_per_s = self.calls.peak_per_second();
        self.verdict.list_calls = self.calls.total();
        self.verdict.served_share = self.verdict.served as f64 / self.verdict.sent.max(1) as f64;
        self.verdict
    }
}

//! A script in virtual time: the real core and decision module, one for each scheduler, before emulated nodes, in
//! one thread under tokio's paused clock. Nothing of the result comes from a wall clock, a thread or the order of a
//! hash map: the same script and seed replay to the same ledger.

use crate::ledger::{Broken, Ledger, Limit};
use crate::node::{Arrival, Job, Micros, Node, NodeLaws};
use crate::script::{Class, Script, Trouble, What};
use hdrhistogram::Histogram;
use pointcross_core::decide::{ListKind, NodeState};
use pointcross_core::{Answer, Attempt, Core, End, Ended, Member, NewRequest, Report, Transport};
use rand::rngs::SmallRng;
use rand::seq::index::sample;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use serde::Serialize;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, LocalSet};
use tokio::time::Instant;

/// The clock's start in Unix milliseconds, the same in every rehearsal.
const UNIX: f64 = 1_750_000_000_000.0;
/// A node's report of its load is this old at the most (BRIEF 7.2: 170 to 940 ms).
const REPORT_MS: (f64, f64) = (170.0, 940.0);
/// What an answer after its aim still earns (BRIEF 5.1: 10 to 30%).
const LATE_WORTH: f64 = 0.2;
/// The longest time to stay away that schedulers tell, in milliseconds.
const MAX_RETRY_AFTER: f64 = 2000.0;

/// One plan's or class's outcomes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcomes {
    /// Requests, without clients' retries.
    pub requests: u64,
    /// Served within their clients' time.
    pub served: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Failed in the end.
    pub failed: u64,
    /// Lost with a scheduler that was killed.
    pub lost: u64,
    /// Worth that was earned, as a part of what was due.
    pub served_worth_share: f64,
    /// Of answers, in milliseconds; 0 where none was served.
    pub p50_ms: f64,
    /// The same.
    pub p99_ms: f64,
}

/// What came of a rehearsal.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The script.
    pub script: String,
    /// The seed.
    pub seed: u64,
    /// How many times the script's size.
    pub size: u32,
    /// Schedulers.
    pub schedulers: u32,
    /// Nodes.
    pub nodes: u32,
    /// Requests, without clients' retries.
    pub requests: u64,
    /// Attempts at nodes.
    pub attempts: u64,
    /// Rules broken, over all.
    pub rules_broken: u64,
    /// Which.
    pub broken: Broken,
    /// Worth earned, as a part of what was due, over all plans.
    pub served_worth_share: f64,
    /// By plan.
    pub plans: BTreeMap<String, Outcomes>,
    /// By class.
    pub classes: BTreeMap<String, Outcomes>,
    /// By second: served, refused, failed and lost.
    pub seconds: Vec<[u32; 4]>,
    /// Jobs in each node, at each second's end; up to 64 nodes.
    pub inflight: Vec<Vec<u32>>,
    /// Everything that nodes and clients saw, in order, as one figure.
    pub ledger_hash: String,
}

struct Volume {
    id: u64,
    /// The shards that hold its data.
    shards: Vec<u32>,
    /// The schedulers that it uses; the first one leads.
    schedulers: Vec<u32>,
    /// How many times its usual traffic it asks for.
    times: f64,
    limit: Option<Limit>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Manner {
    Serves,
    Silent,
    Resets(f64),
}

struct Place {
    node: Option<Node>,
    manner: Manner,
    draining: bool,
    /// Last start in Unix milliseconds; 0 is long ago.
    started: f64,
    /// By token: when a node dies they hear of it in one order always.
    waiters: BTreeMap<u64, oneshot::Sender<()>>,
    wake: Arc<Notify>,
    reported: (Micros, f32),
    /// Units served, by volume.
    served: HashMap<u64, Served>,
}

/// Units that a node served for one volume.
#[derive(Default)]
struct Served {
    all: f64,
    /// Through each scheduler, and what that was told of the others'.
    by: BTreeMap<u32, (f64, f64)>,
}

struct World {
    began: Instant,
    laws: NodeLaws,
    way: Duration,
    places: Vec<Place>,
    ledger: Ledger,
    rng: SmallRng,
    next_token: u64,
    attempts: u64,
}

impl World {
    fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }
}

type Shared = Arc<Mutex<World>>;

fn look(world: &Shared) -> MutexGuard<'_, World> {
    world.lock().expect("a rehearsal that panicked is over")
}

fn address(node: u32) -> SocketAddr {
    SocketAddr::from(([127, (node >> 16) as u8, (node >> 8) as u8, node as u8], 9))
}

fn number(address: SocketAddr) -> u32 {
    match address {
        SocketAddr::V4(address) => address.ip().to_bits() & 0x00ff_ffff,
        SocketAddr::V6(_) => u32::MAX,
    }
}

/// What one request asks of a node.
struct Call {
    request: u64,
    volume: u64,
    units: f64,
    writes: bool,
    piece: u64,
    limit: Option<Limit>,
}

/// One scheduler's way to the nodes.
struct Net {
    world: Shared,
    scheduler: u32,
}

/// Takes a job that its scheduler gave up out of the node's queue.
struct Waits<'a> {
    world: &'a Shared,
    node: usize,
    token: u64,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        let mut world = look(self.world);
        let now = world.now();
        let place = &mut world.places[self.node];
        if place.waiters.remove(&self.token).is_some()
            && let Some(node) = &mut place.node
        {
            node.cancel(now, self.token);
        }
    }
}

impl Transport for Net {
    type Call = Call;
    type Answer = ();

    async fn attempt(&self, attempt: Attempt, call: &Call) -> Ended<()> {
        let to = number(attempt.target.address);
        let (index, way) = (to as usize, look(&self.world).way);
        {
            let mut world = look(&self.world);
            let now = world.now();
            world.attempts += 1;
            world.ledger.sent(now, self.scheduler, to, call.request);
        }
        tokio::time::sleep(way).await;
        let (token, answer, resets) = {
            let mut world = look(&self.world);
            let now = world.now();
            let (token, draw) = (world.next_token, world.rng.random::<f64>());
            world.next_token += 1;
            let place = &mut world.places[index];
            let Some(node) = &mut place.node else { return End::NoConnection.into() };
            let manner = place.manner;
            let taken = match manner {
                Manner::Silent => Arrival::Taken,
                _ => {
                    let job = Job { token, units: call.units, writes: call.writes, piece: call.piece };
                    let before = node.fallen();
                    let arrival = node.arrive(now, job);
                    if arrival == Arrival::Fallen && !before {
                        world.ledger.pushed_over(now, to);
                    }
                    arrival
                }
            };
            if taken == Arrival::TurnedAway {
                (token, None, false)
            } else {
                // A silent node has taken it all the same: it may run it, and its units count.
                world.ledger.taken(now, call.request, call.writes, call.volume, call.units, call.limit);
                let (sender, answer) = oneshot::channel();
                let place = &mut world.places[index];
                place.waiters.insert(token, sender);
                place.wake.notify_one();
                (token, Some(answer), matches!(manner, Manner::Resets(part) if draw < part))
            }
        };
        let Some(answer) = answer else {
            tokio::time::sleep(way).await;
            return Ended { end: End::Rejected, report: self.report(index, None) };
        };
        let waits = Waits { world: &self.world, node: index, token };
        let answered = answer.await;
        drop(waits);
        tokio::time::sleep(way).await;
        match answered {
            Ok(()) if resets => End::Reset.into(),
            Ok(()) => Ended { end: End::Served(()), report: self.report(index, Some(call)) },
            // The node died with it.
            Err(_) => End::Reset.into(),
        }
    }
}

impl Net {
    /// What an answer tells: the load, as old as reports are, and what was served elsewhere.
    fn report(&self, index: usize, served: Option<&Call>) -> Report {
        let mut world = look(&self.world);
        let now = world.now();
        let age = world.rng.random_range(REPORT_MS.0..REPORT_MS.1);
        let place = &mut world.places[index];
        if now >= place.reported.0 {
            let inflight = place.node.as_ref().map_or(0, Node::inflight) as f32;
            place.reported = (now + (age * 1e3) as Micros, inflight);
        }
        let mut elsewhere = 0.0;
        if let Some(call) = served {
            let served = place.served.entry(call.volume).or_default();
            served.all += call.units;
            let (own, told) = served.by.entry(self.scheduler).or_default();
            *own += call.units;
            let others = served.all - *own;
            elsewhere = others - *told;
            *told = others;
        }
        Report { elsewhere, load: vec![place.reported.1] }
    }
}

/// Ends jobs as their time comes.
async fn pump(world: Shared, index: usize) {
    let wake = look(&world).places[index].wake.clone();
    let mut ended = Vec::new();
    loop {
        let next = {
            let mut world = look(&world);
            let now = world.now();
            let (began, place) = (world.began, &mut world.places[index]);
            let next = place.node.as_mut().and_then(|node| {
                node.advance(now, &mut ended);
                node.next()
            });
            for job in ended.drain(..) {
                if let Some(waiter) = place.waiters.remove(&job.token) {
                    let _ = waiter.send(());
                }
            }
            next.map(|at| began + Duration::from_micros(at.max(now + 1)))
        };
        match next {
            Some(at) => tokio::select! {
                biased;
                () = wake.notified() => {}
                () = tokio::time::sleep_until(at) => {}
            },
            None => wake.notified().await,
        }
    }
}

struct Scheduler {
    core: Option<Arc<Core>>,
    timers: Option<AbortHandle>,
    /// Requests that are open here, by number.
    open: BTreeMap<u64, AbortHandle>,
    /// What it last heard from discovery.
    heard: Vec<Member>,
}

#[derive(Default)]
struct Tally {
    outcomes: Outcomes,
    due: f64,
    earned: f64,
    times: Option<Histogram<u64>>,
}

impl Tally {
    fn add(&mut self, how: usize, worth: f64, earned: f64, took: Option<Duration>) {
        self.outcomes.requests += 1;
        let counter = match how {
            0 => &mut self.outcomes.served,
            1 => &mut self.outcomes.refused,
            2 => &mut self.outcomes.failed,
            _ => &mut self.outcomes.lost,
        };
        *counter += 1;
        self.due += worth;
        self.earned += earned;
        if let Some(took) = took {
            let times = self.times.get_or_insert_with(|| Histogram::new(3).expect("3 digits"));
            let _ = times.record(took.as_micros() as u64);
        }
    }

    fn outcomes(&self) -> Outcomes {
        let ms = |quantile| self.times.as_ref().map_or(0.0, |t| t.value_at_quantile(quantile) as f64 / 1e3);
        Outcomes {
            served_worth_share: if self.due > 0.0 { self.earned / self.due } else { 1.0 },
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            ..self.outcomes.clone()
        }
    }
}

/// What the tasks of one rehearsal share; all run on one thread.
struct SchedulerCluster {
    script: Script,
    world: Shared,
    schedulers: RefCell<Vec<Scheduler>>,
    volumes: RefCell<Vec<Volume>>,
    /// How many times its usual traffic each plan asks for.
    surges: RefCell<Vec<f64>>,
    /// How many troubles silence discovery.
    silenced: RefCell<u32>,
    told: Notify,
    plans: RefCell<Vec<Tally>>,
    classes: RefCell<Vec<Tally>>,
    seconds: RefCell<Vec<[u32; 4]>>,
    seed: u64,
}

/// Plays a script.
///
/// # Panics
///
/// Where the decision module does not take the settings that the script leads to.
pub fn play(script: &Script, seed: u64, size: u32) -> Outcome {
    let script = script.clone().sized(size);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let local = LocalSet::new();
    local.block_on(&runtime.expect("a runtime without I/O"), rehearse(script, seed, size))
}

/// The platform's settings, as JSON, that a script leads to for the scheduler of this number.
pub fn settings(script: &Script, me: u32) -> String {
    let laws = script.laws();
    let classes: Vec<serde_json::Value> = script
        .class
        .iter()
        .map(|class| {
            serde_json::json!({
                "name": class.name, "aim": class.aim_ms, "give_up": class.give_up_ms,
                "importance": class.worth, "late_value": LATE_WORTH,
                "repeat": if class.write { "unsafe" } else { "safe" },
            })
        })
        .collect();
    let plans: Vec<serde_json::Value> = (0..script.plan.len())
        .map(|n| {
            let plan = &script.plan[n];
            let rate = usual_rate(script, n);
            let mut told = serde_json::json!({
                "name": plan.name, "base_rate": rate, "reservation": rate * plan.reserve,
                "weight": plan.weight, "price": plan.price,
            });
            if let Some(limit) = limit_of(script, n) {
                told["cap"] = limit.rate.into();
                told["cap_depth"] = limit.depth.into();
                told["cap_slack"] = limit.slack.into();
            }
            told
        })
        .collect();
    let writes: Vec<bool> = script.class.iter().map(|class| class.write).collect();
    serde_json::json!({
        "me": me, "instances": script.site.schedulers, "resolution": 2.0, "discovery": "on_request",
        "classes": classes, "service_levels": plans,
        "guarantees": {"grace_to_answer": 50, "drain_grace": 250, "ask_within": 1e9, "cold_from": laws.cold_from,
            "cold": laws.warm_after_ms, "fall_multiple": laws.fall_multiple, "tip_after": 1000},
        "limits": {"cancelling": true, "connect_timeout": 250, "keepalive": 15000, "max_attempts": 3,
            "max_retry_after": MAX_RETRY_AFTER},
        "family_info": {"max_units": max_units(script), "unit_mean": script.mean_units(),
            "slots_total": script.site.nodes, "writes": writes, "tells_elsewhere": true,
            "within_share": 0.35, "idle_worth": 0.05, "young_limit": laws.always_bears},
        "report": {"how": "inline", "names": ["inflight"]},
    })
    .to_string()
}

fn max_units(script: &Script) -> f64 {
    script.class.iter().map(|class| class.units.1).fold(0.0, f64::max)
}

fn volumes_in(script: &Script) -> usize {
    (f64::from(script.site.nodes) * script.site.volumes_per_node).ceil() as usize
}

/// Units a second that a volume of this plan usually asks for.
fn usual_rate(script: &Script, plan: usize) -> f64 {
    let all: f64 = script.plan.iter().map(|plan| plan.share).sum();
    let volumes = volumes_in(script).div_ceil(script.plan.len()).max(1) as f64;
    script.capacity() * script.site.load * script.plan[plan].share / all / volumes
}

fn limit_of(script: &Script, plan: usize) -> Option<Limit> {
    let times = script.plan[plan].limit?;
    let rate = usual_rate(script, plan) * times;
    let depth = rate.max(2.0 * max_units(script));
    Some(Limit { rate, depth, slack: (depth * 0.1).max(max_units(script)) })
}

async fn rehearse(script: Script, seed: u64, size: u32) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let nodes = script.site.nodes;
    let world = empty_world(&script, seed);
    let volumes = draw_volumes(&script, seed, &mut rng);
    let seconds = script.site.seconds.ceil() as usize;
    let cluster = Rc::new(SchedulerCluster {
        world: Arc::new(Mutex::new(world)),
        schedulers: RefCell::new(
            (0..script.site.schedulers)
                .map(|_| Scheduler { core: None, timers: None, open: BTreeMap::new(), heard: Vec::new() })
                .collect(),
        ),
        volumes: RefCell::new(volumes),
        surges: RefCell::new(vec![1.0; script.plan.len()]),
        silenced: RefCell::new(0),
        told: Notify::new(),
        plans: RefCell::new(script.plan.iter().map(|_| Tally::default()).collect()),
        classes: RefCell::new(script.class.iter().map(|_| Tally::default()).collect()),
        seconds: RefCell::new(vec![[0; 4]; seconds + 12]),
        seed,
        script,
    });
    start_all(&cluster);
    let inflight = observe_in_flight(&cluster, seconds);
    arrivals(&cluster).await;
    // Whoever still waits is over by the longest deadline.
    let longest = cluster.script.class.iter().map(|class| class.give_up_ms).fold(0.0, f64::max);
    tokio::time::sleep(Duration::from_secs_f64(2.0 * longest / 1e3 + 1.0)).await;
    note_unanswered(&cluster);
    let inflight = inflight.borrow().clone();
    outcome(&cluster, Run { seed, size, nodes, seconds, inflight })
}

/// The nodes before anything happened.
fn empty_world(script: &Script, seed: u64) -> World {
    let laws = script.laws();
    let began = Instant::now();
    let places = (0..script.site.nodes).map(|n| Place {
        node: Some(Node::new(laws.clone(), seed.wrapping_mul(31).wrapping_add(u64::from(n)), 0, false)),
        manner: Manner::Serves,
        draining: false,
        started: 0.0,
        waiters: BTreeMap::new(),
        wake: Arc::default(),
        reported: (0, 0.0),
        served: HashMap::new(),
    });
    World {
        began,
        way: Duration::from_secs_f64(script.site.way_ms / 1e3),
        places: places.collect(),
        ledger: Ledger::default(),
        rng: SmallRng::seed_from_u64(seed ^ 0x0051_eeb0),
        next_token: 0,
        attempts: 0,
        laws,
    }
}

/// Which shards each volume lies on, and which schedulers its requests come through.
fn draw_volumes(script: &Script, seed: u64, rng: &mut SmallRng) -> Vec<Volume> {
    let nodes = script.site.nodes as usize;
    let draw_one = |n: usize| {
        let plan = n % script.plan.len();
        let shards = sample(rng, nodes, rng_upto(seed, n as u64, 4).min(nodes));
        let most = 3.min(script.site.schedulers) as usize;
        let schedulers = sample(rng, script.site.schedulers as usize, rng_upto(seed, !(n as u64), most));
        Volume {
            id: n as u64 + 1,
            shards: shards.iter().map(|shard| shard as u32).collect(),
            schedulers: schedulers.iter().map(|scheduler| scheduler as u32).collect(),
            times: 1.0,
            limit: limit_of(script, plan),
        }
    };
    (0..volumes_in(script)).map(draw_one).collect()
}

/// Starts the nodes' tasks, the schedulers with the whole list, and the script's troubles.
fn start_all(cluster: &Rc<SchedulerCluster>) {
    let nodes = cluster.script.site.nodes;
    for index in 0..nodes as usize {
        tokio::task::spawn_local(pump(cluster.world.clone(), index));
    }
    let all: Vec<Member> = (0..nodes).map(|node| cluster.member(node)).collect();
    for scheduler in 0..cluster.script.site.schedulers {
        cluster.schedulers.borrow_mut()[scheduler as usize].heard = all.clone();
        cluster.start(scheduler);
    }
    for (n, trouble) in cluster.script.trouble.iter().cloned().enumerate() {
        tokio::task::spawn_local(cause(cluster.clone(), trouble, n as u64));
    }
}

type InFlightBySecond = Rc<RefCell<Vec<Vec<u32>>>>;

/// Requests in work at the first 64 nodes, once a second.
fn observe_in_flight(cluster: &Rc<SchedulerCluster>, seconds: usize) -> InFlightBySecond {
    let observed = InFlightBySecond::default();
    let (cluster, into) = (cluster.clone(), observed.clone());
    tokio::task::spawn_local(async move {
        for _ in 0..seconds {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let world = look(&cluster.world);
            let jobs = world.places.iter().take(64);
            let in_flight = jobs.map(|place| place.node.as_ref().map_or(0, Node::inflight) as u32);
            into.borrow_mut().push(in_flight.collect::<Vec<u32>>());
        }
    });
    observed
}

/// Nothing may be open any more.
fn note_unanswered(cluster: &SchedulerCluster) {
    let mut world = look(&cluster.world);
    for scheduler in cluster.schedulers.borrow().iter() {
        for &request in scheduler.open.keys() {
            let now = world.now();
            world.ledger.unanswered(now, request);
        }
    }
}

/// What a run is known by, and what was observed beside the cluster's own counts.
struct Run {
    seed: u64,
    size: u32,
    nodes: u32,
    seconds: usize,
    inflight: Vec<Vec<u32>>,
}

fn outcome(cluster: &SchedulerCluster, run: Run) -> Outcome {
    let world = look(&cluster.world);
    let (plans, classes) = (cluster.plans.borrow(), cluster.classes.borrow());
    let sum = |of: fn(&Tally) -> f64| plans.iter().map(of).sum::<f64>();
    let named = |names: Vec<&String>, tallies: &[Tally]| {
        names.into_iter().cloned().zip(tallies.iter().map(Tally::outcomes)).collect::<BTreeMap<_, _>>()
    };
    Outcome {
        script: cluster.script.name.clone(),
        seed: run.seed,
        size: run.size,
        schedulers: cluster.script.site.schedulers,
        nodes: run.nodes,
        requests: plans.iter().map(|tally| tally.outcomes.requests).sum(),
        attempts: world.attempts,
        rules_broken: world.ledger.broken().total(),
        broken: world.ledger.broken().clone(),
        served_worth_share: sum(|tally| tally.earned) / sum(|tally| tally.due).max(1e-9),
        plans: named(cluster.script.plan.iter().map(|plan| &plan.name).collect(), &plans),
        classes: named(cluster.script.class.iter().map(|class| &class.name).collect(), &classes),
        seconds: cluster.seconds.borrow()[..run.seconds].to_vec(),
        inflight: run.inflight,
        ledger_hash: world.ledger.hash(),
    }
}

/// From 1 to `most`, the same for the same seed and number.
fn rng_upto(seed: u64, number: u64, most: usize) -> usize {
    SmallRng::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15)).random_range(1..=most.max(1))
}

impl SchedulerCluster {
    fn member(&self, node: u32) -> Member {
        let world = look(&self.world);
        let place = &world.places[node as usize];
        let state = match (&place.node, place.draining) {
            (None, _) => NodeState::Gone,
            (Some(_), true) => NodeState::Draining,
            (Some(_), false) => NodeState::Ready,
        };
        // A node that comes back is a new process under its old id.
        Member {
            name: format!("s-{node:05}"),
            address: address(node),
            zone: 0,
            shard: node,
            state,
            started: place.started,
        }
    }

    fn start(&self, number: u32) {
        let mut schedulers = self.schedulers.borrow_mut();
        let scheduler = &mut schedulers[number as usize];
        let text = settings(&self.script, number);
        let decide =
            pointcross_settings::parse(text.as_bytes()).expect("settings of a checked script").decide;
        let mut world = look(&self.world);
        let now = world.now();
        world.ledger.started(now, number);
        drop(world);
        let seed = self.seed.wrapping_add(u64::from(number)).wrapping_add(now);
        let core =
            Core::at_unix(decide, seed, UNIX + now as f64 / 1e3).expect("settings of a checked script");
        let core = Arc::new(core);
        core.list(ListKind::Full, scheduler.heard.clone());
        let timers = core.clone();
        let timers = tokio::task::spawn_local(async move { timers.run_timers().await });
        scheduler.timers = Some(timers.abort_handle());
        scheduler.core = Some(core);
    }

    /// Ends a scheduler outright; its open requests are lost to their clients.
    fn kill(&self, number: u32) {
        let open = {
            let mut schedulers = self.schedulers.borrow_mut();
            let scheduler = &mut schedulers[number as usize];
            scheduler.core = None;
            if let Some(timers) = scheduler.timers.take() {
                timers.abort();
            }
            std::mem::take(&mut scheduler.open)
        };
        open.into_values().for_each(|request| request.abort());
    }

    /// Discovery tells every scheduler of these nodes, late, and not before it speaks again.
    fn tell(self: &Rc<Self>, nodes: Vec<u32>) {
        let cluster = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_secs_f64(cluster.script.site.told_late_s)).await;
            while *cluster.silenced.borrow() > 0 {
                cluster.told.notified().await;
            }
            let members: Vec<Member> = nodes.iter().map(|&node| cluster.member(node)).collect();
            for number in 0..cluster.script.site.schedulers {
                let core = {
                    let mut schedulers = cluster.schedulers.borrow_mut();
                    let scheduler = &mut schedulers[number as usize];
                    for member in &members {
                        scheduler.heard.retain(|held| held.name != member.name);
                        if member.state != NodeState::Gone {
                            scheduler.heard.push(member.clone());
                        }
                    }
                    scheduler.core.clone()
                };
                let Some(core) = core else { continue };
                let mut world = look(&cluster.world);
                let now = world.now();
                for (node, member) in nodes.iter().zip(&members) {
                    world.ledger.told(now, number, *node, member.state == NodeState::Ready);
                }
                drop(world);
                core.list(ListKind::Changes, members.clone());
            }
        });
    }

    fn pick(&self, of: usize, part: f64, salt: u64) -> Vec<usize> {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ salt.wrapping_mul(0xd134_2543_de82_ef95));
        let count = (of as f64 * part).round() as usize;
        let mut picked = sample(&mut rng, of, count.min(of)).into_vec();
        picked.sort_unstable();
        picked
    }
}

/// Causes one trouble, and ends it.
async fn cause(cluster: Rc<SchedulerCluster>, trouble: Trouble, number: u64) {
    tokio::time::sleep(Duration::from_secs_f64(trouble.at_s)).await;
    let lasts = Duration::from_secs_f64(trouble.for_s);
    let nodes = cluster.script.site.nodes as usize;
    let salt = number + 1;
    match trouble.what {
        What::Die { nodes: part } => nodes_die(&cluster, cluster.pick(nodes, part, salt), lasts).await,
        What::Silent { nodes: part } => {
            behave(&cluster, cluster.pick(nodes, part, salt), Manner::Silent, lasts).await;
        }
        What::Reset { nodes: part, requests } => {
            behave(&cluster, cluster.pick(nodes, part, salt), Manner::Resets(requests), lasts).await;
        }
        What::Slow { nodes: part, times } => {
            nodes_slow_down(&cluster, cluster.pick(nodes, part, salt), times, lasts).await;
        }
        What::Drain { nodes: part } => nodes_drain(&cluster, cluster.pick(nodes, part, salt), lasts).await,
        What::Surge { plan, times } => plan_surges(&cluster, &plan, times, lasts).await,
        What::Hot { volumes, times } => {
            let picked = cluster.pick(cluster.volumes.borrow().len(), volumes, salt);
            volumes_run_hot(&cluster, picked, times, lasts).await;
        }
        What::Lead { volumes } => {
            let count = cluster.volumes.borrow().len();
            for volume in cluster.pick(count, volumes, salt) {
                cluster.volumes.borrow_mut()[volume].schedulers.rotate_left(1);
            }
        }
        What::Discovery => {
            *cluster.silenced.borrow_mut() += 1;
            tokio::time::sleep(lasts).await;
            *cluster.silenced.borrow_mut() -= 1;
            cluster.told.notify_waiters();
        }
        What::Scheduler { number } => {
            cluster.kill(number);
            tokio::time::sleep(lasts).await;
            cluster.start(number);
        }
    }
}

fn numbers(picked: &[usize]) -> Vec<u32> {
    picked.iter().map(|&node| node as u32).collect()
}

async fn nodes_die(cluster: &Rc<SchedulerCluster>, picked: Vec<usize>, lasts: Duration) {
    for &node in &picked {
        let mut world = look(&cluster.world);
        let place = &mut world.places[node];
        place.node = None;
        place.served.clear();
        // Whoever waits there sees the connection end.
        while place.waiters.pop_first().is_some() {}
    }
    cluster.tell(numbers(&picked));
    tokio::time::sleep(lasts).await;
    for &node in &picked {
        let mut world = look(&cluster.world);
        let (now, laws) = (world.now(), world.laws.clone());
        let seed = cluster.seed.wrapping_add(now).wrapping_add(node as u64);
        let place = &mut world.places[node];
        place.node = Some(Node::new(laws, seed, now, true));
        place.started = UNIX + now as f64 / 1e3;
    }
    cluster.tell(numbers(&picked));
}

async fn behave(cluster: &SchedulerCluster, picked: Vec<usize>, manner: Manner, lasts: Duration) {
    let set = |manner| {
        picked.iter().for_each(|&node| look(&cluster.world).places[node].manner = manner);
    };
    set(manner);
    tokio::time::sleep(lasts).await;
    set(Manner::Serves);
}

async fn nodes_slow_down(cluster: &SchedulerCluster, picked: Vec<usize>, times: f64, lasts: Duration) {
    let set = |times| {
        for &node in &picked {
            if let Some(node) = &mut look(&cluster.world).places[node].node {
                node.slow(times);
            }
        }
    };
    set(times);
    tokio::time::sleep(lasts).await;
    set(1.0);
}

async fn nodes_drain(cluster: &Rc<SchedulerCluster>, picked: Vec<usize>, lasts: Duration) {
    for drains in [true, false] {
        picked.iter().for_each(|&node| look(&cluster.world).places[node].draining = drains);
        cluster.tell(numbers(&picked));
        if drains {
            tokio::time::sleep(lasts).await;
        }
    }
}

async fn plan_surges(cluster: &SchedulerCluster, plan: &str, times: f64, lasts: Duration) {
    let plan = cluster.script.plan.iter().position(|known| known.name == plan);
    let scale = |times: f64| {
        if let Some(plan) = plan {
            cluster.surges.borrow_mut()[plan] *= times;
        }
    };
    scale(times);
    tokio::time::sleep(lasts).await;
    scale(1.0 / times);
}

async fn volumes_run_hot(cluster: &SchedulerCluster, picked: Vec<usize>, times: f64, lasts: Duration) {
    let scale = |times: f64| {
        picked.iter().for_each(|&volume| cluster.volumes.borrow_mut()[volume].times *= times);
    };
    scale(times);
    tokio::time::sleep(lasts).await;
    scale(1.0 / times);
}

/// Requests at their times, whether earlier ones are answered or not.
async fn arrivals(cluster: &Rc<SchedulerCluster>) {
    let mut rng = SmallRng::seed_from_u64(cluster.seed ^ 0xa551_7a15);
    let script = &cluster.script;
    let mean = script.mean_units();
    let end = Duration::from_secs_f64(script.site.seconds);
    let began = look(&cluster.world).began;
    let classes: f64 = script.class.iter().map(|class| class.share).sum();
    let by_plan: Vec<Vec<usize>> = (0..script.plan.len())
        .map(|plan| (0..cluster.volumes.borrow().len()).filter(|n| n % script.plan.len() == plan).collect())
        .collect();
    let (mut at, mut request) = (Duration::ZERO, 0u64);
    loop {
        // What each plan asks for now, in requests a second. Troubles change it between two arrivals at the
        // most, which is soon.
        let rates: Vec<f64> = (0..script.plan.len())
            .map(|plan| {
                let volumes = cluster.volumes.borrow();
                let times: f64 = by_plan[plan].iter().map(|&volume| volumes[volume].times).sum();
                usual_rate(script, plan) * times * cluster.surges.borrow()[plan] / mean
            })
            .collect();
        let all: f64 = rates.iter().sum();
        let most = cluster.volumes.borrow().iter().map(|volume| volume.times).fold(1.0, f64::max);
        // The rates are looked at anew once a tenth of a second.
        let until = at + Duration::from_millis(100);
        while at < until {
            let gap: f64 = Exp1.sample(&mut rng);
            let next = at + Duration::from_secs_f64((gap / all.max(1e-9)).min(1.0));
            if next >= until {
                at = until;
                break;
            }
            at = next;
            if at >= end {
                return;
            }
            let plan = weighted(&mut rng, &rates);
            let volumes = &by_plan[plan];
            let volume = loop {
                let volume = volumes[rng.random_range(0..volumes.len())];
                if rng.random::<f64>() * most <= cluster.volumes.borrow()[volume].times {
                    break volume;
                }
            };
            let mut draw = rng.random::<f64>() * classes;
            let class = script
                .class
                .iter()
                .position(|class| {
                    draw -= class.share;
                    draw < 0.0
                })
                .unwrap_or(0);
            let kind = &script.class[class];
            let units = if kind.units.1 > kind.units.0 {
                rng.random_range(kind.units.0..kind.units.1).round().max(1.0)
            } else {
                kind.units.0
            };
            request += 1;
            let (scheduler, new, call) = {
                let volumes = cluster.volumes.borrow();
                let volume = &volumes[volume];
                // The leading one carries seven tenths, the others share the rest.
                let others = volume.schedulers.len() - 1;
                let turn =
                    if others == 0 || rng.random_bool(0.7) { 0 } else { 1 + rng.random_range(0..others) };
                let shard = volume.shards[rng.random_range(0..volume.shards.len())];
                let piece = rng.random_range(1..200u64) << 32 | u64::from(shard);
                let new = NewRequest {
                    class: class as u16,
                    plan: plan as u16,
                    volume: volume.id,
                    key: piece,
                    units,
                    shard: Some(shard),
                    volume_hosts: volume.schedulers.len() as f64,
                    client_repeat: false,
                    writes: kind.write,
                    deadline: began + at + Duration::from_secs_f64(kind.give_up_ms / 1e3),
                };
                let call = Call {
                    request,
                    volume: volume.id,
                    units,
                    writes: kind.write,
                    piece,
                    limit: volume.limit,
                };
                (volume.schedulers[turn], new, call)
            };
            tokio::time::sleep_until(began + at).await;
            tokio::task::spawn_local(client(cluster.clone(), scheduler, new, call, rng.random()));
        }
        if at >= end {
            return;
        }
    }
}

fn weighted(rng: &mut SmallRng, weights: &[f64]) -> usize {
    let mut draw = rng.random::<f64>() * weights.iter().sum::<f64>();
    let found = weights.iter().position(|weight| {
        draw -= weight;
        draw < 0.0
    });
    found.unwrap_or(0)
}

/// One client's request and its one retry after a refusal, as the platform's clients do; the retry comes to the
/// same scheduler.
async fn client(cluster: Rc<SchedulerCluster>, scheduler: u32, new: NewRequest, call: Call, draw: f64) {
    let (began, asked) = (look(&cluster.world).began, Instant::now());
    let (plan, class, request) = (usize::from(new.plan), usize::from(new.class), call.request);
    let kind: &Class = &cluster.script.class[class];
    let worth = kind.worth * cluster.script.plan[plan].price;
    let call = Arc::new(call);
    let mut new = new;
    let mut how = 3;
    for turn in 0..2 {
        let Some(core) = cluster.schedulers.borrow()[scheduler as usize].core.clone() else { break };
        let net = Net { world: cluster.world.clone(), scheduler };
        let (asks, carried) = (new.clone(), call.clone());
        // Each try has its own id at the nodes.
        let key = request * 2 + turn;
        let serving = tokio::task::spawn_local(async move { core.serve(&net, &carried, asks).await });
        cluster.schedulers.borrow_mut()[scheduler as usize].open.insert(key, serving.abort_handle());
        let answer = serving.await;
        cluster.schedulers.borrow_mut()[scheduler as usize].open.remove(&key);
        match answer {
            Ok(Answer::Served(())) => how = 0,
            Ok(Answer::Refused { retry_after }) => {
                how = 1;
                // Clients return a little after they were told, each at its own time.
                let back = retry_after + Duration::from_secs_f64(0.05 * draw);
                if turn == 0 && Instant::now() + back + Duration::from_millis(20) < new.deadline {
                    tokio::time::sleep(back).await;
                    new.client_repeat = true;
                    continue;
                }
            }
            Ok(Answer::Failed) => how = 2,
            // Its scheduler was killed.
            Err(_) => how = 3,
        }
        break;
    }
    let took = asked.elapsed();
    let aim = Duration::from_secs_f64(kind.aim_ms / 1e3);
    let earned = match how {
        0 if took <= aim => worth,
        0 => worth * LATE_WORTH,
        _ => 0.0,
    };
    let mut world = look(&cluster.world);
    let now = world.now();
    world.ledger.answered(now, request, how as u64);
    drop(world);
    let served = (how == 0).then_some(took);
    cluster.plans.borrow_mut()[plan].add(how, worth, earned, served);
    cluster.classes.borrow_mut()[class].add(how, worth, earned, served);
    let second = began.elapsed().as_secs() as usize;
    if let Some(counts) = cluster.seconds.borrow_mut().get_mut(second) {
        counts[how] += 1;
    }
}

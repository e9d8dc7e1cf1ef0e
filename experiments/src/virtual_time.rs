//! A script in virtual time: the real core and decision module, one for each scheduler, before emulated nodes, in
//! one thread under tokio's paused clock. Nothing of the result comes from a wall clock, a thread or the order of a
//! hash map: the same script and seed replay to the same ledger.
mod cluster;
mod faults;
mod load;
mod nodes;
mod outcomes;
mod settings;

pub use outcomes::{Outcome, Outcomes};
pub use settings::settings;

use crate::node::Node;
use crate::script::Script;
use cluster::{Scheduler, SchedulerCluster, draw_volumes};
use faults::cause;
use load::arrivals;
use nodes::{empty_world, look, pump};
use outcomes::Tally;
use pointcross_core::Member;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::LocalSet;

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

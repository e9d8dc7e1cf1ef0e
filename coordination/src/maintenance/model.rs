//! The maintenance plan as a model checker explores it (`stateright`).
//!
//! Schedulers may all believe that they lead, each with a view of the plan that may be old. Commands are
//! delayed, delivered twice or lost on their way to the log. A scheduler may crash and come back. The
//! decisions are the program's own ([`super::decide`]); the log is assumed to be what the consensus library
//! gives: one order, the same for all.

use super::decide::{
    Claimant, Command, DrainPhase, Fencing, FleetView, Machine, Plan, Rules, next_command,
    pending_confirmations,
};
use stateright::{Checker, Expectation, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The bounds of the state space that is explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Schedulers.
    pub schedulers: usize,
    /// Storage nodes whose drain is requested.
    pub machines: usize,
    /// Commands in flight to the log at once.
    pub max_in_flight: usize,
    /// Crashes of schedulers.
    pub crashes: u8,
    /// Ticks of the clock.
    pub ticks: u8,
    /// Commands that are lost or delivered twice.
    pub faults: u8,
}

impl Default for Size {
    fn default() -> Self {
        Size { schedulers: 2, machines: 2, max_in_flight: 2, crashes: 1, ticks: 3, faults: 0 }
    }
}

impl Size {
    /// The two sizes that are checked together: one in which commands are delayed and reordered beside a
    /// crash, and one in which commands are lost or delivered twice beside a crash. Both at once take too
    /// long.
    pub fn standard() -> [Size; 2] {
        [Size::default(), Size { max_in_flight: 1, faults: 1, ..Size::default() }]
    }
}

/// Duration of a lease, in ticks.
const LEASE_TICKS: u64 = 2;
/// Ticks after which a plan that has not finished counts as stuck; far more than any state needs.
const CONVERGENCE_TICKS: u32 = 40;

/// One state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// The plan with every command that is in the log.
    committed: Plan,
    /// The plan as each scheduler has applied it; `None` while the scheduler is down.
    views: Vec<Option<Plan>>,
    /// The incarnation of each scheduler.
    incarnations: Vec<u8>,
    /// Commands on their way to the log.
    in_flight: BTreeSet<Command>,
    now: u64,
    crashes: u8,
    faults: u8,
    /// The holders of each epoch, name and incarnation: there may never be two.
    holders: BTreeMap<u64, BTreeSet<(String, u64)>>,
    /// Whether a machine was declared drained while a running scheduler still sent to it.
    sent_while_out: bool,
}

impl World {
    /// The plan with every command that is in the log.
    pub fn committed(&self) -> &Plan {
        &self.committed
    }

    /// Commands on their way to the log.
    pub fn in_flight(&self) -> &BTreeSet<Command> {
        &self.in_flight
    }
}

/// A transition of the model. The variants bear the names that the checker prints; the number is a
/// scheduler's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// A scheduler that believes it leads submits its next command.
    Decides(usize),
    /// A scheduler submits a confirmation.
    Confirms(usize),
    /// A scheduler applies all that is in the log.
    CatchesUp(usize),
    /// A command is appended to the log.
    Delivered(Command),
    /// A command is appended to the log and stays in flight.
    Doubled(Command),
    /// A command is lost.
    Lost(Command),
    /// A scheduler crashes.
    Crashes(usize),
    /// A scheduler that crashed restarts in a new incarnation and applies the log.
    Returns(usize),
    /// Time passes.
    Tick,
}

/// The model: schedulers, the log, and the network between them.
#[derive(Clone, Debug)]
pub struct Maintenance {
    size: Size,
    fencing: Fencing,
    rules: Rules,
}

fn name(i: usize) -> String {
    format!("n{i}")
}

fn machine(i: usize) -> Machine {
    Machine::Node(format!("s-{i}"))
}

impl Maintenance {
    /// A model of this size, with or without fencing.
    pub fn new(size: Size, fencing: Fencing) -> Self {
        let rules =
            Rules { limit: 1, lease_ms: LEASE_TICKS, work_ms: Some(0), nodes_left: 1, schedulers_left: 1 };
        Maintenance { size, fencing, rules }
    }

    /// What a scheduler sees. Each machine holds a shard that a spare node holds too. Until the lists agree,
    /// that of every scheduler but the first lacks the first machine's spare: schedulers then disagree on
    /// what is safe, and so on the next command.
    fn view(&self, i: usize, lists_agree: bool) -> FleetView {
        let names: BTreeSet<String> = (0..self.size.schedulers).map(name).collect();
        let machines = (0..self.size.machines).map(|n| (format!("s-{n}"), n as u32));
        let spares = (0..self.size.machines).filter(|&n| lists_agree || i == 0 || n > 0);
        let spares = spares.map(|n| (format!("t-{n}"), n as u32));
        FleetView { nodes: machines.chain(spares).collect(), must_confirm: names.clone(), alive: names }
    }

    fn decision(&self, world: &World, i: usize, lists_agree: bool) -> Option<Command> {
        let view = self.view(i, lists_agree);
        let name = name(i);
        let claimant = Claimant { name: &name, incarnation: u64::from(world.incarnations[i]) };
        match next_command(world.views[i].as_ref()?, world.now, claimant, &view, &self.rules)? {
            // No rule of the model waits for a time counted from a move: without it, equal states coincide.
            Command::Move { epoch, machine, round, to, .. } => {
                Some(Command::Move { epoch, machine, round, to, now: 0 })
            }
            command => Some(command),
        }
    }

    /// The confirmations of a scheduler that takes every action as soon as it has applied the command for it.
    fn confirmations(&self, world: &World, i: usize) -> Vec<Command> {
        world.views[i]
            .as_ref()
            .map(|view| pending_confirmations(view, &name(i), |_, _| true))
            .unwrap_or_default()
    }

    /// Appends a command to the log, and records what the properties look at.
    fn deliver(&self, world: &mut World, command: &Command) {
        if world.committed.apply_with(command, self.fencing).is_err() {
            return;
        }
        if let Some(lease) = &world.committed.lease {
            let holder = (lease.holder.clone(), lease.incarnation);
            world.holders.entry(lease.epoch).or_default().insert(holder);
        }
        if let Command::Move { machine: Machine::Node(id), to: DrainPhase::Out, .. } = command {
            let sends =
                |view: &Option<Plan>| view.as_ref().is_some_and(|view| !view.cordoned_nodes().contains(id));
            world.sent_while_out |= world.views.iter().any(sends);
        }
    }

    /// The steps of a scheduler that is up.
    fn scheduler_actions(&self, world: &World, i: usize, view: &Plan, steps: &mut Vec<Step>) {
        if *view != world.committed {
            steps.push(Step::CatchesUp(i));
        }
        if world.in_flight.len() < self.size.max_in_flight {
            let is_new = |command: &Command| !world.in_flight.contains(command);
            if self.decision(world, i, false).as_ref().is_some_and(is_new) {
                steps.push(Step::Decides(i));
            }
            if self.confirmations(world, i).iter().any(is_new) {
                steps.push(Step::Confirms(i));
            }
        }
        if world.crashes < self.size.crashes {
            steps.push(Step::Crashes(i));
        }
    }

    /// Whether the plan finishes from here once nothing is lost any more and every scheduler is up
    /// (liveness).
    fn converges(&self, world: &World) -> bool {
        let mut world = world.clone();
        for (view, incarnation) in world.views.iter_mut().zip(&mut world.incarnations) {
            if view.is_none() {
                *incarnation += 1;
                *view = Some(Plan::default());
            }
        }
        for _ in 0..CONVERGENCE_TICKS {
            for command in std::mem::take(&mut world.in_flight) {
                self.deliver(&mut world, &command);
            }
            for i in 0..self.size.schedulers {
                world.views[i] = Some(world.committed.clone());
                let mut commands = self.confirmations(&world, i);
                commands.extend(self.decision(&world, i, true));
                for command in commands {
                    self.deliver(&mut world, &command);
                }
            }
            if world.committed.is_finished() {
                return true;
            }
            world.now += 1;
        }
        false
    }
}

impl Model for Maintenance {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut committed = Plan::default();
        let machines = (0..self.size.machines).map(machine).collect();
        let _ = committed.apply(&Command::Ask { machines, now: 0 });
        let views = vec![Some(committed.clone()); self.size.schedulers];
        vec![World {
            committed,
            views,
            incarnations: vec![0; self.size.schedulers],
            in_flight: BTreeSet::new(),
            now: 0,
            crashes: 0,
            faults: 0,
            holders: BTreeMap::new(),
            sent_while_out: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for i in 0..self.size.schedulers {
            match &world.views[i] {
                None => steps.push(Step::Returns(i)),
                Some(view) => self.scheduler_actions(world, i, view, steps),
            }
        }
        for command in &world.in_flight {
            steps.push(Step::Delivered(command.clone()));
            if world.faults < self.size.faults {
                steps.push(Step::Doubled(command.clone()));
                steps.push(Step::Lost(command.clone()));
            }
        }
        if world.now < u64::from(self.size.ticks) {
            steps.push(Step::Tick);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Decides(i) => {
                world.in_flight.insert(self.decision(last, i, false)?);
            }
            Step::Confirms(i) => {
                let new =
                    self.confirmations(last, i).into_iter().find(|command| !last.in_flight.contains(command));
                world.in_flight.insert(new?);
            }
            Step::CatchesUp(i) => world.views[i] = Some(last.committed.clone()),
            Step::Delivered(command) => {
                world.in_flight.remove(&command);
                self.deliver(&mut world, &command);
            }
            Step::Doubled(command) => {
                world.faults += 1;
                self.deliver(&mut world, &command);
            }
            Step::Lost(command) => {
                world.faults += 1;
                world.in_flight.remove(&command);
            }
            Step::Crashes(i) => {
                world.crashes += 1;
                world.views[i] = None;
            }
            // A scheduler applies the log before it serves.
            Step::Returns(i) => {
                world.incarnations[i] += 1;
                world.views[i] = Some(last.committed.clone());
            }
            Step::Tick => world.now += 1,
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never more out than the limit", |model: &Maintenance, world: &World| {
                world.committed.unavailable_count() <= model.rules.limit
            }),
            Property::always("one holder an epoch", |_: &Maintenance, world: &World| {
                world.holders.values().all(|holders| holders.len() <= 1)
            }),
            Property::always("drained before it is out", |_: &Maintenance, world: &World| {
                !world.sent_while_out
            }),
            Property::always("finishes once links heal", |model: &Maintenance, world: &World| {
                model.converges(world)
            }),
            Property::sometimes("every machine taken out and back", |_: &Maintenance, world: &World| {
                world.committed.is_finished()
            }),
            Property::sometimes("a lease passes on", |_: &Maintenance, world: &World| {
                world.holders.len() > 1
            }),
        ]
    }
}

/// The result of a model check.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct CheckReport {
    /// Distinct states that were explored.
    pub states: usize,
    /// Whether the state space was explored completely; false where time ran out, or the check stopped at a
    /// violation.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Properties that do not hold.
    pub violations: usize,
    /// Of each property that does not hold: its name, and the shortest steps found that lead to a violation.
    /// The steps are empty where a state that must be reachable was not reached.
    pub found: Vec<(String, Vec<String>)>,
}

/// Explores the state space, for `max_duration` at most; without fencing, until the first violation.
pub fn check(size: Size, fencing: Fencing, max_duration: Duration) -> CheckReport {
    let started = Instant::now();
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let builder = Maintenance::new(size, fencing).checker().threads(threads).timeout(max_duration);
    let checker = match fencing {
        Fencing::Fenced => builder.spawn_bfs().join(),
        Fencing::Unfenced => builder.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join(),
    };
    let model = checker.model();
    let mut found: Vec<(String, Vec<String>)> = Vec::new();
    let mut stopped = started.elapsed() >= max_duration;
    for property in model.properties() {
        let always = matches!(property.expectation, Expectation::Always);
        match checker.discovery(property.name) {
            Some(path) if always => {
                let steps = path.into_actions().iter().map(|step| format!("{step:?}")).collect();
                found.push((property.name.to_owned(), steps));
                stopped |= fencing == Fencing::Unfenced;
            }
            // A state that must be reachable was not reached: the check proves nothing.
            None if !always && fencing == Fencing::Fenced => {
                found.push((property.name.to_owned(), Vec::new()));
            }
            _ => {}
        }
    }
    found.sort();
    let states = checker.unique_state_count();
    CheckReport { states, complete: !stopped, violations: found.len(), found }
}

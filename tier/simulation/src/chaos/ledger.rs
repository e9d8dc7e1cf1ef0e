//! What callers and model schedulers saw, and the rules that it has to keep. The rules are written from the
//! deployment's own, not from the code.

use crate::engine::Engine;
use crate::timeline::Timeline;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// A drained instance gets nothing later than this after the acknowledgement.
const DRAINED_WITHIN: Duration = Duration::from_secs(2);
/// Turns are kept for at least this.
const KEPT_FOR: Duration = Duration::from_secs(60);
/// A machine is in touch where nothing happened to it for so long.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(3);

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A request that isn't idempotent runs once at most.
    RunsOnce,
    /// What was refused with a promise never runs.
    RefusedNeverRuns,
    /// A server gets exactly what the chain says.
    WholeChain,
    /// A turn answered whole is found.
    TurnsAreFound,
    /// Programs stay within their budgets.
    WithinBudget,
    /// Of two changes on one version one is acknowledged.
    OneChangeForEachVersion,
    /// What was acknowledged stays, and what was refused never comes into force.
    ConfigurationStays,
    /// An order that was taken is never refused when it is repeated.
    RepeatedOrderIsTaken,
    /// Drained instances are not used.
    DrainedIsUnused,
    /// The tier serves again after the last fault.
    Recovers,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub invariant: Invariant,
    /// By what.
    pub text: String,
}

/// A turn that was answered whole.
#[derive(Clone, Debug)]
pub struct AnsweredTurn {
    /// Its id.
    pub id: String,
    /// All that its chain holds, this turn included.
    pub text: String,
    /// When it was answered.
    pub at: Instant,
}

#[derive(Default)]
struct Spending {
    budget: u64,
    most: u64,
    received: u64,
}

/// What was seen.
pub struct Ledger {
    timeline: Timeline,
    engines: RefCell<Vec<Engine>>,
    drained: RefCell<BTreeMap<String, Instant>>,
    /// Times at which something happened to some machine.
    troubles: RefCell<Vec<Instant>>,
    expected: RefCell<BTreeMap<String, String>>,
    refused: RefCell<BTreeSet<String>>,
    turns: RefCell<Vec<AnsweredTurn>>,
    /// Versions acknowledged, each with the one that it builds on, and versions refused.
    acknowledged: RefCell<BTreeMap<u64, u64>>,
    orders_refused: RefCell<BTreeSet<u64>>,
    spending: RefCell<BTreeMap<String, Spending>>,
    violations: RefCell<Vec<Violation>>,
    operations: Cell<usize>,
    served: Cell<usize>,
}

impl Ledger {
    /// Nothing seen yet.
    pub fn new(timeline: Timeline) -> Self {
        Ledger {
            timeline,
            engines: RefCell::default(),
            drained: RefCell::default(),
            troubles: RefCell::default(),
            expected: RefCell::default(),
            refused: RefCell::default(),
            turns: RefCell::default(),
            acknowledged: RefCell::default(),
            orders_refused: RefCell::default(),
            spending: RefCell::default(),
            violations: RefCell::default(),
            operations: Cell::new(0),
            served: Cell::new(0),
        }
    }

    /// Watches what a model scheduler runs.
    pub fn watch(&self, engine: Engine) {
        self.engines.borrow_mut().push(engine);
    }

    /// A model scheduler's announcement that it drains was acknowledged.
    pub fn drained(&self, id: &str) {
        self.drained.borrow_mut().insert(id.to_owned(), Instant::now());
    }

    /// Something happened to a machine.
    pub fn trouble(&self) {
        self.troubles.borrow_mut().push(Instant::now());
    }

    /// A request goes out: what a server should get.
    pub fn sends(&self, attempt: &str, expected_body: String) {
        self.operations.set(self.operations.get() + 1);
        self.expected.borrow_mut().insert(attempt.to_owned(), expected_body);
    }

    /// An order goes out.
    pub fn orders(&self) {
        self.operations.set(self.operations.get() + 1);
    }

    /// A request got a promise that it has not run.
    pub fn refused(&self, attempt: &str) {
        self.refused.borrow_mut().insert(attempt.to_owned());
    }

    /// A turn was answered whole.
    pub fn answered(&self, turn: AnsweredTurn) {
        self.served.set(self.served.get() + 1);
        self.turns.borrow_mut().push(turn);
    }

    /// A client received tokens of a program with a budget.
    pub fn received(&self, program: &str, budget: u64, most: u64, tokens: u64) {
        let mut spending = self.spending.borrow_mut();
        let entry = spending.entry(program.to_owned()).or_default();
        entry.budget = budget;
        entry.most = entry.most.max(most);
        entry.received += tokens;
    }

    /// A turn was said not to exist.
    pub fn not_found(&self, previous: &str) {
        let known =
            self.turns.borrow().iter().any(|turn| turn.id == previous && turn.at.elapsed() < KEPT_FOR);
        if known {
            self.broken(Invariant::TurnsAreFound, format!("{previous} was answered whole, and got 404"));
        }
    }

    /// The turns that were answered whole lately.
    pub fn kept_turns(&self) -> Vec<AnsweredTurn> {
        let turns = self.turns.borrow();
        turns.iter().filter(|turn| turn.at.elapsed() < KEPT_FOR / 2).cloned().collect()
    }

    /// A configuration was acknowledged.
    pub fn acknowledged(&self, base: u64, version: u64) {
        let mut acknowledged = self.acknowledged.borrow_mut();
        let rival = acknowledged.iter().find(|(other, on)| **other != version && **on == base);
        let rival = rival.map(|(other, _)| *other);
        acknowledged.insert(version, base);
        drop(acknowledged);
        if let Some(rival) = rival {
            let text = format!("{version} and {rival} were both taken on {base}");
            self.broken(Invariant::OneChangeForEachVersion, text);
        }
        if self.orders_refused.borrow().contains(&version) {
            self.broken(Invariant::ConfigurationStays, format!("{version} was refused, and then taken"));
        }
    }

    /// A configuration was refused.
    pub fn order_refused(&self, version: u64) {
        if !self.acknowledged.borrow().contains_key(&version) {
            self.orders_refused.borrow_mut().insert(version);
        }
    }

    /// The configuration at the end of the day.
    pub fn check_configuration(&self, version: u64) {
        let newest = self.acknowledged.borrow().keys().next_back().copied().unwrap_or(0);
        if version < newest {
            let text = format!("{newest} was acknowledged, {version} came back");
            self.broken(Invariant::ConfigurationStays, text);
        }
        if self.orders_refused.borrow().contains(&version) {
            self.broken(Invariant::ConfigurationStays, format!("{version} was refused, and came back"));
        }
    }

    /// A rule is broken.
    pub fn broken(&self, invariant: Invariant, text: String) {
        self.timeline.note("checker", format!("{invariant:?}: {text}"));
        self.violations.borrow_mut().push(Violation { invariant, text });
    }

    /// Requests and orders made.
    pub fn operations(&self) -> usize {
        self.operations.get()
    }

    /// Requests answered whole.
    pub fn served(&self) -> usize {
        self.served.get()
    }

    /// All rules that were broken.
    pub fn verdict(&self) -> Vec<Violation> {
        self.check_runs();
        self.check_budgets();
        self.violations.borrow().clone()
    }

    fn check_runs(&self) {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for engine in self.engines.borrow().iter() {
            for ran in engine.ran() {
                *runs.entry(ran.attempt.clone()).or_default() += 1;
                let expected = self.expected.borrow().get(&ran.attempt).cloned();
                if expected.as_deref() != Some(ran.body.as_str()) {
                    let text = format!("{} got {:?}, wanted {expected:?}", ran.attempt, ran.body);
                    self.broken(Invariant::WholeChain, text);
                }
                if self.refused.borrow().contains(&ran.attempt) {
                    self.broken(Invariant::RefusedNeverRuns, format!("{} ran", ran.attempt));
                }
                if self.used_after_drain(&engine.id, ran.at) {
                    let text = format!("{} ran {} after it had drained", engine.id, ran.attempt);
                    self.broken(Invariant::DrainedIsUnused, text);
                }
            }
        }
        for (attempt, count) in runs {
            if count > 1 {
                self.broken(Invariant::RunsOnce, format!("{attempt} ran {count} times"));
            }
        }
    }

    /// The bound holds where nothing happened to any machine for a while before and since.
    fn used_after_drain(&self, id: &str, at: Instant) -> bool {
        let Some(drained) = self.drained.borrow().get(id).copied() else {
            return false;
        };
        let calm_from = drained.checked_sub(IN_TOUCH_AFTER).unwrap_or(drained);
        let calm = !self.troubles.borrow().iter().any(|trouble| *trouble > calm_from && *trouble < at);
        calm && at > drained + DRAINED_WITHIN
    }

    fn check_budgets(&self) {
        for (program, Spending { budget, most, received }) in self.spending.borrow().iter() {
            if *received > budget + most {
                let text = format!("{program} received {received} of {budget} and {most} more");
                self.broken(Invariant::WithinBudget, text);
            }
        }
    }
}

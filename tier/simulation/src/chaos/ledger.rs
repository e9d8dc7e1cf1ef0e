//! What callers and model schedulers saw, and the rules that it has to keep. The rules are written from the
//! deployment's own, not from the code.

use crate::engine::Engine;
use crate::order::Order;
use crate::timeline::Timeline;
use pointcross_tier_runtime::random;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A drained instance gets nothing later than this after the acknowledgement.
const DRAINED_WITHIN: Duration = Duration::from_secs(2);
/// No member hands out a configuration that is older than one acknowledged so long ago.
const DELIVERY_DEADLINE: Duration = Duration::from_millis(1500);
/// A configuration is in force at proxies in touch within this.
const COMMIT_DEADLINE: Duration = Duration::from_secs(2);
/// A machine is in touch where nothing happened to it for so long.
pub(super) const IN_TOUCH_AFTER: Duration = Duration::from_secs(3);

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
    /// No member hands out, and no proxy in touch uses, a configuration older than one that was acknowledged a while ago.
    NothingOldIsHandedOut,
    /// An answer belongs to the request that it is given to.
    OwnAnswer,
    /// Drained instances are not used.
    DrainedIsUnused,
    /// Members know the servers that live, and each proxy serves.
    LiveServersAreKnown,
    /// No process finds one of its own invariants broken.
    NoInvariantOfTheCodeBreaks,
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
    max_tokens: u64,
    received: u64,
}

/// A time in which machines were under a fault; without an end it lasts.
#[derive(Clone, Copy)]
struct FaultPeriod {
    from: Instant,
    until: Option<Instant>,
}

/// What was seen.
pub struct Ledger {
    timeline: Timeline,
    /// Turns are retained for at least this.
    retention: Duration,
    engines: RefCell<Vec<Engine>>,
    drained: RefCell<BTreeMap<String, Instant>>,
    fault_periods: RefCell<Vec<FaultPeriod>>,
    expected: RefCell<BTreeMap<String, String>>,
    refused: RefCell<BTreeSet<String>>,
    turns: RefCell<Vec<AnsweredTurn>>,
    /// The control members that callers know.
    members: RefCell<Vec<String>>,
    /// The highest version that was sent.
    sent_through: Cell<u64>,
    /// Orders acknowledged, and when.
    acknowledged: RefCell<BTreeMap<Order, Instant>>,
    acknowledgements: Notify,
    answered_turns: Notify,
    orders_refused: RefCell<BTreeSet<Order>>,
    spending: RefCell<BTreeMap<String, Spending>>,
    violations: RefCell<Vec<Violation>>,
    operations: Cell<usize>,
    served: Cell<usize>,
}

impl Ledger {
    /// Nothing seen yet; callers know these control members, and turns are retained for so long.
    pub fn new(timeline: Timeline, members: Vec<String>, retention: Duration) -> Self {
        Ledger {
            timeline,
            retention,
            engines: RefCell::default(),
            drained: RefCell::default(),
            fault_periods: RefCell::default(),
            expected: RefCell::default(),
            refused: RefCell::default(),
            turns: RefCell::default(),
            members: RefCell::new(members),
            sent_through: Cell::default(),
            acknowledged: RefCell::default(),
            acknowledgements: Notify::new(),
            answered_turns: Notify::new(),
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

    /// Something happens to machines from now on.
    pub fn fault_begins(&self) {
        self.fault_periods.borrow_mut().push(FaultPeriod { from: Instant::now(), until: None });
    }

    /// It is over.
    pub fn fault_ends(&self) {
        if let Some(period) = self.fault_periods.borrow_mut().last_mut() {
            period.until = Some(Instant::now());
        }
    }

    /// Whether nothing happened to any machine for a while before `from`, until `until`.
    fn is_calm(&self, from: Instant, until: Instant) -> bool {
        let calm_from = from.checked_sub(IN_TOUCH_AFTER).unwrap_or(from);
        let over = |period: &FaultPeriod| period.until.is_some_and(|over| over < calm_from);
        self.fault_periods.borrow().iter().all(|period| period.from > until || over(period))
    }

    /// The control members that callers know.
    pub fn members(&self) -> Vec<String> {
        self.members.borrow().clone()
    }

    /// Callers learn of other control members.
    pub fn set_members(&self, members: Vec<String>) {
        *self.members.borrow_mut() = members;
    }

    /// One of the control members that callers know.
    pub fn any_member(&self) -> String {
        let members = self.members.borrow();
        members[random::below(members.len() as u64) as usize].clone()
    }

    /// Waits for the next order that is acknowledged, or turn that is answered, so long at the most.
    pub async fn next_acknowledgement(&self, of_turn: bool, within: Duration) {
        let notify = if of_turn { &self.answered_turns } else { &self.acknowledgements };
        let _ = tokio::time::timeout(within, notify.notified()).await;
    }

    /// A request goes out: what a server should get.
    pub fn sends(&self, attempt: &str, expected_body: String) {
        self.operations.set(self.operations.get() + 1);
        self.expected.borrow_mut().insert(attempt.to_owned(), expected_body);
    }

    /// An order goes out.
    pub fn orders(&self, order: &Order) {
        self.operations.set(self.operations.get() + 1);
        self.sent_through.set(self.sent_through.get().max(order.version));
    }

    /// A request got a promise that it has not run.
    pub fn refused(&self, attempt: &str) {
        self.refused.borrow_mut().insert(attempt.to_owned());
    }

    /// A turn was answered whole.
    pub fn answered(&self, turn: AnsweredTurn) {
        self.served.set(self.served.get() + 1);
        self.turns.borrow_mut().push(turn);
        self.answered_turns.notify_waiters();
    }

    /// A client received tokens of a program with a budget.
    pub fn received(&self, program: &str, budget: u64, max_tokens: u64, tokens: u64) {
        let mut spending = self.spending.borrow_mut();
        let entry = spending.entry(program.to_owned()).or_default();
        entry.budget = budget;
        entry.max_tokens = entry.max_tokens.max(max_tokens);
        entry.received += tokens;
    }

    /// A turn was said not to exist.
    pub fn not_found(&self, previous: &str) {
        let known =
            self.turns.borrow().iter().any(|turn| turn.id == previous && turn.at.elapsed() < self.retention);
        if known {
            self.broken(Invariant::TurnsAreFound, format!("{previous} was answered whole, and got 404"));
        }
    }

    /// The turns that were answered whole lately.
    pub fn retained_turns(&self) -> Vec<AnsweredTurn> {
        let turns = self.turns.borrow();
        turns.iter().filter(|turn| turn.at.elapsed() < self.retention / 2).cloned().collect()
    }

    /// An order was acknowledged.
    pub fn acknowledged(&self, order: Order) {
        let mut acknowledged = self.acknowledged.borrow_mut();
        let is_rival =
            |other: &Order| *other != order && (other.base == order.base || other.version == order.version);
        let rival = acknowledged.keys().copied().find(is_rival);
        acknowledged.entry(order).or_insert_with(Instant::now);
        drop(acknowledged);
        self.acknowledgements.notify_waiters();
        if let Some(rival) = rival {
            let text = format!("{order} and {rival} were both taken");
            self.broken(Invariant::OneChangeForEachVersion, text);
        }
        if self.orders_refused.borrow().contains(&order) {
            self.broken(Invariant::ConfigurationStays, format!("{order} was refused, and then taken"));
        }
    }

    /// An order was refused.
    pub fn order_refused(&self, order: Order) {
        if self.acknowledged.borrow().contains_key(&order) {
            self.broken(Invariant::RepeatedOrderIsTaken, format!("{order} was taken, and then refused"));
        } else {
            self.orders_refused.borrow_mut().insert(order);
        }
    }

    /// An order to empty a store was taken, and refused when it was repeated.
    pub fn retirement_refused(&self, store: &str) {
        self.broken(Invariant::RepeatedOrderIsTaken, format!("emptying {store} was taken, and then refused"));
    }

    /// Orders that were acknowledged.
    pub fn all_acknowledged(&self) -> Vec<Order> {
        self.acknowledged.borrow().keys().copied().collect()
    }

    /// The newest version that was acknowledged by then.
    pub fn newest_acknowledged(&self, by: Instant) -> u64 {
        let acknowledged = self.acknowledged.borrow();
        acknowledged.iter().filter(|(_, at)| **at <= by).map(|(order, _)| order.version).max().unwrap_or(0)
    }

    /// The newest version, where it was acknowledged and nothing newer was sent.
    pub fn settled_version(&self) -> Option<(u64, Instant)> {
        let acknowledged = self.acknowledged.borrow();
        let newest = acknowledged.iter().max_by_key(|(order, _)| order.version)?;
        (newest.0.version >= self.sent_through.get()).then_some((newest.0.version, *newest.1))
    }

    /// A member handed a configuration out to a follower that asked then.
    pub fn record_served_version(&self, member: &str, version: u64, asked: Instant) {
        let by = asked.checked_sub(DELIVERY_DEADLINE).unwrap_or(asked);
        let newest = self.newest_acknowledged(by);
        if version < newest {
            let text = format!("{member} handed {version} out long after {newest}");
            self.broken(Invariant::NothingOldIsHandedOut, text);
        }
    }

    /// A proxy said that there is no route that only the newest version has.
    pub fn route_missing(&self, proxy: &str, version: u64, taken: Instant, asked: Instant) {
        let since = asked.checked_sub(COMMIT_DEADLINE).unwrap_or(asked);
        if taken < since && self.is_calm(taken, Instant::now()) {
            let text = format!("{proxy} does not know {version}");
            self.broken(Invariant::NothingOldIsHandedOut, text);
        }
    }

    /// The configuration was read through a quorum, asked for at that time.
    pub fn read_back(&self, version: u64, author: u64, asked: Instant) {
        let newest = self.newest_acknowledged(asked);
        if version < newest {
            let text = format!("{newest} was acknowledged, {version} came back");
            self.broken(Invariant::ConfigurationStays, text);
        }
        let is_it = |order: &Order| order.version == version && order.author == author;
        if self.orders_refused.borrow().iter().any(is_it) {
            self.broken(Invariant::ConfigurationStays, format!("{version} was refused, and came back"));
        }
        let acknowledged = self.acknowledged.borrow();
        let other =
            acknowledged.keys().find(|order| order.version == version && order.author != author).copied();
        drop(acknowledged);
        if let Some(other) = other {
            let text = format!("{other} was acknowledged, another with its number came back");
            self.broken(Invariant::ConfigurationStays, text);
        }
    }

    /// An answer was not made for the request that got it.
    pub fn foreign_answer(&self, attempt: &str, text: &str) {
        self.broken(Invariant::OwnAnswer, format!("{attempt} got {text:?}"));
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
            for (attempt, body) in engine.read_after_rejection() {
                let expected = self.expected.borrow().get(&attempt).cloned();
                if expected.as_deref() != Some(body.as_str()) {
                    let text = format!("the rest of {attempt} was {body:?}, wanted {expected:?}");
                    self.broken(Invariant::WholeChain, text);
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
        at > drained + DRAINED_WITHIN && self.is_calm(drained, at)
    }

    fn check_budgets(&self) {
        for (program, Spending { budget, max_tokens, received }) in self.spending.borrow().iter() {
            if *received > budget + max_tokens {
                let text = format!("{program} received {received} of {budget} and {max_tokens} more");
                self.broken(Invariant::WithinBudget, text);
            }
        }
    }
}

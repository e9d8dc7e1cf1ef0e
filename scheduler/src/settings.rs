//! What a host is told when it starts: classes, plans, the rules' figures; with the check that they can be decided on.

use crate::units::{Millis, Units, UnitsPerSecond, Value};
use std::fmt;

/// What a class's requests may do when one is sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Repeating does no harm.
    Safe,
    /// Repeats carry a key, and nodes of one group drop them for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Which nodes drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All nodes know each other's requests.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes that hold the same shard.
    Shard,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answered within this time it earns its full worth.
    pub aim: Millis,
    /// The longest that a client waits.
    pub deadline: Millis,
    /// The aim grows by this many times the request's own work.
    pub aim_stretch: f64,
    /// Worth of one request.
    pub worth: Value,
    /// Part of the worth still earned after the aim.
    pub late_worth: f64,
    /// What a second run does.
    pub repeat: Repeat,
    /// Who drops repeats, for [`Repeat::Keyed`].
    pub group: Group,
    /// How long repeats are dropped, counted from the first send that may have run.
    pub repeat_window: Millis,
    /// Requests with the same key run one at a time in order of acceptance.
    pub ordered: bool,
    /// Whether it writes.
    pub writes: bool,
}

/// A plan; its figures hold per volume, over all hosts and nodes together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second a volume is sized for.
    pub rate: UnitsPerSecond,
    /// Units a second that earn full worth.
    pub reserve: UnitsPerSecond,
    /// Proportion in which spare capacity is due.
    pub weight: f64,
    /// Factor on worth.
    pub price: f64,
    /// Units a second allowed at the most; 0 is no limit.
    pub limit: UnitsPerSecond,
    /// What the limit's store holds; it starts full.
    pub limit_depth: Units,
    /// How far the store may go below zero.
    pub limit_slack: Units,
}

/// The rules' figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer still counts this long after the client's deadline.
    pub answer_grace: Millis,
    /// After word of a drain, sends must have stopped within this.
    pub drain_grace: Millis,
    /// Where the list must be asked for: unasked for this long, a host counts as told.
    pub ask_within: Millis,
    /// A node starts at this part of its capacity, or more.
    pub cold_from: f64,
    /// And is warm within this.
    pub cold_for: Millis,
    /// A cold node falls over when sent more than this many times its present capacity...
    pub fall_multiple: f64,
    /// ...for this long.
    pub fall_window: Millis,
    /// Units within the fall window, from all hosts together, that a cold node always bears.
    pub cold_units: Units,
    /// How long a key rests after an attempt that may still be running.
    pub key_rest: Millis,
    /// Window over which further attempts are counted; `None` where no budget is stated.
    pub budget: Option<Budget>,
}

/// The ration of attempts beyond each request's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Length of the window.
    pub window: Millis,
    /// Attempts that are always allowed.
    pub free: f64,
    /// Attempts allowed for each request accepted in the window.
    pub share: f64,
}

/// Where node load reports are found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// In every answer and probe result.
    Answers,
    /// In probe results only.
    Probes,
    /// Nowhere.
    Nowhere,
}

/// All that a host is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This host's number, from 0.
    pub host: u32,
    /// How many hosts there are.
    pub hosts: u32,
    /// The zone this host is in.
    pub zone: u8,
    /// The shortest time between two looks at the clock.
    pub tick: Millis,
    /// Request classes, by number.
    pub classes: Vec<Class>,
    /// Plans, by number.
    pub plans: Vec<Plan>,
    /// The rules' figures.
    pub rules: Rules,
    /// The list has to be asked for.
    pub ask_for_list: bool,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Nodes may be probed.
    pub may_probe: bool,
    /// Hosts may message each other.
    pub may_message: bool,
    /// The longest retry-after that a client follows.
    pub max_retry_after: Millis,
    /// How long a connection may take to come up.
    pub connect_time: Millis,
    /// Load reports.
    pub report_source: ReportSource,
    /// Names of the values in a load report, in order.
    pub report_names: Vec<String>,
    /// Mean units of a request.
    pub mean_units: Units,
    /// Most units of a request.
    pub max_units: Units,
    /// Part of the worth earned beyond the reserve, within the volume's share.
    pub share_worth: f64,
    /// Part of the worth earned beyond reserve and share.
    pub spare_worth: f64,
    /// Shards, counted from 0; new objects may go to any.
    pub shards: u32,
    /// Answers tell what the volume was served through other hosts.
    pub tells_elsewhere: bool,
    /// Points lost for each probe per request.
    pub probe_price: f64,
}

impl Settings {
    /// Whether every figure is one: finite and not negative, with a class and a plan at least.
    ///
    /// # Errors
    /// The first figure that is negative or no number, or the table that is empty.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.plans.is_empty() {
            return Err(SettingsError::NoPlans);
        }
        let (rules, s) = (&self.rules, self);
        let mut figures: Vec<(&'static str, f64)> = vec![
            ("a rule's time", rules.answer_grace + rules.drain_grace + rules.ask_within + rules.key_rest),
            ("the cold share", rules.cold_from),
            ("the time to warm up", rules.cold_for),
            ("the fall window", rules.fall_window),
            ("the cold units", rules.cold_units),
            ("the tick", s.tick),
            ("the longest retry-after", s.max_retry_after),
            ("the most units", s.max_units),
            ("a part of the worth", s.share_worth),
            ("a part of the worth", s.spare_worth),
        ];
        for c in &s.classes {
            figures.extend([("an aim", c.aim), ("a deadline", c.deadline), ("a class's worth", c.worth)]);
            figures.extend([("a late worth", c.late_worth), ("a repeat window", c.repeat_window)]);
        }
        for p in &s.plans {
            figures.extend([("a reserve", p.reserve), ("a weight", p.weight), ("a price", p.price)]);
            figures.extend([("a limit", p.limit), ("a depth", p.limit_depth), ("a slack", p.limit_slack)]);
        }
        if let Some(b) = rules.budget {
            figures.extend([("a budget", b.window), ("a budget", b.free), ("a budget", b.share)]);
        }
        if let Some(&(what, _)) = figures.iter().find(|(_, f)| !f.is_finite() || *f < 0.0) {
            return Err(SettingsError::BadFigure(what));
        }
        Ok(())
    }

    /// Puts other figures of the same plans in place, and gives the settings as they were; or changes nothing.
    pub(crate) fn replace_plans(&mut self, plans: Vec<Plan>) -> Result<Settings, SettingsError> {
        if plans.len() != self.plans.len() {
            return Err(SettingsError::OtherPlans { held: self.plans.len(), came: plans.len() });
        }
        let new = Settings { plans, ..self.clone() };
        new.check()?;
        Ok(std::mem::replace(self, new))
    }

    /// Value of the most valuable work: the class worth most at the highest price.
    pub(crate) fn best_value(&self) -> Value {
        let worth = self.classes.iter().map(|c| c.worth).fold(0.0, f64::max);
        worth * self.plans.iter().map(|p| p.price).fold(0.0, f64::max)
    }

    /// The tightest of the classes' latency targets, no less than the clock's tick or a millisecond.
    pub(crate) fn tightest_target(&self) -> Millis {
        let tightest = self.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min);
        tightest.max(self.tick).max(1.0)
    }

    /// The widest of the classes' latency targets: the time over which arrivals are counted.
    pub(crate) fn widest_target(&self) -> Millis {
        self.classes.iter().map(|c| c.aim).fold(1.0, f64::max)
    }
}

/// Settings that no decision can be built on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no class of request.
    NoClasses,
    /// There is no plan.
    NoPlans,
    /// A figure is negative, not a number or infinite.
    BadFigure(&'static str),
    /// Plans cannot be added or dropped while a scheduler runs: their numbers name them.
    OtherPlans {
        /// How many it has.
        held: usize,
        /// How many came.
        came: usize,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoClasses => f.write_str("settings name no request class"),
            SettingsError::NoPlans => f.write_str("settings name no plan"),
            SettingsError::BadFigure(what) => write!(f, "settings give no usable figure for {what}"),
            SettingsError::OtherPlans { held, came } => {
                write!(f, "settings name {came} plans where {held} are held, which stay as many")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

//! What the fleet needs, row by row: formulas over targets and slopes, beside budgets.
//!
//! Guards against a figure whose ground is not told: each row says whether it was measured, reckoned or assumed, and one
//! that lacks a slope has no margin.

use crate::formula::{Figure, Formula, FormulaError, Scope};
use crate::slopes::{Measured, Slopes};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The group of rows that belong to no event and no question.
pub const ROLES: &str = "roles";

/// Where a stated figure comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The operators' target.
    Target,
    /// The operators' budget.
    Budget,
    /// Nobody's yet: taken for the reason stated.
    Assumed,
    /// The program's own code or settings.
    Program,
    /// A formula over other stated figures.
    Reckoned,
}

/// A stated figure.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stated {
    /// A number, or a formula over other stated figures.
    value: toml::Value,
    /// Its unit.
    pub unit: String,
    /// Where it comes from.
    pub kind: Kind,
    /// The operators' words, the reason, or the place in the code.
    pub words: String,
}

impl Stated {
    /// Its formula as written.
    pub fn formula(&self) -> String {
        match &self.value {
            toml::Value::String(formula) => formula.clone(),
            toml::Value::Integer(number) => number.to_string(),
            toml::Value::Float(number) => number.to_string(),
            other => format!("{other:?}"),
        }
    }
}

/// The stated figures, by name.
pub type Targets = BTreeMap<String, Stated>;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TermText {
    words: String,
    need: String,
}

/// How a row stands without a mechanism.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Without {
    need: Option<String>,
    #[serde(default)]
    cannot: bool,
    words: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RowText {
    group: String,
    role: String,
    resource: String,
    unit: String,
    need: Option<String>,
    #[serde(default)]
    term: Vec<TermText>,
    budget: Option<String>,
    #[serde(default)]
    by: String,
    reach: Option<String>,
    #[serde(default)]
    note: String,
    #[serde(default)]
    without: BTreeMap<String, Without>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RowsText {
    row: Vec<RowText>,
}

/// On what a figure stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Basis {
    /// A fit of named runs, as it is.
    #[serde(rename = "measured")]
    Measured,
    /// A formula over measured, stated or assumed terms.
    #[serde(rename = "reckoned")]
    Reckoned,
    /// An assumed figure, as it is.
    #[serde(rename = "assumed")]
    Assumed,
    /// A term was not measured: there is no figure.
    #[serde(rename = "not measured")]
    NotMeasured,
}

/// A measured term's ground.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Ground {
    /// The fit.
    pub fit: String,
    /// Its points.
    pub points: String,
    /// The command that gives them.
    pub command: String,
    /// How many runs.
    pub runs: usize,
    /// How many times beyond the measured sizes it is asked for; 1 within them.
    pub extrapolated: f64,
}

/// A figure with its ground.
#[derive(Clone, Debug, Serialize)]
pub struct Part {
    /// What it is.
    pub words: String,
    /// The formula.
    pub formula: String,
    /// The figure.
    pub need: Option<f64>,
    /// Its standard error, where anything in it was measured.
    pub error: Option<f64>,
    /// On what it stands.
    pub basis: Basis,
    /// The measured terms.
    pub grounds: Vec<Ground>,
    /// The assumed terms.
    pub assumed: Vec<String>,
    /// What was not measured.
    pub missing: Vec<String>,
}

/// A row, worked out.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The table that it stands in.
    pub group: String,
    /// Whose need.
    pub role: String,
    /// Of what.
    pub resource: String,
    /// The unit of need and budget.
    pub unit: String,
    /// Need at the target; `None` where a term was not measured, or nothing can meet it.
    pub need: Option<f64>,
    /// Its standard error.
    pub error: Option<f64>,
    /// The budget, where there is one.
    pub budget: Option<f64>,
    /// On what the budget stands.
    pub budget_part: Option<Part>,
    /// Budget over need.
    pub margin: Option<f64>,
    /// On what the need stands.
    pub basis: Basis,
    /// The runs that gave it.
    pub run: String,
    /// How many times the farthest term is beyond its measured sizes.
    pub extrapolated: f64,
    /// What carries it, by module.
    pub mechanism: String,
    /// Nothing can meet it as things stand; the note says why.
    pub cannot: bool,
    /// What is to be known beside it.
    pub note: String,
    /// Client connections that a failure reaches; decides between equal margins.
    pub reach: f64,
    /// Its terms; one where it is no sum.
    pub terms: Vec<Part>,
    /// The assumed ones among what need and budget stand on.
    pub assumed: BTreeSet<String>,
    /// Its place among the rows as declared.
    pub place: usize,
}

impl Row {
    /// Whose need of what, and in which event.
    pub fn title(&self) -> String {
        let event = if self.group == ROLES { String::new() } else { format!(" ({})", self.group) };
        format!("{}: {}{event}", self.role, self.resource)
    }
}

/// All that rows are worked out from.
pub struct Capacity {
    /// The stated figures.
    pub targets: Targets,
    /// The measured ones.
    pub slopes: Slopes,
    rows: Vec<RowText>,
}

struct Looked<'a> {
    capacity: &'a Capacity,
    /// Stated figures that are being worked out, to meet no circle.
    open: Vec<String>,
    assumed: BTreeSet<String>,
    grounds: BTreeMap<String, f64>,
    missing: BTreeSet<String>,
}

impl Scope for Looked<'_> {
    fn name(&mut self, name: &str) -> Result<Figure, FormulaError> {
        if let Some(stated) = self.capacity.targets.get(name) {
            if self.open.iter().any(|open| open == name) {
                return Err(FormulaError::Unknown(format!("{name}, which needs itself")));
            }
            if stated.kind == Kind::Assumed {
                self.assumed.insert(name.to_owned());
            }
            self.open.push(name.to_owned());
            let figure = Formula::parse(&stated.formula()).and_then(|formula| formula.figure(self));
            self.open.pop();
            return figure;
        }
        for (prefix, parameter) in [("slope.", 1), ("intercept.", 0)] {
            if let Some(fit) = name.strip_prefix(prefix) {
                return self.parameter(fit, parameter);
            }
        }
        self.fit(name, None)
    }

    fn call(&mut self, name: &str, mut with: Vec<Figure>) -> Result<Figure, FormulaError> {
        match (with.len(), with.pop()) {
            (1, Some(x)) => self.fit(name, Some(x)),
            _ => Err(FormulaError::Count(name.to_owned(), 1)),
        }
    }
}

impl Looked<'_> {
    fn new(capacity: &Capacity) -> Looked<'_> {
        Looked {
            capacity,
            open: Vec::new(),
            assumed: BTreeSet::new(),
            grounds: BTreeMap::new(),
            missing: BTreeSet::new(),
        }
    }

    fn fit(&mut self, name: &str, at: Option<Figure>) -> Result<Figure, FormulaError> {
        let Some(slope) = self.capacity.slopes.get(name) else {
            return Err(FormulaError::Unknown(name.to_owned()));
        };
        if let Measured::Nothing(_) = slope.measured {
            // The other terms are looked at too, so that all that is missing is named.
            self.missing.insert(name.to_owned());
            return Ok(Figure::from(1.0));
        }
        let (figure, beyond) = slope
            .figure(name, at.as_ref())
            .ok_or_else(|| FormulaError::Count(name.to_owned(), usize::from(at.is_none())))?;
        let ground = self.grounds.entry(name.to_owned()).or_insert(1.0);
        *ground = ground.max(beyond);
        Ok(figure)
    }

    /// A line's slope, or its value at nought.
    fn parameter(&mut self, name: &str, parameter: usize) -> Result<Figure, FormulaError> {
        match self.capacity.slopes.get(name).map(|slope| &slope.measured) {
            None => Err(FormulaError::Unknown(name.to_owned())),
            Some(Measured::Nothing(_)) => {
                self.missing.insert(name.to_owned());
                Ok(Figure::from(1.0))
            }
            Some(Measured::One { .. }) => Err(FormulaError::Unknown(format!("{name}, as a line"))),
            Some(Measured::Line(line)) => {
                self.grounds.entry(name.to_owned()).or_insert(1.0);
                let key = |parameter| (name.to_owned(), parameter);
                Ok(if parameter == 1 {
                    Figure { value: line.slope, moved: [(key(1), line.slope_error)].into() }
                } else {
                    let moved = [(key(0), line.mean_error), (key(1), -line.slope_error * line.mean_x)];
                    Figure { value: line.intercept, moved: moved.into() }
                })
            }
        }
    }
}

impl Capacity {
    /// Reads targets, fits, slopes and rows.
    ///
    /// # Errors
    /// The file and what is wrong with it.
    pub fn read(targets: &str, fits: &str, slopes: &str, rows: &str) -> Result<Self, String> {
        let targets: Targets = toml::from_str(targets).map_err(|error| format!("targets.toml: {error}"))?;
        let slopes = crate::slopes::kept(fits, slopes)?;
        let rows: RowsText = toml::from_str(rows).map_err(|error| format!("rows.toml: {error}"))?;
        if let Some(name) = targets.keys().find(|name| slopes.contains_key(*name)) {
            return Err(format!("targets.toml: {name}: fits.toml has a fit of this name"));
        }
        Ok(Capacity { targets, slopes, rows: rows.row })
    }

    /// The figure of a formula over targets and slopes.
    ///
    /// # Errors
    /// Why it has none.
    pub fn part(&self, words: &str, formula: &str) -> Result<Part, FormulaError> {
        Ok(self.figured(words, formula)?.0)
    }

    fn figured(&self, words: &str, formula: &str) -> Result<(Part, Option<Figure>), FormulaError> {
        let read = Formula::parse(formula)?;
        let mut looked = Looked::new(self);
        let figure = read.figure(&mut looked);
        let Looked { assumed, grounds, missing, .. } = looked;
        let figure = match figure {
            Err(FormulaError::NoNumber) if !missing.is_empty() => None,
            other => Some(other?).filter(|_| missing.is_empty()),
        };
        let single = match &read {
            Formula::Name(name) | Formula::Call(name, _) => self.slopes.contains_key(name),
            _ => false,
        };
        let basis = match (missing.is_empty(), grounds.is_empty(), assumed.is_empty()) {
            (false, ..) => Basis::NotMeasured,
            (_, true, false) if assumed.contains(formula) => Basis::Assumed,
            (_, false, true) if single => Basis::Measured,
            _ => Basis::Reckoned,
        };
        let ground = |(fit, extrapolated): (String, f64)| {
            let slope = &self.slopes[&fit];
            let (points, command) = (slope.fit.points.clone(), slope.fit.command.clone());
            Ground { points, command, runs: slope.runs(), extrapolated, fit }
        };
        let part = Part {
            words: words.to_owned(),
            formula: formula.to_owned(),
            need: figure.as_ref().map(|figure| figure.value),
            error: figure.as_ref().filter(|figure| !figure.moved.is_empty()).map(Figure::error),
            basis,
            grounds: grounds.into_iter().map(ground).collect(),
            assumed: assumed.into_iter().collect(),
            missing: missing.into_iter().collect(),
        };
        Ok((part, figure))
    }

    /// The rows as they stand without some mechanisms; the smallest margin first, then those that have none, in the
    /// order in which they are declared.
    ///
    /// # Errors
    /// The row and what is wrong with it.
    pub fn rows(&self, without: &[String]) -> Result<Vec<Row>, String> {
        if let Some(name) =
            without.iter().find(|name| !self.rows.iter().any(|row| row.without.contains_key(*name)))
        {
            return Err(format!("--without: {name}: no row says how it stands without that"));
        }
        let rows = self.rows.iter().map(|row| {
            self.row(row, without)
                .map_err(|error| format!("rows.toml: {}, {}: {error}", row.role, row.resource))
        });
        let mut rows: Vec<Row> = rows.collect::<Result<_, _>>()?;
        rows.iter_mut().enumerate().for_each(|(place, row)| row.place = place);
        let key = |row: &Row| row.margin.unwrap_or(f64::INFINITY);
        rows.sort_by(|a, b| key(a).total_cmp(&key(b)).then(b.reach.total_cmp(&a.reach)));
        Ok(rows)
    }

    fn row(&self, row: &RowText, without: &[String]) -> Result<Row, FormulaError> {
        let variant = without.iter().find_map(|name| row.without.get(name));
        let own: Vec<(&str, &str)> = match (variant.and_then(|variant| variant.need.as_deref()), &row.need) {
            (Some(need), _) => vec![(&row.resource, need)],
            (None, Some(need)) => vec![(&row.resource, need)],
            (None, None) => row.term.iter().map(|term| (term.words.as_str(), term.need.as_str())).collect(),
        };
        let mut terms = Vec::new();
        let mut sum = Formula::Number(0.0);
        let mut text = Vec::new();
        for (words, formula) in own {
            terms.push(self.part(words, formula)?);
            sum = Formula::Joined('+', Box::new(sum), Box::new(Formula::parse(formula)?));
            text.push(format!("({formula})"));
        }
        // The sum is worked out as one formula, so that a parameter in two terms counts once.
        let (total, _) = match &terms[..] {
            [one] => (one.clone(), None),
            _ => self.figured(&row.resource, &text.join(" + "))?,
        };
        let cannot = variant.is_some_and(|variant| variant.cannot);
        let budget = row.budget.as_deref().map(|formula| self.part("budget", formula)).transpose()?;
        let need = total.need.filter(|_| !cannot);
        let allowed = budget.as_ref().and_then(|budget| budget.need);
        let margin = match (need, allowed) {
            (None, Some(_)) if cannot => Some(0.0),
            (Some(need), Some(allowed)) if need > 0.0 => Some(allowed / need),
            _ => None,
        };
        let basis = if cannot { Basis::Reckoned } else { total.basis };
        let grounds = || total.grounds.iter().chain(budget.iter().flat_map(|budget| &budget.grounds));
        let runs: BTreeSet<&str> = grounds().map(|ground| ground.command.as_str()).collect();
        let runs: Vec<&str> = runs.into_iter().collect();
        let named = total.assumed.iter().chain(budget.iter().flat_map(|budget| &budget.assumed));
        let assumed = named.cloned().collect();
        let reach = row.reach.as_deref().map(|formula| self.part("reach", formula)).transpose()?;
        Ok(Row {
            group: row.group.clone(),
            role: row.role.clone(),
            resource: row.resource.clone(),
            unit: row.unit.clone(),
            need,
            error: total.error.filter(|_| !cannot),
            budget: allowed,
            margin,
            basis,
            run: if cannot { String::new() } else { runs.join("; ") },
            extrapolated: grounds().map(|ground| ground.extrapolated).fold(1.0, f64::max),
            mechanism: row.by.clone(),
            cannot,
            note: variant.map_or(row.note.clone(), |variant| variant.words.clone()),
            reach: reach.and_then(|reach| reach.need).unwrap_or(0.0),
            assumed,
            terms,
            place: 0,
            budget_part: budget,
        })
    }

    /// The tables' names, in the order in which the rows declare them.
    pub fn groups(&self) -> Vec<String> {
        let mut groups: Vec<String> = Vec::new();
        for row in &self.rows {
            if !groups.contains(&row.group) {
                groups.push(row.group.clone());
            }
        }
        groups
    }

    /// The mechanisms without which some row stands otherwise.
    pub fn mechanisms(&self) -> BTreeSet<String> {
        self.rows.iter().flat_map(|row| row.without.keys().cloned()).collect()
    }
}

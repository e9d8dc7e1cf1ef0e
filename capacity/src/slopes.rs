//! What was measured, by name: each fit as `fits.toml` declares it, worked out from the points, and the committed file
//! (`slopes.toml`) that keeps it.

use crate::fit::{Line, Size};
use crate::formula::{Figure, Formula, FormulaError};
use crate::points::{self, Point};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// How points become a figure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Take {
    /// A line over `x`.
    #[default]
    Line,
    /// The mean of the runs.
    Mean,
    /// The largest of the runs.
    Worst,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RunsText {
    points: String,
    x: Option<String>,
    #[serde(default, rename = "where")]
    filter: toml::Table,
    command: String,
    fit: BTreeMap<String, FitText>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FitText {
    y: String,
    unit: String,
    #[serde(default)]
    take: Take,
    #[serde(default)]
    may_be_null: bool,
}

/// One fit, as declared.
#[derive(Clone, Debug)]
pub struct Fit {
    /// The file of points.
    pub points: String,
    /// How points become a figure.
    pub take: Take,
    /// What it grows with: a formula over a point's keys; none but for a line.
    pub x: Option<String>,
    /// The figure: a formula over a point's keys.
    pub y: String,
    /// Only points with these values.
    pub filter: toml::Table,
    /// A run may have had nothing to measure, and says so by `null`: it is passed over.
    pub may_be_null: bool,
    /// The figure's unit.
    pub unit: String,
    /// The command that gives the points.
    pub command: String,
}

/// What a fit came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Measured {
    /// A line.
    Line(Line),
    /// One figure over so many runs, with its standard error.
    One {
        /// The figure.
        value: f64,
        /// Its standard error; of the largest of the runs there is none.
        error: f64,
        /// How many runs.
        runs: usize,
    },
    /// Nothing, and why.
    Nothing(String),
}

/// A fit with what it came to.
#[derive(Clone, Debug)]
pub struct Slope {
    /// As declared.
    pub fit: Fit,
    /// What it came to.
    pub measured: Measured,
}

impl Slope {
    /// How many runs it stands on.
    pub fn runs(&self) -> usize {
        match &self.measured {
            Measured::Line(line) => line.sizes.iter().map(|size| size.runs).sum(),
            Measured::One { runs, .. } => *runs,
            Measured::Nothing(_) => 0,
        }
    }

    /// Its figure at x, and how many times beyond the measured sizes that is. `None` where nothing was measured, or an x
    /// is given where there is none, or the other way round.
    pub fn figure(&self, name: &str, at: Option<&Figure>) -> Option<(Figure, f64)> {
        match (&self.measured, at) {
            (Measured::Line(line), Some(x)) => {
                let (value, slope, errors) = line.at(x.value);
                let own = errors.into_iter().map(|(parameter, error)| ((name.to_owned(), parameter), error));
                let mut moved: BTreeMap<_, _> = own.collect();
                for (parameter, by) in &x.moved {
                    *moved.entry(parameter.clone()).or_default() += by * slope;
                }
                Some((Figure { value, moved }, line.beyond(x.value)))
            }
            (Measured::One { value, error, .. }, None) => {
                let moved = [((name.to_owned(), 0), *error)].into();
                Some((Figure { value: *value, moved }, 1.0))
            }
            _ => None,
        }
    }
}

/// All of them, by name.
pub type Slopes = BTreeMap<String, Slope>;

/// Reads the declared fits.
///
/// # Errors
/// What is wrong with the file.
pub fn declared(text: &str) -> Result<BTreeMap<String, Fit>, String> {
    let all: BTreeMap<String, RunsText> = toml::from_str(text).map_err(|error| error.to_string())?;
    let mut fits = BTreeMap::new();
    for runs in all.into_values() {
        for (name, FitText { y, unit, take, may_be_null }) in runs.fit {
            let fit = Fit {
                points: runs.points.clone(),
                take,
                x: runs.x.clone(),
                y,
                may_be_null,
                filter: runs.filter.clone(),
                unit,
                command: runs.command.clone(),
            };
            if fits.insert(name.clone(), fit).is_some() {
                return Err(format!("{name}: declared twice"));
            }
        }
    }
    Ok(fits)
}

/// Works every fit out; `files` are the points' files by name.
///
/// # Errors
/// The fit or the file, and what is wrong there.
pub fn worked_out(fits: &str, files: &BTreeMap<String, String>) -> Result<Slopes, String> {
    let mut read = BTreeMap::new();
    for (file, text) in files {
        read.insert(file, points::read(text).map_err(|error| format!("{file}: {error}"))?);
    }
    let slope = |(name, fit): (String, Fit)| {
        let none = Vec::new();
        let points = read.get(&fit.points).unwrap_or(&none);
        let measured = measure(&fit, points).map_err(|error| format!("fits.toml: {name}: {error}"))?;
        Ok((name, Slope { fit, measured }))
    };
    declared(fits).map_err(|error| format!("fits.toml: {error}"))?.into_iter().map(slope).collect()
}

fn measure(fit: &Fit, points: &[Point]) -> Result<Measured, String> {
    let formula = |key: &str, text: &str| Formula::parse(text).map_err(|error| format!("{key}: {error}"));
    let y = formula("y", &fit.y)?;
    let x = fit.x.as_deref().map(|x| formula("x", x)).transpose()?;
    if x.is_some() != (fit.take == Take::Line) {
        return Err("x: a line has one, a mean and a worst have none".into());
    }
    let wanted: Vec<&Point> =
        points.iter().filter(|point| point.set_aside().is_none() && point.fits(&fit.filter)).collect();
    let mut taken = Vec::new();
    let mut lacking = None;
    for point in &wanted {
        let x = x.as_ref().map_or(Ok(0.0), |x| point.figure(x));
        match (x, point.figure(&y)) {
            (Ok(x), Ok(y)) => taken.push((x, y)),
            (_, Err(FormulaError::NotMeasured(key))) if fit.may_be_null && point.is_null(&key) => {}
            (Err(error), _) | (_, Err(error)) => {
                lacking = Some(format!("{}: line {}: {error}", fit.points, point.line));
            }
        }
    }
    match lacking {
        // A key that some have and some have not would leave runs out unseen.
        Some(lacking) if !taken.is_empty() => return Err(lacking),
        Some(lacking) => return Ok(Measured::Nothing(lacking)),
        None if taken.is_empty() => return Ok(Measured::Nothing(format!("{}: no points yet", fit.points))),
        None => {}
    }
    let (runs, n) = (taken.len(), taken.len() as f64);
    let ys = taken.iter().map(|point| point.1);
    let mean = ys.clone().sum::<f64>() / n;
    Ok(match fit.take {
        Take::Line => match Line::through(&taken) {
            Ok(line) => Measured::Line(line),
            Err(error) => Measured::Nothing(error.to_string()),
        },
        Take::Mean => {
            let squares: f64 = ys.map(|y| (y - mean).powi(2)).sum();
            let error = if runs > 1 { (squares / (n - 1.0) / n).sqrt() } else { 0.0 };
            Measured::One { value: mean, error, runs }
        }
        Take::Worst => Measured::One { value: ys.fold(f64::NEG_INFINITY, f64::max), error: 0.0, runs },
    })
}

/// Six digits, so that a file made anew is the same file.
fn six(x: f64) -> String {
    if x == 0.0 {
        return "0.0".into();
    }
    let text = format!("{x:.5e}");
    // Written back as the shortest text of that number; TOML wants a point or an exponent.
    let short = text.parse::<f64>().map_or(text, |x| x.to_string());
    if short.contains(['.', 'e', 'n']) { short } else { format!("{short}.0") }
}

fn list(of: impl Iterator<Item = f64>) -> String {
    format!("[{}]", of.map(six).collect::<Vec<_>>().join(", "))
}

/// The file that keeps them.
pub fn text(slopes: &Slopes) -> String {
    let mut text = String::from(
        "# Made by `pointcross lab capacity fit` from the points and fits.toml; not to be edited.\n",
    );
    for (name, slope) in slopes {
        let _ = writeln!(text, "\n[{name}]");
        match &slope.measured {
            Measured::Nothing(why) => _ = writeln!(text, "not_measured = {why:?}"),
            Measured::One { value, error, runs } => {
                let _ = writeln!(text, "value = {}\nerror = {}\nruns = {runs}", six(*value), six(*error));
            }
            Measured::Line(line) => {
                for (key, value) in [
                    ("slope", line.slope),
                    ("slope_error", line.slope_error),
                    ("intercept", line.intercept),
                    ("intercept_error", line.intercept_error),
                    ("mean_x", line.mean_x),
                    ("mean_error", line.mean_error),
                    ("residual", line.residual),
                    ("r2", line.r2),
                ] {
                    let _ = writeln!(text, "{key} = {}", six(value));
                }
                let _ = writeln!(text, "sizes = {}", list(line.sizes.iter().map(|size| size.x)));
                let _ = writeln!(text, "means = {}", list(line.sizes.iter().map(|size| size.mean)));
                let _ = writeln!(
                    text,
                    "runs = {:?}",
                    line.sizes.iter().map(|size| size.runs).collect::<Vec<_>>()
                );
                if let Some(spread) = line.spread {
                    let _ = writeln!(text, "spread = {}", six(spread));
                }
                let _ = writeln!(text, "off = {}", list(line.off.iter().copied()));
                if let Some(to) = line.straight_to {
                    let _ = writeln!(text, "straight_to = {}", six(to));
                }
                if let Some((curvature, error)) = line.curvature {
                    let _ =
                        writeln!(text, "curvature = {}\ncurvature_error = {}", six(curvature), six(error));
                }
            }
        }
    }
    text
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, untagged)]
enum Kept {
    Nothing { not_measured: String },
    One { value: f64, error: f64, runs: usize },
    Line(Box<KeptLine>),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeptLine {
    slope: f64,
    slope_error: f64,
    intercept: f64,
    intercept_error: f64,
    mean_x: f64,
    mean_error: f64,
    residual: f64,
    r2: f64,
    sizes: Vec<f64>,
    means: Vec<f64>,
    runs: Vec<usize>,
    spread: Option<f64>,
    off: Vec<f64>,
    straight_to: Option<f64>,
    curvature: Option<f64>,
    curvature_error: Option<f64>,
}

impl From<Kept> for Measured {
    fn from(kept: Kept) -> Self {
        match kept {
            Kept::Nothing { not_measured } => Measured::Nothing(not_measured),
            Kept::One { value, error, runs } => Measured::One { value, error, runs },
            Kept::Line(kept) => {
                let sizes = kept.sizes.iter().zip(&kept.means).zip(&kept.runs);
                Measured::Line(Line {
                    slope: kept.slope,
                    slope_error: kept.slope_error,
                    intercept: kept.intercept,
                    intercept_error: kept.intercept_error,
                    mean_x: kept.mean_x,
                    mean_error: kept.mean_error,
                    residual: kept.residual,
                    r2: kept.r2,
                    spread: kept.spread,
                    sizes: sizes.map(|((&x, &mean), &runs)| Size { x, mean, runs }).collect(),
                    off: kept.off,
                    straight_to: kept.straight_to,
                    curvature: kept.curvature.zip(kept.curvature_error),
                })
            }
        }
    }
}

/// Reads the committed file beside the declared fits; a fit that it does not have was not measured.
///
/// # Errors
/// What is wrong with either, or a slope that no fit declares.
pub fn kept(fits: &str, text: &str) -> Result<Slopes, String> {
    let mut kept: BTreeMap<String, Kept> =
        toml::from_str(text).map_err(|error| format!("slopes.toml: {error}"))?;
    let fits = declared(fits).map_err(|error| format!("fits.toml: {error}"))?;
    let slope = |(name, fit): (String, Fit)| {
        let measured = kept.remove(&name).map_or(Measured::Nothing("not fitted yet".into()), Measured::from);
        (name, Slope { fit, measured })
    };
    let slopes: Slopes = fits.into_iter().map(slope).collect();
    match kept.pop_first() {
        Some((name, _)) => Err(format!("slopes.toml: {name}: fits.toml has no such fit")),
        None => Ok(slopes),
    }
}

//! Points: the raw outputs of runs, a line of JSON each, and what a fit takes from them.

use crate::formula::{Figure, Formula, FormulaError, Scope};
use serde_json::{Map, Value};

/// One run's output.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// Its line in the file, from 1 on.
    pub line: usize,
    /// Its keys.
    pub keys: Map<String, Value>,
}

/// What is wrong with a line of points.
#[derive(Debug, thiserror::Error)]
pub enum PointError {
    /// No JSON.
    #[error("line {line}: {error}")]
    Json {
        /// The line.
        line: usize,
        /// What is wrong.
        error: serde_json::Error,
    },
    /// No command: the figure could not be had again.
    #[error("line {0}: command: not there; every point names the run that gave it")]
    Command(usize),
}

/// Reads a file of points; empty lines are passed over.
///
/// # Errors
/// The line and what is wrong with it.
pub fn read(text: &str) -> Result<Vec<Point>, PointError> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let points = lines.map(|(index, line)| {
        let line_number = index + 1;
        let keys: Map<String, Value> =
            serde_json::from_str(line).map_err(|error| PointError::Json { line: line_number, error })?;
        match keys.get("command") {
            Some(Value::String(command)) if !command.is_empty() => {}
            _ => return Err(PointError::Command(line_number)),
        }
        Ok(Point { line: line_number, keys })
    });
    points.collect()
}

impl Point {
    /// The run that gave it.
    pub fn command(&self) -> &str {
        self.keys.get("command").and_then(Value::as_str).unwrap_or_default()
    }

    /// Why it is in the record but in no fit (`set_aside`): a run that failed, or was disturbed.
    pub fn set_aside(&self) -> Option<&str> {
        self.keys.get("set_aside").and_then(Value::as_str)
    }

    /// Whether it has the key, and nothing there.
    pub fn is_null(&self, key: &str) -> bool {
        self.keys.get(key) == Some(&Value::Null)
    }

    /// A formula over its keys.
    ///
    /// # Errors
    /// The key that it lacks.
    pub fn figure(&self, formula: &Formula) -> Result<f64, FormulaError> {
        formula.figure(&mut Keys(self)).map(|figure| figure.value)
    }

    /// Whether it has these values.
    pub fn fits(&self, wanted: &toml::Table) -> bool {
        wanted.iter().all(|(key, value)| match (self.keys.get(key), value) {
            (Some(Value::Number(had)), toml::Value::Integer(wanted)) => had.as_f64() == Some(*wanted as f64),
            (Some(Value::Number(had)), toml::Value::Float(wanted)) => had.as_f64() == Some(*wanted),
            (Some(Value::String(had)), toml::Value::String(wanted)) => had == wanted,
            (Some(Value::Bool(had)), toml::Value::Boolean(wanted)) => had == wanted,
            _ => false,
        })
    }
}

struct Keys<'a>(&'a Point);

impl Scope for Keys<'_> {
    fn name(&mut self, name: &str) -> Result<Figure, FormulaError> {
        let value = self.0.keys.get(name).and_then(Value::as_f64);
        value.map(Figure::from).ok_or_else(|| FormulaError::NotMeasured(name.to_owned()))
    }
}

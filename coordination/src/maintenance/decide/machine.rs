//! The name of a machine, checked where it is read: `node/ID` or `scheduler/NAME`.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The longest name of a machine, in bytes.
pub const MAX_NAME: usize = 128;

/// A machine that can be drained for maintenance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Machine {
    /// A storage node, by its listed id.
    Node(String),
    /// A scheduler, by its name.
    Scheduler(String),
}

/// A text that is not a machine's name; it holds the text found.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?}: wanted node/ID or scheduler/NAME of letters, digits, '-', '_', '.', ':'")]
pub struct InvalidMachine(pub String);

impl fmt::Display for Machine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Machine::Node(id) => write!(f, "node/{id}"),
            Machine::Scheduler(name) => write!(f, "scheduler/{name}"),
        }
    }
}

impl From<Machine> for String {
    fn from(machine: Machine) -> String {
        machine.to_string()
    }
}

impl TryFrom<String> for Machine {
    type Error = InvalidMachine;

    fn try_from(text: String) -> Result<Self, InvalidMachine> {
        match text.split_once('/') {
            Some(("node", id)) if is_valid_name(id) => Ok(Machine::Node(id.to_owned())),
            Some(("scheduler", name)) if is_valid_name(name) => Ok(Machine::Scheduler(name.to_owned())),
            _ => Err(InvalidMachine(text)),
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME && name.chars().all(is_allowed)
}

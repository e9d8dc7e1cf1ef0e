//! What a request asks of the servers of its service.

use crate::prefix::PromptParts;

/// What a request asks of a server.
#[derive(Clone)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a str,
    /// The route's name.
    pub route: &'a str,
    /// Units of work: tokens where it generates, else 1.
    pub units: f64,
    /// The prompt, where it generates.
    pub prompt: Option<&'a PromptParts>,
    /// Milliseconds until the answer is due.
    pub time_left: f64,
    /// Milliseconds in which an answer is worth most.
    pub target: f64,
    /// Units queued here for the same service.
    pub queued_units: f64,
    /// Instances that earlier attempts went to.
    pub tried: &'a [String],
    /// What the object hashes by that the request concerns, where servers work faster on one they have seen.
    pub object: Option<u64>,
    /// Whether an idle connection to an instance is kept.
    pub has_idle_connection: &'a dyn Fn(&str) -> bool,
}

//! What a source reports of the fleet, as JSON. The fields bear their written names.

use serde::{Deserialize, Serialize};

/// One scheduler as a source knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SchedulerReport {
    /// Its name.
    pub name: String,
    /// The version active there; 0 while only its own files apply.
    pub have: u64,
    /// The version that it rejected last.
    pub refused: Option<u64>,
    /// Time since its last request, in milliseconds.
    pub heard_ms_ago: u64,
}

/// A summary of the fleet, of one source or of several together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// The fleet that is served.
    pub fleet: String,
    /// The version that is served.
    pub version: u64,
    /// Time since that version was published, in milliseconds.
    pub published_ms_ago: u64,
    /// Responsive schedulers: those that sent a request lately.
    pub schedulers: usize,
    /// Those of them that have the version active.
    pub in_force: usize,
    /// Schedulers that are unresponsive.
    pub silent: usize,
    /// Requests of schedulers for which the table had no space.
    pub uncounted: u64,
    /// Responsive schedulers that have another version active, the longest without a request first; bounded.
    pub behind: Vec<SchedulerReport>,
    /// How many more of them there are than `behind` lists.
    pub left_out: usize,
}

/// Every scheduler that a source knows, for merging the reports of several sources by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedulers {
    /// The fleet that the source serves.
    pub fleet: String,
    /// The version that it serves.
    pub version: u64,
    /// Time since that version was published, in milliseconds.
    pub published_ms_ago: u64,
    /// Requests of schedulers for which the table had no space.
    pub uncounted: u64,
    /// Each scheduler, the longest without a request first.
    pub schedulers: Vec<SchedulerReport>,
}

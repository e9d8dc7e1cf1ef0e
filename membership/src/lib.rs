//! Which storage nodes there are, from where that is known, and how far it is verified.
//!
//! [`decide`] merges the sources (the platform's known list, a snapshot on disk, discovery, what attempts showed), and
//! says what may be sent to a node that discovery does not list. [`staleness`] assesses a saved list, [`warm_up`] bounds
//! what all schedulers together send a node that may have just started, [`call_rate`] spaces the calls for the list,
//! [`slow_start`] the first requests to each node. None of these does I/O or reads a clock. [`snapshot`] is the saved list on
//! disk; [`guard`] and [`slow_start_guard`] drive the decisions from the core.

pub mod call_rate;
pub mod decide;
pub mod guard;
mod random;
pub mod slow_start;
pub mod slow_start_guard;
pub mod snapshot;
pub mod staleness;
pub mod warm_up;

//! The operators' limits on maintenance.

/// What operators allow the plan, from `[maintenance]` of their file.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The most machines that may be unavailable at once, over the fleet.
    pub limit: usize,
    /// Duration of a lease, in milliseconds.
    pub lease_ms: u64,
    /// A machine returns after this time in [`DrainPhase::Out`](super::DrainPhase::Out) even if operators
    /// have not said that their work is done, in milliseconds; `None` waits for them.
    pub work_ms: Option<u64>,
    /// Nodes that must remain available in each shard, to hold what its data sets have reserved; taken as at
    /// least one.
    pub nodes_left: usize,
    /// Schedulers that must remain in service; taken as at least one.
    pub schedulers_left: usize,
}

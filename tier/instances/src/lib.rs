//! A process's view of the tier: the directory, the control members, and the instances of all services.
//!
//! Guarantees that views converge without agreement, though updates arrive late, twice or in any order: an
//! instance's states are ordered, and draining and terminated never revert; an older directory or group
//! changes nothing.
//!
//! [`InstanceTable`] merges the states that heartbeats and other processes report. [`ClusterView`] adds the
//! directory and answers watches with what is new to them. No I/O and no clock.
#![warn(missing_docs)]

mod table;
mod view;

pub use table::{InstanceTable, MAX_INSTANCES};
pub use view::{ClusterView, WatchPosition};

//! Watching the control plane, or the agent that does so for its machine: long polls that name the revision
//! that the caller has, and a view of the cluster that their answers update.
//!
//! Guarantees that a process learns of a change although one of the control members stops, hangs or is cut
//! off: [`watch_control_members`] watches two members at a time, and chooses another member after each
//! failure.
//!
//! A watch can't tell that a view is current: [`LatestReader`] reads what is, before something is concluded from
//! what the view does not have.
//!
//! The watches never return; who spawned one ends it by aborting its task or with the process's runtime.

mod client;
mod latest;
mod members;
mod view;

pub use client::watch_agent;
pub use latest::LatestReader;
pub use members::{Seeds, watch_control_members};
pub use view::ReplicatedView;

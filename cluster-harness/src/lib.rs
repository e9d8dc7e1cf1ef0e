//! A fleet of real scheduler processes on loopback, before stand-in storage nodes and a stand-in list service,
//! with a fault proxy on every link between a scheduler and a peer.
//!
//! Guards against what one process cannot show: how many schedulers behave together when links drop or slow,
//! processes crash and restart, or the list service is down. Every figure of the verdict comes from the stand-ins'
//! own logs and the clients' count of answers, never from the schedulers' word.

pub mod client;
pub mod cluster;
pub mod ledger;
pub mod link;
pub mod list;
pub mod node;
pub mod out_periods;
pub mod plan;
pub mod process;
pub mod scale;
pub mod scenario;
pub mod virtual_time;

pub use cluster::{Cluster, ClusterSettings};
pub use ledger::Verdict;

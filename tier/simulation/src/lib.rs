//! The serving tier's processes together in virtual time, in one thread: the programs' own code, on a network that
//! is cut, silent and slow on order, with disks that are lost, before emulated model schedulers.
//!
//! [`Cluster`] starts and ends processes; [`World`] is the network; [`Engine`] is an emulated model scheduler that
//! keeps a ledger of what it ran; [`client`] speaks to the tier as programs and operators do.
#![warn(missing_docs)]

mod caller;
pub mod chaos;
pub mod client;
mod cluster;
mod disk;
mod engine;
pub mod machine;
mod network;
mod order;
mod size;
mod timeline;

pub use caller::{Caller, Turn};
pub use cluster::{Cluster, SERVICE, run};
pub use disk::SimulatedDisk;
pub use engine::{Engine, EngineFault, RanRequest};
pub use network::World;
pub use order::{Order, ROUTES};
pub use size::Size;
pub use timeline::Timeline;

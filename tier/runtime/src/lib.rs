//! What the tier's processes share: calls between processes, watching the control plane, logs, random
//! numbers, signals. This package does I/O; decisions are made by packages without I/O and clock.
//!
//! Every process runs one thread for all its sockets, and a thread for each [`worker`] that waits for a disk,
//! so that state is shared by `Rc` and without locks. Tasks are spawned on the `LocalSet` of
//! [`process::run`], which drops those that are left when the process's main task returns.
#![warn(missing_docs)]

pub mod environment;
pub mod fault_injection;
pub mod log;
pub mod network;
pub mod notify;
pub mod process;
pub mod random;
pub mod reload;
pub mod role;
pub mod rpc;
pub mod socket;
pub mod watch;
pub mod worker;

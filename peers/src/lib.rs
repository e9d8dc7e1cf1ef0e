//! What schedulers settle among themselves, for installations whose schedulers may talk: off on the platform.
//!
//! [`maintenance`] is the order in which machines are taken out for work: its decisions without I/O and clock, and a
//! model of them that a checker walks.
#![warn(missing_docs)]

pub mod maintenance;

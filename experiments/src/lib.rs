//! The product's laboratory: what a change does at large size, seen without the operators' bench.
//!
//! [`node`] is a storage node as a model, [`script`] a rehearsal with its troubles, [`ledger`] the proof of which
//! rules held, [`virtual_time`] plays a script round the real core and decision module under a clock of its own,
//! the same from a seed every time. [`experiment`] compares over seeds, [`report`] draws a page, [`load`] puts load on
//! real sockets.
#![warn(missing_docs)]

mod client_connection;
pub mod experiment;
pub mod ledger;
pub mod load;
pub mod node;
pub mod report;
pub mod script;
pub mod traffic;
pub mod virtual_time;

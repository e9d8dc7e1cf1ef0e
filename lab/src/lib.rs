//! The product's laboratory: what a change does at large size, seen without the operators' bench.
//!
//! [`node`] is a storage node as a model, [`script`] a rehearsal with its troubles, [`ledger`] the proof of which
//! rules held, [`virtual_time`] plays a script round the real core and decision module under a clock of its own,
//! the same from a seed every time.
#![warn(missing_docs)]

pub mod ledger;
pub mod node;
pub mod script;
pub mod virtual_time;

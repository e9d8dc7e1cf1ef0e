//! What a fleet needs, worked out from measured slopes and stated targets. Text in, tables out: no file is opened here.
//!
//! Guards against a page of figures that nobody can get again: points (raw outputs of runs) give slopes with their
//! errors, slopes and targets give needs, and needs stand beside their budgets.
#![warn(missing_docs)]

pub mod fit;
pub mod formula;
pub mod page;
pub mod points;
pub mod rows;
pub mod slopes;

pub use rows::{Basis, Capacity, Row};

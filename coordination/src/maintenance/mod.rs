//! The maintenance plan: which machines are drained for work, and in which order, as all schedulers agree on
//! it.
//!
//! [`decide`] holds every decision, without I/O and clock; [`model`] lets a model checker walk those
//! decisions through crashes, delays, duplicates and losses.

pub mod decide;
pub mod model;

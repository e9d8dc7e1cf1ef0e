//! What both ends of the platform's wire share: the names of its headers, its forms of times, and connections
//! that know whether all they were given was written. No decision is made here.
#![warn(missing_docs)]

pub mod platform;
pub mod watched;

//! Calls between the tier's processes: CBOR over TCP, with many calls in flight on one connection.
//!
//! Guarantees, against late and duplicate replies, broken connections and a caller process that was paused:
//! - A reply goes to the call with its number on its connection, or is dropped. A [`Peer`] never uses a
//!   number twice, a new connection starts without pending calls, and a call that timed out or whose caller
//!   was dropped is no longer pending.
//! - A reply counts only within its call's timeout, also where the process was paused meanwhile and finds the
//!   reply and the timeout at once.
//! - A connection with a frame that can't be decoded is closed.
//!
//! A call is sent at most once. After [`CallError::NoConnection`] the callee has not seen it; after every
//! other error it may have been carried out, so that only idempotent calls may be repeated.
//!
//! # Cancellation and shutdown
//!
//! Dropping the future of [`Peer::call`] cancels the wait and not the call: the callee may still carry it
//! out. A connection owns its reader and writer tasks and aborts them when it is dropped. [`serve`] has no
//! shutdown of its own: who spawned it aborts it. Its connections' tasks end when their peers close, or with
//! the process's runtime.

mod codec;
mod connection;
mod error;
mod frame;
mod peer;
mod server;

pub use codec::{decode, encode};
pub use error::CallError;
pub use peer::Peer;
pub use server::serve;

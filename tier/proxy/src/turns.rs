//! Turns of programs at the stores: reading a chain before a request is sent, storing the new turn after it.
//!
//! Guarantees that a turn counts as stored only once it is durable on as many stores as may be lost plus one,
//! and that "no such turn" is said only where every store that could have it says so. A store that is slow is
//! not waited for alone: after the hedge delay the next one is called as well (a hedged request: Dean and
//! Barroso, *The Tail at Scale*, 2013).

mod call;
mod fetch;
mod write;

pub use fetch::{ChainError, fetch_chain};
pub use write::store_turn;

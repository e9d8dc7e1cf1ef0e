//! The life of a request, from its head to the end of its answer.
//!
//! Guarantees that a request runs at a second server only where the first certainly has not run it, or its
//! route allows that; that an answer promises "not run" only where that is certain; and that the client sees
//! the end of a retained turn only once the turn is stored.
//!
//! | module | what it does to a request |
//! | --- | --- |
//! | `handler` | takes it through the steps below and answers it |
//! | `context` | reads and routes it |
//! | `selection` | chooses a server, or queues it until one has capacity |
//! | `attempts` | sends it to servers until one answers |
//! | `exchange` | writes it to a server and reads the response |
//! | `response` | judges what a response's head proves |
//! | `in_flight` | accounts for an attempt at its server |
//! | `stream` | forwards a stream of events and stores the turn |
//!
//! A request is cancelled by dropping its future, as where its client disconnects: the queue entry, the
//! attempt in flight and the budget's reservation are released by their `Drop`.

mod attempts;
mod context;
mod exchange;
mod handler;
mod in_flight;
mod response;
mod selection;
mod stream;

pub use handler::handle;

//! Connections to servers: HTTP/1.1, one request at a time, pooled while they are usable.
//!
//! Guarantees that no request is reported as not run after a server may have run it. What the end of a
//! connection proves: before the last byte of the request was written nobody can have run it
//! ([`AttemptError::NotSent`]); from then on it may have run ([`AttemptError::Broken`]), whatever was
//! received. Only a complete response head can say otherwise.
//!
//! A connection is reused only if nothing followed its last response, so a late or duplicated response can't
//! be matched to the next request. A response that carries another attempt's id is read to its end and
//! discarded.

mod connection;
mod error;
mod framing;
mod headers;
mod pool;

pub use connection::{Connection, RequestHead, ResponseHead};
pub use error::AttemptError;
pub use headers::strip_connection_headers;
pub use pool::ConnectionPool;

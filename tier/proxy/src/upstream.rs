//! Connections to servers: HTTP/1.1, one request at a time, kept while they are sound.
//!
//! A connection is used again only where nothing came behind its last answer. An answer with another try's id is
//! one too many: it is read and thrown away.

mod connection;
mod pool;

pub use connection::{AttemptFault, Connection, RequestHead, ResponseHead, strip_connection_headers};
pub use pool::Pool;

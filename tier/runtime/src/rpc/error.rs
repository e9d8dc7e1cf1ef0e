//! Why a call got no reply.

use snafu::Snafu;
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Why a call got no reply.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CallError {
    /// No connection could be opened: the call was not sent.
    #[snafu(display("{address}: no connection: {source}"))]
    NoConnection {
        /// The callee.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection broke; the call may have been carried out.
    #[snafu(display("{address}: the connection broke"))]
    ConnectionBroken {
        /// The callee.
        address: SocketAddrV4,
    },
    /// No reply arrived in time; the call may have been carried out.
    #[snafu(display("{address}: no reply within {} ms", timeout.as_millis()))]
    Timeout {
        /// The callee.
        address: SocketAddrV4,
        /// The timeout of the call.
        timeout: Duration,
    },
    /// The reply is not a value of the expected type; the call was carried out.
    #[snafu(display("{address}: the reply can't be read"))]
    InvalidReply {
        /// The callee.
        address: SocketAddrV4,
    },
}

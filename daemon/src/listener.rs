//! Listening sockets that a replacement process can share with the process it replaces.
//!
//! Guards against a replacement that cannot start while the old process still serves: without SO_REUSEPORT
//! the bind fails with "address in use".

use crate::start_error::StartError;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted, at most. As many as the system allows: during a replacement the
/// queues of both processes fill at once.
const BACKLOG: u32 = 1024;

/// The clients' socket.
pub(crate) enum ClientSocket {
    /// Accepting connections.
    Listening(TcpListener),
    /// Bound only: a replacement listens once it can serve.
    Bound(TcpSocket),
}

impl ClientSocket {
    pub(crate) fn local_addr(&self) -> io::Result<SocketAddr> {
        match self {
            ClientSocket::Listening(listener) => listener.local_addr(),
            ClientSocket::Bound(socket) => socket.local_addr(),
        }
    }
}

/// Listens at the address that `key` names.
pub(crate) fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    listen_shared(address).map_err(|error| StartError::Listen { key, error })
}

/// Listens with SO_REUSEPORT and SO_REUSEADDR, so that a new process can listen at an address where the old
/// one still serves; the kernel then distributes new connections over both.
///
/// # Errors
/// The system's error from opening, binding or listening.
pub fn listen_shared(address: SocketAddr) -> io::Result<TcpListener> {
    listen_on(bind_shared(address)?)
}

/// Binds as [`listen_shared`] does, without listening: connections are refused until [`listen_on`].
pub(crate) fn bind_shared(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Listens on a bound socket.
pub(crate) fn listen_on(socket: TcpSocket) -> io::Result<TcpListener> {
    socket.listen(BACKLOG)
}

//! TCP sockets. Guarantees that a connection whose peer has stopped or is partitioned off breaks while data
//! is unacknowledged, instead of hanging for the many minutes of TCP's own retransmissions.

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// A connection breaks when sent data stays unacknowledged for so long (`TCP_USER_TIMEOUT`, RFC 5482).
const USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Connections that may wait to be accepted: hundreds of schedulers may reconnect within a second.
const BACKLOG: i32 = 1024;

/// Listens on this address, also where connections of an earlier process on it are in TIME_WAIT.
///
/// # Errors
/// The error of the operating system.
pub fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sets the options of every connection of the tier: no delay of small writes (Nagle), and the user timeout.
///
/// # Errors
/// The error of the operating system.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Opens a connection; fails with [`io::ErrorKind::TimedOut`] after `timeout`.
///
/// # Errors
/// The error of the operating system, or a time-out.
pub async fn connect(address: SocketAddrV4, timeout: Duration) -> io::Result<TcpStream> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(&stream)?;
    Ok(stream)
}

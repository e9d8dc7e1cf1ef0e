//! Sockets that notice silent peers.

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Bytes that a peer does not acknowledge for so long end their connection.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2500);
/// Connections that wait to be accepted: hundreds of schedulers may come back within a second.
const BACKLOG: i32 = 1024;

/// Listens on this address, also right after a process before this one did.
pub fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sets what every connection of the tier has: no delay of small writes, and an end where the peer is silent.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

/// Connects within this time.
pub async fn connect(address: SocketAddrV4, within: Duration) -> io::Result<TcpStream> {
    let connecting = tokio::time::timeout(within, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare(&stream)?;
    Ok(stream)
}

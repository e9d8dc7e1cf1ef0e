//! The network interface of a process: TCP, or the simulator's network.

use crate::socket;
use std::future::Future;
use std::io;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::task::{Context, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpListener;

/// A byte stream in both directions.
pub trait Duplex: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> Duplex for T {}

/// A connection.
pub type Stream = Box<dyn Duplex>;

/// A future that is polled on this thread only.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Accepts connections.
pub trait Listener {
    /// The next connection.
    ///
    /// # Errors
    ///
    /// Errors are transient, as where descriptors have run out: the caller pauses and accepts again.
    fn accept(&mut self) -> LocalFuture<'_, io::Result<Stream>>;
}

/// Opens connections and listens.
pub trait Network {
    /// Opens a connection; fails with [`io::ErrorKind::TimedOut`] after `timeout`.
    fn connect(&self, address: SocketAddrV4, timeout: Duration) -> LocalFuture<'_, io::Result<Stream>>;
    /// Listens on an address of this machine.
    ///
    /// # Errors
    /// The error of the operating system.
    fn listen(&self, address: SocketAddrV4) -> io::Result<Box<dyn Listener>>;
}

/// Whether an idle connection is still open and has nothing to read. Where the peer closed it or has sent
/// something unasked, it can't be used for another request.
pub fn is_idle(stream: &mut Stream) -> bool {
    let mut byte = [0];
    let mut buffer = ReadBuf::new(&mut byte);
    let mut context = Context::from_waker(Waker::noop());
    Pin::new(stream).poll_read(&mut context, &mut buffer).is_pending()
}

/// TCP of the operating system.
pub struct Tcp;

impl Network for Tcp {
    fn connect(&self, address: SocketAddrV4, timeout: Duration) -> LocalFuture<'_, io::Result<Stream>> {
        Box::pin(async move {
            let stream = socket::connect(address, timeout).await?;
            Ok(Box::new(stream) as Stream)
        })
    }

    fn listen(&self, address: SocketAddrV4) -> io::Result<Box<dyn Listener>> {
        Ok(Box::new(socket::listen(address)?))
    }
}

impl Listener for TcpListener {
    fn accept(&mut self) -> LocalFuture<'_, io::Result<Stream>> {
        Box::pin(async move {
            let (stream, _) = TcpListener::accept(self).await?;
            socket::configure(&stream)?;
            Ok(Box::new(stream) as Stream)
        })
    }
}

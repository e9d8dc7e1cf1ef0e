//! A TCP connection whose pending error can still be read after hyper has dropped it.
//!
//! A close that crosses a request cannot be told from a scheduler that died with the request in hand by the
//! end of the stream alone. The kernel knows: where the other side had closed before the request arrived, it
//! sends its FIN and then, at our bytes, a RST; Linux notes a RST behind a FIN as `EPIPE`. Where the
//! scheduler had read the request and ended, only the FIN comes. Where it ended with bytes unread, or its
//! machine came back from the dead, a RST comes first, noted as `ECONNRESET`, which proves nothing.

use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// A connection that several hold; it ends when the last of them lets go.
#[derive(Clone)]
pub(crate) struct Socket {
    stream: Arc<TcpStream>,
    received: Arc<AtomicU64>,
}

impl Socket {
    pub(crate) async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Socket { stream: Arc::new(stream), received: Arc::default() })
    }

    /// Bytes that have come since the start.
    pub(crate) fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Whether the other side had closed before our last bytes arrived there. Called once the end of the
    /// stream was seen; waits no longer than `wait` for the RST that proves it.
    pub(crate) async fn crossed(&self, wait: Duration) -> bool {
        let _ = tokio::time::timeout(wait, self.stream.ready(Interest::ERROR)).await;
        matches!(self.stream.take_error(), Ok(Some(error)) if error.kind() == ErrorKind::BrokenPipe)
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    self.received.fetch_add(read as u64, Ordering::Relaxed);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(bufs) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Does nothing: a FIN of our own would have the kernel note the other side's RST as `ECONNRESET`. The
    /// connection ends with its last holder.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

// In a file of its own under tests/: it checks state that is private here.
#[cfg(test)]
#[path = "../tests/unit/socket.rs"]
mod tests;

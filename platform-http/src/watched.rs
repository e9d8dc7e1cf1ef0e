//! Connections that know whether all they were given to write was written: a request that broke off before
//! its last byte never ran, and only the connection can tell.

use futures_util::FutureExt;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use tokio::sync::Notify;

/// What is known of a connection's traffic.
#[derive(Debug, Default)]
pub struct Wire {
    unfinished: AtomicBool,
    writes: AtomicU64,
    received: Notify,
}

impl Wire {
    /// Whether something is written in part: set from the first write on until the last byte of what hyper
    /// holds has been written. hyper flushes a connection only when its own buffer is empty, and a request of
    /// at most 64 KiB goes through it in one piece.
    pub fn unfinished(&self) -> bool {
        self.unfinished.load(Ordering::Relaxed)
    }

    /// Writes since the start: where the number stays, nothing was answered meanwhile.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    fn begin_write(&self) {
        self.unfinished.store(true, Ordering::Relaxed);
        self.writes.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends when something has come since this was last awaited or what came was forgotten.
    pub async fn received(&self) {
        self.received.notified().await;
    }

    /// Forgets what came before: the last answer's bytes are no part of the next.
    pub fn clear_received(&self) {
        let _ = self.received().now_or_never();
    }
}

/// A connection that is watched.
pub struct Watched<T> {
    io: T,
    wire: Arc<Wire>,
}

impl<T> Watched<T> {
    /// Watches this connection; what is known of it can be asked elsewhere.
    pub fn new(io: T) -> (Self, Arc<Wire>) {
        let wire = Arc::new(Wire::default());
        (Watched { io, wire: wire.clone() }, wire)
    }
}

impl<T: Read + Unpin> Read for Watched<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        self.wire.received.notify_one();
        Poll::Ready(Ok(()))
    }
}

impl<T: Write + Unpin> Write for Watched<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.wire.begin_write();
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.wire.begin_write();
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // All is written by now, whatever the flush itself comes to.
        self.wire.unfinished.store(false, Ordering::Relaxed);
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

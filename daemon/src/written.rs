//! Connections that know whether all they were given to write was written: a request that broke off before
//! its last byte never ran, and only the connection can tell.

use http::Uri;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{CaptureConnection, Connected, Connection, HttpConnector};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use tower::Service;

/// Set from the first write on until the last byte of what hyper holds has been written: hyper flushes a
/// connection only when its own buffer is empty, and a request of at most 64 KiB goes through it in one piece.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unfinished(Arc<AtomicBool>);

impl Unfinished {
    pub(crate) fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Whether the request on this connection broke off before its last byte was written.
pub(crate) fn broke_off(connection: &CaptureConnection) -> bool {
    let mut extras = http::Extensions::new();
    if let Some(connected) = &*connection.connection_metadata() {
        connected.get_extras(&mut extras);
    }
    extras.get::<Unfinished>().is_some_and(|unfinished| unfinished.0.load(Ordering::Relaxed))
}

/// Connects as `HttpConnector` does, and watches what is written.
#[derive(Clone)]
pub(crate) struct Connector(pub(crate) HttpConnector);

type Connecting<T, E> = Pin<Box<dyn Future<Output = Result<T, E>> + Send>>;

impl Service<Uri> for Connector {
    type Response = Watched<<HttpConnector as Service<Uri>>::Response>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Connecting<Self::Response, Self::Error>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move { Ok(Watched { io: connecting.await?, unfinished: Unfinished::default() }) })
    }
}

/// A connection and what it knows.
pub(crate) struct Watched<T> {
    io: T,
    unfinished: Unfinished,
}

impl<T> Watched<T> {
    /// Watches this connection; what is known of it can be asked elsewhere.
    pub(crate) fn new(io: T) -> (Self, Unfinished) {
        let unfinished = Unfinished::default();
        (Watched { io, unfinished: unfinished.clone() }, unfinished)
    }
}

impl<T: Connection> Connection for Watched<T> {
    fn connected(&self) -> Connected {
        self.io.connected().extra(self.unfinished.clone())
    }
}

impl<T: Read + Unpin> Read for Watched<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<T: Write + Unpin> Write for Watched<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.unfinished.0.store(true, Ordering::Relaxed);
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.unfinished.0.store(true, Ordering::Relaxed);
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // All is written by now, whatever the flush itself comes to.
        self.unfinished.0.store(false, Ordering::Relaxed);
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;
    use http_body_util::Full;
    use hyper_util::rt::TokioIo;
    use tokio::io::AsyncReadExt;

    const BODY: usize = 64 * 1024;

    /// Sends a request of 64 KiB and a head; its node reads so much and breaks the connection.
    async fn unfinished_after(read: usize) -> bool {
        let (near, mut far) = tokio::io::duplex(1024);
        let unfinished = Unfinished::default();
        let io = Watched { io: TokioIo::new(near), unfinished: unfinished.clone() };
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.unwrap();
        tokio::spawn(connection);
        let request = http::Request::put("/").body(Full::new(Bytes::from(vec![1; BODY]))).unwrap();
        let node = async {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(far.read_u8().await.unwrap());
            }
            far.read_exact(&mut vec![0; read]).await.unwrap();
            drop(far);
        };
        let (answer, ()) = tokio::join!(sender.send_request(request), node);
        assert!(answer.is_err());
        unfinished.0.load(Ordering::Relaxed)
    }

    /// Guards against taking a request for one that may have run though its node never had all of it.
    #[tokio::test]
    async fn a_request_counts_as_written_with_its_last_byte_only() {
        assert!(unfinished_after(0).await);
        assert!(unfinished_after(BODY / 2).await);
        assert!(!unfinished_after(BODY).await);
    }
}

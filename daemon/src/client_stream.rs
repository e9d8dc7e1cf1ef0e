//! A client's connection: what hyper reads and writes, what is read ahead of it, and its close.
//!
//! Guards against two crossings. A client that sends more behind its open request and then closes: hyper
//! stops reading once it holds bytes that it cannot use yet, so that the end of the stream stays unseen and
//! the request runs for nobody; and a close over bytes that nobody has read: the system resets the connection
//! then, and the last answer, where it is still on its way, goes with it.

use crate::connection_slots::ConnectionSlot;
use bytes::{Buf, BytesMut};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// What is buffered behind an open request, in bytes: a request or two. Clients send one at a time.
const MAX_AHEAD: usize = 16 * 1024;
/// Bytes that are discarded before the task yields.
const DISCARD_BATCH: usize = 64 * 1024;
/// How long a client may take to close its side once the last answer is written: some round trips.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes that are discarded after the last answer, at most: a client that sends more is faulty.
const MAX_DRAINED: usize = 1 << 20;

struct Ahead {
    bytes: BytesMut,
    /// More arrived than is buffered: what follows is discarded, and the connection serves no further
    /// request.
    overrun: bool,
}

/// The reading side, shared by hyper's connection and what watches it.
pub(crate) struct Incoming {
    read: OwnedReadHalf,
    ahead: Mutex<Ahead>,
    slot: Arc<ConnectionSlot>,
}

/// Why reading ahead of an open request ended.
#[derive(Debug, PartialEq)]
pub(crate) enum ReadAheadEnd {
    /// The client has closed or reset its connection.
    Disconnected,
    /// It sent more than is buffered.
    Overrun,
}

/// Both sides of a client's connection, for hyper.
pub(crate) struct ClientStream {
    incoming: Arc<Incoming>,
    /// Dropped, it ends this side's sending.
    write: OwnedWriteHalf,
}

impl ClientStream {
    /// Wraps an accepted connection; the shared reading side outlives hyper's use of it.
    pub(crate) fn new(stream: TcpStream, slot: Arc<ConnectionSlot>) -> (Self, Arc<Incoming>) {
        let (read, write) = stream.into_split();
        let ahead = Mutex::new(Ahead { bytes: BytesMut::new(), overrun: false });
        let incoming = Arc::new(Incoming { read, ahead, slot });
        (ClientStream { incoming: incoming.clone(), write }, incoming)
    }
}

impl Incoming {
    fn ahead(&self) -> MutexGuard<'_, Ahead> {
        self.ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads on while a request is open; returns why the connection cannot go on. Cancel safe: nothing that
    /// was read is lost.
    pub(crate) async fn read_ahead(&self) -> ReadAheadEnd {
        let mut discarded = 0;
        loop {
            self.slot.wait_for_open_request().await;
            let Ok(ready) = self.read.ready(Interest::READABLE).await else {
                return ReadAheadEnd::Disconnected;
            };
            // The answer may have been written meanwhile: then what comes is hyper's to read.
            if !self.slot.has_open_request() {
                continue;
            }
            let mut chunk = [0; 4096];
            match self.read.try_read(&mut chunk) {
                Ok(0) => return ReadAheadEnd::Disconnected,
                Ok(length) => {
                    self.slot.record_bytes();
                    let mut ahead = self.ahead();
                    if ahead.overrun {
                        discarded += length;
                    } else if ahead.bytes.len() + length > MAX_AHEAD {
                        ahead.overrun = true;
                        return ReadAheadEnd::Overrun;
                    } else {
                        ahead.bytes.extend_from_slice(&chunk[..length]);
                    }
                }
                // A closed read side stays ready: waiting for it again would return at once.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && !ready.is_read_closed() => {
                    tokio::task::yield_now().await;
                }
                Err(_) => return ReadAheadEnd::Disconnected,
            }
            if discarded >= DISCARD_BATCH {
                discarded = 0;
                tokio::task::yield_now().await;
            }
        }
    }

    /// Waits for the client to close its side, for [`CLOSE_TIMEOUT`] at most, and discards what still
    /// arrives. To be called once this side's sending has ended. Returns at once where the slot is needed.
    pub(crate) async fn wait_for_close(&self) {
        self.slot.begin_close();
        let mut left = MAX_DRAINED;
        let drained = async {
            while let Ok(ready) = self.read.ready(Interest::READABLE).await {
                if !self.discard(&mut left) || ready.is_read_closed() {
                    return;
                }
                // The time-out is polled too, whatever this end of the connection reports.
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            biased;
            () = drained => {}
            () = self.slot.wait_for_eviction(|| true) => {}
            () = tokio::time::sleep(CLOSE_TIMEOUT) => {}
        }
    }

    /// Discards what has arrived by now, so that the close does not reset the connection over unread bytes.
    pub(crate) fn drain(&self) {
        self.discard(&mut MAX_DRAINED.clone());
    }

    /// Discards what has arrived by now, up to `left` bytes; returns whether more may come.
    fn discard(&self, left: &mut usize) -> bool {
        let mut chunk = [0; 4096];
        loop {
            match self.read.try_read(&mut chunk) {
                Ok(0) => return false,
                Ok(length) if length >= *left => return false,
                Ok(length) => *left -= length,
                Err(error) => return error.kind() == io::ErrorKind::WouldBlock,
            }
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let incoming = &self.incoming;
        let mut ahead = incoming.ahead();
        if !ahead.bytes.is_empty() {
            let length = ahead.bytes.len().min(buf.remaining());
            buf.put_slice(&ahead.bytes[..length]);
            ahead.bytes.advance(length);
            return Poll::Ready(Ok(()));
        }
        if ahead.overrun {
            // What was discarded is missing here: this is as good as an end.
            return Poll::Ready(Ok(()));
        }
        let socket = incoming.read.as_ref();
        loop {
            ready!(socket.poll_read_ready(cx))?;
            match socket.try_read_buf(buf) {
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(_) => {
                    incoming.slot.record_bytes();
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.write.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_shutdown(cx)
    }
}

//! What control takes, as the ends of a connection and the kernel count it: calls and bytes by 10 ms slot, time on a
//! core and memory of a process.

use crate::ledger::Slots;
use std::io;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A side's ledger: calls and application bytes, both directions, by 10 ms slot.
#[derive(Debug)]
pub struct Meter {
    epoch: Instant,
    counts: Mutex<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    calls: Slots,
    bytes: Slots,
    total: Taken,
}

/// So many calls and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Taken {
    /// Calls.
    pub calls: u64,
    /// Bytes of requests and answers, heads and bodies.
    pub bytes: u64,
}

impl Taken {
    /// What came since.
    pub fn since(self, before: Taken) -> Taken {
        Taken { calls: self.calls - before.calls, bytes: self.bytes - before.bytes }
    }

    /// Both together.
    pub fn and(self, other: Taken) -> Taken {
        Taken { calls: self.calls + other.calls, bytes: self.bytes + other.bytes }
    }
}

impl Meter {
    /// A ledger whose slots count from `epoch`.
    pub fn new(epoch: Instant) -> Self {
        Meter { epoch, counts: Mutex::default() }
    }

    /// Counts a call.
    pub fn call(&self) {
        let at = self.epoch.elapsed();
        let mut counts = self.counts.lock().unwrap();
        counts.calls.note(at);
        counts.total.calls += 1;
    }

    fn bytes(&self, count: usize) {
        let at = self.epoch.elapsed();
        let mut counts = self.counts.lock().unwrap();
        counts.bytes.note_many(at, count as u32);
        counts.total.bytes += count as u64;
    }

    /// All so far.
    pub fn taken(&self) -> Taken {
        self.counts.lock().unwrap().total
    }

    /// Calls and bytes by slot so far.
    pub fn slots(&self) -> (Slots, Slots) {
        let counts = self.counts.lock().unwrap();
        (counts.calls.clone(), counts.bytes.clone())
    }
}

/// A connection whose bytes a ledger counts.
pub struct Metered {
    stream: TcpStream,
    meter: std::sync::Arc<Meter>,
}

impl Metered {
    /// Counts this connection's bytes there.
    pub fn new(stream: TcpStream, meter: std::sync::Arc<Meter>) -> Self {
        Metered { stream, meter }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.meter.bytes(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.meter.bytes(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, pieces))?;
        self.meter.bytes(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Time on a core of one thread, by its folder in `/proc`, in nanoseconds; 0 where it has ended.
pub fn thread_cpu_ns(folder: &str) -> u64 {
    let text = std::fs::read_to_string(format!("{folder}/schedstat")).unwrap_or_default();
    text.split_whitespace().next().and_then(|ns| ns.parse().ok()).unwrap_or(0)
}

/// Time on a core of a process's threads together, in nanoseconds; `None` where it has ended. Threads that ended
/// before take theirs with them.
pub fn process_cpu_ns(pid: u32) -> Option<u64> {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).ok()?;
    Some(tasks.flatten().map(|task| thread_cpu_ns(&task.path().display().to_string())).sum())
}

/// A process's resident memory in MiB; `None` where it has ended.
pub fn resident_mb(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse::<f64>().ok().map(|kib| kib / 1024.0)
}

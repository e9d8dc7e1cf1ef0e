//! One connection of a caller, with the calls that are pending on it.

use super::frame::{Frame, FrameReader, write_frames};
use crate::fault_injection::{InjectedFault, is_injected};
use crate::network::Stream;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::io::ReadHalf;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, spawn_local};

/// The calls without a reply yet, by their numbers.
#[derive(Clone, Default)]
struct PendingCalls(Rc<RefCell<BTreeMap<u64, oneshot::Sender<Bytes>>>>);

impl PendingCalls {
    /// Gives a reply to its call. A reply without a pending call is late or a duplicate, and is dropped.
    fn complete(&self, reply: Frame) {
        let call_number = match is_injected(InjectedFault::MatchRepliesByOrder) {
            true => self.0.borrow().keys().next().copied().unwrap_or(reply.call_number),
            false => reply.call_number,
        };
        let call = self.0.borrow_mut().remove(&call_number);
        if let Some(call) = call {
            let _ = call.send(reply.body);
        }
    }

    /// Ends all pending calls without a reply.
    fn fail_all(&self) {
        // Removed first: a call that ends here removes itself, which borrows the map again.
        let failed = std::mem::take(&mut *self.0.borrow_mut());
        drop(failed);
    }
}

/// A call that is pending for as long as this exists. Dropped with its caller, it is pending no longer, so
/// that its reply, if one comes, is dropped as well.
pub(super) struct PendingCall {
    calls: PendingCalls,
    call_number: u64,
    /// Its reply; closed without one where the connection broke.
    pub reply: oneshot::Receiver<Bytes>,
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.calls.0.borrow_mut().remove(&self.call_number);
    }
}

/// A connection to a callee. It owns the tasks that read and write it, and aborts them when it is dropped.
pub(super) struct Connection {
    frames: mpsc::UnboundedSender<Bytes>,
    pending: PendingCalls,
    replies_received: Rc<Cell<u64>>,
    reader: AbortHandle,
    writer: AbortHandle,
}

impl Connection {
    /// Starts the tasks of a connection that was opened.
    pub fn start(stream: Stream) -> Self {
        let (read, write) = tokio::io::split(stream);
        let (frames, queue) = mpsc::unbounded_channel();
        let pending = PendingCalls::default();
        let replies_received = Rc::new(Cell::new(0));
        let reading = read_replies(read, pending.clone(), replies_received.clone());
        let reader = spawn_local(reading).abort_handle();
        let writer = spawn_local(write_frames(write, queue)).abort_handle();
        Connection { frames, pending, replies_received, reader, writer }
    }

    /// Registers a call that is about to be sent.
    pub fn add_pending(&self, call_number: u64) -> PendingCall {
        let (sender, reply) = oneshot::channel();
        self.pending.0.borrow_mut().insert(call_number, sender);
        PendingCall { calls: self.pending.clone(), call_number, reply }
    }

    /// Queues a frame for sending; false where the connection has broken.
    pub fn send(&self, frame: Bytes) -> bool {
        self.frames.send(frame).is_ok()
    }

    /// Replies received so far, late ones included: they tell a dead connection from a slow callee.
    pub fn replies_received(&self) -> u64 {
        self.replies_received.get()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.reader.abort();
        self.writer.abort();
    }
}

/// Gives replies to their pending calls until the connection ends; the calls that are pending then fail.
async fn read_replies(read: ReadHalf<Stream>, pending: PendingCalls, replies_received: Rc<Cell<u64>>) {
    let mut reader = FrameReader::new(read);
    while let Ok(Some(reply)) = reader.next_frame().await {
        replies_received.set(replies_received.get() + 1);
        pending.complete(reply);
    }
    pending.fail_all();
}

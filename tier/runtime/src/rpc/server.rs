//! The callee's side: accepts connections and runs a handler for each call.
//!
//! Bounds what callers can make the process hold: [`MAX_CONNECTIONS`] connections, and
//! [`MAX_CALLS_IN_FLIGHT`] calls on each; beyond that, calls stay unread, and TCP's flow control stops the
//! caller.

use super::codec::{decode, encode};
use super::frame::{FrameReader, encode_frame, write_frames};
use crate::network::{Listener, Stream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{AcquireError, Semaphore, mpsc};
use tokio::task::spawn_local;

/// Calls in flight on one connection; further ones are not read until one ends.
const MAX_CALLS_IN_FLIGHT: usize = 1024;
/// Connections that one listener serves at once; further ones are closed.
const MAX_CONNECTIONS: usize = 1024;
/// The pause after accepting failed, as where descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves calls on this listener, each by a run of `handler`; one that gives `None` gets no reply, and its
/// caller times out. Never returns.
///
/// Each connection has a task of its own, which is detached: it ends when the peer closes or sends a frame
/// that can't be decoded.
pub async fn serve<Call, Reply, Handler, Running>(mut listener: Box<dyn Listener>, handler: Handler)
where
    Call: DeserializeOwned + 'static,
    Reply: Serialize + 'static,
    Handler: Fn(Call) -> Running + 'static,
    Running: Future<Output = Option<Reply>> + 'static,
{
    let handler = Rc::new(handler);
    let open_connections = Rc::new(Cell::new(0));
    loop {
        let Ok(stream) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open_connections.get() >= MAX_CONNECTIONS {
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let (handler, open_connections) = (handler.clone(), open_connections.clone());
        spawn_local(async move {
            serve_connection(stream, handler).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

/// Serves one connection until its end. The writer's task is ended here. The calls' tasks are detached: a
/// call that was started runs to its end, whether or not its caller is still there for the reply.
async fn serve_connection<Call, Reply, Handler, Running>(stream: Stream, handler: Rc<Handler>)
where
    Call: DeserializeOwned + 'static,
    Reply: Serialize + 'static,
    Handler: Fn(Call) -> Running + 'static,
    Running: Future<Output = Option<Reply>> + 'static,
{
    let (read, write) = tokio::io::split(stream);
    let mut reader = FrameReader::new(read);
    let (replies, queue) = mpsc::unbounded_channel();
    let writer = spawn_local(write_frames(write, queue));
    let permits = Rc::new(Semaphore::new(MAX_CALLS_IN_FLIGHT));
    while let Ok(Some(frame)) = reader.next_frame().await {
        let Some(call) = decode::<Call>(&frame.body) else {
            break;
        };
        let Ok(permit) = LocalPermit::acquire(permits.clone()).await else {
            break;
        };
        let running = handler(call);
        let replies = replies.clone();
        spawn_local(async move {
            if let Some(reply) = running.await {
                let _ = replies.send(encode_frame(frame.call_number, &encode(&reply)));
            }
            drop(permit);
        });
    }
    writer.abort();
}

/// A permit for one call in flight, given back when it is dropped. Tokio's own owned permits need an `Arc`;
/// all tasks of a process run on one thread.
struct LocalPermit(Rc<Semaphore>);

impl LocalPermit {
    async fn acquire(permits: Rc<Semaphore>) -> Result<Self, AcquireError> {
        permits.acquire().await?.forget();
        Ok(LocalPermit(permits))
    }
}

impl Drop for LocalPermit {
    fn drop(&mut self) {
        self.0.add_permits(1);
    }
}

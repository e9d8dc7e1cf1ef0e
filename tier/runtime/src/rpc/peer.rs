//! The caller's side: a callee at an address, with the connection to it.

use super::codec::{decode, encode};
use super::connection::{Connection, PendingCall};
use super::error::{CallError, ConnectionBrokenSnafu, TimeoutSnafu};
use super::frame::encode_frame;
use crate::environment::Environment;
use crate::fault_injection::{InjectedFault, is_injected};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The longest that opening a connection may take, where the call's timeout is not shorter.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A callee. Its connection is opened by the first call, and opened anew by the first call after it broke.
pub struct Peer {
    environment: Environment,
    address: SocketAddrV4,
    connection: RefCell<Option<Rc<Connection>>>,
    next_call_number: Cell<u64>,
}

impl Peer {
    /// A callee at this address.
    pub fn new(environment: &Environment, address: SocketAddrV4) -> Rc<Self> {
        let environment = environment.clone();
        Rc::new(Peer { environment, address, connection: RefCell::default(), next_call_number: Cell::new(1) })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Makes a call and waits for its reply. The timeout covers connecting, sending and the reply. A call
    /// that is dropped before its end may have been carried out, as one that timed out.
    ///
    /// # Errors
    ///
    /// Says by [`CallError`] whether the call may have been carried out.
    pub async fn call<Reply: DeserializeOwned>(
        &self,
        call: &impl Serialize,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let address = self.address;
        let started = Instant::now();
        let connection = self.connection(timeout).await?;
        let call_number = self.next_call_number.replace(self.next_call_number.get() + 1);
        let mut pending = connection.add_pending(call_number);
        let received_before = connection.replies_received();
        if !connection.send(encode_frame(call_number, &encode(call))) {
            self.discard(&connection);
            return ConnectionBrokenSnafu { address }.fail();
        }
        match wait_for_reply(&mut pending, started, timeout).await {
            WaitOutcome::Reply(body) => decode(&body).ok_or(CallError::InvalidReply { address }),
            WaitOutcome::LateReply => TimeoutSnafu { address, timeout }.fail(),
            WaitOutcome::Broken => {
                self.discard(&connection);
                ConnectionBrokenSnafu { address }.fail()
            }
            WaitOutcome::TimedOut => {
                // Without any reply since the call was sent, the connection may be dead: the next call opens
                // another.
                if connection.replies_received() == received_before {
                    self.discard(&connection);
                }
                TimeoutSnafu { address, timeout }.fail()
            }
        }
    }

    /// Discards a connection, unless another one has replaced it already.
    fn discard(&self, connection: &Rc<Connection>) {
        let mut current = self.connection.borrow_mut();
        if current.as_ref().is_some_and(|current| Rc::ptr_eq(current, connection)) {
            *current = None;
        }
    }

    /// The open connection, or a new one.
    async fn connection(&self, timeout: Duration) -> Result<Rc<Connection>, CallError> {
        if let Some(connection) = &*self.connection.borrow() {
            return Ok(connection.clone());
        }
        let address = self.address;
        let stream = self
            .environment
            .network
            .connect(address, timeout.min(CONNECT_TIMEOUT))
            .await
            .map_err(|source| CallError::NoConnection { address, source })?;
        // Another call may have connected meanwhile.
        if let Some(connection) = &*self.connection.borrow() {
            return Ok(connection.clone());
        }
        let connection = Rc::new(Connection::start(stream));
        *self.connection.borrow_mut() = Some(connection.clone());
        Ok(connection)
    }
}

/// How waiting for a reply ended.
enum WaitOutcome {
    /// The reply's body arrived in time.
    Reply(Bytes),
    /// The reply was found after the timeout, by a process that was paused. It proves nothing about the
    /// callee now, and leases and quorum freshness are counted from the replies: it must not count.
    LateReply,
    /// The connection broke.
    Broken,
    /// Nothing arrived in time.
    TimedOut,
}

async fn wait_for_reply(pending: &mut PendingCall, started: Instant, timeout: Duration) -> WaitOutcome {
    match tokio::time::timeout_at(started + timeout, &mut pending.reply).await {
        Ok(Ok(_)) if started.elapsed() > timeout && !is_injected(InjectedFault::ContactFromReply) => {
            WaitOutcome::LateReply
        }
        Ok(Ok(body)) => WaitOutcome::Reply(body),
        Ok(Err(_)) => WaitOutcome::Broken,
        Err(_) => WaitOutcome::TimedOut,
    }
}

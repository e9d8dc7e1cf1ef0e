//! How schedulers call one another: one HTTP/1.1 request a message.
//!
//! Guards against a peer that is slow, stalled or sends without end: a call is bounded in time and in size.

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a connection may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections kept open to each peer.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// The largest message, in bytes: a snapshot of a plan at its bound is far smaller.
pub const MAX_BYTES: usize = 4 << 20;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No complete reply within the time-out given.
    #[error("no answer in {0:?}")]
    Timeout(Duration),
    /// The connection failed, before or during the call.
    #[error("{0}")]
    Connection(#[from] hyper_util::client::legacy::Error),
    /// The reply ended early, or is longer than [`MAX_BYTES`].
    #[error("answer broken off: {0}")]
    Body(String),
    /// The reply's status is not 2xx; it holds the status and the text.
    #[error("answered {0}: {1}")]
    Status(StatusCode, String),
    /// The reply is not JSON of the type expected.
    #[error("not the answer wanted: {0}")]
    InvalidReply(#[from] serde_json::Error),
}

/// Calls other schedulers. Clones share their connections.
#[derive(Clone)]
pub struct Caller(Client<HttpConnector, Full<Bytes>>);

impl Default for Caller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut client = Client::builder(TokioExecutor::new());
        client.pool_timer(TokioTimer::new()).pool_max_idle_per_host(MAX_IDLE_CONNECTIONS);
        Caller(client.build(connector))
    }
}

impl Caller {
    /// Makes one call and returns the body of the reply. Dropped before it returns, it closes its connection.
    ///
    /// # Errors
    /// [`CallError`], after `timeout` at the latest; also for a status other than 2xx.
    pub async fn call(
        &self,
        method: &str,
        to: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .body(Full::new(body.into()))
            .expect("a socket address and a constant path form a valid URI");
        let reply = async {
            let response = self.0.request(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_BYTES).collect().await;
            let body = body.map_err(|error| CallError::Body(error.to_string()))?.to_bytes();
            if status.is_success() {
                return Ok(body);
            }
            Err(CallError::Status(status, String::from_utf8_lossy(&body).trim().to_owned()))
        };
        tokio::time::timeout(timeout, reply).await.unwrap_or(Err(CallError::Timeout(timeout)))
    }
}

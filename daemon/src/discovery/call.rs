//! One call to the list service: a long poll for changes, or a request for the complete list.
//!
//! Guards against a connection that stops answering: every call has a time-out, so that a change of the list reaches
//! the core within 6 s although two calls in a row time out.

use super::list::{List, ListError};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

/// How long the service holds a watch without a change: short enough that two connections in a row that died without
/// a reset are noticed before the bound on reporting a change (6 s).
pub(super) const DEFAULT_HOLD: Duration = Duration::from_millis(1400);
/// How long past that an answer may take before the call counts as failed.
const ANSWER_MARGIN: Duration = Duration::from_millis(700);
/// How long a call that waits for nothing may take; as long as a watch. Longer than discovery queues a call
/// (2 s): one that is given up before discovery rejects it costs discovery work for no caller.
const CALL_TIMEOUT: Duration = Duration::from_millis(2100);
/// A list is far smaller; a longer answer is not one.
const MAX_BYTES: usize = 4 << 20;

/// Why a call brought no list.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    #[error("no answer in time")]
    Timeout,
    #[error("{0}")]
    Connection(#[from] hyper_util::client::legacy::Error),
    #[error("answered {0}")]
    Status(http::StatusCode),
    #[error("answer broken off: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("{0}")]
    List(#[from] ListError),
    #[error("version {got} came where {from} was had already")]
    OlderRevision { got: u64, from: u64 },
}

/// A call in flight. It owns what it needs, so that it outlives changes to its caller.
pub(super) type Call = Pin<Box<dyn Future<Output = Result<List, CallError>> + Send>>;

/// Calls the list service at one address, over connections of its own.
pub(super) struct ListClient {
    client: Client<HttpConnector, Empty<Bytes>>,
    pub(super) address: SocketAddr,
    zones: Vec<String>,
    hold: Duration,
}

impl ListClient {
    pub(super) fn new(zones: &[String], address: SocketAddr, hold: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CALL_TIMEOUT));
        let client = Client::builder(TokioExecutor::new()).pool_timer(TokioTimer::new()).build(connector);
        ListClient { client, address, zones: zones.to_vec(), hold }
    }

    /// Asks for the changes after revision `from`, which the service may hold, or for the complete list at once.
    pub(super) fn call(&self, from: Option<u64>) -> Call {
        let query =
            from.map(|from| format!("?from={from}&hold_ms={}", self.hold.as_millis())).unwrap_or_default();
        let uri = http::Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(format!("/api/targets{query}"))
            .build()
            .expect("an address and this path make a URI");
        let request = http::Request::get(uri).body(Empty::new()).expect("a GET without headers is valid");
        let (response, zones) = (self.client.request(request), self.zones.clone());
        let answer = async move {
            let response = response.await?;
            if response.status() != http::StatusCode::OK {
                return Err(CallError::Status(response.status()));
            }
            let body = Limited::new(response.into_body(), MAX_BYTES);
            let body = body.collect().await.map_err(CallError::Body)?.to_bytes();
            let list = List::parse(&body, &zones)?;
            // A service that lags behind must not undo a drain that it reported before.
            match from {
                Some(from) if list.revision < from => {
                    Err(CallError::OlderRevision { got: list.revision, from })
                }
                _ => Ok(list),
            }
        };
        let timeout = if from.is_some() { self.hold + ANSWER_MARGIN } else { CALL_TIMEOUT };
        Box::pin(
            async move { tokio::time::timeout(timeout, answer).await.unwrap_or(Err(CallError::Timeout)) },
        )
    }
}

//! Discovery's list: the known one, then a watch on its changes, kept alive.

use crate::config::Config;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use pointcross_core::decide::{ListKind, NodeState};
use pointcross_core::{Core, Member};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

/// A watch that hears nothing is answered after this long: short enough that a link that died in silence is
/// noticed before the module counts as told without having heard.
const HOLD: Duration = Duration::from_secs(4);
/// How long past that an answer may take before the call counts as failed.
const PATIENCE: Duration = Duration::from_secs(2);
/// A list is far smaller; a longer answer is not one.
const MOST_BYTES: usize = 4 << 20;

/// A list, or the changes to one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// Whether it is the whole list.
    pub complete: bool,
    /// Its entries.
    pub members: Vec<Member>,
}

/// Why a list cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// Not the JSON that discovery writes.
    #[error("not a list: {0}")]
    Json(#[from] serde_json::Error),
    /// A member's address cannot be read.
    #[error("members: {id}: host_port {text:?} is not an address with a port")]
    Address {
        /// The member.
        id: String,
        /// Its address as written.
        text: String,
    },
}

#[derive(Deserialize)]
struct WireList {
    revision: u64,
    #[serde(default)]
    complete: bool,
    #[serde(default)]
    members: Vec<WireMember>,
}

#[derive(Deserialize)]
struct WireMember {
    id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    cell: u32,
    phase: WirePhase,
    #[serde(default)]
    up_since_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WirePhase {
    Up,
    Draining,
    Removed,
}

impl List {
    /// Decodes discovery's text; `zones` are the zones' names by number.
    pub fn parse(text: &[u8], zones: &[String]) -> Result<Self, ListError> {
        let wire: WireList = serde_json::from_slice(text)?;
        let members = wire.members.into_iter().map(|member| {
            let Ok(address) = member.host_port.parse::<SocketAddr>() else {
                return Err(ListError::Address { id: member.id, text: member.host_port });
            };
            let zone = zones.iter().position(|zone| *zone == member.locality);
            Ok(Member {
                name: member.id,
                address,
                zone: zone.and_then(|zone| u8::try_from(zone).ok()).unwrap_or(0),
                shard: member.cell,
                state: match member.phase {
                    WirePhase::Up => NodeState::Ready,
                    WirePhase::Draining => NodeState::Draining,
                    WirePhase::Removed => NodeState::Gone,
                },
                started: member.up_since_ms,
            })
        });
        let members = members.collect::<Result<_, _>>()?;
        Ok(List { revision: wire.revision, complete: wire.complete, members })
    }
}

/// Why a call brought no list.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("no answer in time")]
    Silent,
    #[error("{0}")]
    Connection(#[from] hyper_util::client::legacy::Error),
    #[error("answered {0}")]
    Status(http::StatusCode),
    #[error("answer broken off: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("{0}")]
    List(#[from] ListError),
}

struct Caller {
    client: Client<HttpConnector, Empty<Bytes>>,
    address: SocketAddr,
    zones: Vec<String>,
}

impl Caller {
    fn new(config: &Config) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(PATIENCE));
        let client = Client::builder(TokioExecutor::new()).pool_timer(TokioTimer::new()).build(connector);
        Caller { client, address: config.discovery, zones: config.parsed.zones.clone() }
    }

    /// Asks for what is newer than a version, or for the whole list.
    async fn call(&self, from: Option<u64>) -> Result<List, CallError> {
        let query = from.map(|from| format!("?from={from}&hold_ms={}", HOLD.as_millis())).unwrap_or_default();
        let uri = http::Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(format!("/api/targets{query}"))
            .build()
            .expect("an address and this path make a URI");
        let request = http::Request::get(uri).body(Empty::new()).expect("a GET without headers is whole");
        let answer = async {
            let response = self.client.request(request).await?;
            if response.status() != http::StatusCode::OK {
                return Err(CallError::Status(response.status()));
            }
            let body = Limited::new(response.into_body(), MOST_BYTES);
            let body = body.collect().await.map_err(CallError::Body)?.to_bytes();
            Ok(List::parse(&body, &self.zones)?)
        };
        tokio::time::timeout(HOLD + PATIENCE, answer).await.unwrap_or(Err(CallError::Silent))
    }
}

/// Follows the list whenever the module asks for it; ends only when the core is gone. How long to wait after
/// a failure is the module's decision: it is told, and asks again.
pub async fn follow(core: &Core, config: &Config, orders: &mut watch::Receiver<bool>) {
    let caller = Caller::new(config);
    // A version to start from is had only where a whole list came with it.
    let mut revision = config.known.complete.then_some(config.known.revision);
    while orders.changed().await.is_ok() {
        if !*orders.borrow_and_update() {
            continue;
        }
        // Each call follows the last answer at once, well within the 200 ms that keep a watch alive.
        let error = loop {
            match caller.call(revision).await {
                Ok(list) => {
                    revision = Some(list.revision);
                    let kind = if list.complete { ListKind::Full } else { ListKind::Changes };
                    core.list(kind, list.members);
                }
                Err(error) => break error,
            }
        };
        tracing::warn!(%error, "discovery");
        core.list(ListKind::Failed, Vec::new());
    }
}

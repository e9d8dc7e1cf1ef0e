//! Callers from outside: programs, operators, schedulers.

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use pointcross_tier_runtime::network::Network;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// How long a caller waits for a connection.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);

/// What came back.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, as far as it came.
    pub body: Bytes,
    /// Whether the answer ended as its framing says.
    pub complete: bool,
}

/// Makes a call on a connection of its own; `None` where no head came back in time.
pub async fn call(
    network: &Rc<dyn Network>,
    address: SocketAddrV4,
    request: Request<Bytes>,
    within: Duration,
) -> Option<Reply> {
    tokio::time::timeout(within, call_now(network, address, request)).await.ok().flatten()
}

async fn call_now(
    network: &Rc<dyn Network>,
    address: SocketAddrV4,
    request: Request<Bytes>,
) -> Option<Reply> {
    let stream = network.connect(address, CONNECT_WITHIN).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let connection = spawn_local(connection);
    let response = sender.send_request(request.map(Full::new)).await.ok()?;
    let (head, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut complete = true;
    while let Some(frame) = body.frame().await {
        match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => bytes.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => {
                complete = false;
                break;
            }
        }
    }
    connection.abort();
    Some(Reply { status: head.status, headers: head.headers, body: bytes.into(), complete })
}

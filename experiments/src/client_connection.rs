//! A client's connection to a scheduler, and the reading request that load is made of.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// A connection on which one request at a time is sent.
pub(crate) type Sender = SendRequest<Empty<Bytes>>;

/// Data sets that reading requests ask for in turn.
const VOLUMES: u64 = 97;
/// Spreads consecutive numbers over the correlation ids.
const ID_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A request for one unit, which a node answers at once.
pub(crate) struct ReadingRequest<'a> {
    /// The value of the `host` header.
    pub(crate) host: &'a str,
    /// The number that the data set and the correlation id follow from.
    pub(crate) number: u64,
    /// The number of the piece.
    pub(crate) piece: u64,
    /// The shard that has the data.
    pub(crate) shard: u64,
}

/// Opens a connection; `None` where it can't be had.
pub(crate) async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Sends a request and reads its answer to the end. Returns the status; `None` where the connection failed.
pub(crate) async fn send(sender: &mut Sender, reading: ReadingRequest<'_>) -> Option<StatusCode> {
    let ReadingRequest { host, number, piece, shard } = reading;
    let volume = number % VOLUMES + 1;
    let request = Request::get(format!("/reading-get/{volume:016x}/{piece:016x}"))
        .header("host", host)
        .header("x-correlation-id", format!("{:016x}", number.wrapping_mul(ID_MULTIPLIER)))
        .header("x-service-class", "reading-get")
        .header("tier", "standard")
        .header("x-time-left", "5000m")
        .header("io-info", format!("units=1,shard={shard},hosts=1"))
        .body(Empty::new())
        .ok()?;
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(status)
}

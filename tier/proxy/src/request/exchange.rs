//! One exchange with a server: writes the request, reads the response.

use super::context::RequestContext;
use crate::proxy::Proxy;
use crate::upstream::{AttemptError, Connection, RequestHead, ResponseHead};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue};
use pointcross_tier_protocol::{Instance, headers};
use std::time::Duration;

/// How long a connection may take to be established, and the body of a rejection to be read.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest body that is buffered until it is complete, in bytes.
const MAX_BUFFERED_BODY: usize = 16 * 1024 * 1024;
/// Time for the answer's way to the client, which is deducted from the server's deadline, in milliseconds.
const CLIENT_LATENCY_MS: f64 = 4.0;

/// A response whose head was received.
pub struct ReceivedHead {
    /// The connection that the body is read from.
    pub connection: Connection,
    /// The head.
    pub head: ResponseHead,
}

/// Sends the request to an instance and reads the response's head.
///
/// # Errors
///
/// [`AttemptError`], by what it proves about the request.
pub async fn exchange(
    proxy: &Proxy,
    context: &RequestContext,
    instance: &Instance,
    last_event: Option<&str>,
) -> Result<ReceivedHead, AttemptError> {
    if let Some(mut idle) = proxy.pool.take_idle(&instance.id) {
        match send(&mut idle, context, &instance.id, last_event).await {
            Ok(()) => return read_head(idle, context).await,
            // An idle connection that broke before the request was written proves nothing about the server.
            Err(_) => drop(idle),
        }
    }
    let mut connection = proxy.pool.connect(instance, CONNECT_TIMEOUT).await?;
    send(&mut connection, context, &instance.id, last_event).await?;
    read_head(connection, context).await
}

async fn read_head(
    mut connection: Connection,
    context: &RequestContext,
) -> Result<ReceivedHead, AttemptError> {
    let head = connection.read_head(context.attempt.as_ref()).await?;
    Ok(ReceivedHead { connection, head })
}

async fn send(
    connection: &mut Connection,
    context: &RequestContext,
    instance_id: &str,
    last_event: Option<&str>,
) -> Result<(), AttemptError> {
    let mut forwarded = context.headers.clone();
    let remaining_ms = format!("{:.0}", (context.remaining_ms() - CLIENT_LATENCY_MS).max(1.0));
    set(&mut forwarded, headers::DEADLINE, &remaining_ms);
    set(&mut forwarded, headers::EXPECTED_INSTANCE, instance_id);
    if context.prompt.is_some() {
        set(&mut forwarded, headers::PRIORITY, &context.priority().to_string());
    }
    if let Some(last_event) = last_event {
        set(&mut forwarded, headers::LAST_EVENT_ID, last_event);
    }
    let head = RequestHead { method: &context.method, target: &context.target, headers: &forwarded };
    connection.send_request(&head, &context.body).await
}

/// Sets a header. A value that can't stand in one, which the client sent, is omitted.
fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Reads a response's body to its end.
///
/// # Errors
///
/// [`AttemptError::Broken`] where the connection ends before, or the body is over [`MAX_BUFFERED_BODY`].
pub async fn read_body(connection: &mut Connection) -> Result<Bytes, AttemptError> {
    let Some(first) = connection.read_body_part().await? else {
        return Ok(Bytes::new());
    };
    let mut body = BytesMut::from(first);
    while let Some(part) = connection.read_body_part().await? {
        body.extend_from_slice(&part);
        if body.len() > MAX_BUFFERED_BODY {
            return Err(AttemptError::Broken);
        }
    }
    Ok(body.freeze())
}

/// Reads and discards the body of a response, so that its connection can be reused.
pub async fn discard_body_and_release(proxy: &Proxy, instance_id: &str, mut connection: Connection) {
    let reading = tokio::time::timeout(CONNECT_TIMEOUT, read_body(&mut connection));
    if matches!(reading.await, Ok(Ok(_))) {
        proxy.pool.release(instance_id, connection);
    }
}

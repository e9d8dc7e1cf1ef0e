//! Clients' connections, and the graceful shutdown after SIGTERM.
//!
//! Guarantees that clients' connections leave descriptors for those to servers and stores, and that a
//! shutdown ends before the platform's kill.

use crate::answer::Answer;
use crate::proxy::Proxy;
use crate::request;
use http::{HeaderValue, Request, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, info};
use pointcross_tier_runtime::network::{Listener, Stream};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The pause after accepting failed, as where descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Descriptors reserved for other uses: servers, stores, files.
const RESERVED_DESCRIPTORS: usize = 1200;
/// The minimum size that hyper allows for its buffer, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
/// The platform detects within two checks of a second each that a proxy is not ready.
const UNREADY_DETECTION_DELAY: Duration = Duration::from_millis(2300);
/// The process ends so long before the platform's kill.
const KILL_MARGIN: Duration = Duration::from_millis(200);
/// The interval of checks whether all connections are closed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Accepts clients' connections until [`Proxy::closing`] notifies. A connection above the limit of
/// descriptors is closed at once.
///
/// Each connection is served in a detached task; [`drain`] waits for them by [`Proxy::open_connections`].
pub async fn serve(proxy: Rc<Proxy>, mut listener: Box<dyn Listener>) {
    let max_fds = proxy.settings.limits.max_fds;
    let max_connections = max_fds.saturating_sub(RESERVED_DESCRIPTORS).max(max_fds / 2);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = proxy.closing.notified() => return,
        };
        let Ok(stream) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let open = &proxy.open_connections;
        if open.get() >= max_connections {
            continue;
        }
        open.set(open.get() + 1);
        let proxy = proxy.clone();
        spawn_local(async move {
            serve_connection(proxy.clone(), stream).await;
            proxy.open_connections.set(proxy.open_connections.get() - 1);
        });
    }
}

async fn serve_connection(proxy: Rc<Proxy>, stream: Stream) {
    let limits = proxy.route_table.borrow().as_ref().map(|table| table.limits().clone()).unwrap_or_default();
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms.max(limits.header_timeout_ms)))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
    let closing = proxy.closing.clone();
    let service = service_fn(move |request| respond(proxy.clone(), request));
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut result = tokio::select! {
        biased;
        result = &mut connection => Some(result),
        () = closing.notified() => None,
    };
    if result.is_none() {
        connection.as_mut().graceful_shutdown();
        result = Some(connection.await);
    }
    if let Some(Err(error)) = result {
        debug!("client connection failed: {error}");
    }
}

async fn respond(proxy: Rc<Proxy>, request: Request<Incoming>) -> Result<Answer, Infallible> {
    let mut answer = request::handle(&proxy, request).await;
    if proxy.draining.get() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

/// Shuts down gracefully after SIGTERM, within `grace`.
///
/// The proxy is not ready from now on, but accepts requests until the platform has detected that. Then it
/// closes its listener and waits until the requests in flight are answered.
pub async fn drain(proxy: &Proxy, grace: Duration) {
    info!("draining");
    proxy.draining.set(true);
    let kill = Instant::now() + grace;
    tokio::time::sleep(UNREADY_DETECTION_DELAY.min(grace / 3)).await;
    proxy.closing.notify();
    while proxy.open_connections.get() > 0 && Instant::now() + KILL_MARGIN < kill {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    info!("drained: open_connections={}", proxy.open_connections.get());
}

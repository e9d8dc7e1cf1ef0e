//! The platform's health check: whether this proxy accepts new connections. Answers on a port of its own, so
//! that it does so also where clients use up the front's connections.

use crate::proxy::Proxy;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use pointcross_tier_runtime::network::{Listener, Stream};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// The path of the check.
const READY_PATH: &str = "/pointcross/ready";
/// A connection of the platform is closed after so long without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause after accepting failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Answers health checks until the process ends: while the proxy drains it has to answer that it isn't ready.
///
/// Each connection is served in a detached task, which ends with the platform's connection or its idle
/// timeout.
pub async fn serve(proxy: Rc<Proxy>, mut listener: Box<dyn Listener>) {
    loop {
        let Ok(stream) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        spawn_local(serve_connection(proxy.clone(), stream));
    }
}

async fn serve_connection(proxy: Rc<Proxy>, stream: Stream) {
    let service = service_fn(move |request: Request<Incoming>| {
        let mut response = Response::new(Empty::<Bytes>::new());
        *response.status_mut() = status(request.uri().path(), proxy.is_ready());
        std::future::ready(Ok::<_, Infallible>(response))
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

fn status(path: &str, is_ready: bool) -> StatusCode {
    match (path == READY_PATH, is_ready) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

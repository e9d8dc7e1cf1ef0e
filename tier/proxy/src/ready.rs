//! The platform's check whether this proxy takes new connections.

use crate::proxy::Proxy;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use pointcross_tier_runtime::network::Listener;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// A connection of the platform is closed after so long without a request.
const IDLE: Duration = Duration::from_secs(10);
/// A pause after accepting failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers for ever.
pub async fn serve(proxy: Rc<Proxy>, mut listener: Box<dyn Listener>) {
    loop {
        let Ok(stream) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let proxy = proxy.clone();
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let found = request.uri().path() == "/pointcross/ready";
                let status = match (found, proxy.is_ready()) {
                    (false, _) => StatusCode::NOT_FOUND,
                    (true, true) => StatusCode::OK,
                    (true, false) => StatusCode::SERVICE_UNAVAILABLE,
                };
                let mut response = Response::new(Empty::<Bytes>::new());
                *response.status_mut() = status;
                std::future::ready(Ok::<_, Infallible>(response))
            });
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(IDLE);
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

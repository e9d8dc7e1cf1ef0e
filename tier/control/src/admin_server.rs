//! HTTP on the control address, for the operator and for instances.
//!
//! Guarantees that callers from outside take at most a part of the process's descriptors, so that they can't
//! cut a member off from the others. A connection's task ends with its connection; the process cancels those
//! that are left.

use crate::member::Member;
use crate::reply::Reply;
use crate::{admin_service, heartbeats};
use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::debug;
use pointcross_tier_protocol::headers::BASE_VERSION;
use pointcross_tier_runtime::network::{Listener, Stream};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// The maximum body in bytes: the largest that clients may send by default. It is the same on all members, so
/// that a body rejected for its length by one is accepted by none.
const MAX_BODY: usize = 4 * 1024 * 1024;
/// The delay after accepting failed, as where descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Callers from outside may use one in so many of the process's descriptors; the rest is for the tier itself.
const DESCRIPTOR_DIVISOR: usize = 2;
/// Connections that are allowed whatever the number of descriptors.
const MIN_CONNECTIONS: usize = 16;
/// A connection without a request for so many heartbeat intervals is closed.
const IDLE_HEARTBEATS: u32 = 4;
/// It stays open for this time at least.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The path of all calls starts so.
const PATH_PREFIX: &str = "/pointcross/";

/// Serves callers from outside until cancelled.
pub async fn serve(member: Rc<Member>, mut listener: Box<dyn Listener>) {
    let max_connections = (member.settings.limits.max_fds / DESCRIPTOR_DIVISOR).max(MIN_CONNECTIONS);
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok(stream) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.get() >= max_connections {
            continue;
        }
        open.set(open.get() + 1);
        let (member, open) = (member.clone(), open.clone());
        // Once half of the connections are taken, each is closed after its answer.
        let keep_alive = open.get() * 2 < max_connections;
        spawn_local(async move {
            serve_connection(member, stream, keep_alive).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve_connection(member: Rc<Member>, stream: Stream, keep_alive: bool) {
    let idle = Duration::from_millis(member.settings.heartbeat_ms) * IDLE_HEARTBEATS;
    let service = service_fn(move |request| answer(member.clone(), request));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.max(MIN_IDLE_TIMEOUT))
        .keep_alive(keep_alive)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        debug!("admin connection failed: {error}");
    }
}

async fn answer(member: Rc<Member>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let reply = match Limited::new(body, MAX_BODY).collect().await {
        Ok(body) => route(&member, &head, body.to_bytes()).await,
        Err(error) if error.is::<LengthLimitError>() => Reply::too_large(format!(
            "the body is longer than {MAX_BODY} bytes, the most that a member takes"
        )),
        Err(error) => Reply::bad_request(format!("the body can't be read: {error}")),
    };
    let content_type = if reply.is_json { "application/json" } else { "text/plain" };
    let response = Response::builder().status(reply.status).header(header::CONTENT_TYPE, content_type);
    Ok(response.body(Full::new(reply.body)).expect("status and header are valid"))
}

async fn route(member: &Rc<Member>, head: &http::request::Parts, body: Bytes) -> Reply {
    let Some(call) = head.uri.path().strip_prefix(PATH_PREFIX) else {
        return Reply::not_found("no such interface");
    };
    let (verb, argument) = call.split_once('/').unwrap_or((call, ""));
    let base = head.headers.get(BASE_VERSION).and_then(|base| base.to_str().ok());
    match (&head.method, verb) {
        (&Method::POST, "Instances.Heartbeat") => heartbeats::heartbeat(member, argument, &body).await,
        (&Method::POST, "Instances.Deregister") => heartbeats::deregister(member, argument).await,
        (&Method::POST, "Configuration.Replace") => admin_service::replace(member, base, body).await,
        (&Method::GET, "Configuration.Get") => admin_service::get(member).await,
        (&Method::POST, "Retire.Start") => admin_service::start_retire(member, argument).await,
        (&Method::GET, "Retire.Get") => admin_service::retire_state(member, argument).await,
        _ => Reply::not_found("no such interface"),
    }
}

//! The operators' admin API: a listener of its own, HTTP/1.1, one call per connection.
//!
//! Guards against operators locked out by load: the API shares no connection slot, budget or task with the
//! clients, bounds its own connections, and closes a caller that has not sent a complete head within 500 ms.
//!
//! Connections run as detached tasks: each ends within 900 ms, and the end of the program may drop them.

pub mod bans;
pub mod decide;

use crate::http::Front;
use crate::service_state::ServiceState;
use bytes::Bytes;
use decide::{Call, ClassFigures, Figures};
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use pointcross_config_distribution::Status;
use pointcross_coordination::driver::Peers;
use pointcross_core::Core;
use std::convert::Infallible;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

/// A caller that has not sent its complete head by then is closed: answers are due within 1 s, and an idle
/// caller must not occupy a connection for the 4 s that some stay.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest a connection lasts, whatever it does.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(900);
/// Open connections at most; a further one is closed at once. Operators and their scrapers make a few.
const MAX_CONNECTIONS: usize = 32;
/// The admin API, with what its calls act on.
pub struct AdminApi {
    core: Arc<Core>,
    front: Arc<Front>,
    service: ServiceState,
    classes: Vec<String>,
    bans: Option<PathBuf>,
    /// The other schedulers, where the operator's file names them.
    peers: Option<Arc<Peers>>,
    /// The state of the carried configuration, where the operator's file names its sources.
    configuration_status: Option<watch::Receiver<Status>>,
}

impl AdminApi {
    /// The API of this core and front; bans are saved in the file `bans`, where it is given.
    pub fn new(
        core: Arc<Core>,
        front: Arc<Front>,
        service: ServiceState,
        classes: Vec<String>,
        bans: Option<PathBuf>,
        peers: Option<Arc<Peers>>,
        configuration_status: Option<watch::Receiver<Status>>,
    ) -> Self {
        AdminApi { core, front, service, classes, bans, peers, configuration_status }
    }

    /// The current figures.
    pub fn figures(&self) -> Figures {
        let counts = self.core.counts();
        let classes = self.classes.iter().enumerate().map(|(number, name)| {
            let class = counts.class(number);
            ClassFigures {
                name: name.clone(),
                success: class.success,
                busy: class.busy,
                failure: class.failure,
            }
        });
        Figures {
            classes: classes.collect(),
            backend_calls: counts.backend_calls(),
            inflight: self.core.open_requests() as u64,
            hosts_listed: self.core.listed_nodes() as u64,
            hosts_down: self.core.unavailable_nodes() as u64,
        }
    }

    /// Carries out one call; returns the status and the text of the answer.
    pub async fn execute(&self, call: Call) -> (StatusCode, String) {
        match call {
            Call::Ready if self.front.is_ready() => (StatusCode::OK, "ready\n".into()),
            Call::Ready => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
            Call::Counters => (StatusCode::OK, decide::counters(&self.figures())),
            Call::OutOfService => {
                self.service.leave_service();
                tracing::info!("out of service");
                (StatusCode::OK, "out of service\n".into())
            }
            Call::InService => {
                self.service.return_to_service();
                tracing::info!("in service");
                (StatusCode::OK, "in service\n".into())
            }
            Call::Plan => match &self.peers {
                Some(peers) => (StatusCode::OK, peers.plan_text() + "\n"),
                None => no_plan(),
            },
            Call::Ask(machine) => match &self.peers {
                Some(peers) => plan_reply(peers.request_drains(vec![machine]).await),
                None => no_plan(),
            },
            Call::Done(machine) => match &self.peers {
                Some(peers) => plan_reply(peers.finish_work(machine).await),
                None => no_plan(),
            },
            Call::Configuration => match &self.configuration_status {
                Some(status) => (StatusCode::OK, decide::configuration(&status.borrow())),
                None => {
                    (StatusCode::NOT_FOUND, "configuration: this scheduler follows none of a fleet\n".into())
                }
            },
            Call::Offline(id) => self.set_offline(&id, true),
            Call::Online(id) => self.set_offline(&id, false),
        }
    }

    fn set_offline(&self, id: &str, offline: bool) -> (StatusCode, String) {
        let done = if offline { self.core.ban(id) } else { self.core.unban(id) };
        if let Err(error) = done {
            return (StatusCode::NOT_FOUND, format!("{error}\n"));
        }
        if let Some(path) = &self.bans
            && let Err(error) = bans::write(path, &self.core.banned())
        {
            // The ban is in effect in this process; only a replacement would not know of it.
            tracing::warn!(path = %path.display(), %error, "bans not saved");
        }
        (StatusCode::OK, format!("storage node {id} {}\n", if offline { "offline" } else { "online" }))
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        // An empty body counts as none; the time-out bounds how much of another is read.
        let body = match tokio::time::timeout(HEAD_TIMEOUT, body.collect()).await {
            Ok(Ok(collected)) => !collected.to_bytes().is_empty(),
            _ => true,
        };
        let (status, text) = match decide::route(head.method.as_str(), head.uri.path(), body) {
            Ok(call) => self.execute(call).await,
            Err(wrong) => (
                StatusCode::from_u16(wrong.status()).unwrap_or(StatusCode::BAD_REQUEST),
                format!("{wrong}\n"),
            ),
        };
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        response.headers_mut().insert(header::CONNECTION, header::HeaderValue::from_static("close"));
        response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/plain"));
        response
    }
}

fn no_plan() -> (StatusCode, String) {
    (StatusCode::NOT_FOUND, "maintenance: this scheduler holds no plan with others\n".into())
}

fn plan_reply(reply: Result<Vec<u8>, (StatusCode, String)>) -> (StatusCode, String) {
    match reply {
        Ok(text) => (StatusCode::OK, String::from_utf8_lossy(&text).into_owned()),
        Err((status, text)) => (status, format!("{text}\n")),
    }
}

/// Accepts the API's connections for as long as the program runs.
pub async fn accept(listener: TcpListener, api: Arc<AdminApi>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "admin accept failed");
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            }
        };
        // At the bound a new caller is closed at once: the others are answered in time.
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            tracing::warn!("admin connection rejected: open={MAX_CONNECTIONS}");
            continue;
        };
        let api = api.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let _ = stream.set_nodelay(true);
            let service = service_fn(|request| {
                let api = api.clone();
                async move { Ok::<_, Infallible>(api.answer(request).await) }
            });
            let mut server = http1::Builder::new();
            server
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .keep_alive(false)
                .max_buf_size(16 * 1024);
            let serving = server.serve_connection(TokioIo::new(stream), service);
            let _ = tokio::time::timeout(CONNECTION_TIMEOUT, serving).await;
        });
    }
}

//! An emulated model scheduler: registers itself, runs requests, and keeps a ledger of what it ran.

use crate::client;
use crate::network::World;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use pointcross_tier_protocol::headers;
use pointcross_tier_runtime::network::{Network, Stream};
use pointcross_tier_runtime::random;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::Instant;

/// The time between two heartbeats.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(1000);
/// How long a heartbeat's acknowledgement may take.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(1);
/// Events of a stream.
const EVENTS: usize = 3;
/// How long a request runs.
const RUNS_FOR: Duration = Duration::from_millis(60);
/// The port that requests come to.
const PORT: u16 = 8000;

/// The request ran, and its answer goes nowhere.
#[derive(Clone, Copy, Debug)]
struct AnswerLost;

impl std::fmt::Display for AnswerLost {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the answer is lost")
    }
}

impl std::error::Error for AnswerLost {}

/// A request that was run.
#[derive(Clone, Debug)]
pub struct RanRequest {
    /// The try's id.
    pub attempt: String,
    /// The body.
    pub body: String,
    /// When it came.
    pub at: Instant,
}

/// An emulated model scheduler.
#[derive(Clone)]
pub struct Engine {
    /// Its id.
    pub id: String,
    service: String,
    address: SocketAddrV4,
    network: Rc<dyn Network>,
    control: Rc<RefCell<Vec<SocketAddrV4>>>,
    ran: Rc<RefCell<Vec<RanRequest>>>,
    call_seq: Rc<Cell<u64>>,
    state: Rc<Cell<&'static str>>,
    answers_lost: Rc<Cell<u64>>,
    tasks: Rc<RefCell<Vec<AbortHandle>>>,
}

impl Engine {
    /// Starts one on a host of a network in memory; it calls these control addresses in turn.
    pub fn start(world: &World, id: &str, service: &str, host: Ipv4Addr, control: Vec<SocketAddrV4>) -> Self {
        Engine::start_on(world.network(host), id, service, host, control)
    }

    /// Starts one on any network.
    pub fn start_on(
        network: Rc<dyn Network>,
        id: &str,
        service: &str,
        host: Ipv4Addr,
        control: Vec<SocketAddrV4>,
    ) -> Self {
        let engine = Engine {
            id: id.to_owned(),
            service: service.to_owned(),
            address: SocketAddrV4::new(host, PORT),
            network,
            control: Rc::new(RefCell::new(control)),
            ran: Rc::default(),
            call_seq: Rc::default(),
            state: Rc::new(Cell::new("ready")),
            answers_lost: Rc::default(),
            tasks: Rc::default(),
        };
        let mut listener = engine.network.listen(engine.address).expect("a free address");
        let serving = engine.clone();
        let serve = spawn_local(async move {
            while let Ok(stream) = listener.accept().await {
                spawn_local(serving.clone().serve(stream));
            }
        });
        let beating = engine.clone();
        let beat = spawn_local(async move {
            loop {
                beating.heartbeat().await;
                tokio::time::sleep(HEARTBEAT_EVERY).await;
            }
        });
        engine.tasks.borrow_mut().extend([serve.abort_handle(), beat.abort_handle()]);
        engine
    }

    /// Sends no heartbeats any longer; it still answers.
    pub fn stop_heartbeats(&self) {
        if let Some(beat) = self.tasks.borrow().get(1) {
            beat.abort();
        }
    }

    /// So many of a hundred requests run and have their connection closed in place of an answer.
    pub fn lose_answers(&self, of_a_hundred: u64) {
        self.answers_lost.set(of_a_hundred);
    }

    /// What it ran, in order.
    pub fn ran(&self) -> Vec<RanRequest> {
        self.ran.borrow().clone()
    }

    /// Announces that it will end. Gives the control address that acknowledged.
    pub async fn drain(&self) -> SocketAddrV4 {
        self.state.set("draining");
        loop {
            if let Some(acknowledged) = self.heartbeat().await {
                return acknowledged;
            }
        }
    }

    /// One heartbeat; another member is called next time where this one does not acknowledge.
    async fn heartbeat(&self) -> Option<SocketAddrV4> {
        let control = self.control.borrow()[0];
        self.call_seq.set(self.call_seq.get() + 1);
        let body = format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"zone-1","Version":"v1","Capacity":8,"State":"{}","ColdLeftMs":0,"CallSeq":{}}}"#,
            self.service,
            self.address,
            self.state.get(),
            self.call_seq.get()
        );
        let request = Request::post(format!("/pointcross/Instances.Heartbeat/{}", self.id))
            .body(Bytes::from(body))
            .expect("a valid request");
        let reply = client::call(&self.network, control, request, ACKNOWLEDGED_WITHIN).await;
        if reply.is_some_and(|reply| reply.status.is_success()) {
            return Some(control);
        }
        self.control.borrow_mut().rotate_left(1);
        None
    }

    async fn serve(self, stream: Stream) {
        let service = service_fn(move |request| self.clone().answer(request));
        let mut builder = hyper::server::conn::http1::Builder::new();
        let _ = builder
            .timer(hyper_util::rt::TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, AnswerLost> {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
        };
        let attempt = header(headers::ATTEMPT_ID);
        if header(headers::EXPECTED_INSTANCE) != self.id {
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return Ok(response);
        }
        let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        self.ran.borrow_mut().push(RanRequest { attempt: attempt.clone(), body, at: Instant::now() });
        tokio::time::sleep(RUNS_FOR).await;
        if self.answers_lost.get() > 0 && random::below(100) < self.answers_lost.get() {
            return Err(AnswerLost);
        }
        let events: String =
            (1..=EVENTS).map(|event| format!("id: {event}\ndata: {attempt}.{event}\n\n")).collect();
        let response = Response::builder()
            .header("content-type", "text/event-stream")
            .header(headers::ATTEMPT_ID, &attempt)
            .header(headers::SIGNATURE, "stamp");
        Ok(response.body(Full::new(Bytes::from(events))).expect("a valid response"))
    }
}

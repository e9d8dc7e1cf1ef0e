//! An emulated model scheduler: registers itself, runs requests, and keeps a ledger of what it ran.

use crate::client;
use crate::network::World;
use bytes::Bytes;
use http::Request;
use pointcross_tier_protocol::headers;
use pointcross_tier_runtime::network::{Network, Stream};
use pointcross_tier_runtime::random;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
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

/// What may become of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFault {
    /// The connection is closed before the request is read.
    ResetBeforeReading,
    /// It is turned away before its body is in; the connection goes on.
    RejectEarly,
    /// It runs, and the connection is closed in place of an answer.
    LoseAnswer,
    /// It runs, and the answer ends early.
    BreakOff,
    /// It runs, and what comes is no answer.
    Spoil,
    /// It runs, and its answer ends with the connection.
    Unframed,
    /// It runs, and its answer comes twice.
    AnswerTwice,
    /// It runs, and the answer of the request before comes once more in front of its own.
    LateAnswer,
}

impl EngineFault {
    /// All of them.
    pub const ALL: [EngineFault; 8] = [
        EngineFault::ResetBeforeReading,
        EngineFault::RejectEarly,
        EngineFault::LoseAnswer,
        EngineFault::BreakOff,
        EngineFault::Spoil,
        EngineFault::Unframed,
        EngineFault::AnswerTwice,
        EngineFault::LateAnswer,
    ];
}

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
    fault_percent: Rc<Cell<u64>>,
    faults: Rc<RefCell<Vec<EngineFault>>>,
    forgets_resting: Rc<Cell<Option<Duration>>>,
    read_after_rejection: Rc<RefCell<Vec<(String, String)>>>,
    heart: Rc<RefCell<Option<AbortHandle>>>,
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
            fault_percent: Rc::default(),
            faults: Rc::default(),
            forgets_resting: Rc::default(),
            read_after_rejection: Rc::default(),
            heart: Rc::default(),
            tasks: Rc::default(),
        };
        let mut listener = engine.network.listen(engine.address).expect("a free address");
        let serving = engine.clone();
        let serve = spawn_local(async move {
            while let Ok(stream) = listener.accept().await {
                let connection = spawn_local(serving.clone().serve(stream));
                serving.tasks.borrow_mut().push(connection.abort_handle());
            }
        });
        let beating = engine.clone();
        let beat = spawn_local(async move {
            loop {
                beating.heartbeat().await;
                tokio::time::sleep(HEARTBEAT_EVERY).await;
            }
        });
        *engine.heart.borrow_mut() = Some(beat.abort_handle());
        engine.tasks.borrow_mut().extend([serve.abort_handle(), beat.abort_handle()]);
        engine
    }

    /// Sends no heartbeats any longer; it still answers.
    pub fn stop_heartbeats(&self) {
        if let Some(heart) = self.heart.borrow().as_ref() {
            heart.abort();
        }
    }

    /// So many of a hundred requests run and have their connection closed in place of an answer.
    pub fn lose_answers(&self, of_a_hundred: u64) {
        self.answers_lost.set(of_a_hundred);
    }

    /// Its host.
    pub fn host(&self) -> Ipv4Addr {
        *self.address.ip()
    }

    /// It calls these control addresses from now on.
    pub fn call_control(&self, control: Vec<SocketAddrV4>) {
        *self.control.borrow_mut() = control;
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

    /// Says that it is gone, and serves on; it sends no heartbeats any longer.
    pub async fn deregister(&self) -> SocketAddrV4 {
        self.stop_heartbeats();
        loop {
            let control = self.control.borrow()[0];
            let request = Request::post(format!("/pointcross/Instances.Deregister/{}", self.id))
                .body(Bytes::new())
                .expect("a valid request");
            let reply = client::call(&self.network, control, request, ACKNOWLEDGED_WITHIN).await;
            if reply.is_some_and(|reply| reply.status.is_success()) {
                return control;
            }
            self.control.borrow_mut().rotate_left(1);
        }
    }

    /// One heartbeat; another member is called next time where this one does not acknowledge.
    async fn heartbeat(&self) -> Option<SocketAddrV4> {
        let control = self.control.borrow()[0];
        self.call_seq.set(self.call_seq.get() + 1);
        if self.send_heartbeat(control, self.call_seq.get()).await {
            return Some(control);
        }
        self.control.borrow_mut().rotate_left(1);
        None
    }

    /// The number of its last call.
    pub fn call_seq(&self) -> u64 {
        self.call_seq.get()
    }

    /// Sends a heartbeat with this call number, as the network does that delivers one late or twice. Returns
    /// whether it was acknowledged.
    pub async fn send_heartbeat(&self, control: SocketAddrV4, call_seq: u64) -> bool {
        let body = format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"zone-1","Version":"v1","Capacity":8,"State":"{}","ColdLeftMs":0,"CallSeq":{call_seq}}}"#,
            self.service,
            self.address,
            self.state.get(),
        );
        let request = Request::post(format!("/pointcross/Instances.Heartbeat/{}", self.id))
            .body(Bytes::from(body))
            .expect("a valid request");
        let reply = client::call(&self.network, control, request, ACKNOWLEDGED_WITHIN).await;
        reply.is_some_and(|reply| reply.status.is_success())
    }

    /// Ends: it serves and beats no longer, and its address is free for another.
    pub fn end(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// So many of a hundred requests meet with a fault, one of these.
    pub fn misbehave(&self, of_a_hundred: u64, faults: &[EngineFault]) {
        self.fault_percent.set(of_a_hundred);
        *self.faults.borrow_mut() = faults.to_vec();
    }

    /// Connections that have rested for so long are reset when a request comes on them.
    pub fn forget_resting(&self, after: Option<Duration>) {
        self.forgets_resting.set(after);
    }

    /// Bodies that it read of requests that it turned away before they were in.
    pub fn read_after_rejection(&self) -> Vec<(String, String)> {
        self.read_after_rejection.borrow().clone()
    }

    fn next_fault(&self) -> Option<EngineFault> {
        let faults = self.faults.borrow();
        if faults.is_empty() || random::below(100) >= self.fault_percent.get() {
            return None;
        }
        Some(faults[random::below(faults.len() as u64) as usize])
    }

    async fn serve(self, stream: Stream) {
        let mut wire = Wire::new(stream);
        let mut previous: Option<String> = None;
        loop {
            let rested_since = Instant::now();
            let Some(head) = wire.read_head().await else { return };
            let forgotten = self.forgets_resting.get().is_some_and(|after| rested_since.elapsed() > after);
            if forgotten && previous.is_some() {
                return;
            }
            let attempt = head.header(headers::ATTEMPT_ID);
            let kept = self.answer(&mut wire, &head, previous.as_deref()).await;
            if kept.is_none() {
                return;
            }
            previous = Some(attempt);
        }
    }

    /// Answers a request; `None` closes the connection.
    async fn answer(&self, wire: &mut Wire, head: &RequestHead, previous: Option<&str>) -> Option<()> {
        let attempt = head.header(headers::ATTEMPT_ID);
        let fault = self.next_fault();
        if fault == Some(EngineFault::ResetBeforeReading) {
            return None;
        }
        if fault == Some(EngineFault::RejectEarly) {
            wire.write(&not_executed(&attempt, 503)).await?;
            let body = wire.read_body(head.length).await?;
            self.read_after_rejection.borrow_mut().push((attempt, body));
            return Some(());
        }
        let body = wire.read_body(head.length).await?;
        if head.header(headers::EXPECTED_INSTANCE) != self.id {
            return wire.write(&not_executed(&attempt, 421)).await;
        }
        self.ran.borrow_mut().push(RanRequest { attempt: attempt.clone(), body, at: Instant::now() });
        tokio::time::sleep(RUNS_FOR).await;
        if self.answers_lost.get() > 0 && random::below(100) < self.answers_lost.get() {
            return None;
        }
        let events = events_of(&attempt);
        match fault {
            Some(EngineFault::LoseAnswer) => None,
            Some(EngineFault::BreakOff) => {
                let cut = &answer_with_length(&attempt, &events);
                wire.write(&cut[..cut.len() - events.len() / 2]).await?;
                None
            }
            Some(EngineFault::Spoil) => {
                wire.write(b"HTTP/1.1 2oo ???\r\n\r\n").await?;
                None
            }
            Some(EngineFault::Unframed) => {
                wire.write(&answer_without_length(&attempt, &events)).await?;
                None
            }
            Some(EngineFault::AnswerTwice) => {
                wire.write(&answer_with_length(&attempt, &events)).await?;
                wire.write(&answer_with_length(&attempt, &events)).await
            }
            Some(EngineFault::LateAnswer) => {
                // What a try before this one was answered comes once more, where this answer is due.
                if let Some(previous) = previous {
                    wire.write(&answer_with_length(previous, &events_of(previous))).await?;
                }
                wire.write(&answer_with_length(&attempt, &events)).await
            }
            _ => wire.write(&answer_with_length(&attempt, &events)).await,
        }
    }
}

fn events_of(attempt: &str) -> String {
    (1..=EVENTS).map(|event| format!("id: {event}\ndata: {attempt}.{event}\n\n")).collect()
}

fn head_of(attempt: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{}: {attempt}\r\n{}: stamp\r\n",
        headers::ATTEMPT_ID,
        headers::SIGNATURE
    )
}

fn answer_with_length(attempt: &str, events: &str) -> Vec<u8> {
    format!("{}content-length: {}\r\n\r\n{events}", head_of(attempt), events.len()).into_bytes()
}

fn answer_without_length(attempt: &str, events: &str) -> Vec<u8> {
    format!("{}connection: close\r\n\r\n{events}", head_of(attempt)).into_bytes()
}

fn not_executed(attempt: &str, status: u16) -> Vec<u8> {
    let (id, not_executed) = (headers::ATTEMPT_ID, headers::NOT_EXECUTED);
    format!("HTTP/1.1 {status} No\r\n{id}: {attempt}\r\n{not_executed}: 1\r\ncontent-length: 0\r\n\r\n")
        .into_bytes()
}

/// The head of a request.
struct RequestHead {
    headers: Vec<(String, String)>,
    length: usize,
}

impl RequestHead {
    fn header(&self, name: &str) -> String {
        let found = self.headers.iter().find(|(at, _)| at.eq_ignore_ascii_case(name));
        found.map_or_else(String::new, |(_, value)| value.clone())
    }
}

/// A connection, read as bytes, so that it can be answered as badly as servers answer.
struct Wire {
    stream: Stream,
    buffer: Vec<u8>,
}

impl Wire {
    fn new(stream: Stream) -> Self {
        Wire { stream, buffer: Vec::new() }
    }

    async fn fill(&mut self) -> Option<()> {
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(()),
        }
    }

    async fn read_head(&mut self) -> Option<RequestHead> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end + 4;
            }
            self.fill().await?;
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let text = String::from_utf8_lossy(&head).into_owned();
        let headers: Vec<(String, String)> = text
            .lines()
            .skip(1)
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut head = RequestHead { headers, length: 0 };
        head.length = head.header("content-length").parse().unwrap_or(0);
        Some(head)
    }

    async fn read_body(&mut self, length: usize) -> Option<String> {
        while self.buffer.len() < length {
            self.fill().await?;
        }
        let body: Vec<u8> = self.buffer.drain(..length).collect();
        Some(String::from_utf8_lossy(&body).into_owned())
    }

    async fn write(&mut self, bytes: &[u8]) -> Option<()> {
        self.stream.write_all(bytes).await.ok()
    }
}

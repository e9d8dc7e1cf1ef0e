//! A stand-in of a scheduler (a server of a service), by the operators' pages: it registers itself by heartbeats,
//! runs requests meant for it, streams events, and keeps a ledger of what it ran.

use crate::http::{Call, Message, Reader};
use crate::record::Record;
use crate::tier::HEARTBEAT_MS;
use std::io::Write;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Events of a stream.
const EVENTS: usize = 3;
/// The time between two events.
const STEP: Duration = Duration::from_millis(10);
/// How long a call to control may take before the next control process is called.
const ACK_WITHIN: Duration = Duration::from_secs(1);

/// A request that was run.
#[derive(Clone, Debug)]
pub struct Ran {
    pub attempt: String,
    pub at: Instant,
}

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    /// The control processes, in the order in which it calls them; it stays with one until a call fails there.
    pub control: Arc<Mutex<Vec<SocketAddrV4>>>,
    pub ran: Arc<Mutex<Vec<Ran>>>,
    /// Heartbeats that were acknowledged within their time.
    pub acknowledged: Arc<AtomicU64>,
    beats: Arc<AtomicBool>,
    drains: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    call_seq: Arc<AtomicU64>,
    current: Arc<AtomicUsize>,
    record: Record,
}

impl Server {
    pub fn start(record: &Record, id: &str, service: &str, address: SocketAddrV4, control: Vec<SocketAddrV4>) -> Server {
        let listener = TcpListener::bind(address).unwrap_or_else(|error| {
            eprintln!("{address}: {error}");
            std::process::exit(2);
        });
        let server = Server {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            control: Arc::new(Mutex::new(control)),
            ran: Arc::default(),
            acknowledged: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            drains: Arc::default(),
            ended: Arc::default(),
            call_seq: Arc::default(),
            current: Arc::default(),
            record: record.clone(),
        };
        let serving = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.ended.load(Ordering::SeqCst) {
                    return;
                }
                let server = serving.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        let beating = server.clone();
        std::thread::spawn(move || beating.beat());
        server
    }

    /// No heartbeats from now on.
    pub fn stop_beating(&self) {
        self.beats.store(false, Ordering::SeqCst);
    }

    /// Says `draining` at once and from now on.
    pub fn drain(&self) {
        self.drains.store(true, Ordering::SeqCst);
        self.heartbeat();
        self.record.note(format!("{}: said draining", self.id));
    }

    /// Ends: no heartbeats any more, and connections are closed.
    pub fn end(&self) {
        self.stop_beating();
        self.ended.store(true, Ordering::SeqCst);
        self.record.note(format!("{}: ends", self.id));
    }

    fn beat(&self) {
        loop {
            let begun = Instant::now();
            if !self.beats.load(Ordering::SeqCst) {
                return;
            }
            self.heartbeat();
            std::thread::sleep(Duration::from_millis(HEARTBEAT_MS).saturating_sub(begun.elapsed()));
        }
    }

    /// One heartbeat: at the control process of the last one, and at the next ones where that does not acknowledge.
    fn heartbeat(&self) {
        let control = self.control.lock().unwrap().clone();
        let state = if self.drains.load(Ordering::SeqCst) { "draining" } else { "ready" };
        for _ in 0..control.len() {
            let at = self.current.load(Ordering::SeqCst) % control.len();
            let sequence = self.call_seq.fetch_add(1, Ordering::SeqCst) + 1;
            let body = format!(
                "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Capacity\":8,\
                 \"State\":\"{state}\",\"ColdLeftMs\":0,\"CallSeq\":{sequence}}}",
                self.service, self.address
            );
            let call = Call::new("POST", format!("/pointcross/Instances.Heartbeat/{}", self.id));
            let call = call.header("Content-Type", "application/json").body(body).patience(ACK_WITHIN);
            let status = call.send(control[at]).map_or(0, |reply| reply.status());
            if (200..300).contains(&status) {
                self.acknowledged.fetch_add(1, Ordering::SeqCst);
                return;
            }
            self.record.note(format!(
                "{}: heartbeat {sequence} at {} not acknowledged within 1 s (status {status}), calls the next",
                self.id, control[at]
            ));
            self.current.store(at + 1, Ordering::SeqCst);
        }
    }

    /// Announces its end to one control process. Returns whether it was acknowledged.
    pub fn deregister(&self, at: SocketAddrV4) -> bool {
        let call = Call::new("POST", format!("/pointcross/Instances.Deregister/{}", self.id));
        let status = call.patience(ACK_WITHIN).send(at).map_or(0, |reply| reply.status());
        self.record.note(format!("{}: Deregister at {at}: status {status}", self.id));
        (200..300).contains(&status)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        let mut writer = writer;
        while let Ok(Some(request)) = reader.message(false) {
            if self.ended.load(Ordering::SeqCst) || !request.complete || self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, to: &mut TcpStream) -> std::io::Result<()> {
        let mut words = request.start.split(' ');
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        if method == "GET" && path == "/health" {
            let head = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            return to.write_all(head.as_bytes());
        }
        if method == "GET" && path == "/pointcross/report" {
            let body = "{\"Phase\":\"both\",\"Models\":[],\"Utilization\":false,\"CallSeq\":0,\"Queued\":0,\"Running\":0,\
                        \"KvUsed\":0,\"KvTotal\":90000,\"OpenHandles\":0}";
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            return to.write_all(head.as_bytes());
        }
        let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
        if request.header("x-expected-instance").is_some_and(|id| id != self.id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return to.write_all(head.as_bytes());
        }
        self.ran.lock().unwrap().push(Ran { attempt: attempt.clone(), at: Instant::now() });
        self.record.note(format!("{}: runs {attempt} ({method} {path}, {} bytes)", self.id, request.body.len()));
        let stamp = format!("X-Attempt-Id: {attempt}\r\nX-Response-Signature: {}.{attempt}\r\nX-Server-Load: 1,0,8\r\n", self.id);
        if path.starts_with("/plain/") {
            let body = format!("done by {}", self.id);
            let head = format!("HTTP/1.1 200 OK\r\n{stamp}Content-Length: {}\r\n\r\n{body}", body.len());
            return to.write_all(head.as_bytes());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{stamp}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        to.write_all(head.as_bytes())?;
        for number in 1..=EVENTS {
            std::thread::sleep(STEP);
            let event = format!("id: {number}\ndata: {attempt}.{number}\n\n");
            to.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        to.write_all(b"0\r\n\r\n")
    }
}

//! A stand-in of clients: turns of programs and plain requests.

use crate::http::{Call, Message};
use crate::record::Record;
use std::net::SocketAddrV4;
use std::time::Duration;

pub const HOST: &str = "tier.example";

/// What the client saw of one try.
#[derive(Clone, Debug)]
pub struct Seen {
    pub status: u16,
    pub whole: bool,
}

/// A turn of a program whose time is not over; `previous` is the turn that it continues from.
pub fn turn(
    record: &Record,
    front: SocketAddrV4,
    path: &str,
    program: &str,
    attempt: &str,
    previous: Option<&str>,
    input: &str,
) -> Seen {
    let mut call = Call::new("POST", path)
        .header("Host", HOST)
        .header("X-Attempt-Id", attempt)
        .header("Program", program)
        .header("Session", format!("s-{program}"))
        .header("Finish-Ms", 15000)
        .header("X-Model", "m")
        .header("X-Token-Usage", "40,9")
        .header("X-Prompt-Prefix", format!("{:x}:40", attempt.len()))
        .header("X-Request-Deadline", 5000)
        .body(input.as_bytes())
        .patience(Duration::from_millis(5000));
    if let Some(previous) = previous {
        call = call.header("Previous", previous);
    }
    seen(record, &call, front, attempt, previous)
}

/// A request that is no turn.
pub fn plain(record: &Record, front: SocketAddrV4, path: &str, attempt: &str) -> Seen {
    let call = Call::new("POST", path)
        .header("Host", HOST)
        .header("X-Attempt-Id", attempt)
        .header("X-Request-Deadline", 2000)
        .body("x")
        .patience(Duration::from_millis(2500));
    seen(record, &call, front, attempt, None)
}

fn seen(record: &Record, call: &Call, front: SocketAddrV4, attempt: &str, previous: Option<&str>) -> Seen {
    let after = previous.map_or(String::new(), |previous| format!(" after {previous}"));
    record.note(format!("client: sends {attempt}{after} to {front}{}", call.path));
    let reply = call.send(front);
    let status = reply.as_ref().map_or(0, Message::status);
    let whole = reply.as_ref().is_some_and(|reply| reply.complete);
    let why = match &reply {
        Some(reply) if status != 200 => format!(" ({})", reply.text()),
        _ => String::new(),
    };
    record.note(format!("client: {attempt} answered {status}, whole {whole}{why}"));
    Seen { status, whole }
}

//! A stream of events and what it is split into, and bodies of heartbeats and what they tell, as golden
//! files.

#[path = "../../../test-support/golden/golden_file.rs"]
mod golden_file;

use golden_file::assert_golden;
use pointcross_tier_protocol::InstanceState;
use pointcross_tier_protocol::events::{Event, EventSplitter};
use pointcross_tier_protocol::instance::Heartbeat;
use std::fmt::Write as _;

/// Events with and without id and data, several lines of data, both ends of lines, comments and other fields;
/// the last one is not whole.
const STREAM: &[u8] = b"id: 1\ndata: first\n\n\
    id:2\r\ndata:no space\r\ndata:  two spaces\r\n\r\n\
    : a comment\n\n\
    event: end\nretry: 10\ndata\ndata:\n\n\
    data: no id\n\n\
    id: 3\n\n\
    \n\
    dataset: another field\nid: old\nid: new\ndata: \xff\xfe\x00 bytes\n\n\
    id: 4\ndata: not whole\n";

/// A linear congruential generator: the same pieces each time.
struct Pieces(u64);

impl Pieces {
    fn next_length(&mut self, most: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        1 + (self.0 >> 33) as usize % most
    }
}

fn escaped(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

fn describe(event: &Event) -> String {
    let id = event.id.as_deref().map_or("none".to_owned(), |id| format!("\"{id}\""));
    format!("bytes \"{}\" id {id} data \"{}\"", escaped(&event.bytes), escaped(&event.data))
}

fn split(mut next_length: impl FnMut() -> usize) -> String {
    let mut splitter = EventSplitter::default();
    let mut text = String::new();
    let mut rest = STREAM;
    while !rest.is_empty() {
        let (piece, behind) = rest.split_at(next_length().min(rest.len()));
        splitter.push(piece).expect("no event is too long");
        rest = behind;
        while let Some(event) = splitter.next_event() {
            writeln!(text, "{}", describe(&event)).expect("a string takes any text");
        }
    }
    let has_rest = if splitter.has_rest() { "yes" } else { "no" };
    writeln!(text, "a part of an event is left: {has_rest}").expect("a string takes any text");
    text
}

#[test]
fn events_of_a_stream() {
    assert_golden("event_stream.bin", STREAM);
    let whole = split(|| STREAM.len());
    assert_golden("events.txt", whole.as_bytes());
    for seed in 0..50 {
        let mut pieces = Pieces(seed);
        assert_eq!(split(|| pieces.next_length(9)), whole, "pieces of seed {seed}");
    }
}

const HEARTBEATS: [&str; 6] = [
    concat!(
        r#"{"Service":"engine","Address":"10.4.0.1:9000","Zone":"zone-1","#,
        r#""Capacity":8,"State":"ready","CallSeq":7}"#
    ),
    concat!(
        r#"{"Service":"engine","Address":"10.4.0.1:9000","Zone":"zone-1","#,
        r#""Capacity":8,"State":"draining","CallSeq":8}"#
    ),
    r#"{"Service":"engine","Address":"10.4.0.1:9000","State":"ready"}"#,
    r#"{"Service":"engine","Address":"10.4.0.1:9000","Capacity":0,"State":"ready","Other":1}"#,
    r#"{"Service":"engine","Address":"10.4.0.1:9000","State":"gone"}"#,
    r#"{"service":"engine","Address":"10.4.0.1:9000","State":"ready"}"#,
];

fn state_word(state: InstanceState) -> &'static str {
    match state {
        InstanceState::Ready => "ready",
        InstanceState::Unresponsive => "silent",
        InstanceState::Expired => "expired",
        InstanceState::Draining => "draining",
        InstanceState::Terminated => "gone",
    }
}

fn told_by(body: &str) -> String {
    let Ok(heartbeat) = serde_json::from_str::<Heartbeat>(body) else {
        return "not a heartbeat".to_owned();
    };
    let instance = heartbeat.instance("i-1".to_owned());
    format!(
        "id {} service {} address {} zone \"{}\" capacity {} state {} call {}",
        instance.id,
        instance.service,
        instance.address,
        instance.zone,
        instance.capacity,
        state_word(instance.state),
        instance.call_seq
    )
}

#[test]
fn bodies_of_heartbeats() {
    let mut text = String::new();
    for body in HEARTBEATS {
        writeln!(text, "{body}\n  {}", told_by(body)).expect("a string takes any text");
    }
    assert_golden("heartbeats.txt", text.as_bytes());
}

//! Streams of events, in pieces of any size.

use pointcross_tier_protocol::events::EventSplitter;
use proptest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: one\n\nversions: 2\nid: 2\ndata: two\ndata: more\n\nid: 3\r\ndata:three\r\n\r\n: comment\n\n";

fn split(pieces: &[&[u8]]) -> Vec<(Option<String>, String)> {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece).expect("short events");
        while let Some(event) = splitter.next_event() {
            events.push((event.id, String::from_utf8_lossy(&event.data).into_owned()));
        }
    }
    events
}

fn expected() -> Vec<(Option<String>, String)> {
    let event = |id: Option<&str>, data: &str| (id.map(str::to_owned), data.to_owned());
    vec![
        event(Some("1"), "one\n"),
        event(Some("2"), "two\nmore\n"),
        event(Some("3"), "three\n"),
        event(None, ""),
    ]
}

#[test]
fn whole_events_are_found() {
    assert_eq!(split(&[STREAM]), expected());
}

#[test]
fn a_part_of_an_event_is_kept_back() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: on").expect("short");
    assert!(splitter.next_event().is_none());
    assert!(splitter.has_rest());
}

#[test]
fn an_event_without_end_is_refused() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(&vec![b'x'; 2 * 1024 * 1024]).is_err());
}

proptest! {
    #[test]
    fn pieces_do_not_matter(cuts in proptest::collection::vec(0..STREAM.len(), 0..10)) {
        let mut cuts = cuts;
        cuts.extend([0, STREAM.len()]);
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts.windows(2).map(|ends| &STREAM[ends[0]..ends[1]]).collect();
        prop_assert_eq!(split(&pieces), expected());
    }

    #[test]
    fn any_bytes_come_back_unchanged(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut splitter = EventSplitter::default();
        splitter.push(&bytes).expect("short");
        let mut passed = Vec::new();
        while let Some(event) = splitter.next_event() {
            passed.extend_from_slice(&event.bytes);
        }
        prop_assert!(bytes.starts_with(&passed));
    }
}

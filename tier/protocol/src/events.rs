//! Splits a stream of server-sent events (WHATWG HTML, section 9.2) into events, without changing a byte.
//!
//! Guarantees against a server that never ends an event: at most 1 MiB is buffered.

use bytes::{Bytes, BytesMut};

/// The longest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// More than 1 MiB is buffered, the longest that an event may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes as they were received, the empty line at its end included.
    pub bytes: Bytes,
    /// The value of its last `id` field, if there is one.
    pub id: Option<String>,
    /// The values of its `data` fields, each followed by a line feed; empty where it has none.
    pub data: Vec<u8>,
}

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] where the buffer is over its limit; the stream can't be continued.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(chunk);
        if self.buffer.len() > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(()) }
    }

    /// Removes the next complete event from the buffer.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        Some(parse(bytes))
    }

    /// Whether an incomplete event is buffered, as where a stream broke off.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// The end of the first event: the offset after its empty line.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buffer[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn parse(bytes: Bytes) -> Event {
    let mut id = None;
    let mut data = Vec::new();
    for line in bytes.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field(line, b"data") {
            data.extend_from_slice(value);
            data.push(b'\n');
        } else if let Some(value) = field(line, b"id") {
            id = Some(String::from_utf8_lossy(value).into_owned());
        }
    }
    Event { bytes, id, data }
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

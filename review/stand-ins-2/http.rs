//! HTTP/1.1 for the stand-ins: one request on one connection, and reading a message from a stream.

use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// A message's start line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 where there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a stream, one after the other.
pub struct Reader<S> {
    pub stream: S,
    buffer: Vec<u8>,
}

impl<S: Read> Reader<S> {
    pub fn new(stream: S) -> Self {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let length = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// `length` bytes; fewer where the stream ends before. Returns whether all came.
    fn take(&mut self, length: usize, into: &mut Vec<u8>) -> bool {
        while self.buffer.len() < length {
            if !matches!(self.fill(), Ok(read) if read > 0) {
                into.append(&mut self.buffer);
                return false;
            }
        }
        into.extend(self.buffer.drain(..length));
        true
    }

    /// The next message; `None` at the end of the stream. `is_answer`: without a length, the body ends with the
    /// stream.
    pub fn message(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else { return Ok(None) };
        let mut message = Message { start, ..Message::default() };
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let length = message.header("content-length").and_then(|length| length.parse::<usize>().ok());
        let is_chunked = message.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked"));
        let mut body = Vec::new();
        message.complete = match (is_chunked, length) {
            (true, _) => self.chunks(&mut body),
            (false, Some(length)) => self.take(length, &mut body),
            (false, None) if is_answer && message.status() != 204 => loop {
                match self.fill() {
                    Ok(0) => break true,
                    Ok(_) => body.append(&mut self.buffer),
                    Err(_) => break false,
                }
            },
            (false, None) => true,
        };
        message.body = body;
        Ok(Some(message))
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Ok(Some(line)) = self.line() else { return false };
            let digits = line.split(';').next().unwrap_or_default().trim();
            let Ok(size) = usize::from_str_radix(digits, 16) else { return false };
            if size == 0 {
                return matches!(self.line(), Ok(Some(_)));
            }
            if !self.take(size, body) || !matches!(self.line(), Ok(Some(_))) {
                return false;
            }
        }
    }
}

/// A request on a connection of its own.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The longest pause without a byte.
    pub patience: Duration,
}

impl Call {
    pub fn new(method: &'static str, path: impl Into<String>) -> Self {
        Call { method, path: path.into(), headers: Vec::new(), body: Vec::new(), patience: Duration::from_secs(4) }
    }

    pub fn header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    pub fn patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    fn bytes(&self, host: &str) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        if !self.headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
            head.push_str(&format!("Host: {host}\r\n"));
        }
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("Connection: close\r\n\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends it; nothing where no answer's head came.
    pub fn send(&self, to: SocketAddrV4) -> Option<Message> {
        let mut stream = TcpStream::connect_timeout(&to.into(), Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(self.patience)).ok()?;
        stream.write_all(&self.bytes(&to.to_string())).ok()?;
        Reader::new(stream).message(true).ok().flatten()
    }
}

/// Waits until `ready` holds; false where it does not within `limit`.
pub fn wait_for(limit: Duration, mut ready: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if ready() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

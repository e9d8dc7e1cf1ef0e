//! One connection to a server: writes a request, reads its response.

use super::error::AttemptError;
use super::framing::{Framing, chunk_size};
use super::headers::{closes_connection, keep_alive_timeout, strip_connection_headers};
use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use pointcross_tier_protocol::headers::ATTEMPT_ID;
use pointcross_tier_runtime::network::{Stream, is_idle};
use std::io::Write as _;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

/// The longest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Headers of a response.
const MAX_HEADERS: usize = 64;
/// The longest size line of a chunk, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 128;
/// How long a connection may be idle where the server states no keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(900);
/// A connection is closed here so much before the server's stated timeout, so that no request meets its
/// close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(400);

/// The head of a request as it is written.
pub struct RequestHead<'a> {
    /// Its method.
    pub method: &'a Method,
    /// Path and query, unchanged.
    pub target: &'a str,
    /// Headers, without those that concern one connection only.
    pub headers: &'a HeaderMap,
}

/// The head of a response.
pub struct ResponseHead {
    /// Its status.
    pub status: StatusCode,
    /// Headers, without those that concern one connection only.
    pub headers: HeaderMap,
}

/// A connection to a server.
pub struct Connection {
    stream: Stream,
    /// Bytes that were received and not yet consumed.
    buffer: BytesMut,
    framing: Framing,
    /// Whether the server closes the connection after the current response.
    closes: bool,
    keep_alive: Duration,
    idle_since: Instant,
}

impl Connection {
    /// A connection that was just established.
    pub fn new(stream: Stream) -> Self {
        Connection {
            stream,
            buffer: BytesMut::new(),
            framing: Framing::Complete,
            closes: false,
            keep_alive: DEFAULT_KEEP_ALIVE,
            idle_since: Instant::now(),
        }
    }

    /// Whether an idle connection may carry a request: it is within its keep-alive time, and nothing arrived
    /// on it.
    pub(super) fn is_usable(&mut self) -> bool {
        is_idle(&mut self.stream) && self.is_within_keep_alive()
    }

    /// Whether it has been idle for less than the server allows.
    pub(super) fn is_within_keep_alive(&self) -> bool {
        self.idle_since.elapsed() < self.keep_alive
    }

    /// Starts the idle time. Returns whether the connection may be reused: the last response is complete,
    /// nothing followed it, and the server leaves the connection open.
    pub fn mark_idle(&mut self) -> bool {
        self.idle_since = Instant::now();
        !self.closes && self.framing == Framing::Complete && self.buffer.is_empty()
    }

    /// Writes a request.
    ///
    /// # Errors
    ///
    /// [`AttemptError::NotSent`] where the connection broke before its last byte was written.
    pub async fn send_request(&mut self, head: &RequestHead<'_>, body: &Bytes) -> Result<(), AttemptError> {
        let mut bytes = Vec::with_capacity(1024 + body.len());
        let _ = write!(bytes, "{} {} HTTP/1.1\r\n", head.method, head.target);
        for (name, value) in head.headers {
            bytes.extend_from_slice(name.as_str().as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value.as_bytes());
            bytes.extend_from_slice(b"\r\n");
        }
        let expects_body = !matches!(*head.method, Method::GET | Method::HEAD | Method::DELETE);
        if expects_body || !body.is_empty() {
            let _ = write!(bytes, "content-length: {}\r\n", body.len());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).await.map_err(|_| AttemptError::NotSent)
    }

    /// Reads the head of the response to this attempt. Responses to other attempts are discarded.
    ///
    /// # Errors
    ///
    /// [`AttemptError::Broken`] where the connection ended, a response can't be parsed, or a success carries
    /// no attempt id: it may belong to another request.
    pub async fn read_head(&mut self, attempt: Option<&HeaderValue>) -> Result<ResponseHead, AttemptError> {
        loop {
            let head = self.read_any_head().await?;
            if head.status.is_informational() {
                continue;
            }
            let id = head.headers.get(ATTEMPT_ID);
            // A server may reject a request that it could not parse without its attempt id; a success carries
            // the id.
            let is_unidentified_failure = id.is_none() && !head.status.is_success();
            if is_unidentified_failure || attempt.is_none() || id == attempt {
                return Ok(head);
            }
            if id.is_none() {
                return Err(AttemptError::Broken);
            }
            while self.read_body_part().await?.is_some() {}
        }
    }

    async fn read_any_head(&mut self) -> Result<ResponseHead, AttemptError> {
        loop {
            if let Some(head) = self.parse_head()? {
                return Ok(head);
            }
            self.receive().await?;
        }
    }

    /// Receives more bytes; here the end of the connection is an error.
    async fn receive(&mut self) -> Result<(), AttemptError> {
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(AttemptError::Broken),
            Ok(_) => Ok(()),
        }
    }

    /// The head that the buffer begins with; `None` while it is incomplete.
    fn parse_head(&mut self) -> Result<Option<ResponseHead>, AttemptError> {
        let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut parsed);
        let length = match response.parse(&self.buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if self.buffer.len() < MAX_HEAD_BYTES => return Ok(None),
            Ok(httparse::Status::Partial) | Err(_) => return Err(AttemptError::Broken),
        };
        let status = response.code.and_then(|code| StatusCode::from_u16(code).ok());
        let status = status.ok_or(AttemptError::Broken)?;
        let mut headers = HeaderMap::with_capacity(response.headers.len());
        for parsed in response.headers.iter() {
            let name = HeaderName::from_bytes(parsed.name.as_bytes()).map_err(|_| AttemptError::Broken)?;
            let value = HeaderValue::from_bytes(parsed.value).map_err(|_| AttemptError::Broken)?;
            headers.append(name, value);
        }
        self.buffer.advance(length);
        self.framing = Framing::of(status, &headers)?;
        self.record_keep_alive(&headers);
        strip_connection_headers(&mut headers);
        Ok(Some(ResponseHead { status, headers }))
    }

    fn record_keep_alive(&mut self, headers: &HeaderMap) {
        self.closes |= closes_connection(headers) || self.framing == Framing::UntilClose;
        if let Some(timeout) = keep_alive_timeout(headers) {
            self.keep_alive = timeout.saturating_sub(KEEP_ALIVE_MARGIN);
        }
    }

    /// The next part of the response's body; `None` once it is complete.
    ///
    /// # Errors
    ///
    /// [`AttemptError::Broken`] where the connection ended before the body did, or its framing is invalid.
    pub async fn read_body_part(&mut self) -> Result<Option<Bytes>, AttemptError> {
        loop {
            match self.framing {
                Framing::Complete => return Ok(None),
                Framing::Length(0) => self.framing = Framing::Complete,
                Framing::Length(left) if !self.buffer.is_empty() => {
                    let part = self.split_buffered(left);
                    self.framing = Framing::Length(left - part.len() as u64);
                    return Ok(Some(part));
                }
                Framing::Chunked(Some(0)) => self.read_chunk_end().await?,
                Framing::Chunked(Some(left)) if !self.buffer.is_empty() => {
                    let part = self.split_buffered(left);
                    self.framing = Framing::Chunked(Some(left - part.len() as u64));
                    return Ok(Some(part));
                }
                Framing::Chunked(None) => self.read_chunk_size().await?,
                Framing::UntilClose if !self.buffer.is_empty() => {
                    return Ok(Some(self.buffer.split().freeze()));
                }
                Framing::UntilClose => match self.stream.read_buf(&mut self.buffer).await {
                    Ok(0) => self.framing = Framing::Complete,
                    Ok(_) => {}
                    Err(_) => return Err(AttemptError::Broken),
                },
                Framing::Length(_) | Framing::Chunked(Some(_)) => self.receive().await?,
            }
        }
    }

    fn split_buffered(&mut self, max_bytes: u64) -> Bytes {
        let length = (self.buffer.len() as u64).min(max_bytes) as usize;
        self.buffer.split_to(length).freeze()
    }

    async fn read_line(&mut self) -> Result<BytesMut, AttemptError> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let mut line = self.buffer.split_to(end + 2);
                line.truncate(end);
                return Ok(line);
            }
            if self.buffer.len() > MAX_CHUNK_LINE_BYTES {
                return Err(AttemptError::Broken);
            }
            self.receive().await?;
        }
    }

    async fn read_chunk_size(&mut self) -> Result<(), AttemptError> {
        let line = self.read_line().await?;
        match chunk_size(&line).ok_or(AttemptError::Broken)? {
            0 => {
                // Trailers, up to an empty line, are discarded.
                while !self.read_line().await?.is_empty() {}
                self.framing = Framing::Complete;
            }
            size => self.framing = Framing::Chunked(Some(size)),
        }
        Ok(())
    }

    async fn read_chunk_end(&mut self) -> Result<(), AttemptError> {
        if !self.read_line().await?.is_empty() {
            return Err(AttemptError::Broken);
        }
        self.framing = Framing::Chunked(None);
        Ok(())
    }
}

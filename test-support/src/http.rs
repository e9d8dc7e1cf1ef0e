//! HTTP/1.1 messages on loopback connections: enough to write what a test sends and to read
//! what it gets.
//!
//! A message has a `Content-Length` or no body. Malformed messages panic or end the connection: a test that
//! provokes them reads the bytes itself.

use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// One HTTP message, either way.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub first: String,
    /// Headers by name, in lower case; of equal names the last.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The status code of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).unwrap().parse().unwrap()
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap()
    }
}

/// Reads a message; `None` when the connection ends before it is complete.
pub async fn read_message(input: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    let mut message = Message::default();
    if input.read_line(&mut line).await.ok()? == 0 {
        return None;
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        input.read_line(&mut line).await.ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = message.headers.get("content-length").map_or(0, |length| length.parse().unwrap());
    message.body.resize(length, 0);
    input.read_exact(&mut message.body).await.ok()?;
    Some(message)
}

/// Sends a request on this connection and reads the response; `None` when the connection ends first.
pub async fn exchange(stream: &mut BufReader<TcpStream>, request: &[u8]) -> Option<Message> {
    stream.write_all(request).await.ok()?;
    read_message(stream).await
}

/// A client's request in the platform's form, for the block `piece` of volume 7, with 7.9 s left.
pub fn request(class: &str, plan: &str, piece: u64, id: u64, body: &[u8]) -> Vec<u8> {
    let method = if class == "reading-put" { "PUT" } else { "GET" };
    let head = format!(
        "{method} /{class}/0000000000000007/{piece:016x} HTTP/1.1\r\nHost: service.internal\r\n\
         X-Correlation-Id: c{id}\r\nX-Service-Class: {class}\r\nTier: {plan}\r\nX-Time-Left: 7900m\r\n\
         IO-Info: units=1,shard=1,hosts=1\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Connects as a client.
pub async fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    BufReader::new(TcpStream::connect(address).await.unwrap())
}

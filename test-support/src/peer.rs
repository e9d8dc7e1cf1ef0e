//! Scripted servers: a test drives each connection itself, byte by byte, where a [`crate::StubAction`] is not
//! enough.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Listens on a free port and runs `script` for each connection, with the number of connections before it.
pub async fn peer<F, R>(script: F) -> SocketAddr
where
    F: Fn(BufReader<TcpStream>, usize) -> R + Send + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let before = AtomicUsize::new(0);
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let number = before.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(script(BufReader::new(stream), number));
        }
    });
    address
}

/// Writes a response with this status, these header lines (each ended by CRLF) and this body.
pub async fn answer(stream: &mut BufReader<TcpStream>, status: &str, headers: &str, body: &str) {
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Discards what arrives until the client closes the connection.
pub async fn until_closed(stream: &mut BufReader<TcpStream>) {
    let mut buffer = [0; 4096];
    while matches!(stream.read(&mut buffer).await, Ok(read) if read > 0) {}
}

/// A counter that several tasks share.
#[derive(Clone, Debug, Default)]
pub struct Count(Arc<AtomicUsize>);

impl Count {
    /// Adds one; returns the previous count.
    pub fn increment(&self) -> usize {
        self.0.fetch_add(1, Ordering::SeqCst)
    }

    /// The current count.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

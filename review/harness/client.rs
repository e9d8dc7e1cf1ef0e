//! HTTP calls of clients, schedulers and the operator; each on a connection of its own.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Answer {
    pub status: u16,
    pub retry_after: Option<f64>,
    /// The whole body came.
    pub complete: bool,
}

/// Makes a call. `silence` is how long it waits for the next bytes.
pub fn request(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    silence: Duration,
) -> std::io::Result<Answer> {
    let address: SocketAddr = address.parse().map_err(|_| std::io::ErrorKind::InvalidInput)?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(silence))?;
    stream.set_write_timeout(Some(silence))?;
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    if !headers.iter().any(|(name, _)| *name == "Host") {
        bytes.extend_from_slice(format!("Host: {address}\r\n").as_bytes());
    }
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes
        .extend_from_slice(format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_answer(stream)
}

fn read_answer(stream: TcpStream) -> std::io::Result<Answer> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let (mut length, mut is_chunked, mut retry_after) = (None, false, None);
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse::<usize>().ok(),
            "transfer-encoding" => is_chunked = value.eq_ignore_ascii_case("chunked"),
            "retry-after" => retry_after = value.parse().ok(),
            _ => {}
        }
    }
    let mut body = Vec::new();
    let complete = match is_chunked {
        true => read_chunks(&mut reader, &mut body).is_ok(),
        false => {
            body.resize(length.unwrap_or(0), 0);
            reader.read_exact(&mut body).is_ok()
        }
    };
    Ok(Answer { status, retry_after, complete })
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> std::io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| std::io::ErrorKind::UnexpectedEof)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

//! One HTTP call on a connection of its own, and what its answer looks like.

use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A call's method, path with query, and body.
pub type Call<'a> = (&'a str, &'a str, &'a str);

/// Makes a call; gives the whole answer as text.
pub fn send(address: SocketAddr, (method, path, body): Call<'_>) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    stream.write_all(format!("{head}{body}").as_bytes()).expect("the call is sent");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    String::from_utf8(answer).expect("text")
}

/// The status of an answer.
pub fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).expect("a status")
}

/// The call, and its answer's status, type and shape: the keys of JSON, else the first line.
pub fn describe((method, path, body): Call<'_>, answer: &str) -> String {
    let (head, content) = answer.split_once("\r\n\r\n").expect("a head");
    let mut text = format!("===== {method} {path} {body}").trim_end().to_owned() + "\n";
    let _ = writeln!(text, "status: {}", status(answer));
    let mut headers: Vec<String> = head.lines().skip(1).map(str::to_ascii_lowercase).collect();
    headers.retain(|header| !header.starts_with("date:") && !header.starts_with("content-length:"));
    headers.sort();
    for header in headers {
        let _ = writeln!(text, "{header}");
    }
    match serde_json::from_str::<Value>(content) {
        Ok(value) if value.is_object() || value.is_array() => {
            let mut paths = BTreeSet::new();
            key_paths(&value, "", &mut paths);
            let _ = writeln!(text, "keys:");
            paths.iter().for_each(|path| {
                let _ = writeln!(text, "  {path}");
            });
        }
        _ => {
            let _ = writeln!(text, "first line: {}", content.lines().next().unwrap_or("(nothing)"));
        }
    }
    text
}

/// The path of each key; entries of arrays are `[]`.
fn key_paths(value: &Value, path: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(entries) => entries.iter().for_each(|(key, value)| {
            let path = format!("{path}.{key}");
            key_paths(value, &path, paths);
            paths.insert(path);
        }),
        Value::Array(entries) => {
            entries.iter().for_each(|value| key_paths(value, &format!("{path}[]"), paths));
        }
        _ => {}
    }
}

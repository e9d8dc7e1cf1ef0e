//! What the library costs a call: its time against a bare hyper connection's, before the same server, in one
//! run. Prints one line of JSON.
//!
//!     cargo run --release -p pointcross-client --example overhead

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use pointcross_client::{ClassConfig, Client, Item};
use pointcross_test_support::peer::{answer, peer};
use pointcross_test_support::read_message;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Calls of one round; the two sides take turns, and each side's best round counts.
const CALLS: u32 = 4000;
const ROUNDS: usize = 15;

async fn library(client: &Client) -> Duration {
    let begun = Instant::now();
    for piece in 0..CALLS {
        let item = Item::new(7, u64::from(piece) + 1, "standard", Some(1));
        let outcome = client.get(item).await.expect("one class reads");
        assert!(outcome.served().is_some());
    }
    begun.elapsed()
}

async fn plain(address: SocketAddr) -> Duration {
    let stream = tokio::net::TcpStream::connect(address).await.expect("the server listens");
    stream.set_nodelay(true).expect("a socket");
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream))
            .await
            .expect("a handshake");
    tokio::spawn(connection);
    let begun = Instant::now();
    for piece in 0..CALLS {
        // The same headers, encoded anew for each request as any client must.
        let request = hyper::Request::get(format!("/reading-get/{:016x}/{:016x}", 7, piece + 1))
            .header("host", address.to_string())
            .header("x-correlation-id", format!("{piece:016x}"))
            .header("x-service-class", "reading-get")
            .header("tier", "standard")
            .header("x-time-left", format!("{}u", 2_000_000 - piece))
            .header("io-info", format!("units={},shard={},hosts={}", 1, 1, 1))
            .body(Empty::new())
            .expect("a request");
        sender.ready().await.expect("kept");
        let response = sender.send_request(request).await.expect("answered");
        response.into_body().collect().await.expect("whole").to_bytes();
    }
    begun.elapsed()
}

fn main() {
    // The server has a thread of its own, as in life.
    let outside = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let address = outside.block_on(peer(|mut stream, _| async move {
        while read_message(&mut stream).await.is_some() {
            answer(&mut stream, "200 OK", "", "fresh").await;
        }
    }));
    let inside = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    inside.block_on(async {
        let class = ClassConfig::read(Duration::from_secs(2));
        let client =
            Client::builder().set("all", [address]).class("reading-get", class).build().expect("checked");
        let (mut ours, mut theirs) = (Duration::MAX, Duration::MAX);
        for _ in 0..ROUNDS {
            ours = ours.min(library(&client).await);
            theirs = theirs.min(plain(address).await);
        }
        let us = |time: Duration| time.as_secs_f64() * 1e6 / f64::from(CALLS);
        let figures = serde_json::json!({
            "us_per_call_library": us(ours),
            "us_per_call_plain": us(theirs),
            "ratio": us(ours) / us(theirs),
            "calls": CALLS as usize * ROUNDS,
        });
        println!("{figures}");
    });
}

//! The platform's front, the store client and the stop, on loopback.

use pointcross::shutdown::ACCEPT_GRACE;
use pointcross_test_support::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::TcpStream;
use tokio::time::Instant;

#[tokio::test]
async fn a_request_passes_unchanged_and_its_answer_comes_back_unchanged() {
    let (store, seen) = store(|_, _| ok(vec![0, 255, 7])).await;
    let running = RunningDaemon::start(store, "").await;
    let mut stream = connect(running.http).await;
    let answer = exchange(&mut stream, &request("reading-put", "standard", 9, 5, b"rain")).await.unwrap();
    assert_eq!((answer.status(), answer.body), (200, vec![0, 255, 7]));
    let (_, sent) = &seen.all()[0];
    assert_eq!(sent.first, "PUT /reading-put/0000000000000007/0000000000000009 HTTP/1.1");
    assert_eq!((&sent.headers["x-correlation-id"], &sent.body[..]), (&"c5".to_owned(), &b"rain"[..]));
    let left: u64 = sent.headers["x-time-left"].trim_end_matches('u').parse().unwrap();
    assert!((1..=7_900_000).contains(&left));
    // The client may go on using its connection.
    let again = request("reading-get", "standard", 9, 6, b"");
    assert_eq!(exchange(&mut stream, &again).await.unwrap().status(), 200);
    assert!(seen.all()[1].1.first.starts_with("GET /reading-get/"));
}

#[tokio::test]
async fn what_is_malformed_gets_400_and_goes_nowhere() {
    let (store, seen) = store(|_, _| ok("")).await;
    let running = RunningDaemon::start(store, "").await;
    let whole = String::from_utf8(request("reading-get", "standard", 9, 5, b"")).unwrap();
    for (from, to) in [
        ("GET", "PUT"),
        ("GET", "DELETE"),
        ("X-Service-Class: reading-get", "X-Service-Class: reading-put"),
        ("reading-get", "unheard-of"),
        ("Tier: standard", "Tier: gold"),
        ("X-Time-Left: 7900m", "X-Time-Left: 7900"),
        ("X-Time-Left: 7900m", "X-Time-Left: -1m"),
        ("X-Time-Left: 7900m", "X-Time-Left: NaNm"),
        ("X-Time-Left: 7900m\r\n", ""),
        ("X-Correlation-Id: c5\r\n", ""),
        ("X-Correlation-Id: c5", "X-Correlation-Id: "),
        ("X-Correlation-Id: c5", "X-Correlation-Id: c5\r\nX-Correlation-Id: c6"),
        ("units=1", "units=none"),
        ("units=1", "units=-1"),
        (",hosts=1", ""),
        ("shard=1", "shard=-2"),
        ("0000000000000007", "7"),
        ("0000000000000009", "000000000000000g"),
        ("0000000000000009", "0000000000000009/1"),
    ] {
        assert!(whole.contains(from), "{from}");
        let mut stream = connect(running.http).await;
        let answer = exchange(&mut stream, whole.replace(from, to).as_bytes()).await.unwrap();
        assert_eq!(answer.status(), 400, "{from} as {to}");
        assert_eq!(answer.headers["connection"], "close", "{from} as {to}");
        assert!(!answer.body.is_empty(), "{from}: no reason is given");
    }
    let large = request("reading-put", "standard", 9, 5, &vec![1; 64 * 1024 + 1]);
    assert_eq!(exchange(&mut connect(running.http).await, &large).await.unwrap().status(), 413);
    let largest = request("reading-put", "standard", 9, 5, &vec![1; 64 * 1024]);
    assert_eq!(exchange(&mut connect(running.http).await, &largest).await.unwrap().status(), 200);
    assert_eq!(seen.all().len(), 1);
}

#[tokio::test]
async fn a_body_that_does_not_come_in_time_is_given_up() {
    let (store, seen) = store(|_, _| ok("")).await;
    let running = RunningDaemon::start(store, "").await;
    let whole = String::from_utf8(request("reading-put", "standard", 9, 5, b"rain")).unwrap();
    let part = whole.replace("7900m", "50m").replace("rain", "ra");
    let answer = exchange(&mut connect(running.http).await, part.as_bytes()).await.unwrap();
    assert_eq!((answer.status(), seen.all().len()), (400, 0));
}

/// Guards against a second request that runs: hidden in the first one's body, or under its id.
#[tokio::test]
async fn nothing_hidden_in_a_body_and_no_second_copy_reaches_a_node() {
    let (store, seen) =
        store(|message, _| if message.path().ends_with("9") { StubAction::Stall } else { ok("") }).await;
    let running = RunningDaemon::start(store, "").await;
    let whole = |id, body: &[u8]| String::from_utf8(request("reading-put", "standard", 8, id, body)).unwrap();
    let hidden = format!("0\r\n\r\n{}", whole(7, b"rain"));
    let outer = whole(5, hidden.as_bytes());
    let chunked = "Transfer-Encoding: chunked\r\n";
    for both in [
        outer.replace("Content-Length", &format!("{chunked}Content-Length")),
        outer.replace("Tier", &format!("{chunked}Tier")),
        outer.replace("\r\n\r\n0", &format!("\r\n{chunked}\r\n0")),
    ] {
        let mut stream = connect(running.http).await;
        let answer = exchange(&mut stream, both.as_bytes()).await.unwrap();
        assert_eq!((answer.status(), &answer.headers["connection"][..]), (411, "close"));
        // Nothing that follows on the connection is answered.
        assert!(read_message(&mut stream).await.is_none());
    }
    let read = whole(6, b"x").replace("PUT", "GET").replace("reading-put", "reading-get");
    assert_eq!(exchange(&mut connect(running.http).await, read.as_bytes()).await.unwrap().status(), 400);
    assert_eq!(seen.all().len(), 0);

    let mut first = connect(running.http).await;
    first.write_all(&request("reading-get", "standard", 9, 1, b"")).await.unwrap();
    until(|| seen.all().len() == 1).await;
    let again = request("reading-put", "standard", 8, 1, b"rain");
    assert_eq!(exchange(&mut connect(running.http).await, &again).await.unwrap().status(), 409);
    assert_eq!(seen.all().len(), 1);
    // The id is free again once its request is over.
    drop(first);
    until(|| running.core.open_requests() == 0).await;
    assert_eq!(exchange(&mut connect(running.http).await, &again).await.unwrap().status(), 200);
}

/// Guards against connections that say nothing, or never end what they say, and keep others out.
#[tokio::test]
async fn silent_connections_give_way_and_end_in_time_while_open_requests_stay() {
    let (go, wait) = tokio::sync::watch::channel(false);
    let (store, _) = stub_server(move |_| {
        let mut wait = wait.clone();
        async move {
            wait.wait_for(|go| *go).await.unwrap();
            ok("late")
        }
    })
    .await;
    let (discovery, _) = stub_server(|_| async { StubAction::Stall }).await;
    let mut config = config(store, discovery, "");
    config.budget.front = 4;
    let running = RunningDaemon::with(config).await;
    let (core, http) = (running.core.clone(), running.http);
    let mut asking = connect(http).await;
    asking.write_all(&request("reading-get", "standard", 9, 0, b"")).await.unwrap();
    until(|| core.open_requests() == 1).await;
    let begun = Instant::now();
    let mut silent = Vec::new();
    for n in 0..20 {
        let mut stream = connect(http).await;
        // Nothing at all, or half a head, or a head whose body never comes.
        let write = request("reading-put", "standard", 9, 100 + n, b"rain");
        stream.write_all(&write[..[0, 20, write.len() - 1][n as usize % 3]]).await.unwrap();
        silent.push(stream);
    }
    // Newer ones found room all the same, at once.
    let ready = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    assert_eq!(exchange(&mut connect(http).await, ready).await.unwrap().status(), 200);
    assert!(begun.elapsed() < std::time::Duration::from_secs(2));
    for mut stream in silent {
        // An error or a close, either within the time that such a client is owed it.
        if let Some(answer) = read_message(&mut stream).await {
            assert_eq!(answer.status(), 400);
        }
    }
    assert!(begun.elapsed() < std::time::Duration::from_secs(8));
    go.send_replace(true);
    assert_eq!(read_message(&mut asking).await.unwrap().body, b"late");
}

#[tokio::test]
async fn what_a_store_sends_back_decides_whether_a_write_may_go_again() {
    // What the store does first; how often it is sent the write; the answer.
    let cases = [
        (StubAction::Respond("500 Internal Server Error", vec![]), 1, 502),
        (StubAction::Respond("503 Service Unavailable", vec![]), 1, 502),
        (StubAction::Respond("404 Not Found", vec![]), 1, 502),
        (StubAction::TruncatedResponse, 1, 502),
        (StubAction::Close, 1, 502),
        // Turned away unseen: it never ran, and may go again.
        (StubAction::Respond("503 Service Unavailable\r\nX-Unprocessed: 1", vec![]), 2, 200),
        (StubAction::Respond("504 Gateway Timeout\r\nX-Unprocessed: 1", vec![]), 2, 200),
    ];
    for (first, sends, status) in cases {
        let named = format!("{first:?}");
        let (store, seen) = store(move |_, before| if before == 0 { first.clone() } else { ok("") }).await;
        let running = RunningDaemon::start(store, "").await;
        let write = request("reading-put", "standard", 9, 5, b"rain");
        let answer = exchange(&mut connect(running.http).await, &write).await.unwrap();
        assert_eq!((answer.status(), seen.all().len()), (status, sends), "{named}");
    }
}

#[tokio::test]
async fn a_write_on_a_connection_that_its_store_drops_is_not_sent_again_by_the_library() {
    // The first request leaves an idle connection behind; the store takes the second on it and drops it.
    let (store, seen) = store(|_, before| if before == 1 { StubAction::Close } else { ok("") }).await;
    let running = RunningDaemon::start(store, "").await;
    let mut stream = connect(running.http).await;
    for (id, status) in [(1, 200), (2, 502)] {
        let write = request("reading-put", "standard", 9, id, b"rain");
        assert_eq!(exchange(&mut stream, &write).await.unwrap().status(), status);
    }
    assert_eq!(seen.all().len(), 2);
}

#[tokio::test]
async fn a_refused_connection_never_ran_and_is_refused_with_a_time_to_come_back() {
    // A port that was just let go of: nobody listens there.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let running = RunningDaemon::start(closed, "").await;
    let write = request("reading-put", "standard", 9, 5, b"rain");
    let answer = exchange(&mut connect(running.http).await, &write).await.unwrap();
    assert_eq!(answer.status(), 429);
    let seconds: f64 = answer.headers["retry-after"].parse().unwrap();
    assert!((0.0..=1.0).contains(&seconds));
}

#[tokio::test]
async fn a_client_that_leaves_ends_its_attempt() {
    let (store, seen) = store(|_, _| StubAction::Stall).await;
    let running = RunningDaemon::start(store, "").await;
    let mut stream = connect(running.http).await;
    let sending = request("reading-get", "standard", 9, 5, b"");
    tokio::select! {
        _ = exchange(&mut stream, &sending) => panic!("the store never answers"),
        () = until(|| !seen.all().is_empty()) => {}
    }
    assert_eq!(running.core.open_requests(), 1);
    drop(stream);
    until(|| running.core.open_requests() == 0).await;
}

/// Guards against a stop that sends clients away while nobody else can serve them, or loses what it took.
#[tokio::test]
async fn a_stop_serves_kept_connections_on_and_finishes_what_was_taken() {
    let (go, wait) = tokio::sync::watch::channel(false);
    let (store, _) = stub_server(move |message| {
        let mut wait = wait.clone();
        async move {
            if message.path().ends_with('8') {
                return ok("soon");
            }
            wait.wait_for(|go| *go).await.unwrap();
            ok("late")
        }
    })
    .await;
    let mut running = RunningDaemon::start(store, "").await;
    let (core, http) = (running.core.clone(), running.http);
    let taken = tokio::spawn(async move {
        let mut stream = connect(http).await;
        let answer = exchange(&mut stream, &request("reading-put", "standard", 9, 1, b"rain")).await.unwrap();
        (answer, stream.read(&mut [0; 1]).await.unwrap())
    });
    until(|| core.open_requests() == 1).await;
    let mut kept = connect(http).await;
    let ask = |id| request("reading-get", "standard", 8, id, b"");
    assert_eq!(exchange(&mut kept, &ask(2)).await.unwrap().status(), 200);
    let stopped = Instant::now();
    running.stop();
    // Still accepting, but no longer ready; then no new connections.
    let ready = b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n";
    while exchange(&mut connect(http).await, ready).await.unwrap().status() != 503 {}
    while tokio::net::TcpStream::connect(http).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(stopped.elapsed() >= ACCEPT_GRACE);
    // The kept connection is served on, what it asks now held to the time that is left, until all close.
    let answer = exchange(&mut kept, &ask(3)).await.unwrap();
    assert_eq!((answer.status(), answer.headers.get("connection")), (200, None));
    kept.write_all(&request("reading-get", "standard", 9, 4, b"")).await.unwrap();
    let cut_off = read_message(&mut kept).await.unwrap();
    assert!(cut_off.status() != 200 && stopped.elapsed() < std::time::Duration::from_millis(3700));
    assert_eq!(kept.read(&mut [0; 1]).await.unwrap(), 0);
    assert_eq!(core.open_requests(), 1);
    go.send_replace(true);
    let (answer, rest) = taken.await.unwrap();
    assert_eq!((answer.status(), answer.body, rest), (200, b"late".to_vec(), 0));
    running.wait_for_exit().await;
}

/// Waits until an idle connection is closed, sends a write that crosses the close, and asserts that it is
/// reset.
async fn cross_the_close(mut kept: BufReader<TcpStream>) {
    assert_eq!(kept.read(&mut [0; 1]).await.unwrap(), 0, "the idle connection is closed");
    kept.write_all(&request("reading-put", "standard", 8, 2, b"rain")).await.unwrap();
    let socket = kept.get_ref();
    let reset = tokio::time::timeout(Duration::from_secs(2), socket.ready(Interest::ERROR));
    reset.await.expect("the connection is reset").unwrap();
    assert_eq!(socket.take_error().unwrap().map(|error| error.kind()), Some(ErrorKind::BrokenPipe));
}

/// Guards against a write that is lost to its caller as a scheduler stops: a request that crosses the close
/// of an idle connection is reset, which proves to the client that it never ran.
#[tokio::test]
async fn a_request_that_crosses_the_close_at_a_stop_is_reset() {
    let (store, seen) = store(|_, _| ok("")).await;
    let mut running = RunningDaemon::start(store, "").await;
    let mut kept = connect(running.http).await;
    let read = |id| request("reading-get", "standard", 8, id, b"");
    assert_eq!(exchange(&mut kept, &read(1)).await.unwrap().status(), 200);
    running.stop();
    // Used once more meanwhile, so that the stop closes it and not the time for which it may stand idle.
    tokio::time::sleep(2 * ACCEPT_GRACE).await;
    assert_eq!(exchange(&mut kept, &read(3)).await.unwrap().status(), 200);
    cross_the_close(kept).await;
    running.wait_for_exit().await;
    assert_eq!(seen.all().len(), 2, "the write has not run");
}

/// The same where the connection has stood idle for too long.
#[tokio::test]
async fn a_request_that_crosses_the_close_of_an_idle_connection_is_reset() {
    let (store, seen) = store(|_, _| ok("")).await;
    let running = RunningDaemon::start(store, "").await;
    let mut kept = connect(running.http).await;
    let read = request("reading-get", "standard", 8, 1, b"");
    assert_eq!(exchange(&mut kept, &read).await.unwrap().status(), 200);
    cross_the_close(kept).await;
    assert_eq!(seen.all().len(), 1, "the write has not run");
}

/// A step of a client on its connection.
#[derive(Clone, Copy, Debug)]
enum Step {
    Ready,
    Read(u64),
    Write(u64, u8),
    Malformed,
    /// Leaves after so many bytes of a write, and comes again on a new connection.
    Leave(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        1 => Just(Step::Ready),
        3 => (1..4u64).prop_map(Step::Read),
        3 => (1..4u64, any::<u8>()).prop_map(|(piece, byte)| Step::Write(piece, byte)),
        1 => Just(Step::Malformed),
        1 => (0..300usize).prop_map(Step::Leave),
    ];
    prop::collection::vec(step, 1..10)
}

/// Walks a client through the steps; the model is what each piece holds, on a connection that stays open.
async fn walk(http: std::net::SocketAddr, pieces: &mut [Option<Vec<u8>>], steps: &[Step]) {
    let mut stream = connect(http).await;
    for (n, step) in steps.iter().enumerate() {
        let read = |piece| request("reading-get", "standard", piece, n as u64, b"");
        let write = |piece, body: &[u8]| request("reading-put", "standard", piece, n as u64, body);
        let (bytes, status, body) = match *step {
            Step::Ready => (b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n".to_vec(), 200, None),
            Step::Read(piece) => (read(piece), 200, pieces[piece as usize].clone()),
            Step::Write(piece, byte) => {
                pieces[piece as usize] = Some(vec![byte; 32]);
                (write(piece, &[byte; 32]), 200, Some(vec![]))
            }
            Step::Malformed => {
                let answer = exchange(&mut stream, &read(1)[..].to_ascii_uppercase()).await.unwrap();
                assert_eq!((answer.status(), &answer.headers["connection"][..]), (400, "close"));
                stream = connect(http).await;
                continue;
            }
            Step::Leave(cut) => {
                // Never the whole request: what was not sent whole must not run.
                let whole = write(1, &[b'x'; 32]);
                stream.write_all(&whole[..cut.min(whole.len() - 1)]).await.unwrap();
                stream = connect(http).await;
                continue;
            }
        };
        let answer = exchange(&mut stream, &bytes).await.expect("the connection stays open");
        assert_eq!(answer.status(), status, "{step:?}");
        if let Some(body) = body {
            assert_eq!(answer.body, body, "{step:?}");
        }
    }
}

#[test]
fn a_connection_follows_its_model_and_nothing_sent_in_part_runs() {
    let config = ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[47; 32]);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let running = runtime.block_on(async {
        let (store, _) = store(in_memory_store()).await;
        RunningDaemon::start(store, "").await
    });
    let pieces = std::cell::RefCell::new(vec![None; 4]);
    let outcome = TestRunner::new_with_rng(config, rng).run(&steps(), |steps| {
        runtime.block_on(walk(running.http, &mut pieces.borrow_mut(), &steps));
        Ok(())
    });
    outcome.unwrap();
    runtime.block_on(until(|| running.core.open_requests() == 0));
}

/// Guards against a write taken and then dropped unanswered: the connection that was idle longest is thinned
/// out while its next request's body is still coming. It used to count as idle until the body was whole, so
/// the connection slots closed it under the request (the operators' upgrade day broke its rule on lost
/// requests so).
#[tokio::test]
async fn a_connection_whose_request_is_coming_is_not_thinned_out() {
    let (store, seen) = store(|_, _| ok("kept")).await;
    let (discovery, _) = stub_server(|_| async { StubAction::Stall }).await;
    let mut config = config(store, discovery, "");
    // Idle ones thin out once more than two of eight are idle.
    config.budget.front = 8;
    let running = RunningDaemon::with(config).await;
    let http = running.http;
    let get = |id| request("reading-get", "standard", 9, id, b"");
    let (mut longest, mut next) = (connect(http).await, connect(http).await);
    assert_eq!(exchange(&mut longest, &get(1)).await.unwrap().status(), 200);
    assert_eq!(exchange(&mut next, &get(2)).await.unwrap().status(), 200);
    // The longest idle begins a write and holds back the last bytes of its body; a whole exchange through the
    // program and its node lets the program read what came.
    let write = request("reading-put", "standard", 9, 3, b"rainfall");
    let (head, rest) = write.split_at(write.len() - 4);
    longest.write_all(head).await.unwrap();
    assert_eq!(exchange(&mut next, &get(4)).await.unwrap().status(), 200);
    // A third connection's answer leaves three idle by the old count: the longest would go.
    let mut third = connect(http).await;
    assert_eq!(exchange(&mut third, &get(5)).await.unwrap().status(), 200);
    longest.write_all(rest).await.unwrap();
    let answer = read_message(&mut longest).await.expect("the write is answered, not dropped");
    assert_eq!((answer.status(), answer.body), (200, b"kept".to_vec()));
    assert_eq!(seen.all().len(), 5);
}

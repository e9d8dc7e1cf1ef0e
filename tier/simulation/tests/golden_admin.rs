//! The tier's HTTP interfaces for operators, schedulers and the platform against golden files: each path and
//! method of a control member's address and of a proxy's ready address, with the status and the text of its
//! answer.

#[path = "../../../test-support/golden/golden_file.rs"]
mod golden_file;

use bytes::Bytes;
use golden_file::assert_golden;
use http::{Method, Request};
use pointcross_tier_simulation::client::{self, Reply};
use pointcross_tier_simulation::{Cluster, Engine, SERVICE, Size, run};
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Where proxies answer the platform's check.
const READY_PORT: u16 = 7002;
const ANSWER_WITHIN: Duration = Duration::from_secs(10);

/// One call: its method, path, base version and body.
type Call = (Method, &'static str, Option<&'static str>, &'static str);

const CONFIGURATION: &str = r#"{"Version":5,"Routes":[],"Services":[{"Name":"engine"}]}"#;
const NEXT_CONFIGURATION: &str = r#"{"Version":9,"Routes":[],"Services":[{"Name":"engine"}]}"#;
const READY: &str = concat!(
    r#"{"Service":"engine","Address":"10.8.0.1:8000","Zone":"zone-1","Version":"v1","Capacity":8,"#,
    r#""State":"ready","ColdLeftMs":0,"CallSeq":1}"#
);
const DRAINING: &str = r#"{"Service":"engine","Address":"10.8.0.1:8000","State":"draining","CallSeq":2}"#;

/// Calls of the operator on configurations.
const CONFIGURATION_CALLS: &[Call] = &[
    (Method::GET, "/pointcross/Configuration.Get", None, ""),
    (Method::POST, "/pointcross/Configuration.Replace", None, CONFIGURATION),
    (Method::POST, "/pointcross/Configuration.Replace", Some("x"), CONFIGURATION),
    (Method::POST, "/pointcross/Configuration.Replace", Some("0"), "{"),
    (
        Method::POST,
        "/pointcross/Configuration.Replace",
        Some("0"),
        r#"{"Version":0,"Routes":[],"Services":[]}"#,
    ),
    (Method::POST, "/pointcross/Configuration.Replace", Some("3"), CONFIGURATION),
    (Method::POST, "/pointcross/Configuration.Replace", Some("0"), CONFIGURATION),
    (Method::POST, "/pointcross/Configuration.Replace", Some("0"), CONFIGURATION),
    (Method::GET, "/pointcross/Configuration.Get", None, ""),
    (Method::POST, "/pointcross/Configuration.Replace", Some("4"), NEXT_CONFIGURATION),
    (Method::POST, "/pointcross/Configuration.Replace", Some("7"), NEXT_CONFIGURATION),
    (Method::POST, "/pointcross/Configuration.Replace", Some("5"), CONFIGURATION),
    (Method::POST, "/pointcross/Configuration.Replace", Some(" 5 "), NEXT_CONFIGURATION),
    (Method::GET, "/pointcross/Configuration.Replace", Some("5"), ""),
    (Method::PUT, "/pointcross/Configuration.Replace", Some("5"), NEXT_CONFIGURATION),
    (Method::POST, "/pointcross/Configuration.Get", None, ""),
];
/// Calls of model schedulers.
const INSTANCE_CALLS: &[Call] = &[
    (Method::POST, "/pointcross/Instances.Heartbeat/i-1", None, READY),
    (Method::POST, "/pointcross/Instances.Heartbeat/i-1", None, DRAINING),
    (Method::POST, "/pointcross/Instances.Heartbeat/i-2", None, "{}"),
    (Method::POST, "/pointcross/Instances.Heartbeat/i-2", None, "x"),
    (
        Method::POST,
        "/pointcross/Instances.Heartbeat/i-2",
        None,
        r#"{"Service":"engine","Address":"10.8.0.1:8000","State":"fly"}"#,
    ),
    (Method::GET, "/pointcross/Instances.Heartbeat/i-1", None, ""),
    (Method::POST, "/pointcross/Instances.Deregister/i-1", None, ""),
    (Method::POST, "/pointcross/Instances.Deregister/i-9", None, ""),
    (Method::DELETE, "/pointcross/Instances.Deregister/i-1", None, ""),
];
/// Calls of the operator on stores, and paths that nobody serves.
const OTHER_CALLS: &[Call] = &[
    (Method::GET, "/pointcross/Retire.Get/storage-1", None, ""),
    (Method::GET, "/pointcross/Retire.Get/storage-9", None, ""),
    (Method::POST, "/pointcross/Retire.Start/storage-9", None, ""),
    (Method::POST, "/pointcross/Retire.Start/storage-1", None, r#"{"DeadlineS":10}"#),
    (Method::GET, "/pointcross/Retire.Get/storage-1", None, ""),
    (Method::GET, "/pointcross/Retire.Start/storage-1", None, ""),
    (Method::POST, "/pointcross/Retire.Get/storage-1", None, ""),
    (Method::GET, "/pointcross/", None, ""),
    (Method::GET, "/pointcross/Nowhere", None, ""),
    (Method::GET, "/pointcross/configuration.get", None, ""),
    (Method::GET, "/pointcross/ready", None, ""),
    (Method::GET, "/Configuration.Get", None, ""),
    (Method::GET, "/", None, ""),
];
/// The same once the store is empty, and with too few left.
const LATER_CALLS: &[Call] = &[
    (Method::GET, "/pointcross/Retire.Get/storage-1", None, ""),
    (Method::POST, "/pointcross/Retire.Start/storage-2", None, ""),
    (Method::POST, "/pointcross/Retire.Start/storage-3", None, ""),
];
/// Calls on a proxy's ready address.
const READY_CALLS: &[Call] = &[
    (Method::GET, "/pointcross/ready", None, ""),
    (Method::HEAD, "/pointcross/ready", None, ""),
    (Method::POST, "/pointcross/ready", None, ""),
    (Method::GET, "/pointcross/ready/", None, ""),
    (Method::GET, "/ready", None, ""),
    (Method::GET, "/", None, ""),
];

fn request((method, path, base, body): &Call) -> Request<Bytes> {
    let mut request = Request::builder().method(method).uri(*path);
    if let Some(base) = base {
        request = request.header("x-base-version", *base);
    }
    request.body(Bytes::from_static(body.as_bytes())).expect("a valid request")
}

fn describe((method, path, base, body): &Call, reply: Option<Reply>) -> String {
    let mut text = format!("===== {method} {path}\n");
    if let Some(base) = base {
        let _ = writeln!(text, "x-base-version: {base}");
    }
    if !body.is_empty() {
        let _ = writeln!(text, "body: {body}");
    }
    let Some(reply) = reply else { return text + "no answer\n" };
    let kind = reply.headers.get("content-type").map_or("none", |kind| kind.to_str().expect("text"));
    let _ = writeln!(text, "status: {}, content-type: {kind}", reply.status.as_u16());
    let _ = writeln!(text, "answer: {}", String::from_utf8_lossy(&reply.body));
    text
}

async fn describe_control(cluster: &Cluster, calls: &[Call]) -> String {
    let mut text = String::new();
    for call in calls {
        text.push_str(&describe(call, cluster.control("core-1", request(call)).await));
    }
    text
}

async fn describe_ready(cluster: &Cluster, name: &str) -> String {
    let outside = cluster.world.network(Ipv4Addr::new(10, 9, 0, 2));
    let address = SocketAddrV4::new(cluster.host(name), READY_PORT);
    let mut text = String::new();
    for call in READY_CALLS {
        text.push_str(&describe(call, client::call(&outside, address, request(call), ANSWER_WITHIN).await));
    }
    text
}

/// The state of a retirement, asked right after its start. The Deregister of an unknown instance, some calls
/// before, was answered at once by the program that was recorded in `control-calls.txt`; by this one it is
/// written and replicated first. The state is asked some milliseconds later in the day, and met before the
/// store has counted its turns. All other answers are the same.
const STATE_MET: &str = "answer: {\"State\":\"running\"}\n";
const STATE_RECORDED: &str = "answer: {\"State\":\"completed\"}\n";

#[test]
fn calls_on_a_control_member_stay() {
    let text = run(71, async {
        let cluster = Cluster::start_sized(Size::TWO_MORE_STORES);
        cluster.pass(Duration::from_secs(3)).await;
        let mut text = describe_control(&cluster, CONFIGURATION_CALLS).await;
        text += &describe_control(&cluster, INSTANCE_CALLS).await;
        text += &describe_control(&cluster, OTHER_CALLS).await;
        cluster.pass(Duration::from_secs(60)).await;
        text + "===== a minute later\n" + &describe_control(&cluster, LATER_CALLS).await
    });
    assert_golden("control-calls.txt", &text.replacen(STATE_MET, STATE_RECORDED, 1));
    assert_golden("control-calls-unknown-deregister.txt", &text);
}

/// A member that reaches no other can't agree.
#[test]
fn calls_on_a_member_that_is_cut_off_stay() {
    let text = run(72, async {
        let mut cluster = Cluster::start();
        cluster.pass(Duration::from_secs(3)).await;
        assert_eq!(cluster.configure("core-1", 0, 5).await, Some(200));
        cluster.cut_off("core-1", true);
        cluster.pass(Duration::from_secs(3)).await;
        let calls = [
            (Method::GET, "/pointcross/Configuration.Get", None, ""),
            (Method::POST, "/pointcross/Configuration.Replace", Some("5"), NEXT_CONFIGURATION),
            (Method::POST, "/pointcross/Instances.Heartbeat/i-1", None, READY),
            (Method::POST, "/pointcross/Instances.Heartbeat/i-1", None, DRAINING),
            (Method::POST, "/pointcross/Instances.Deregister/i-1", None, ""),
            (Method::POST, "/pointcross/Retire.Start/storage-1", None, ""),
            (Method::GET, "/pointcross/Retire.Get/storage-1", None, ""),
        ];
        describe_control(&cluster, &calls).await
    });
    assert_golden("control-calls-cut-off.txt", &text);
}

#[test]
fn calls_on_a_proxys_ready_address_stay() {
    let text = run(73, async {
        let mut cluster = Cluster::start();
        cluster.pass(Duration::from_secs(3)).await;
        let mut text = "===== no configuration\n".to_owned() + &describe_ready(&cluster, "front-1").await;
        assert_eq!(cluster.configure("core-1", 0, 5).await, Some(200));
        cluster.pass(Duration::from_secs(3)).await;
        text += "===== with a configuration\n";
        text += &describe_ready(&cluster, "front-1").await;
        let host = Ipv4Addr::new(10, 4, 0, 1);
        let _engine = Engine::start(&cluster.world, "i-1", SERVICE, host, cluster.control_addresses());
        cluster.pass(Duration::from_secs(3)).await;
        text += "===== with a server\n";
        text += &describe_ready(&cluster, "front-1").await;
        cluster.terminate("front-1");
        cluster.pass(Duration::from_millis(100)).await;
        text += "===== told to stop\n";
        text + &describe_ready(&cluster, "front-1").await
    });
    assert_golden("ready-calls.txt", &text);
}

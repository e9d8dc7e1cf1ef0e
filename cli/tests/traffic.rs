//! `pointcross lab traffic` as a whole: a scheduler process under a few dozen connections.

use serde_json::Value;
use std::process::{Command, Output};

fn traffic(arguments: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pointcross"));
    command.args(["lab", "traffic"]).args(arguments.split(' ')).output().unwrap()
}

fn points(arguments: &str) -> Vec<Value> {
    let output = traffic(arguments);
    let told = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{arguments}: {}", String::from_utf8_lossy(&output.stderr));
    told.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

fn count(point: &Value, key: &str) -> u64 {
    point[key].as_u64().unwrap_or_else(|| panic!("{key} of {point}"))
}

const KEYS: &str = "command kind connections_idle connections_active rate nodes sockets seed seconds cpu_pct \
    cpu_us_each rss_mb rss_mb_start descriptors per_second p50_ms p99_ms served_share refused broken \
    reconnects_per_s node_connections node_connects_per_s";

/// Of 132 descriptors 60 are clients' seats. 10 idle ones stay under a quarter of them: all are held for 1 s and
/// closed by 2.5 s. Of 40 no more than a quarter is held.
#[test]
fn idle_connections_are_held_up_to_a_quarter_and_for_two_seconds() {
    let points = points("idle --connections 10,40 --sockets 132 --nodes 2 --json");
    let held = |key: &str| points.iter().map(|point| count(point, key)).collect::<Vec<_>>();
    assert_eq!(held("held"), [10, 15], "{points:?}");
    assert_eq!(held("held_1s"), [10, 15], "{points:?}");
    assert_eq!(held("held_2500ms"), [0, 0], "{points:?}");
    for point in &points {
        let (start, with) = (count(point, "descriptors_start"), count(point, "descriptors_1s"));
        assert!(with >= start + count(point, "held_1s"), "the process's own count says less: {point}");
        assert!(count(point, "descriptors_2500ms") < with, "{point}");
        assert!(KEYS.split_whitespace().all(|key| point.get(key).is_some()), "{point}");
        assert_eq!((count(point, "refused"), count(point, "broken")), (0, 0), "{point}");
    }
    assert_eq!(count(&points[1], "connections_idle"), 40);
    assert!(points[0]["command"].as_str().unwrap().starts_with("pointcross lab traffic idle"));
}

/// At even gaps of 2.17 s each connection is closed before its next request, since 2 s end an idle one: the clients'
/// count of new connections is that of their requests.
#[test]
fn a_connection_that_asks_each_2170_ms_is_opened_anew_each_time() {
    let points = points("paced --regular --connections 43 --nodes 4 --seconds 2 --json");
    let [point] = &points[..] else { panic!("{points:?}") };
    assert!(KEYS.split_whitespace().all(|key| point.get(key).is_some()), "{point}");
    assert_eq!(count(point, "connections_active"), 43);
    let answers = point["per_second"].as_f64().unwrap();
    let reopened = point["reconnects_per_s"].as_f64().unwrap();
    assert!(answers > 15.0 && (reopened - answers).abs() <= 3.0, "{point}");
    assert_eq!((point["served_share"].as_f64(), count(point, "broken")), (Some(1.0), 0), "{point}");
    assert!(point["cpu_us_each"].as_f64().unwrap() > 0.0, "{point}");
}

/// Every node was connected to, and none more than a few times at once.
#[test]
fn a_rate_is_put_on_and_connections_are_counted_at_the_nodes() {
    let points = points("rate --connections 8 --rate 200 --nodes 5 --seconds 1.5 --seed 1,2 --json");
    assert_eq!(points.len(), 2);
    for point in &points {
        assert!(KEYS.split_whitespace().all(|key| point.get(key).is_some()), "{point}");
        let nodes = count(point, "node_connections");
        assert!((1..=200).contains(&nodes), "{point}");
        let put = point["per_second"].as_f64().unwrap();
        assert!((120.0..=280.0).contains(&put), "{point}");
        assert_eq!(
            (count(point, "broken"), count(point, "failed"), count(point, "no_room")),
            (0, 0, 0),
            "{point}"
        );
    }
    assert_ne!(points[0]["seed"], points[1]["seed"]);
}

#[test]
fn what_is_out_of_bounds_is_named() {
    let cases = [
        ("idle --connections 9000", "--connections: 9000: wanted 0 to 8000"),
        ("paced --connections 0", "--connections: 0: wanted 1 to 8000"),
        ("rate --rate 0", "--rate: 0: wanted 1 to 20000"),
        ("rate --nodes 0", "--nodes: 0: wanted 1 to 4000"),
        ("peers --members 1", "--members: 1: wanted 2 to 48"),
        ("idle --seconds 0.1", "--seconds: 0.1: wanted 0.5 to 60"),
        ("idle --sockets 2", "--sockets: 2: wanted 64 to 1048576"),
    ];
    for (arguments, wanted) in cases {
        let output = traffic(arguments);
        let told = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{arguments}: {told}");
        assert!(told.contains(wanted), "{arguments}: {told}");
    }
}

//! Scenarios in virtual time: figures that repeat, and requests that a crash leaves without an answer.

use pointcross_cluster_harness::scenario::{Scenario, naive as without_ramp};
use pointcross_cluster_harness::virtual_time::play;

fn scenario(events: &str) -> Scenario {
    let text = format!(
        "kind = \"fleet\"\nabout = \"x\"\nseconds = 8.0\nnodes = 2\nknown_list = true\n\
         node = {{ queue_limit = 16, workers = 4, unit_ms = 4.0, cold_factor = 12.0, warm_ms = 8000.0 }}\n\
         load = {{ rate = 400.0, write_share = 0.3, deadline_ms = 2000, shards = 2 }}\n\
         [operator.list_calls]\nspread_ms = 8000\nhold_ms = 8000\n[operator.ramp]\ncold_rate = 60.0\nfast_ms = 60.0\n\
         slow_ms = 120.0\ndouble_ms = 3000.0\ngrow = 1.2\n{events}"
    );
    Scenario::parse(&text).unwrap()
}

/// Guards against figures that differ from run to run, and against a ramp that does not spare cold nodes: the
/// same cluster without it turns requests away.
#[test]
fn a_cluster_replays_and_its_ramp_spares_cold_nodes() {
    let ramped = play(&scenario(""), 60, 7).unwrap();
    assert_eq!(ramped, play(&scenario(""), 60, 7).unwrap());
    assert!(ramped.rules_hold() && ramped.node_overloads == 0, "{ramped:?}");
    let naive = play(&without_ramp(&scenario("")), 60, 7).unwrap();
    assert!(naive.node_overloads > 50 && naive.list_peak_per_s > 2 * ramped.list_peak_per_s, "{naive:?}");
}

/// Guards against requests that a crash of every scheduler leaves without an answer or runs twice.
#[test]
fn every_scheduler_killed_and_started_again_leaves_nothing_unanswered() {
    let events = "[[event]]\nat = 3.0\ndo = \"kill\"\n[[event]]\nat = 3.1\ndo = \"restart_nodes\"\n\
                  [[event]]\nat = 3.2\ndo = \"restart\"\n";
    let told = play(&scenario(events), 40, 7).unwrap();
    assert!(told.rules_hold() && told.failed > 0 && told.served > 800, "{told:?}");
    let links = "[[event]]\nat = 1.0\ndo = \"list_links\"\nfault = { kind = \"dropped\" }\n";
    let error = play(&scenario(links), 4, 7).unwrap_err().to_string();
    assert!(error.starts_with("event[0].do: links"), "{error}");
}

//! Eight real processes of the program before stand-in nodes and a list service, with faults between them.

use pointcross_cluster_harness::ledger::Series;
use pointcross_cluster_harness::scenario::{Scenario, rehearse};
use pointcross_cluster_harness::{ClusterSettings, Verdict};
use std::time::Duration;

/// A starved processor makes a plan slow, but every machine has to be out and back within this after the scenario's end.
const MAX_WAIT_FOR_PLAN: Duration = Duration::from_secs(120);

/// Plays a scenario with so many processes in a folder of this name; the rules hold whatever it is.
fn played(name: &str, scenario: &Scenario, schedulers: usize, seed: u64) -> (Verdict, Series) {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    let settings = ClusterSettings {
        program: env!("CARGO_BIN_EXE_pointcross").into(),
        folder,
        schedulers,
        nodes: scenario.nodes,
        node: scenario.node.clone(),
        operator: None,
        known_list: scenario.known_list,
        seed,
        shards: None,
        maintenance: None,
        plan_timeout: MAX_WAIT_FOR_PLAN,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let (verdict, series) = runtime.block_on(rehearse(scenario, &settings)).unwrap();
    assert!(verdict.rules_hold(), "{verdict:?}");
    (verdict, series)
}

/// Guards against a fleet that loses requests, doubles writes or crashes when links drop and slow, a scheduler is
/// killed and started again and the list service is down for a while: every request gets one final answer.
#[test]
fn eight_schedulers_bear_dropped_links_delays_a_crash_and_a_restart() {
    let scenario = Scenario::parse(
        r#"
        kind = "fleet"
        about = "eight schedulers, four nodes; links drop and slow, one scheduler is killed and comes back"
        seconds = 8.0
        nodes = 4
        known_list = true
        load = { rate = 160.0, write_share = 0.3, deadline_ms = 2000, shards = 4 }
        [[event]]
        at = 1.0
        do = "list"
        mood = { kind = "down" }
        [[event]]
        at = 1.5
        do = "node_links"
        which = [1, 2]
        fault = { kind = "delayed", median_ms = 40.0, sigma = 0.5 }
        [[event]]
        at = 2.0
        do = "node_links"
        which = [3]
        fault = { kind = "dropped" }
        [[event]]
        at = 2.5
        do = "kill"
        which = [5]
        [[event]]
        at = 4.0
        do = "restart"
        which = [5]
        [[event]]
        at = 4.5
        do = "node_links"
        which = [1, 2, 3]
        fault = { kind = "up" }
        [[event]]
        at = 5.0
        do = "list"
        mood = { kind = "up" }
        "#,
    )
    .unwrap();
    let (verdict, _) = played("fleet-eight", &scenario, 8, 1311);
    assert!(verdict.sent > 1000 && verdict.served_share > 0.7, "{verdict:?}");
}

/// Guards against a cluster whose schedulers all call the list service in the same second at a start: with
/// `[list_calls]` the first calls of those that hold a saved list spread over `spread_ms`, and a watch is held
/// long; without it, every one of twelve calls within the first second.
#[test]
fn paced_calls_for_the_list_spread_a_hall_that_starts_at_once() {
    let text = |known: bool, operator: &str| {
        format!(
            "kind = \"fleet\"\nabout = \"a start\"\nseconds = 6.0\nnodes = 2\nknown_list = {known}\n\
             load = {{ rate = 40.0, write_share = 0.3, deadline_ms = 2000, shards = 2 }}\n{operator}"
        )
    };
    let paced = "[operator.list_calls]\nspread_ms = 5000\nbudget = 4\nwindow_ms = 20000\nhold_ms = 20000\n";
    let play = |name: &str, scenario: String| played(name, &Scenario::parse(&scenario).unwrap(), 12, 5).0;
    let naive = play("fleet-naive", text(false, ""));
    let spread = play("fleet-paced", text(true, paced));
    assert!(naive.list_peak_per_s >= 12, "{naive:?}");
    // Twelve first calls over 5 s: by the seed and the names, no second holds half of them.
    assert!(spread.list_peak_per_s <= 6 && spread.list_calls <= 14, "{spread:?}");
    assert_eq!(spread.served, spread.sent);
}

/// Guards against a cluster whose fresh schedulers push cold nodes past their queues, at the start and again when every
/// scheduler is killed and every node starts anew: with `[ramp]` next to nothing is turned away, and without it, same
/// seed and load, far more.
#[test]
fn a_ramped_hall_spares_its_cold_nodes_when_everything_starts_and_starts_again() {
    let scenario = Scenario::parse(
        r#"
        kind = "fleet"
        about = "twelve schedulers and two cold nodes start; all of them are killed and start again"
        seconds = 9.0
        nodes = 2
        known_list = true
        node = { queue_limit = 16, workers = 4, unit_ms = 4.0, cold_factor = 12.0, warm_ms = 8000.0 }
        load = { rate = 360.0, write_share = 0.3, deadline_ms = 2000, shards = 2 }
        [operator.ramp]
        cold_rate = 60.0
        fast_ms = 60.0
        slow_ms = 120.0
        double_ms = 3000.0
        grow = 1.2
        [[event]]
        at = 4.5
        do = "kill"
        [[event]]
        at = 4.5
        do = "restart_nodes"
        [[event]]
        at = 4.6
        do = "restart"
        "#,
    )
    .unwrap();
    let (ramped, _) = played("fleet-ramped", &scenario, 12, 1311);
    let plain = Scenario { operator: None, ..scenario.clone() };
    let (plain, _) = played("fleet-unramped", &plain, 12, 1311);
    println!("{ramped:?}\n{plain:?}");
    assert!(plain.node_overloads > 50, "{plain:?}");
    assert!(ramped.node_overloads * 10 < plain.node_overloads, "{ramped:?} against {plain:?}");
}

/// Guards against a plan that takes out more than its limit, both nodes of a shard, or a machine that still gets
/// requests, when the scheduler that drives it is killed in the middle, one is cut off from the others and one is far
/// away: all asked for is taken out and back, by one holder at a time, and no client notices. How long that takes
/// depends on the machine's load; `maintenance_virtual.rs` of the coordination package asserts the 20 s of an idle one,
/// and clients are held against what the same schedulers served without faults just before.
#[test]
fn machines_are_taken_out_in_one_order_while_the_holder_is_killed_and_links_drop() {
    let scenario = Scenario::parse(
        r#"
        kind = "fleet"
        about = "eight schedulers take out three nodes and one of themselves, one or two at a time"
        seconds = 20.0
        nodes = 4
        shards = 2
        known_list = true
        load = { rate = 120.0, write_share = 0.3, deadline_ms = 2000, shards = 2 }
        [maintenance]
        limit = 2
        lease_ms = 1500
        work_ms = 700
        nodes_left = 1
        schedulers_left = 5
        forget_ms = 3000
        [[event]]
        at = 1.5
        do = "ask"
        scheduler = 2
        machines = ["node/s-0000", "node/s-0002", "scheduler/n6"]
        [[event]]
        at = 1.5
        do = "ask"
        scheduler = 4
        machines = ["node/s-0001"]
        [[event]]
        at = 1.6
        do = "peer_links"
        which = [3]
        fault = { kind = "delayed", median_ms = 30.0, sigma = 0.5 }
        [[event]]
        at = 2.0
        do = "kill_holder"
        [[event]]
        at = 2.5
        do = "peer_links"
        which = [5]
        fault = { kind = "dropped" }
        [[event]]
        at = 5.0
        do = "peer_links"
        which = [5]
        fault = { kind = "up" }
        [[event]]
        at = 5.0
        do = "restart"
        "#,
    )
    .unwrap();
    let calm_scenario = Scenario { seconds: 5.0, events: Vec::new(), ..scenario.clone() };
    let (calm, _) = played("fleet-plan-calm", &calm_scenario, 8, 1311);
    let (verdict, series) = played("fleet-plan", &scenario, 8, 1311);
    let plan = series.plan.expect("the schedulers hold a plan");
    println!("{verdict:?}\n{plan:?}");
    assert!(verdict.served_share > 0.95 * calm.served_share, "{verdict:?} after {calm:?}");
    assert_eq!((plan.asked, plan.taken_out), (4, 4), "{plan:?}");
    assert!(plan.max_out_at_once >= 1 && plan.max_out_at_once <= 2, "{plan:?}");
    assert!(plan.holders_at_once == 1 && plan.epochs >= 2, "{plan:?}");
    assert_eq!((plan.reserve_breaks, plan.sent_while_out), (0, 0), "{plan:?}");
}

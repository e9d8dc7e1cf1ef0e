//! Heartbeats that come late, and instances that are silent for long: neither ends an instance that lives.

use pointcross_tier_runtime::fault_injection::{self, InjectedFault};
use pointcross_tier_simulation::{Cluster, Engine, SERVICE, Turn, run};
use std::net::Ipv4Addr;
use std::time::Duration;

/// More than the 50 heartbeat intervals after which a silent instance is forgotten.
const EXPIRED: Duration = Duration::from_secs(53);

/// A deployment with one engine that calls these members in turn, and the first configuration in force.
async fn serving(members: &[&str]) -> (Cluster, Engine) {
    let cluster = Cluster::start();
    let control = members.iter().map(|member| cluster.control_address(member)).collect();
    let engine = Engine::start(&cluster.world, "i-1", SERVICE, Ipv4Addr::new(10, 4, 0, 1), control);
    cluster.pass(Duration::from_secs(2)).await;
    assert_eq!(cluster.configure("core-1", 0, 5).await, Some(200));
    cluster.pass(Duration::from_secs(1)).await;
    (cluster, engine)
}

/// The statuses of a turn at each proxy.
async fn turns(cluster: &Cluster, id: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for front in ["front-1", "front-2"] {
        let id = format!("{id}-{front}");
        let reply = cluster.turn(front, &Turn::first(&id, &id)).await.expect("an answer");
        statuses.push(reply.status.as_u16());
    }
    statuses
}

/// A heartbeat is held up until after the instance has called another member and stays there. What proxies answer
/// once the instance would be forgotten by that heartbeat.
fn answers_after_a_late_heartbeat() -> Vec<u16> {
    run(81, async {
        let (cluster, engine) = serving(&["core-2"]).await;
        let late = engine.call_seq() - 1;
        engine.send_heartbeat(cluster.control_address("core-1"), late).await;
        cluster.pass(EXPIRED).await;
        turns(&cluster, "t").await
    })
}

/// Guards against a live instance that is ended for good by a heartbeat that comes late.
#[test]
fn a_late_heartbeat_ends_no_instance() {
    assert_eq!(answers_after_a_late_heartbeat(), [200, 200]);
}

/// The test above can fail.
#[test]
fn a_late_heartbeat_ends_an_instance_where_missing_heartbeats_do() {
    fault_injection::inject(Some(InjectedFault::EndByMissingHeartbeats));
    let answers = answers_after_a_late_heartbeat();
    fault_injection::inject(None);
    assert_eq!(answers, [503, 503]);
}

/// The late heartbeat comes before the member has heard of the later call elsewhere.
#[test]
fn a_late_heartbeat_at_a_member_that_has_restarted_ends_no_instance() {
    run(82, async {
        let (mut cluster, engine) = serving(&["core-2"]).await;
        let late = engine.call_seq() - 1;
        cluster.kill("core-1");
        cluster.restart("core-1");
        let control = cluster.control_address("core-1");
        while !engine.send_heartbeat(control, late).await {
            cluster.pass(Duration::from_millis(1)).await;
        }
        cluster.pass(EXPIRED).await;
        assert_eq!(turns(&cluster, "t").await, [200, 200]);
    });
}

/// An instance stands still for so long that it is forgotten. It goes on, and its heartbeats are acknowledged.
#[test]
fn an_instance_that_was_silent_for_long_serves_again() {
    run(83, async {
        let (cluster, engine) = serving(&["core-2"]).await;
        engine.stop_heartbeats();
        cluster.pass(EXPIRED).await;
        assert_eq!(turns(&cluster, "silent").await, [503, 503], "it has been forgotten");
        let next = engine.call_seq() + 1;
        assert!(engine.send_heartbeat(cluster.control_address("core-3"), next).await);
        cluster.pass(Duration::from_secs(1)).await;
        assert_eq!(turns(&cluster, "again").await, [200, 200]);
    });
}

/// An instance has called a member that is then replaced while it stands still, and goes on as no member.
#[test]
fn a_member_that_was_replaced_ends_no_instance() {
    run(84, async {
        let (mut cluster, _engine) = serving(&["core-1", "core-2"]).await;
        cluster.freeze("core-1");
        cluster.add("core", 4, false);
        cluster.pass(Duration::from_secs(6)).await;
        cluster.thaw("core-1");
        cluster.pass(EXPIRED).await;
        assert_eq!(turns(&cluster, "t").await, [200, 200]);
    });
}

/// An instance calls a machine that was added and is no member, and moves on to a member.
#[test]
fn an_added_machine_ends_no_instance() {
    run(85, async {
        let (mut cluster, engine) = serving(&["core-1"]).await;
        cluster.add("core", 4, false);
        cluster.pass(Duration::from_secs(6)).await;
        let next = engine.call_seq() + 1;
        engine.send_heartbeat(cluster.control_address("core-4"), next).await;
        cluster.pass(EXPIRED).await;
        assert_eq!(turns(&cluster, "t").await, [200, 200]);
    });
}

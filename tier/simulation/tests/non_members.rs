//! Control processes that are no members of the group: spare machines that were added, members that were
//! replaced.

use pointcross_tier_runtime::fault_injection::{self, InjectedFault};
use pointcross_tier_simulation::{Cluster, Engine, SERVICE, Turn, run};
use std::net::Ipv4Addr;
use std::time::Duration;

/// A deployment with three engines, one beginning at each member, and the first configuration in force.
async fn serving() -> (Cluster, Vec<Engine>) {
    let cluster = Cluster::start();
    let engines = (1..=3).map(|number| {
        let mut control = cluster.control_addresses();
        control.rotate_left(usize::from(number - 1));
        let host = Ipv4Addr::new(10, 4, 0, number);
        Engine::start(&cluster.world, &format!("i-{number}"), SERVICE, host, control)
    });
    let engines = engines.collect();
    cluster.pass(Duration::from_secs(2)).await;
    assert_eq!(cluster.configure("core-1", 0, 5).await, Some(200));
    cluster.pass(Duration::from_secs(1)).await;
    (cluster, engines)
}

/// The statuses of a first turn at each of these proxies.
async fn first_turns(cluster: &Cluster, fronts: &[&str]) -> Vec<u16> {
    let mut statuses = Vec::new();
    for front in fronts {
        let id = format!("turn-at-{front}-{}", statuses.len());
        let reply = cluster.turn(front, &Turn::first(&id, &id)).await.expect("an answer");
        statuses.push(reply.status.as_u16());
    }
    statuses
}

/// What proxies answer after three control machines were added to a complete group and became the seeds, and the
/// proxies were restarted.
fn answers_behind_added_seeds() -> Vec<u16> {
    run(61, async {
        let (mut cluster, _engines) = serving().await;
        for number in 4..=6 {
            cluster.add("core", number, false);
        }
        cluster.pass(Duration::from_secs(6)).await;
        cluster.turn_seeds_over(&["core-4", "core-5", "core-6"], false);
        for front in ["front-1", "front-2"] {
            cluster.kill(front);
            cluster.restart(front);
        }
        cluster.pass(Duration::from_secs(3)).await;
        first_turns(&cluster, &["front-1", "front-2"]).await
    })
}

/// Guards against proxies that know no instance, since their seeds are control processes outside the group.
#[test]
fn proxies_whose_seeds_are_no_members_know_the_instances() {
    assert_eq!(answers_behind_added_seeds(), [200, 200]);
}

/// The test above can fail.
#[test]
fn proxies_know_no_instances_where_non_members_answer_watches() {
    fault_injection::inject(Some(InjectedFault::AnswerWatchesAsNonMember));
    let answers = answers_behind_added_seeds();
    fault_injection::inject(None);
    assert_eq!(answers, [503, 503]);
}

/// A member stands still, and a spare machine takes its place. It goes on, and is a seed of proxies that
/// restart, as is a machine that was added and never became a member.
async fn seeds_replaced() -> (Cluster, Vec<Engine>) {
    let (mut cluster, engines) = serving().await;
    cluster.freeze("core-1");
    cluster.add("core", 4, false);
    cluster.pass(Duration::from_secs(6)).await;
    cluster.thaw("core-1");
    cluster.add("core", 5, false);
    cluster.pass(Duration::from_secs(2)).await;
    for engine in &engines {
        engine.call_control(vec![cluster.control_address("core-3")]);
    }
    cluster.turn_seeds_over(&["core-1", "core-5"], false);
    for front in ["front-1", "front-2"] {
        cluster.kill(front);
        cluster.restart(front);
    }
    cluster.pass(Duration::from_secs(3)).await;
    (cluster, engines)
}

#[test]
fn proxies_whose_seeds_were_replaced_know_instances_that_started_later() {
    run(62, async {
        let (cluster, engines) = seeds_replaced().await;
        let control = vec![cluster.control_address("core-3")];
        let _successor = Engine::start(&cluster.world, "i-4", SERVICE, Ipv4Addr::new(10, 4, 0, 4), control);
        engines.iter().for_each(Engine::end);
        cluster.pass(Duration::from_secs(6)).await;
        assert_eq!(first_turns(&cluster, &["front-1", "front-2"]).await, [200, 200]);
    });
}

#[test]
fn proxies_whose_seeds_were_replaced_know_instances_that_drain() {
    run(63, async {
        let (cluster, engines) = seeds_replaced().await;
        engines[1].drain().await;
        let drained = tokio::time::Instant::now();
        cluster.pass(Duration::from_secs(2)).await;
        for _ in 0..10 {
            assert_eq!(first_turns(&cluster, &["front-1", "front-2"]).await, [200, 200]);
        }
        let late = engines[1].ran().iter().filter(|ran| ran.at > drained + Duration::from_secs(2)).count();
        assert_eq!(late, 0, "nothing reaches it after DrainMs");
    });
}

/// Requests that an instance ran later than DrainMs after this moment, while two turns are taken each 0.1 s.
async fn runs_after_drain(cluster: &Cluster, leaving: &Engine, acknowledged: tokio::time::Instant) -> usize {
    for _ in 0..40 {
        assert_eq!(first_turns(cluster, &["front-1", "front-2"]).await, [200, 200]);
        cluster.pass(Duration::from_millis(100)).await;
    }
    let drained = acknowledged + Duration::from_secs(2);
    leaving.ran().iter().filter(|ran| ran.at > drained).count()
}

/// An instance that leaves without a word before calls an added machine that is no member. Requests that it runs
/// after DrainMs.
fn runs_after_a_deregister_at_an_added_machine() -> usize {
    run(64, async {
        let (mut cluster, engines) = serving().await;
        cluster.add("core", 4, false);
        cluster.pass(Duration::from_secs(6)).await;
        engines[0].call_control(["core-4", "core-1"].map(|name| cluster.control_address(name)).to_vec());
        engines[0].deregister().await;
        runs_after_drain(&cluster, &engines[0], tokio::time::Instant::now()).await
    })
}

/// Guards against a Deregister that is acknowledged by a process outside the group and has no effect.
#[test]
fn a_deregister_at_an_added_machine_is_not_lost() {
    assert_eq!(runs_after_a_deregister_at_an_added_machine(), 0, "nothing reaches it after DrainMs");
}

/// The test above can fail.
#[test]
fn a_deregister_is_lost_where_unknown_instances_are_passed_over() {
    fault_injection::inject(Some(InjectedFault::ForgetUnknownDeregister));
    let late = runs_after_a_deregister_at_an_added_machine();
    fault_injection::inject(None);
    assert!(late > 0, "requests reach it after DrainMs");
}

/// All members are killed at once, which leaves them without any instance. The first call of one is that it
/// is gone.
#[test]
fn a_deregister_at_members_that_have_just_started_is_not_lost() {
    run(65, async {
        let (mut cluster, engines) = serving().await;
        engines[0].stop_heartbeats();
        for member in ["core-1", "core-2", "core-3"] {
            cluster.kill(member);
            cluster.restart(member);
        }
        engines[0].deregister().await;
        let late = runs_after_drain(&cluster, &engines[0], tokio::time::Instant::now()).await;
        assert_eq!(late, 0, "nothing reaches it after DrainMs");
    });
}

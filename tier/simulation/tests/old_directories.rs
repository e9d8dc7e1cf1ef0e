//! Proxies whose directory is old: they stood still or were cut off while stores were added.

use pointcross_tier_runtime::fault_injection::{self, InjectedFault};
use pointcross_tier_simulation::{Caller, Cluster, Engine, SERVICE, Turn, run};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};

/// Programs: enough that some of their turns are stored on the added stores only.
const PROGRAMS: usize = 40;

/// A deployment with an engine and the first configuration in force.
async fn serving() -> (Cluster, Engine) {
    let cluster = Cluster::start();
    let host = Ipv4Addr::new(10, 4, 0, 1);
    let engine = Engine::start(&cluster.world, "i-1", SERVICE, host, cluster.control_addresses());
    cluster.pass(Duration::from_secs(2)).await;
    assert_eq!(cluster.configure("core-1", 0, 5).await, Some(200));
    cluster.pass(Duration::from_secs(1)).await;
    (cluster, engine)
}

/// Takes a turn at a proxy, and returns the status of the answer.
async fn take(caller: Caller, front: &str, program: &str, previous: Option<&str>, id: &str) -> u16 {
    let turn = Turn { previous, ..Turn::first(id, program) };
    caller.turn(front, &turn).await.map_or(0, |reply| reply.status.as_u16())
}

/// Two stores are added, and a proxy in the zone of one of them; there each program takes its first turn.
async fn add_stores_and_take_first_turns(cluster: &mut Cluster) {
    cluster.add("storage", 4, false);
    cluster.add("storage", 5, false);
    cluster.add("front", 4, false);
    cluster.pass(Duration::from_secs(1)).await;
    for number in 0..PROGRAMS {
        let (program, first) = (format!("p{number}"), format!("p{number}-t1"));
        let status = take(cluster.caller(), "front-4", &program, None, &first).await;
        assert_eq!(status, 200, "the first turn of program {number}");
    }
}

/// Sends the programs' second turns to the first proxy, all at once.
fn send_second_turns(cluster: &Cluster) -> Vec<JoinHandle<u16>> {
    let send = |number| {
        let caller = cluster.caller();
        spawn_local(async move {
            let [program, first, second] = ["", "-t1", "-t2"].map(|end| format!("p{number}{end}"));
            take(caller, "front-1", &program, Some(&first), &second).await
        })
    };
    (0..PROGRAMS).map(send).collect()
}

async fn statuses(turns: Vec<JoinHandle<u16>>) -> Vec<u16> {
    let mut statuses = Vec::new();
    for turn in turns {
        statuses.push(turn.await.expect("the turn's task ends"));
    }
    statuses
}

fn count(statuses: &[u16], wanted: u16) -> usize {
    statuses.iter().filter(|status| **status == wanted).count()
}

/// Next turns wait in the sockets of a proxy that stands still while stores are added. As it goes on, it
/// answers them before its watches have brought the added stores.
fn answers_of_a_proxy_that_stood_still() -> Vec<u16> {
    run(71, async {
        let (mut cluster, _engine) = serving().await;
        cluster.freeze("front-1");
        add_stores_and_take_first_turns(&mut cluster).await;
        let turns = send_second_turns(&cluster);
        cluster.pass(Duration::from_secs(1)).await;
        cluster.thaw("front-1");
        statuses(turns).await
    })
}

#[test]
fn a_proxy_that_stood_still_denies_no_turn_on_stores_added_meanwhile() {
    let answers = answers_of_a_proxy_that_stood_still();
    assert_eq!(count(&answers, 404), 0, "{answers:?}");
    assert_eq!(count(&answers, 200), PROGRAMS, "{answers:?}");
}

/// The test above can fail.
#[test]
fn a_proxy_that_trusts_its_old_directory_denies_turns() {
    fault_injection::inject(Some(InjectedFault::DenyByOldDirectory));
    let answers = answers_of_a_proxy_that_stood_still();
    fault_injection::inject(None);
    assert!(count(&answers, 404) > 0, "{answers:?}");
}

/// A proxy that is cut off from the control members, and not from the stores, can't be certain: it answers 503.
#[test]
fn a_proxy_that_is_cut_off_from_control_denies_no_turn_on_stores_added_meanwhile() {
    run(72, async {
        let (mut cluster, _engine) = serving().await;
        cluster.cut_pairs("front-1", &["core-1", "core-2", "core-3"]);
        add_stores_and_take_first_turns(&mut cluster).await;
        let answers = statuses(send_second_turns(&cluster)).await;
        assert_eq!(count(&answers, 404), 0, "{answers:?}");
        assert!(count(&answers, 503) > 0, "some turns are on added stores only: {answers:?}");
        cluster.heal();
        cluster.pass(Duration::from_secs(3)).await;
        let answers = statuses(send_second_turns(&cluster)).await;
        assert_eq!(count(&answers, 200), PROGRAMS, "{answers:?}");
    });
}

/// A turn that never was is denied at once in a calm time, also while a member is down.
#[test]
fn a_turn_that_never_was_is_denied() {
    run(73, async {
        let (mut cluster, _engine) = serving().await;
        for down in [None, Some("core-2")] {
            if let Some(member) = down {
                cluster.power_off(member);
                cluster.pass(Duration::from_secs(3)).await;
            }
            let begun = tokio::time::Instant::now();
            assert_eq!(take(cluster.caller(), "front-1", "p", Some("never"), "t1").await, 404);
            assert!(begun.elapsed() < Duration::from_secs(1), "denied after {:?}", begun.elapsed());
        }
    });
}

//! An acknowledged turn outlives the losses that a deployment bears together with its chain, wherever the turns before it
//! were stored, and however long they would have been retained by themselves.

use pointcross_tier_runtime::fault_injection::{self, InjectedFault};
use pointcross_tier_simulation::{Cluster, Engine, SERVICE, Turn, run};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};

/// Programs whose turns are taken at the same time; some of each have the added store among their replicas.
const PROGRAMS: usize = 12;
/// Stores catch up within this.
const CATCH_UP: Duration = Duration::from_secs(4);
/// A killed process is started again after this.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// A program's pause, near the end of the time that its last turn is retained.
const PAUSE: Duration = Duration::from_secs(50);
/// How long a turn is retained.
const RETENTION: Duration = Duration::from_secs(60);
/// A turn that is sent so long before its predecessor expires is answered after that.
const BEFORE_EXPIRY: Duration = Duration::from_millis(10);
/// After a pause and this long the turns before the last one are retained for the sake of later turns only.
const UNTIL_EXPIRED: Duration = Duration::from_secs(25);

/// A deployment with an engine, whose version 5 is in force.
async fn serving() -> Cluster {
    let cluster = Cluster::start();
    // Its tasks end with the run.
    let host = Ipv4Addr::new(10, 4, 0, 1);
    Engine::start(&cluster.world, "i-1", SERVICE, host, cluster.control_addresses());
    cluster.pass(Duration::from_secs(2)).await;
    assert_eq!(cluster.configure("core-1", 0, 5).await, Some(200));
    cluster.pass(Duration::from_secs(1)).await;
    cluster
}

/// Sends one turn of each program at the same time to one proxy.
fn send_turns(cluster: &Cluster, front: &'static str, number: usize) -> Vec<JoinHandle<bool>> {
    (0..PROGRAMS).map(|program| spawn_local(take_turn(cluster.caller(), front, program, number))).collect()
}

/// Takes a program's turn after its last one. Returns whether it was answered whole.
async fn take_turn(
    caller: pointcross_tier_simulation::Caller,
    front: &'static str,
    program: usize,
    number: usize,
) -> bool {
    let (program, id) = (format!("p{program}"), format!("p{program}.{number}"));
    let previous = (number > 1).then(|| format!("{program}.{}", number - 1));
    let turn = Turn {
        id: &id,
        program: &program,
        previous: previous.as_deref(),
        input: "input;",
        budget: None,
        max_tokens: 3,
        stored: true,
    };
    let reply = caller.turn(front, &turn).await;
    reply.is_some_and(|reply| reply.status == 200 && reply.complete)
}

async fn count_answered(turns: Vec<JoinHandle<bool>>) -> usize {
    let mut answered = 0;
    for turn in turns {
        answered += usize::from(turn.await.expect("the turn ends"));
    }
    answered
}

async fn take_turns(cluster: &Cluster, front: &'static str, number: usize) -> usize {
    count_answered(send_turns(cluster, front, number)).await
}

/// The programs pause, take one more turn through the proxy that has all in its cache, and wait until the turns
/// before that would have expired; then the store in that proxy's zone, which has every turn, loses its disk.
/// Returns how many programs are continued after that through a proxy that has nothing cached.
async fn continued_after_a_late_loss(cluster: &mut Cluster, next: usize) -> usize {
    cluster.pass(PAUSE).await;
    assert_eq!(take_turns(cluster, "front-1", next).await, PROGRAMS);
    cluster.pass(UNTIL_EXPIRED).await;
    cluster.wipe("storage-1");
    cluster.pass(CATCH_UP).await;
    take_turns(cluster, "front-2", next + 1).await
}

/// How many programs are continued after the added store ended so long after their second turns were sent: its process
/// was killed, or its machine lost power and what was not synced.
fn continued_after_an_end(end_after: Duration, end: fn(&mut Cluster, &str)) -> usize {
    run(41, async {
        let mut cluster = serving().await;
        assert_eq!(take_turns(&cluster, "front-1", 1).await, PROGRAMS);
        cluster.add("storage", 4, false);
        cluster.pass(CATCH_UP * 2).await;
        let second = send_turns(&cluster, "front-1", 2);
        cluster.pass(end_after).await;
        end(&mut cluster, "storage-4");
        cluster.pass(RESTART_DELAY).await;
        cluster.restart("storage-4");
        assert_eq!(count_answered(second).await, PROGRAMS);
        continued_after_a_late_loss(&mut cluster, 3).await
    })
}

/// Guards against a turn that is lost with one disk, since the other store that acknowledged it was killed before it had
/// fetched the turns before it: at each millisecond round the acknowledgement.
#[test]
fn a_store_that_is_killed_as_it_acknowledges_a_turn_has_its_chain() {
    for after_ms in 60..=84 {
        let continued = continued_after_an_end(Duration::from_millis(after_ms), Cluster::kill);
        assert_eq!(continued, PROGRAMS, "killed after {after_ms} ms");
    }
}

/// Guards against a loss of power between the records of a chain: none is left whose predecessors are torn.
#[test]
fn a_store_that_loses_power_as_it_acknowledges_a_turn_has_its_chain() {
    for after_ms in (66..=80).step_by(2) {
        let continued = continued_after_an_end(Duration::from_millis(after_ms), Cluster::power_off);
        assert_eq!(continued, PROGRAMS, "without power after {after_ms} ms");
    }
}

#[test]
fn a_store_that_acknowledges_a_turn_without_its_chain_loses_it_with_one_disk() {
    fault_injection::inject(Some(InjectedFault::AcknowledgeWithoutChain));
    let continued = continued_after_an_end(Duration::from_millis(73), Cluster::kill);
    fault_injection::inject(None);
    assert!(continued < PROGRAMS, "all {continued} programs are continued");
}

/// Guards against an acknowledged turn whose predecessor expired everywhere while the turn was under way: each program's
/// second turn is sent a moment before the first one's retention is over.
#[test]
fn a_turn_whose_predecessor_expires_while_it_runs_keeps_its_chain() {
    run(42, async {
        let cluster = serving().await;
        let mut second = Vec::new();
        for program in 0..PROGRAMS {
            // Stores remove what has expired every half a second: the programs' moments are spread over that time.
            assert!(take_turn(cluster.caller(), "front-1", program, 1).await);
            let send_at = tokio::time::Instant::now() + RETENTION - BEFORE_EXPIRY;
            let caller = cluster.caller();
            second.push(spawn_local(async move {
                tokio::time::sleep_until(send_at).await;
                take_turn(caller, "front-1", program, 2).await
            }));
        }
        assert_eq!(count_answered(second).await, PROGRAMS);
        cluster.pass(CATCH_UP).await;
        assert_eq!(take_turns(&cluster, "front-2", 3).await, PROGRAMS);
    });
}

/// Three turns of each program, the second one after a store was added; the turns before the third one are retained for
/// its sake only.
async fn with_expired_predecessors() -> Cluster {
    let mut cluster = serving().await;
    assert_eq!(take_turns(&cluster, "front-1", 1).await, PROGRAMS);
    cluster.add("storage", 4, false);
    cluster.pass(CATCH_UP * 2).await;
    assert_eq!(take_turns(&cluster, "front-1", 2).await, PROGRAMS);
    cluster.pass(PAUSE).await;
    assert_eq!(take_turns(&cluster, "front-1", 3).await, PROGRAMS);
    cluster.pass(UNTIL_EXPIRED).await;
    cluster
}

/// Guards against a repair that hands on a turn without the turns before it: the store that was added, and has acknowledged
/// the second turns, loses its disk; the turns move to stores which have let the first ones expire.
#[test]
fn a_turn_that_is_repaired_after_its_predecessors_expired_keeps_its_chain() {
    run(43, async {
        let mut cluster = with_expired_predecessors().await;
        for lost in ["storage-4", "storage-1"] {
            cluster.wipe(lost);
            cluster.pass(CATCH_UP).await;
        }
        assert_eq!(take_turns(&cluster, "front-2", 4).await, PROGRAMS);
    });
}

/// Guards against a retired store that took a part of a chain with it: the store that is emptied has every turn, the others
/// have let the early ones expire.
#[test]
fn a_store_that_is_emptied_hands_on_complete_chains() {
    run(44, async {
        let mut cluster = with_expired_predecessors().await;
        let caller = cluster.caller();
        assert_eq!(caller.retire("core-1", "storage-1").await, Some(200));
        while caller.retirement("core-2", "storage-1").await.is_none_or(|state| !state.contains("completed"))
        {
            cluster.pass(Duration::from_millis(10)).await;
        }
        cluster.power_off("storage-1");
        // Whichever of the others is lost at once: another one has the complete chains.
        cluster.wipe("storage-4");
        cluster.pass(CATCH_UP).await;
        assert_eq!(take_turns(&cluster, "front-2", 4).await, PROGRAMS);
    });
}

/// Guards against gaps that an earlier version of the program left on a disk: they are closed after the store has
/// started, and without another turn.
#[test]
fn a_gap_on_the_disk_of_an_earlier_version_is_closed() {
    let continued = run(45, async {
        let mut cluster = serving().await;
        assert_eq!(take_turns(&cluster, "front-1", 1).await, PROGRAMS);
        cluster.add("storage", 4, false);
        cluster.pass(PAUSE).await;
        fault_injection::inject(Some(InjectedFault::AcknowledgeWithoutChain));
        assert_eq!(take_turns(&cluster, "front-1", 2).await, PROGRAMS);
        // By then the other store has been told that this one has the turns, and asks no more.
        cluster.pass(CATCH_UP).await;
        cluster.kill("storage-4");
        fault_injection::inject(None);
        cluster.pass(RESTART_DELAY).await;
        cluster.restart("storage-4");
        cluster.pass(UNTIL_EXPIRED).await;
        cluster.wipe("storage-1");
        cluster.pass(CATCH_UP).await;
        take_turns(&cluster, "front-2", 3).await
    });
    assert_eq!(continued, PROGRAMS);
}

//! The library before the real program: schedulers killed together, and one told to stop in good order.

use pointcross_client::{ClassConfig, Client, Counts, Item, Outcome};
use pointcross_test_support::cluster::SchedulerCluster;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

mod storm;

/// Guards against a storm of reconnects, doubled writes and calls that are never answered when every scheduler
/// restarts under two thousand clients.
#[test]
fn four_schedulers_back_together_under_two_thousand_clients() {
    let storm = storm::Storm {
        clients: 2000,
        schedulers: 4,
        seed: 11,
        before: Duration::from_secs(3),
        down: Duration::from_secs(1),
        after: Duration::from_secs(8),
        // Few calls each: this is not a measurement, and the build is not the fast one.
        pause: Duration::from_millis(600),
    };
    let figures = storm.play();
    assert_eq!((figures.unanswered, figures.doubled_writes), (0, 0), "{figures:?}");
    // What a machine gives in a second depends on its load: `restart_virtual.rs` asserts the figures of an idle one.
    // At any load every client is served again, at half of the rate or more that this machine gave before.
    assert_eq!((figures.unserved_clients, figures.reconnects), (0, figures.clients), "{figures:?}");
    assert!(figures.served_per_s_after > figures.served_per_s_before / 2.0, "{figures:?}");
    assert!(figures.writes_run as u64 * 4 > figures.served, "a third of the calls are writes: {figures:?}");
    assert!(figures.busiest_100ms_share < figures.baseline_busiest_100ms_share / 2.0, "{figures:?}");
}

/// One of four stops in good order: every call on it is answered, none is lost, and none runs twice.
#[test]
fn a_stop_in_good_order_costs_no_call() {
    let mut cluster = SchedulerCluster::start(4, 4);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let counts = Arc::<Counts>::default();
    let (over, made) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
    let client = runtime.block_on(async {
        let builder = Client::builder()
            .set("all", cluster.schedulers.clone())
            .class("reading-get", ClassConfig::read(Duration::from_secs(2)))
            .class("reading-put", ClassConfig::write(Duration::from_secs(2)));
        builder.seed(3).observer(counts.clone()).build().unwrap()
    });
    let tasks: Vec<_> = (0..16u64)
        .map(|task| {
            let (client, over, made) = (client.clone(), over.clone(), made.clone());
            runtime.spawn(async move {
                let mut lost = Vec::new();
                for call in 0u64.. {
                    if over.load(Ordering::SeqCst) {
                        break;
                    }
                    let item = Item::new(task, (task << 32) + call + 1, "standard", Some(call as u32 % 4));
                    let outcome = match call % 2 {
                        0 => client.put(item, "21.4 C").await,
                        _ => client.get(item).await,
                    };
                    made.fetch_add(1, Ordering::SeqCst);
                    match outcome.unwrap() {
                        Outcome::Served(_) => {}
                        other => lost.push(other),
                    }
                    // The pause that a job makes between its readings.
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                lost
            })
        })
        .collect();
    let wait_for = |more: usize| {
        let until = made.load(Ordering::SeqCst) + more;
        while made.load(Ordering::SeqCst) < until {
            std::thread::yield_now();
        }
    };
    wait_for(2000);
    let stopping = cluster.term(1).unwrap();
    stopping.join().unwrap();
    wait_for(2000);
    over.store(true, Ordering::SeqCst);
    let lost: Vec<Outcome> = runtime.block_on(async { futures(tasks).await }).into_iter().flatten().collect();
    assert!(lost.is_empty(), "{lost:?} of {made:?}");
    assert_eq!(cluster.write_log.repeated_writes(), 0);
    assert!(counts.ejections.load(Ordering::SeqCst) >= 1, "{counts:?}");
}

async fn futures<T>(tasks: Vec<tokio::task::JoinHandle<T>>) -> Vec<T> {
    let mut ended = Vec::new();
    for task in tasks {
        ended.push(task.await.unwrap());
    }
    ended
}

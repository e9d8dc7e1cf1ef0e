//! The troubles of a script: each is caused at its time, and ended after its length.

use super::cluster::{SchedulerCluster, UNIX};
use super::nodes::{Manner, look};
use crate::node::Node;
use crate::script::{Trouble, What};
use std::rc::Rc;
use std::time::Duration;

/// Causes one trouble, and ends it.
pub(super) async fn cause(cluster: Rc<SchedulerCluster>, trouble: Trouble, number: u64) {
    tokio::time::sleep(Duration::from_secs_f64(trouble.at_s)).await;
    let lasts = Duration::from_secs_f64(trouble.for_s);
    let nodes = cluster.script.site.nodes as usize;
    let salt = number + 1;
    match trouble.what {
        What::Die { nodes: part } => nodes_die(&cluster, cluster.pick(nodes, part, salt), lasts).await,
        What::Silent { nodes: part } => {
            behave(&cluster, cluster.pick(nodes, part, salt), Manner::Silent, lasts).await;
        }
        What::Reset { nodes: part, requests } => {
            behave(&cluster, cluster.pick(nodes, part, salt), Manner::Resets(requests), lasts).await;
        }
        What::Slow { nodes: part, times } => {
            nodes_slow_down(&cluster, cluster.pick(nodes, part, salt), times, lasts).await;
        }
        What::Drain { nodes: part } => nodes_drain(&cluster, cluster.pick(nodes, part, salt), lasts).await,
        What::Surge { plan, times } => plan_surges(&cluster, &plan, times, lasts).await,
        What::Hot { volumes, times } => {
            let picked = cluster.pick(cluster.volumes.borrow().len(), volumes, salt);
            volumes_run_hot(&cluster, picked, times, lasts).await;
        }
        What::Lead { volumes } => {
            let count = cluster.volumes.borrow().len();
            for volume in cluster.pick(count, volumes, salt) {
                cluster.volumes.borrow_mut()[volume].schedulers.rotate_left(1);
            }
        }
        What::Discovery => {
            *cluster.silenced.borrow_mut() += 1;
            tokio::time::sleep(lasts).await;
            *cluster.silenced.borrow_mut() -= 1;
            cluster.told.notify_waiters();
        }
        What::Scheduler { number } => {
            cluster.kill(number);
            tokio::time::sleep(lasts).await;
            cluster.start(number);
        }
    }
}

pub(super) fn numbers(picked: &[usize]) -> Vec<u32> {
    picked.iter().map(|&node| node as u32).collect()
}

pub(super) async fn nodes_die(cluster: &Rc<SchedulerCluster>, picked: Vec<usize>, lasts: Duration) {
    for &node in &picked {
        let mut world = look(&cluster.world);
        let place = &mut world.places[node];
        place.node = None;
        place.served.clear();
        // Whoever waits there sees the connection end.
        while place.waiters.pop_first().is_some() {}
    }
    cluster.tell(numbers(&picked));
    tokio::time::sleep(lasts).await;
    for &node in &picked {
        let mut world = look(&cluster.world);
        let (now, laws) = (world.now(), world.laws.clone());
        let seed = cluster.seed.wrapping_add(now).wrapping_add(node as u64);
        let place = &mut world.places[node];
        place.node = Some(Node::new(laws, seed, now, true));
        place.started = UNIX + now as f64 / 1e3;
    }
    cluster.tell(numbers(&picked));
}

pub(super) async fn behave(cluster: &SchedulerCluster, picked: Vec<usize>, manner: Manner, lasts: Duration) {
    let set = |manner| {
        picked.iter().for_each(|&node| look(&cluster.world).places[node].manner = manner);
    };
    set(manner);
    tokio::time::sleep(lasts).await;
    set(Manner::Serves);
}

pub(super) async fn nodes_slow_down(
    cluster: &SchedulerCluster,
    picked: Vec<usize>,
    times: f64,
    lasts: Duration,
) {
    let set = |times| {
        for &node in &picked {
            if let Some(node) = &mut look(&cluster.world).places[node].node {
                node.slow(times);
            }
        }
    };
    set(times);
    tokio::time::sleep(lasts).await;
    set(1.0);
}

pub(super) async fn nodes_drain(cluster: &Rc<SchedulerCluster>, picked: Vec<usize>, lasts: Duration) {
    for drains in [true, false] {
        picked.iter().for_each(|&node| look(&cluster.world).places[node].draining = drains);
        cluster.tell(numbers(&picked));
        if drains {
            tokio::time::sleep(lasts).await;
        }
    }
}

pub(super) async fn plan_surges(cluster: &SchedulerCluster, plan: &str, times: f64, lasts: Duration) {
    let plan = cluster.script.plan.iter().position(|known| known.name == plan);
    let scale = |times: f64| {
        if let Some(plan) = plan {
            cluster.surges.borrow_mut()[plan] *= times;
        }
    };
    scale(times);
    tokio::time::sleep(lasts).await;
    scale(1.0 / times);
}

pub(super) async fn volumes_run_hot(
    cluster: &SchedulerCluster,
    picked: Vec<usize>,
    times: f64,
    lasts: Duration,
) {
    let scale = |times: f64| {
        picked.iter().for_each(|&volume| cluster.volumes.borrow_mut()[volume].times *= times);
    };
    scale(times);
    tokio::time::sleep(lasts).await;
    scale(1.0 / times);
}

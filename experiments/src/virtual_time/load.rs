//! The clients' requests: when they come, what they ask for, and how they end.

use super::cluster::SchedulerCluster;
use super::nodes::{Call, Net, look};
use super::settings::{LATE_WORTH, usual_rate};
use crate::script::Class;
use pointcross_core::{Answer, NewRequest};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Requests at their times, whether earlier ones are answered or not.
pub(super) async fn arrivals(cluster: &Rc<SchedulerCluster>) {
    let mut rng = SmallRng::seed_from_u64(cluster.seed ^ 0xa551_7a15);
    let script = &cluster.script;
    let mean = script.mean_units();
    let end = Duration::from_secs_f64(script.site.seconds);
    let began = look(&cluster.world).began;
    let classes: f64 = script.class.iter().map(|class| class.share).sum();
    let by_plan: Vec<Vec<usize>> = (0..script.plan.len())
        .map(|plan| (0..cluster.volumes.borrow().len()).filter(|n| n % script.plan.len() == plan).collect())
        .collect();
    let (mut at, mut request) = (Duration::ZERO, 0u64);
    loop {
        // What each plan asks for now, in requests a second. Troubles change it between two arrivals at the
        // most, which is soon.
        let rates: Vec<f64> = (0..script.plan.len())
            .map(|plan| {
                let volumes = cluster.volumes.borrow();
                let times: f64 = by_plan[plan].iter().map(|&volume| volumes[volume].times).sum();
                usual_rate(script, plan) * times * cluster.surges.borrow()[plan] / mean
            })
            .collect();
        let all: f64 = rates.iter().sum();
        let most = cluster.volumes.borrow().iter().map(|volume| volume.times).fold(1.0, f64::max);
        // The rates are looked at anew once a tenth of a second.
        let until = at + Duration::from_millis(100);
        while at < until {
            let gap: f64 = Exp1.sample(&mut rng);
            let next = at + Duration::from_secs_f64((gap / all.max(1e-9)).min(1.0));
            if next >= until {
                at = until;
                break;
            }
            at = next;
            if at >= end {
                return;
            }
            let plan = weighted(&mut rng, &rates);
            let volumes = &by_plan[plan];
            let volume = loop {
                let volume = volumes[rng.random_range(0..volumes.len())];
                if rng.random::<f64>() * most <= cluster.volumes.borrow()[volume].times {
                    break volume;
                }
            };
            let mut draw = rng.random::<f64>() * classes;
            let class = script
                .class
                .iter()
                .position(|class| {
                    draw -= class.share;
                    draw < 0.0
                })
                .unwrap_or(0);
            let kind = &script.class[class];
            let units = if kind.units.1 > kind.units.0 {
                rng.random_range(kind.units.0..kind.units.1).round().max(1.0)
            } else {
                kind.units.0
            };
            request += 1;
            let (scheduler, new, call) = {
                let volumes = cluster.volumes.borrow();
                let volume = &volumes[volume];
                // The leading one carries seven tenths, the others share the rest.
                let others = volume.schedulers.len() - 1;
                let turn =
                    if others == 0 || rng.random_bool(0.7) { 0 } else { 1 + rng.random_range(0..others) };
                let shard = volume.shards[rng.random_range(0..volume.shards.len())];
                let piece = rng.random_range(1..200u64) << 32 | u64::from(shard);
                let new = NewRequest {
                    class: class as u16,
                    plan: plan as u16,
                    volume: volume.id,
                    key: piece,
                    units,
                    shard: Some(shard),
                    volume_hosts: volume.schedulers.len() as f64,
                    client_repeat: false,
                    writes: kind.write,
                    deadline: began + at + Duration::from_secs_f64(kind.give_up_ms / 1e3),
                };
                let call = Call {
                    request,
                    volume: volume.id,
                    units,
                    writes: kind.write,
                    piece,
                    limit: volume.limit,
                };
                (volume.schedulers[turn], new, call)
            };
            tokio::time::sleep_until(began + at).await;
            tokio::task::spawn_local(client(cluster.clone(), scheduler, new, call, rng.random()));
        }
        if at >= end {
            return;
        }
    }
}

pub(super) fn weighted(rng: &mut SmallRng, weights: &[f64]) -> usize {
    let mut draw = rng.random::<f64>() * weights.iter().sum::<f64>();
    let found = weights.iter().position(|weight| {
        draw -= weight;
        draw < 0.0
    });
    found.unwrap_or(0)
}

/// One client's request and its one retry after a refusal, as the platform's clients do; the retry comes to the
/// same scheduler.
pub(super) async fn client(
    cluster: Rc<SchedulerCluster>,
    scheduler: u32,
    new: NewRequest,
    call: Call,
    draw: f64,
) {
    let (began, asked) = (look(&cluster.world).began, Instant::now());
    let (plan, class, request) = (usize::from(new.plan), usize::from(new.class), call.request);
    let kind: &Class = &cluster.script.class[class];
    let worth = kind.worth * cluster.script.plan[plan].price;
    let call = Arc::new(call);
    let mut new = new;
    let mut how = 3;
    for turn in 0..2 {
        let Some(core) = cluster.schedulers.borrow()[scheduler as usize].core.clone() else { break };
        let net = Net { world: cluster.world.clone(), scheduler };
        let (asks, carried) = (new.clone(), call.clone());
        // Each try has its own id at the nodes.
        let key = request * 2 + turn;
        let serving = tokio::task::spawn_local(async move { core.serve(&net, &carried, asks).await });
        cluster.schedulers.borrow_mut()[scheduler as usize].open.insert(key, serving.abort_handle());
        let answer = serving.await;
        cluster.schedulers.borrow_mut()[scheduler as usize].open.remove(&key);
        match answer {
            Ok(Answer::Served(())) => how = 0,
            Ok(Answer::Refused { retry_after }) => {
                how = 1;
                // Clients return a little after they were told, each at its own time.
                let back = retry_after + Duration::from_secs_f64(0.05 * draw);
                if turn == 0 && Instant::now() + back + Duration::from_millis(20) < new.deadline {
                    tokio::time::sleep(back).await;
                    new.client_repeat = true;
                    continue;
                }
            }
            Ok(Answer::Failed) => how = 2,
            // Its scheduler was killed.
            Err(_) => how = 3,
        }
        break;
    }
    let took = asked.elapsed();
    let aim = Duration::from_secs_f64(kind.aim_ms / 1e3);
    let earned = match how {
        0 if took <= aim => worth,
        0 => worth * LATE_WORTH,
        _ => 0.0,
    };
    let mut world = look(&cluster.world);
    let now = world.now();
    world.ledger.answered(now, request, how as u64);
    drop(world);
    let served = (how == 0).then_some(took);
    cluster.plans.borrow_mut()[plan].add(how, worth, earned, served);
    cluster.classes.borrow_mut()[class].add(how, worth, earned, served);
    let second = began.elapsed().as_secs() as usize;
    if let Some(counts) = cluster.seconds.borrow_mut().get_mut(second) {
        counts[how] += 1;
    }
}

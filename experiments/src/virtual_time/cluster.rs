//! The schedulers of a rehearsal, the volumes that use them, and what discovery tells them.

use super::nodes::{Shared, address, look};
use super::outcomes::Tally;
use super::settings::{limit_of, settings, volumes_in};
use crate::ledger::Limit;
use crate::script::Script;
use pointcross_core::decide::{ListKind, NodeState};
use pointcross_core::{Core, Member};
use rand::rngs::SmallRng;
use rand::seq::index::sample;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// The clock's start in Unix milliseconds, the same in every rehearsal.
pub(super) const UNIX: f64 = 1_750_000_000_000.0;

pub(super) struct Volume {
    pub(super) id: u64,
    /// The shards that hold its data.
    pub(super) shards: Vec<u32>,
    /// The schedulers that it uses; the first one leads.
    pub(super) schedulers: Vec<u32>,
    /// How many times its usual traffic it asks for.
    pub(super) times: f64,
    pub(super) limit: Option<Limit>,
}

pub(super) struct Scheduler {
    pub(super) core: Option<Arc<Core>>,
    pub(super) timers: Option<AbortHandle>,
    /// Requests that are open here, by number.
    pub(super) open: BTreeMap<u64, AbortHandle>,
    /// What it last heard from discovery.
    pub(super) heard: Vec<Member>,
}

/// What the tasks of one rehearsal share; all run on one thread.
pub(super) struct SchedulerCluster {
    pub(super) script: Script,
    pub(super) world: Shared,
    pub(super) schedulers: RefCell<Vec<Scheduler>>,
    pub(super) volumes: RefCell<Vec<Volume>>,
    /// How many times its usual traffic each plan asks for.
    pub(super) surges: RefCell<Vec<f64>>,
    /// How many troubles silence discovery.
    pub(super) silenced: RefCell<u32>,
    pub(super) told: Notify,
    pub(super) plans: RefCell<Vec<Tally>>,
    pub(super) classes: RefCell<Vec<Tally>>,
    pub(super) seconds: RefCell<Vec<[u32; 4]>>,
    pub(super) seed: u64,
}

impl SchedulerCluster {
    pub(super) fn member(&self, node: u32) -> Member {
        let world = look(&self.world);
        let place = &world.places[node as usize];
        let state = match (&place.node, place.draining) {
            (None, _) => NodeState::Gone,
            (Some(_), true) => NodeState::Draining,
            (Some(_), false) => NodeState::Ready,
        };
        // A node that comes back is a new process under its old id.
        Member {
            name: format!("s-{node:05}"),
            address: address(node),
            zone: 0,
            shard: node,
            state,
            started: place.started,
        }
    }

    pub(super) fn start(&self, number: u32) {
        let mut schedulers = self.schedulers.borrow_mut();
        let scheduler = &mut schedulers[number as usize];
        let text = settings(&self.script, number);
        let decide =
            pointcross_settings::parse(text.as_bytes()).expect("settings of a checked script").decide;
        let mut world = look(&self.world);
        let now = world.now();
        world.ledger.started(now, number);
        drop(world);
        let seed = self.seed.wrapping_add(u64::from(number)).wrapping_add(now);
        let core =
            Core::at_unix(decide, seed, UNIX + now as f64 / 1e3).expect("settings of a checked script");
        let core = Arc::new(core);
        core.list(ListKind::Full, scheduler.heard.clone());
        let timers = core.clone();
        let timers = tokio::task::spawn_local(async move { timers.run_timers().await });
        scheduler.timers = Some(timers.abort_handle());
        scheduler.core = Some(core);
    }

    /// Ends a scheduler outright; its open requests are lost to their clients.
    pub(super) fn kill(&self, number: u32) {
        let open = {
            let mut schedulers = self.schedulers.borrow_mut();
            let scheduler = &mut schedulers[number as usize];
            scheduler.core = None;
            if let Some(timers) = scheduler.timers.take() {
                timers.abort();
            }
            std::mem::take(&mut scheduler.open)
        };
        open.into_values().for_each(|request| request.abort());
    }

    /// Discovery tells every scheduler of these nodes, late, and not before it speaks again.
    pub(super) fn tell(self: &Rc<Self>, nodes: Vec<u32>) {
        let cluster = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_secs_f64(cluster.script.site.told_late_s)).await;
            while *cluster.silenced.borrow() > 0 {
                cluster.told.notified().await;
            }
            let members: Vec<Member> = nodes.iter().map(|&node| cluster.member(node)).collect();
            for number in 0..cluster.script.site.schedulers {
                let core = {
                    let mut schedulers = cluster.schedulers.borrow_mut();
                    let scheduler = &mut schedulers[number as usize];
                    for member in &members {
                        scheduler.heard.retain(|held| held.name != member.name);
                        if member.state != NodeState::Gone {
                            scheduler.heard.push(member.clone());
                        }
                    }
                    scheduler.core.clone()
                };
                let Some(core) = core else { continue };
                let mut world = look(&cluster.world);
                let now = world.now();
                for (node, member) in nodes.iter().zip(&members) {
                    world.ledger.told(now, number, *node, member.state == NodeState::Ready);
                }
                drop(world);
                core.list(ListKind::Changes, members.clone());
            }
        });
    }

    pub(super) fn pick(&self, of: usize, part: f64, salt: u64) -> Vec<usize> {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ salt.wrapping_mul(0xd134_2543_de82_ef95));
        let count = (of as f64 * part).round() as usize;
        let mut picked = sample(&mut rng, of, count.min(of)).into_vec();
        picked.sort_unstable();
        picked
    }
}

/// Which shards each volume lies on, and which schedulers its requests come through.
pub(super) fn draw_volumes(script: &Script, seed: u64, rng: &mut SmallRng) -> Vec<Volume> {
    let nodes = script.site.nodes as usize;
    let draw_one = |n: usize| {
        let plan = n % script.plan.len();
        let shards = sample(rng, nodes, rng_upto(seed, n as u64, 4).min(nodes));
        let most = 3.min(script.site.schedulers) as usize;
        let schedulers = sample(rng, script.site.schedulers as usize, rng_upto(seed, !(n as u64), most));
        Volume {
            id: n as u64 + 1,
            shards: shards.iter().map(|shard| shard as u32).collect(),
            schedulers: schedulers.iter().map(|scheduler| scheduler as u32).collect(),
            times: 1.0,
            limit: limit_of(script, plan),
        }
    };
    (0..volumes_in(script)).map(draw_one).collect()
}

/// From 1 to `most`, the same for the same seed and number.
pub(super) fn rng_upto(seed: u64, number: u64, most: usize) -> usize {
    SmallRng::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15)).random_range(1..=most.max(1))
}

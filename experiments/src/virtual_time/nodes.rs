//! The emulated nodes, and the schedulers' way to them.

use crate::ledger::{Ledger, Limit};
use crate::node::{Arrival, Job, Micros, Node, NodeLaws};
use crate::script::Script;
use pointcross_core::{Attempt, End, Ended, Report, Transport};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// A node's report of its load is this old at the most (BRIEF 7.2: 170 to 940 ms).
pub(super) const REPORT_MS: (f64, f64) = (170.0, 940.0);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Manner {
    Serves,
    Silent,
    Resets(f64),
}

pub(super) struct Place {
    pub(super) node: Option<Node>,
    pub(super) manner: Manner,
    pub(super) draining: bool,
    /// Last start in Unix milliseconds; 0 is long ago.
    pub(super) started: f64,
    /// By token: when a node dies they hear of it in one order always.
    pub(super) waiters: BTreeMap<u64, oneshot::Sender<()>>,
    pub(super) wake: Arc<Notify>,
    pub(super) reported: (Micros, f32),
    /// Units served, by volume.
    pub(super) served: HashMap<u64, Served>,
}

/// Units that a node served for one volume.
#[derive(Default)]
pub(super) struct Served {
    all: f64,
    /// Through each scheduler, and what that was told of the others'.
    by: BTreeMap<u32, (f64, f64)>,
}

pub(super) struct World {
    pub(super) began: Instant,
    pub(super) laws: NodeLaws,
    pub(super) way: Duration,
    pub(super) places: Vec<Place>,
    pub(super) ledger: Ledger,
    pub(super) rng: SmallRng,
    pub(super) next_token: u64,
    pub(super) attempts: u64,
}

impl World {
    pub(super) fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }
}

pub(super) type Shared = Arc<Mutex<World>>;

pub(super) fn look(world: &Shared) -> MutexGuard<'_, World> {
    world.lock().expect("a rehearsal that panicked is over")
}

pub(super) fn address(node: u32) -> SocketAddr {
    SocketAddr::from(([127, (node >> 16) as u8, (node >> 8) as u8, node as u8], 9))
}

pub(super) fn number(address: SocketAddr) -> u32 {
    match address {
        SocketAddr::V4(address) => address.ip().to_bits() & 0x00ff_ffff,
        SocketAddr::V6(_) => u32::MAX,
    }
}

/// What one request asks of a node.
pub(super) struct Call {
    pub(super) request: u64,
    pub(super) volume: u64,
    pub(super) units: f64,
    pub(super) writes: bool,
    pub(super) piece: u64,
    pub(super) limit: Option<Limit>,
}

/// One scheduler's way to the nodes.
pub(super) struct Net {
    pub(super) world: Shared,
    pub(super) scheduler: u32,
}

/// Takes a job that its scheduler gave up out of the node's queue.
pub(super) struct Waits<'a> {
    world: &'a Shared,
    node: usize,
    token: u64,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        let mut world = look(self.world);
        let now = world.now();
        let place = &mut world.places[self.node];
        if place.waiters.remove(&self.token).is_some()
            && let Some(node) = &mut place.node
        {
            node.cancel(now, self.token);
        }
    }
}

impl Transport for Net {
    type Call = Call;
    type Answer = ();

    async fn attempt(&self, attempt: Attempt, call: &Call) -> Ended<()> {
        let to = number(attempt.target.address);
        let (index, way) = (to as usize, look(&self.world).way);
        {
            let mut world = look(&self.world);
            let now = world.now();
            world.attempts += 1;
            world.ledger.sent(now, self.scheduler, to, call.request);
        }
        tokio::time::sleep(way).await;
        let (token, answer, resets) = {
            let mut world = look(&self.world);
            let now = world.now();
            let (token, draw) = (world.next_token, world.rng.random::<f64>());
            world.next_token += 1;
            let place = &mut world.places[index];
            let Some(node) = &mut place.node else { return End::NoConnection.into() };
            let manner = place.manner;
            let taken = match manner {
                Manner::Silent => Arrival::Taken,
                _ => {
                    let job = Job { token, units: call.units, writes: call.writes, piece: call.piece };
                    let before = node.fallen();
                    let arrival = node.arrive(now, job);
                    if arrival == Arrival::Fallen && !before {
                        world.ledger.pushed_over(now, to);
                    }
                    arrival
                }
            };
            if taken == Arrival::TurnedAway {
                (token, None, false)
            } else {
                // A silent node has taken it all the same: it may run it, and its units count.
                world.ledger.taken(now, call.request, call.writes, call.volume, call.units, call.limit);
                let (sender, answer) = oneshot::channel();
                let place = &mut world.places[index];
                place.waiters.insert(token, sender);
                place.wake.notify_one();
                (token, Some(answer), matches!(manner, Manner::Resets(part) if draw < part))
            }
        };
        let Some(answer) = answer else {
            tokio::time::sleep(way).await;
            return Ended { end: End::Rejected, report: self.report(index, None) };
        };
        let waits = Waits { world: &self.world, node: index, token };
        let answered = answer.await;
        drop(waits);
        tokio::time::sleep(way).await;
        match answered {
            Ok(()) if resets => End::Reset.into(),
            Ok(()) => Ended { end: End::Served(()), report: self.report(index, Some(call)) },
            // The node died with it.
            Err(_) => End::Reset.into(),
        }
    }
}

impl Net {
    /// What an answer tells: the load, as old as reports are, and what was served elsewhere.
    fn report(&self, index: usize, served: Option<&Call>) -> Report {
        let mut world = look(&self.world);
        let now = world.now();
        let age = world.rng.random_range(REPORT_MS.0..REPORT_MS.1);
        let place = &mut world.places[index];
        if now >= place.reported.0 {
            let inflight = place.node.as_ref().map_or(0, Node::inflight) as f32;
            place.reported = (now + (age * 1e3) as Micros, inflight);
        }
        let mut elsewhere = 0.0;
        if let Some(call) = served {
            let served = place.served.entry(call.volume).or_default();
            served.all += call.units;
            let (own, told) = served.by.entry(self.scheduler).or_default();
            *own += call.units;
            let others = served.all - *own;
            elsewhere = others - *told;
            *told = others;
        }
        Report { elsewhere, load: vec![place.reported.1] }
    }
}

/// Ends jobs as their time comes.
pub(super) async fn pump(world: Shared, index: usize) {
    let wake = look(&world).places[index].wake.clone();
    let mut ended = Vec::new();
    loop {
        let next = {
            let mut world = look(&world);
            let now = world.now();
            let (began, place) = (world.began, &mut world.places[index]);
            let next = place.node.as_mut().and_then(|node| {
                node.advance(now, &mut ended);
                node.next()
            });
            for job in ended.drain(..) {
                if let Some(waiter) = place.waiters.remove(&job.token) {
                    let _ = waiter.send(());
                }
            }
            next.map(|at| began + Duration::from_micros(at.max(now + 1)))
        };
        match next {
            Some(at) => tokio::select! {
                biased;
                () = wake.notified() => {}
                () = tokio::time::sleep_until(at) => {}
            },
            None => wake.notified().await,
        }
    }
}

/// The nodes before anything happened.
pub(super) fn empty_world(script: &Script, seed: u64) -> World {
    let laws = script.laws();
    let began = Instant::now();
    let places = (0..script.site.nodes).map(|n| Place {
        node: Some(Node::new(laws.clone(), seed.wrapping_mul(31).wrapping_add(u64::from(n)), 0, false)),
        manner: Manner::Serves,
        draining: false,
        started: 0.0,
        waiters: BTreeMap::new(),
        wake: Arc::default(),
        reported: (0, 0.0),
        served: HashMap::new(),
    });
    World {
        began,
        way: Duration::from_secs_f64(script.site.way_ms / 1e3),
        places: places.collect(),
        ledger: Ledger::default(),
        rng: SmallRng::seed_from_u64(seed ^ 0x0051_eeb0),
        next_token: 0,
        attempts: 0,
        laws,
    }
}

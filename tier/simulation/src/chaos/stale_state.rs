//! Faults by which a process goes on with what it knew before, and the check of what is known of the servers after
//! them.

use crate::SERVICE;
use crate::caller::{Caller, Turn};
use crate::chaos::faults::{CATCH_UP, FRONTS, FaultPlan, some_time};
use crate::chaos::ledger::{IN_TOUCH_AFTER, Invariant, Ledger};
use crate::chaos::load;
use crate::cluster::Cluster;
use crate::engine::Engine;
use pointcross_tier_protocol::{Instance, InstanceState};
use pointcross_tier_runtime::random;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

/// Seeds that the settings name.
const MAX_SEEDS: usize = 3;
/// Machines that were added take part within this.
const ADDED_WITHIN: Duration = Duration::from_secs(1);
/// Programs whose next turns wait at a proxy that stands still: enough that some have both copies on added stores.
const PROGRAMS_BESIDE: usize = 12;
/// A late heartbeat is at most so many calls behind the newest one.
const MAX_CALLS_BEHIND: u64 = 4;
/// A server that has left serves on for so long.
const SERVES_ON_FOR: Duration = Duration::from_secs(6);
/// A server without heartbeats is remembered for less than this: 50 intervals of a second.
const REMEMBERED: Duration = Duration::from_secs(52);
/// How long members and proxies may take to learn of the servers that live, once the tier has recovered.
const KNOWN_WITHIN: Duration = Duration::from_secs(6);
/// The time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(200);

impl FaultPlan {
    /// The servers that have not left.
    pub(super) fn staying<'a>(&self, engines: &'a [Engine]) -> &'a [Engine] {
        &engines[self.drained..]
    }

    /// The addresses of all control machines, members or not, beginning at any one.
    fn control_addresses(&self, cluster: &Cluster) -> Vec<SocketAddrV4> {
        let core = self.of_class("core");
        let mut addresses: Vec<SocketAddrV4> =
            core.iter().map(|name| cluster.control_address(name)).collect();
        let first = random::below(addresses.len() as u64) as usize;
        addresses.rotate_left(first);
        addresses
    }

    /// The operators' list of control machines is what it is now: servers call any of them, and the settings name
    /// others where all seeds have left.
    pub(super) fn publish_control_machines(&self, cluster: &mut Cluster, engines: &[Engine]) {
        for engine in engines {
            engine.call_control(self.control_addresses(cluster));
        }
        let addresses = self.control_addresses(cluster);
        if !cluster.control_addresses().iter().any(|seed| addresses.contains(seed)) {
            let core = self.of_class("core");
            let seeds: Vec<&str> = core.iter().take(MAX_SEEDS).map(String::as_str).collect();
            cluster.turn_seeds_over(&seeds, false);
        }
    }

    /// A spare control machine is added. Callers learn of it.
    pub(super) async fn add_control(&mut self, cluster: &mut Cluster, ledger: &Ledger) {
        let number = self.next_number();
        cluster.add("core", number, false);
        self.counted.push(format!("core-{number}"));
        ledger.set_members(self.of_class("core"));
        cluster.pass(CATCH_UP).await;
    }

    /// A proxy stands still while two stores are added, and a proxy in the zone of one of them, which answers the first
    /// turns of some programs. Their next turns wait in the sockets of the one that stands still.
    pub(super) async fn add_stores_beside_frozen(
        &mut self,
        frozen: &str,
        cluster: &mut Cluster,
        ledger: &Rc<Ledger>,
    ) {
        cluster.freeze(frozen);
        let numbers = [self.next_number(), self.next_number()];
        for number in numbers {
            cluster.add("storage", number, false);
            self.counted.push(format!("storage-{number}"));
        }
        let added = format!("front-{}", numbers[0]);
        cluster.add("front", numbers[0], false);
        cluster.pass(ADDED_WITHIN).await;
        let caller = cluster.caller().with_retention(self.shape.retention);
        let take_two_turns = |program| {
            let (program, fronts) = (format!("beside-{added}.{program}"), [added.clone(), frozen.to_owned()]);
            spawn_local(load::take_two_turns(caller.clone(), ledger.clone(), program, fronts))
        };
        let programs: Vec<JoinHandle<()>> = (0..PROGRAMS_BESIDE).map(take_two_turns).collect();
        cluster.pass(some_time(500, 2500)).await;
        cluster.thaw(frozen);
        for program in programs {
            let _ = program.await;
        }
        cluster.kill(&added);
        cluster.pass(CATCH_UP).await;
    }

    /// A heartbeat of a server, which may have left, comes late to any control machine. Half of the time nothing else
    /// happens for longer than a silent server is remembered.
    pub(super) async fn deliver_late_heartbeat(&self, cluster: &mut Cluster, engines: &[Engine]) {
        let engine = &engines[random::below(engines.len() as u64) as usize];
        let late = engine.call_seq().saturating_sub(random::below(MAX_CALLS_BEHIND)).max(1);
        let control = self.control_addresses(cluster)[0];
        let taken = engine.send_heartbeat(control, late).await;
        cluster.timeline.note(&engine.id, format!("its call {late} comes late to {control}: {taken}"));
        if random::below(2) == 0 {
            cluster.pass(REMEMBERED).await;
        }
    }

    /// A new server starts. In a calm time an earlier one says that it is gone, to any control machine, and serves on
    /// for a while.
    pub(super) async fn replace_engine(
        &mut self,
        cluster: &mut Cluster,
        ledger: &Rc<Ledger>,
        engines: &mut Vec<Engine>,
    ) {
        self.released += 1;
        let host = Ipv4Addr::new(10, 4, 2, self.released);
        let id = format!("i-released-{}", self.released);
        let new = Engine::start(&cluster.world, &id, SERVICE, host, self.control_addresses(cluster));
        ledger.watch(new.clone());
        engines.push(new);
        cluster.pass(IN_TOUCH_AFTER + LOOK_EVERY).await;
        let leaving = engines[self.drained].clone();
        self.drained += 1;
        leaving.call_control(self.control_addresses(cluster));
        let control = leaving.deregister().await;
        ledger.drained(&leaving.id);
        cluster.timeline.note(&leaving.id, format!("is gone, acknowledged by {control}"));
        cluster.pass(SERVES_ON_FOR).await;
    }
}

/// After the tier has recovered: members know these servers as ready, and each proxy serves.
pub async fn check_servers_known(caller: &Caller, ledger: &Ledger, staying: &[Engine]) {
    let until = Instant::now() + KNOWN_WITHIN;
    while let Some(unknown) = find_unknown(caller, ledger, staying).await {
        if Instant::now() > until {
            ledger.broken(Invariant::LiveServersAreKnown, unknown);
            break;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    for front in FRONTS {
        if !is_serving(caller, ledger, front, until).await {
            ledger.broken(Invariant::LiveServersAreKnown, format!("{front} serves nothing"));
        }
    }
}

/// What a member lacks; `None` where some member answers, and all that do know all servers as ready.
async fn find_unknown(caller: &Caller, ledger: &Ledger, staying: &[Engine]) -> Option<String> {
    let mut answering = 0;
    for member in ledger.members() {
        let Some(known) = caller.served_instances(&member).await else { continue };
        answering += 1;
        let is_ready = |instance: &Instance| instance.state == InstanceState::Ready;
        for engine in staying {
            if !known.iter().any(|instance| instance.id == engine.id && is_ready(instance)) {
                return Some(format!("{member} does not know {} as ready", engine.id));
            }
        }
    }
    (answering == 0).then(|| "no member answers a follower".to_owned())
}

/// Whether a proxy answers a first turn in time.
async fn is_serving(caller: &Caller, ledger: &Ledger, front: &str, until: Instant) -> bool {
    for attempt in 0.. {
        let id = format!("known.{front}.{attempt}");
        let turn = Turn::first(&id, &id);
        ledger.sends(&id, turn.input.to_owned());
        if caller.turn(front, &turn).await.is_some_and(|reply| reply.status == 200 && reply.complete) {
            return true;
        }
        if Instant::now() > until {
            return false;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    false
}

//! The cluster: nodes, the list service, links and schedulers, set up together and torn down together.

use crate::client::{Clients, Fleet, LoadSettings};
use crate::ledger::{Slots, Verdict};
use crate::link::{Fault, Link};
use crate::list::{Entry, ListMood, ListService};
use crate::node::{Mood, Node, NodeSettings};
use crate::plan::PlanSettings;
use crate::process::{Launch, Scheduler, StartError};
use pointcross_coordination::wire::{CallError, Caller};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Duration;
use tokio::time::Instant;

/// The platform's settings for every scheduler of a cluster: generous times, two classes, one plan.
const SETTINGS: &str = r#"{"resolution":2.0,"discovery":"on_request",
 "classes":[{"name":"reading-get","aim":1000,"give_up":2000,"importance":2,"repeat":"safe","group":"all"},
  {"name":"reading-put","aim":1000,"give_up":2000,"importance":2,"repeat":"unsafe","group":"all"}],
 "service_levels":[{"name":"standard","base_rate":2000,"reservation":1000}],
 "guarantees":{"grace_to_answer":8,"drain_grace":250,"ask_within":10000},
 "limits":{"cancelling":true,"connect_timeout":250,"keepalive":15000,"max_attempts":3,"max_retry_after":1000},
 "family_info":{"max_units":6,"unit_mean":2,"slots_total":2,"writes":[false,true],"tells_elsewhere":true},
 "report":{"how":"inline","names":["inflight"]}}"#;

/// The platform's settings of a cluster.
pub(crate) fn platform_settings() -> serde_json::Value {
    serde_json::from_str(SETTINGS).expect("the rig's own settings")
}

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// The program to start.
    pub program: PathBuf,
    /// Where each scheduler's folder goes.
    pub folder: PathBuf,
    /// Scheduler processes.
    pub schedulers: usize,
    /// Storage nodes, one shard each.
    pub nodes: usize,
    /// Each node's settings.
    pub node: NodeSettings,
    /// The operator's file of every scheduler, where there is one.
    pub operator: Option<String>,
    /// Whether each scheduler starts with the whole list as known, as a saved list.
    pub known_list: bool,
    /// Seeds every draw of the rig.
    pub seed: u64,
    /// Shards, dealt out over the nodes in turn; one a node where left out.
    pub shards: Option<usize>,
    /// The maintenance plan that the schedulers hold together, where they do.
    pub maintenance: Option<PlanSettings>,
    /// How long the rig waits behind a scenario's end for machines of the plan that are not back yet. Zero for none:
    /// what the scenario's own seconds don't suffice for then counts as not taken out.
    pub plan_timeout: Duration,
}

/// Where each scheduler is, shared with the clients.
struct Places {
    addresses: RwLock<Vec<Option<SocketAddr>>>,
    kills: Vec<AtomicU64>,
    /// Whether each says that it takes clients.
    ready: Vec<AtomicBool>,
}

/// How often the clients' front asks each scheduler whether it takes clients.
const FRONT: Duration = Duration::from_millis(100);

/// Asks every scheduler whether it takes clients, as the platform's front does; one that says no gets none. One that
/// cannot be asked is left as it was: its clients meet that themselves.
async fn front(places: Arc<Places>) {
    let caller = Caller::default();
    let mut every = tokio::time::interval(FRONT);
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        every.tick().await;
        let addresses = places.addresses.read().unwrap().clone();
        let asks = addresses.into_iter().enumerate().map(|(i, address)| {
            let (caller, places) = (&caller, &places);
            async move {
                let Some(address) = address else { return };
                let answer = caller.call("GET", address, "/-/ready", "", 3 * FRONT).await;
                match answer {
                    Ok(_) => places.ready[i].store(true, Ordering::Relaxed),
                    Err(CallError::Status(..)) => places.ready[i].store(false, Ordering::Relaxed),
                    Err(_) => {}
                }
            }
        });
        futures_util::future::join_all(asks).await;
    }
}

impl Fleet for Places {
    fn address(&self, i: usize) -> Option<SocketAddr> {
        let ready = self.ready[i].load(Ordering::Relaxed);
        self.addresses.read().unwrap().get(i).copied().flatten().filter(|_| ready)
    }
    fn count(&self) -> usize {
        self.kills.len()
    }
    fn kills(&self, i: usize) -> u64 {
        self.kills[i].load(Ordering::Relaxed)
    }
}

/// A cluster set up and running.
pub struct Cluster {
    /// The stand-in nodes.
    pub nodes: Vec<Node>,
    /// The list service.
    pub list: ListService,
    /// Each scheduler's link to each node, by scheduler and node.
    pub node_links: Vec<Vec<Link>>,
    /// Each scheduler's link to the list service.
    pub list_links: Vec<Link>,
    /// Each scheduler's link to each other one, by both; empty where they do not talk.
    pub peer_links: Vec<Vec<Link>>,
    /// Where each scheduler talks with the others; empty where they do not.
    pub peer_doors: Vec<SocketAddr>,
    /// The schedulers.
    pub schedulers: Vec<Scheduler>,
    places: Arc<Places>,
    epoch: Instant,
}

/// The listed id of node `n`.
pub fn node_name(n: usize) -> String {
    format!("s-{n:04}")
}

/// An address that nobody listens at now, for scheduler `i`: it must be told where before it starts. On a loopback
/// address of its own, since the links' listeners would be given the port as soon as it is free.
fn free_address(i: usize) -> std::io::Result<SocketAddr> {
    let host = std::net::Ipv4Addr::new(127, 1, (i / 250) as u8, (i % 250) as u8 + 1);
    std::net::TcpListener::bind((host, 0))?.local_addr()
}

fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

impl Cluster {
    /// Sets up nodes, list service, links and schedulers; starts no scheduler.
    ///
    /// # Errors
    /// A folder or a listener of the stand-ins that could not be made.
    pub async fn build(settings: &ClusterSettings) -> std::io::Result<Cluster> {
        let epoch = Instant::now();
        let mut nodes = Vec::new();
        let shards = settings.shards.unwrap_or(settings.nodes).max(1);
        for n in 0..settings.nodes {
            nodes.push(Node::start((n % shards) as u32, settings.node.clone(), epoch).await?);
        }
        let entries = (0..settings.nodes)
            .map(|n| Entry { id: node_name(n), cell: (n % shards) as u32, up_since_ms: unix_ms() })
            .collect();
        let (mut peer_links, mut peer_doors) = (Vec::new(), Vec::new());
        if settings.maintenance.is_some() {
            for i in 0..settings.schedulers {
                peer_doors.push(free_address(i)?);
            }
            for i in 0..settings.schedulers {
                let mut links = Vec::new();
                for (j, &door) in peer_doors.iter().enumerate() {
                    links.push(Link::open(door, settings.seed ^ ((i * 1000 + j) as u64) << 20).await?);
                }
                peer_links.push(links);
            }
        }
        let list = ListService::new(entries, epoch);
        let (mut node_links, mut list_links, mut schedulers) = (Vec::new(), Vec::new(), Vec::new());
        let settings_json = platform_settings();
        for i in 0..settings.schedulers {
            let seed = crate::client::splitmix(settings.seed ^ (i as u64) << 32);
            let mut links = Vec::new();
            for (n, node) in nodes.iter().enumerate() {
                links.push(Link::open(node.address, seed ^ n as u64).await?);
            }
            let endpoint = list.endpoint(links.iter().map(|link| link.address).collect()).await?;
            let list_link = Link::open(endpoint, seed).await?;
            let mut platform_settings = settings_json.clone();
            platform_settings["me"] = i.into();
            platform_settings["instances"] = settings.schedulers.into();
            let mut platform = serde_json::json!({
                "discovery": list_link.address.to_string(),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "settings": platform_settings,
            });
            if settings.known_list {
                let known: serde_json::Value =
                    serde_json::from_str(&list.text(i)).expect("the list's own JSON");
                platform["known"] = known;
            }
            let folder = settings.folder.join(format!("n{i}"));
            let mut operator = settings.operator.clone();
            if let Some(maintenance) = &settings.maintenance {
                let state = folder.join("plan");
                let peers: Vec<(String, SocketAddr)> = peer_links[i]
                    .iter()
                    .enumerate()
                    .map(|(j, link): (usize, &Link)| (format!("n{j}"), link.address))
                    .collect();
                let section = maintenance.section(peer_doors[i], &state.display().to_string(), &peers);
                operator = Some(operator.unwrap_or_default() + &section);
            }
            let launch = Launch {
                program: settings.program.clone(),
                name: format!("n{i}"),
                folder,
                platform,
                operator,
            };
            schedulers.push(Scheduler::new(launch));
            node_links.push(links);
            list_links.push(list_link);
        }
        let places = Places {
            addresses: RwLock::new(vec![None; settings.schedulers]),
            kills: (0..settings.schedulers).map(|_| AtomicU64::new(0)).collect(),
            ready: (0..settings.schedulers).map(|_| AtomicBool::new(true)).collect(),
        };
        let places = Arc::new(places);
        Ok(Cluster { nodes, list, node_links, list_links, peer_links, peer_doors, schedulers, places, epoch })
    }

    /// Time since the cluster was set up.
    pub fn elapsed(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Starts scheduler `i`.
    ///
    /// # Errors
    /// A process that could not be started or did not become ready.
    pub async fn start(&mut self, i: usize) -> Result<SocketAddr, StartError> {
        let address = self.schedulers[i].start().await?;
        self.places.addresses.write().unwrap()[i] = Some(address);
        Ok(address)
    }

    /// Starts every scheduler that does not run at once, and waits until each says where it serves.
    ///
    /// # Errors
    /// The first process that could not be started.
    pub async fn start_all(&mut self) -> Result<(), StartError> {
        let all: Vec<usize> = (0..self.schedulers.len()).collect();
        self.start_these(&all).await
    }

    /// The same for those named.
    ///
    /// # Errors
    /// The first process that could not be started.
    pub async fn start_these(&mut self, which: &[usize]) -> Result<(), StartError> {
        let picked = self.schedulers.iter_mut().enumerate();
        let picked = picked.filter(|(i, scheduler)| which.contains(i) && !scheduler.running());
        let starts = picked.map(|(i, scheduler)| async move { (i, scheduler.start().await) });
        let started = futures_util::future::join_all(starts).await;
        for (i, address) in started {
            self.places.addresses.write().unwrap()[i] = Some(address?);
        }
        Ok(())
    }

    /// Kills scheduler `i` outright.
    pub async fn kill(&mut self, i: usize) {
        self.places.kills[i].fetch_add(1, Ordering::Relaxed);
        self.places.addresses.write().unwrap()[i] = None;
        self.schedulers[i].kill().await;
    }

    /// Tells scheduler `i` to stop and waits for its end.
    pub async fn terminate(&mut self, i: usize) {
        self.places.addresses.write().unwrap()[i] = None;
        self.schedulers[i].terminate();
        self.schedulers[i].reap().await;
    }

    /// Sets the fault of scheduler `i`'s link to node `n`.
    pub fn set_node_link(&self, i: usize, n: usize, fault: Fault) {
        self.node_links[i][n].set(fault);
    }

    /// Sets the fault of scheduler `i`'s link to the list service.
    pub fn set_list_link(&self, i: usize, fault: Fault) {
        self.list_links[i].set(fault);
    }

    /// Sets the fault of the links between scheduler `i` and every other, both ways.
    pub fn set_peer_links(&self, i: usize, fault: Fault) {
        for (from, links) in self.peer_links.iter().enumerate() {
            for (to, link) in links.iter().enumerate().filter(|(to, _)| from == i || *to == i) {
                if from != to {
                    link.set(fault);
                }
            }
        }
    }

    /// Sets how node `n` behaves.
    pub fn set_node(&self, n: usize, mood: Mood) {
        self.nodes[n].set(mood);
    }

    /// Starts node `n` again: cold, and listed anew.
    pub fn restart_node(&self, n: usize) {
        self.nodes[n].restart();
        self.list.restarted(n, unix_ms());
    }

    /// Sets how the list service behaves.
    pub fn set_list(&self, mood: ListMood) {
        self.list.set(mood);
    }

    /// Clients for this cluster.
    pub fn clients(&self, load: LoadSettings) -> (Clients, Arc<dyn Fleet>) {
        (Clients::new(load), self.places.clone())
    }

    /// Has clients sent only to schedulers that say they take them, from now on; ends when the task is dropped.
    pub fn front(&self) -> tokio::task::JoinHandle<()> {
        tokio::spawn(front(self.places.clone()))
    }

    /// Looks for schedulers that ended on their own.
    pub fn check(&mut self) {
        for scheduler in &mut self.schedulers {
            scheduler.check();
        }
    }

    /// The verdict over what the stand-ins logged and the clients counted.
    pub fn verdict(&mut self, clients: &Clients) -> Verdict {
        self.check();
        let outcomes = &clients.outcomes;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let calls: Slots = self.list.calls();
        let mut doubled = 0;
        let mut overloads = 0;
        for node in &self.nodes {
            node.log(|log| {
                doubled += log.writes.values().filter(|&&runs| runs > 1).count() as u64;
                overloads += log.overloads;
            });
        }
        let (sent, served) = (read(&outcomes.sent), read(&outcomes.served));
        Verdict {
            schedulers: self.schedulers.len(),
            list_peak_per_s: calls.peak_per_second(),
            list_calls: calls.total(),
            node_overloads: overloads,
            sent,
            served,
            refused: read(&outcomes.refused),
            failed: read(&outcomes.failed),
            served_share: if sent == 0 { 0.0 } else { served as f64 / sent as f64 },
            doubled_writes: doubled,
            unanswered: read(&outcomes.unanswered),
            crashed: self.schedulers.iter().map(Scheduler::crashes).sum(),
        }
    }

    /// Ends every scheduler: SIGTERM, and SIGKILL for one that outlasts the stop's longest time.
    pub async fn shut(&mut self) {
        for scheduler in &mut self.schedulers {
            scheduler.terminate();
        }
        for scheduler in &mut self.schedulers {
            if tokio::time::timeout(Duration::from_secs(6), scheduler.reap()).await.is_err() {
                scheduler.kill().await;
            }
        }
    }
}

//! A scenario of faults for a cluster, in TOML, and its play: the same file and seed give the same faults at the
//! same times.

use crate::client::{LoadSettings, splitmix};
use crate::cluster::Cluster;
use crate::link::Fault;
use crate::list::ListMood;
use crate::node::{Mood, NodeSettings};
use crate::plan::{PlanSettings, PlanWatch};
use serde::Deserialize;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A scenario as its file gives it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Always `fleet`: it tells these files from the laboratory's scripts, which share their folder.
    pub kind: String,
    /// What it rehearses, in a line.
    pub about: String,
    /// How long clients send, in seconds.
    pub seconds: f64,
    /// Storage nodes.
    pub nodes: usize,
    /// Each node.
    #[serde(default)]
    pub node: NodeSettings,
    /// The clients.
    #[serde(default)]
    pub load: LoadSettings,
    /// Whether schedulers start with a saved list.
    #[serde(default)]
    pub known_list: bool,
    /// The schedulers' operator's file, as a table; none where it is left out.
    #[serde(default)]
    pub operator: Option<toml::Table>,
    /// Shards, dealt out over the nodes in turn; one a node where left out.
    #[serde(default)]
    pub shards: Option<usize>,
    /// The maintenance plan that the schedulers hold together, where they do.
    #[serde(default)]
    pub maintenance: Option<PlanSettings>,
    /// What happens, in order of time.
    #[serde(default, rename = "event")]
    pub events: Vec<Event>,
}

/// Which schedulers, nodes or links an event touches.
// Flattened into events, so unknown keys cannot be denied here: serde does not deny through `flatten`.
#[derive(Clone, Debug, Deserialize)]
pub struct Pick {
    /// The part of them, drawn by the seed; 1 is all.
    #[serde(default = "all")]
    pub share: f64,
    /// These by number, in place of a share.
    #[serde(default)]
    pub which: Vec<usize>,
}

impl Pick {
    pub(crate) fn members(&self, count: usize, seed: u64, event: usize) -> Vec<usize> {
        if self.which.is_empty() {
            picked(self.share, count, seed, event)
        } else {
            self.which.iter().copied().filter(|&i| i < count).collect()
        }
    }
}

fn all() -> f64 {
    1.0
}

/// One event.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// When, in seconds from the clients' start.
    pub at: f64,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// What an event does.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum What {
    /// Kills schedulers outright.
    Kill(Pick),
    /// Starts killed or stopped schedulers again.
    Restart(Pick),
    /// Sends SIGTERM to schedulers and waits for their end.
    Terminate(Pick),
    /// Sets the links from schedulers to nodes.
    NodeLinks {
        /// Which.
        #[serde(flatten)]
        pick: Pick,
        /// To what.
        fault: Fault,
    },
    /// Sets the links from schedulers to the list service.
    ListLinks {
        /// Which.
        #[serde(flatten)]
        pick: Pick,
        /// To what.
        fault: Fault,
    },
    /// Sets how nodes behave.
    Nodes {
        /// Which.
        #[serde(flatten)]
        pick: Pick,
        /// To what.
        mood: Mood,
    },
    /// Starts nodes again, cold.
    RestartNodes(Pick),
    /// Sets the links between schedulers and all others.
    PeerLinks {
        /// Which schedulers.
        #[serde(flatten)]
        pick: Pick,
        /// To what.
        fault: Fault,
    },
    /// Kills the scheduler that holds the plan's lease.
    KillHolder,
    /// Asks a scheduler to have machines taken out.
    Ask {
        /// Which scheduler.
        scheduler: usize,
        /// `node/ID` and `scheduler/NAME`.
        machines: Vec<String>,
    },
    /// Sets how the list service behaves.
    List {
        /// To what.
        mood: ListMood,
    },
}

/// What is wrong with a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// Not TOML of this form; the message names the key and line.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// A figure out of its range.
    #[error("{key}: {found}; wanted {wanted}")]
    Range {
        /// The key.
        key: String,
        /// What was found.
        found: String,
        /// What is wanted.
        wanted: &'static str,
    },
}

impl Scenario {
    /// Reads and checks a scenario's text.
    ///
    /// # Errors
    /// A text that is no TOML, or the first key with a value that cannot be.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        if scenario.kind != "fleet" {
            let found = scenario.kind.clone();
            return Err(ScenarioError::Range { key: "kind".into(), found, wanted: "fleet" });
        }
        let range = |key: String, found: f64, ok: bool, wanted| {
            if ok { Ok(()) } else { Err(ScenarioError::Range { key, found: found.to_string(), wanted }) }
        };
        range(
            "seconds".into(),
            scenario.seconds,
            scenario.seconds > 0.0 && scenario.seconds <= 3600.0,
            "0 to 3600",
        )?;
        let talks = |event: &Event| {
            matches!(event.what, What::PeerLinks { .. } | What::KillHolder | What::Ask { .. })
        };
        if scenario.maintenance.is_none()
            && let Some(n) = scenario.events.iter().position(talks)
        {
            let key = format!("event[{n}].do");
            let found = "an event of schedulers that talk".into();
            return Err(ScenarioError::Range { key, found, wanted: "[maintenance] beside it" });
        }
        range("nodes".into(), scenario.nodes as f64, (1..=1000).contains(&scenario.nodes), "1 to 1000")?;
        for (n, event) in scenario.events.iter().enumerate() {
            let key = format!("event[{n}].at");
            range(key, event.at, event.at >= 0.0 && event.at <= scenario.seconds, "0 to seconds")?;
            let share = match &event.what {
                What::Kill(pick) | What::Restart(pick) | What::Terminate(pick) | What::RestartNodes(pick) => {
                    pick.share
                }
                What::NodeLinks { pick, .. } | What::ListLinks { pick, .. } | What::Nodes { pick, .. } => {
                    pick.share
                }
                What::PeerLinks { pick, .. } => pick.share,
                What::List { .. } | What::KillHolder | What::Ask { .. } => 1.0,
            };
            range(format!("event[{n}].share"), share, (0.0..=1.0).contains(&share), "0 to 1")?;
        }
        Ok(scenario)
    }
}

/// The members of `0..count` that a pick takes, drawn by the seed and the event's number.
pub fn picked(share: f64, count: usize, seed: u64, event: usize) -> Vec<usize> {
    let cut = (share * u64::MAX as f64) as u64;
    (0..count).filter(|&i| share >= 1.0 || splitmix(seed ^ (event as u64) << 40 ^ i as u64) < cut).collect()
}

/// Plays the events into the cluster while its clients send; ends after the last event.
pub async fn play(scenario: &Scenario, cluster: &mut Cluster, seed: u64, plan: Option<&PlanWatch>) {
    let begun = tokio::time::Instant::now();
    for (n, event) in scenario.events.iter().enumerate() {
        tokio::time::sleep_until(begun + Duration::from_secs_f64(event.at)).await;
        cluster.check();
        let schedulers = cluster.schedulers.len();
        let nodes = cluster.nodes.len();
        match &event.what {
            What::Kill(pick) => {
                for i in pick.members(schedulers, seed, n) {
                    cluster.kill(i).await;
                }
            }
            What::Terminate(pick) => {
                for i in pick.members(schedulers, seed, n) {
                    cluster.terminate(i).await;
                }
            }
            What::Restart(pick) => {
                // One that does not start leaves its clients without it, which the verdict shows.
                let _ = cluster.start_these(&pick.members(schedulers, seed, n)).await;
            }
            What::NodeLinks { pick, fault } => {
                for i in pick.members(schedulers, seed, n) {
                    for node in 0..nodes {
                        cluster.set_node_link(i, node, *fault);
                    }
                }
            }
            What::ListLinks { pick, fault } => {
                for i in pick.members(schedulers, seed, n) {
                    cluster.set_list_link(i, *fault);
                }
            }
            What::Nodes { pick, mood } => {
                for node in pick.members(nodes, seed, n) {
                    cluster.set_node(node, *mood);
                }
            }
            What::RestartNodes(pick) => {
                for node in pick.members(nodes, seed, n) {
                    cluster.restart_node(node);
                }
            }
            What::List { mood } => cluster.set_list(*mood),
            What::PeerLinks { pick, fault } => {
                for i in pick.members(schedulers, seed, n) {
                    cluster.set_peer_links(i, *fault);
                }
            }
            What::KillHolder => {
                // The plan is looked at ten times a second: its holder may not have been seen yet.
                for _ in 0..100 {
                    if let Some(i) = plan.and_then(PlanWatch::holder) {
                        cluster.kill(i).await;
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
            What::Ask { scheduler, machines } => {
                // An ask that no door takes leaves machines that are never out, which the verdict shows.
                if let Some(plan) = plan
                    && let Err(error) = plan.ask(*scheduler, machines).await
                {
                    eprintln!("pointcross: ask: {error}");
                }
            }
        }
    }
}

/// The scenario as the program stood before what it rehearses: no saved list and no operator's file.
pub fn naive(scenario: &Scenario) -> Scenario {
    Scenario { known_list: false, operator: None, ..scenario.clone() }
}

/// Notes, every 50 ms, the most that each node held in each second.
async fn watch_nodes(nodes: Vec<crate::node::Node>, held: Arc<Mutex<Vec<Vec<u32>>>>) {
    let begun = tokio::time::Instant::now();
    let mut every = tokio::time::interval(Duration::from_millis(50));
    loop {
        every.tick().await;
        let mut held = held.lock().unwrap();
        let second = begun.elapsed().as_secs() as usize;
        if held.len() <= second {
            held.resize(second + 1, vec![0; nodes.len()]);
        }
        for (most, node) in held[second].iter_mut().zip(&nodes) {
            *most = (*most).max(node.held() as u32);
        }
    }
}

/// Sets a cluster up for the scenario, starts every scheduler at once, sends and plays the events side by side,
/// stops the cluster and gives the verdict.
///
/// # Errors
/// A process or a stand-in that could not be started.
pub async fn rehearse(
    scenario: &Scenario,
    settings: &crate::cluster::ClusterSettings,
) -> Result<(crate::ledger::Verdict, crate::ledger::Series), crate::process::StartError> {
    let operator =
        scenario.operator.as_ref().map(toml::Table::to_string).or_else(|| settings.operator.clone());
    let settings = crate::cluster::ClusterSettings {
        nodes: scenario.nodes,
        node: scenario.node.clone(),
        known_list: scenario.known_list || settings.known_list,
        shards: scenario.shards.or(settings.shards),
        maintenance: scenario.maintenance.clone().or_else(|| settings.maintenance.clone()),
        operator,
        ..settings.clone()
    };
    let file = |error| crate::process::StartError::File { path: settings.folder.clone(), error };
    let mut cluster = Cluster::build(&settings).await.map_err(file)?;
    let started = cluster.start_all().await;
    if let Err(error) = started {
        cluster.shut().await;
        return Err(error);
    }
    // Starting hundreds of processes takes seconds, in which the nodes would warm up: the day begins now.
    cluster.nodes.iter().for_each(crate::node::Node::restart);
    let (clients, fleet) = cluster.clients(scenario.load.clone());
    let length = Duration::from_secs_f64(scenario.seconds);
    let begun = cluster.elapsed();
    let held = Arc::new(Mutex::new(Vec::new()));
    let watching = tokio::spawn(watch_nodes(cluster.nodes.clone(), held.clone()));
    let plan = settings.maintenance.as_ref().map(|maintenance| {
        let nodes =
            cluster.nodes.iter().enumerate().map(|(n, node)| (crate::cluster::node_name(n), node.clone()));
        PlanWatch::new(cluster.peer_doors.clone(), nodes.collect(), maintenance.limit)
    });
    // Where schedulers are taken out of service, clients come by a front that asks them.
    let front = plan.as_ref().map(|_| cluster.front());
    let sending = async {
        tokio::join!(
            clients.run(fleet, length, settings.seed),
            play(scenario, &mut cluster, settings.seed, plan.as_ref())
        );
        if let Some(plan) = &plan {
            plan.wait_until_all_back(settings.plan_timeout).await;
        }
    };
    match &plan {
        None => sending.await,
        Some(plan) => tokio::select! {
            () = sending => {}
            () = plan.watch() => {}
        },
    }
    watching.abort();
    if let Some(front) = front {
        front.abort();
    }
    let verdict = cluster.verdict(&clients);
    let answers = clients.outcomes.seconds.lock().unwrap().clone();
    let held = std::mem::take(&mut *held.lock().unwrap());
    let list_calls = cluster.list.calls().per_second(begun);
    let plan = plan.map(|plan| plan.verdict());
    let series = crate::ledger::Series { list_calls, answers, held, plan };
    cluster.shut().await;
    Ok((verdict, series))
}

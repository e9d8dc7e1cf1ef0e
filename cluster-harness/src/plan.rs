//! The maintenance plan of a cluster: what the schedulers are told of each other, and what is seen of the plan while it
//! goes on.
//!
//! The rig asks every scheduler for its view, past the links, and holds the views against each other and against the
//! nodes' own counts: a request that comes to a node while it is out, by the times that the plan itself bears, is
//! counted.

use crate::node::Node;
use crate::out_periods::OutPeriods;
use pointcross_coordination::driver::PlanReport;
use pointcross_coordination::maintenance::decide::{DrainPhase, Machine};
use pointcross_coordination::wire::Caller;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often the schedulers are asked for their views.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// What the operator's file of each scheduler says of the plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanSettings {
    /// Machines out at once at the most.
    pub limit: usize,
    /// How long a lease lasts, in milliseconds.
    pub lease_ms: u64,
    /// How long work on a machine takes, in milliseconds.
    pub work_ms: u64,
    /// Nodes of each shard that must be left.
    pub nodes_left: usize,
    /// Schedulers that must be left in service.
    pub schedulers_left: usize,
    /// A scheduler that is gone for so long need not confirm, in milliseconds.
    pub forget_ms: u64,
}

impl PlanSettings {
    /// The `[maintenance]` section of one scheduler, which reaches its peers at these addresses and listens at `own`.
    pub fn section(&self, own: SocketAddr, state: &str, peers: &[(String, SocketAddr)]) -> String {
        let PlanSettings { limit, lease_ms, work_ms, nodes_left, schedulers_left, forget_ms } = self;
        let mut text = format!(
            "\n[maintenance]\nlisten = \"{own}\"\nstate = \"{state}\"\nlimit = {limit}\nlease_ms = {lease_ms}\n\
             work_ms = {work_ms}\nnodes_left = {nodes_left}\nschedulers_left = {schedulers_left}\n\
             forget_ms = {forget_ms}\n"
        );
        for (name, address) in peers {
            text += &format!("[[maintenance.peer]]\nname = \"{name}\"\naddress = \"{address}\"\n");
        }
        text
    }
}

/// What came of the plan.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct PlanVerdict {
    /// Machines asked for.
    pub asked: usize,
    /// Of these, those that were out and are back.
    pub taken_out: usize,
    /// The most that any scheduler's view had out at once.
    pub max_out_at_once: usize,
    /// The most that may be.
    pub limit_out: usize,
    /// Times at which every node of a shard was out in the newest view.
    pub reserve_breaks: usize,
    /// The most schedulers that any views, put together, had as holders of a lease that was not over.
    pub holders_at_once: usize,
    /// The last lease's epoch.
    pub epochs: u64,
    /// Requests that came to a node while it was out.
    pub sent_while_out: u64,
    /// Looks taken at the schedulers' views.
    pub looks: usize,
}

/// Looks at the plan while it goes on.
pub struct PlanWatch {
    /// Where each scheduler answers operators.
    pub doors: Vec<SocketAddr>,
    /// The nodes, by their listed ids.
    pub nodes: Vec<(String, Node)>,
    caller: Caller,
    seen: Arc<Mutex<Seen>>,
}

#[derive(Default)]
struct Seen {
    verdict: PlanVerdict,
    newest: Option<PlanReport>,
    came_out: BTreeSet<Machine>,
    /// When each node was out.
    out_periods: BTreeMap<String, OutPeriods>,
}

/// How far a view has come: views of one log can be put in order by it.
fn progress(told: &PlanReport) -> (u64, u64) {
    let epoch = told.plan.lease.as_ref().map_or(0, |lease| lease.epoch);
    (told.plan.machines.values().map(|entry| entry.round).sum(), epoch)
}

impl PlanWatch {
    /// A watch on these doors and nodes.
    pub fn new(doors: Vec<SocketAddr>, nodes: Vec<(String, Node)>, limit: usize) -> Self {
        let seen =
            Seen { verdict: PlanVerdict { limit_out: limit, ..Default::default() }, ..Seen::default() };
        PlanWatch { doors, nodes, caller: Caller::default(), seen: Arc::new(Mutex::new(seen)) }
    }

    /// Asks scheduler `i` to have machines taken out, until one takes the call: as an operator would, who tries
    /// the next door.
    ///
    /// # Errors
    /// What the scheduler answered, or why it could not be reached.
    pub async fn ask(&self, i: usize, machines: &[String]) -> Result<(), String> {
        self.seen.lock().unwrap().verdict.asked += machines.len();
        let body = serde_json::json!({ "machines": machines }).to_string();
        let mut last = String::new();
        for turn in 0..40 {
            let door = self.doors[(i + turn) % self.doors.len()];
            match self
                .caller
                .call("POST", door, "/maintenance/ask", body.clone(), Duration::from_secs(2))
                .await
            {
                Ok(_) => return Ok(()),
                Err(error) => last = error.to_string(),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(last)
    }

    /// The scheduler that holds the lease by the newest view.
    pub fn holder(&self) -> Option<usize> {
        let seen = self.seen.lock().unwrap();
        let lease = seen.newest.as_ref()?.plan.lease.clone()?;
        lease.holder.strip_prefix('n')?.parse().ok()
    }

    /// Looks, every 100 ms, for as long as it is let.
    pub async fn watch(&self) {
        let mut every = tokio::time::interval(LOOK_INTERVAL);
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            let asks = self.doors.iter().map(|&door| async move {
                let within = Duration::from_millis(300);
                let answer = self.caller.call("GET", door, "/maintenance/plan", "", within).await.ok()?;
                serde_json::from_slice::<PlanReport>(&answer).ok()
            });
            let views: Vec<PlanReport> =
                futures_util::future::join_all(asks).await.into_iter().flatten().collect();
            self.note(views);
        }
    }

    fn note(&self, views: Vec<PlanReport>) {
        let mut seen = self.seen.lock().unwrap();
        let Seen { verdict, newest, came_out, out_periods } = &mut *seen;
        verdict.looks += 1;
        let mut holders = BTreeSet::new();
        for view in &views {
            verdict.max_out_at_once = verdict.max_out_at_once.max(view.plan.unavailable_count());
            if let Some(lease) = view.plan.lease.as_ref().filter(|lease| view.now < lease.until) {
                holders.insert(lease.holder.clone());
            }
        }
        verdict.holders_at_once = verdict.holders_at_once.max(holders.len());
        let before = newest.as_ref().map(progress);
        if let Some(view) = views.into_iter().max_by_key(progress)
            && before.is_none_or(|before| progress(&view) >= before)
        {
            *newest = Some(view);
        }
        let Some(view) = newest else { return };
        verdict.epochs = view.plan.lease.as_ref().map_or(0, |lease| lease.epoch);
        let mut left: BTreeMap<u32, usize> = BTreeMap::new();
        for (name, node) in &self.nodes {
            let machine = Machine::Node(name.clone());
            let entry = view.plan.machines.get(&machine);
            let counts = entry.is_some_and(|entry| entry.phase.is_unavailable());
            *left.entry(node.shard()).or_default() += usize::from(!counts);
            if let Some(entry) = entry {
                out_periods.entry(name.clone()).or_default().observe(entry, view.now);
            }
        }
        verdict.reserve_breaks += left.values().filter(|&&left| left == 0).count();
        let out = view.plan.machines.iter().filter(|(_, entry)| entry.phase == DrainPhase::Out);
        came_out.extend(out.map(|(machine, _)| machine.clone()));
        let back = came_out.iter().filter(|machine| {
            view.plan.machines.get(machine).is_some_and(|entry| entry.phase == DrainPhase::Back)
        });
        verdict.taken_out = back.count();
    }

    /// Ends once every machine that was asked for is back, or after `timeout`. [`PlanWatch::watch`] has to go on meanwhile.
    pub async fn wait_until_all_back(&self, timeout: Duration) {
        let all_back = async {
            loop {
                let verdict = self.verdict();
                if verdict.taken_out >= verdict.asked {
                    return;
                }
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(timeout, all_back).await;
    }

    /// What came of it so far.
    pub fn verdict(&self) -> PlanVerdict {
        let seen = self.seen.lock().unwrap();
        PlanVerdict { sent_while_out: self.count_sent_while_out(&seen), ..seen.verdict.clone() }
    }

    fn count_sent_while_out(&self, seen: &Seen) -> u64 {
        let calls = self.nodes.iter().flat_map(|(name, node)| {
            let periods = seen.out_periods.get(name).into_iter().flat_map(OutPeriods::periods);
            periods.map(|period| node.calls_between(period.from, period.until))
        });
        calls.sum()
    }
}

//! Random faults, as many at once as the deployment bears.

use crate::chaos::ledger::Ledger;
use crate::cluster::Cluster;
use crate::engine::Engine;
use pointcross_tier_runtime::random;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A machine that counts is counted again so long after it is back.
const CATCH_UP: Duration = Duration::from_millis(4100);
/// Machines that are replaced get numbers from here on.
const FIRST_REPLACEMENT: u8 = 10;

/// A kind of fault.
#[derive(Clone, Copy, Debug)]
enum Kind {
    KillFront,
    KillCounted,
    PowerOffCounted,
    WipeCounted,
    CutOffCounted,
    CutOneWay,
    StopCounted,
    ReplaceCounted,
    KillAllOfTheCore,
    PowerOffAll,
    DrainEngine,
    LoseAnswers,
}

const KINDS: [Kind; 12] = [
    Kind::KillFront,
    Kind::KillCounted,
    Kind::PowerOffCounted,
    Kind::WipeCounted,
    Kind::CutOffCounted,
    Kind::CutOneWay,
    Kind::StopCounted,
    Kind::ReplaceCounted,
    Kind::KillAllOfTheCore,
    Kind::PowerOffAll,
    Kind::DrainEngine,
    Kind::LoseAnswers,
];

impl Kind {
    fn harms_machines(self) -> bool {
        !matches!(self, Kind::DrainEngine | Kind::LoseAnswers)
    }

    fn name(self) -> &'static str {
        match self {
            Kind::KillFront => "kill_front",
            Kind::KillCounted => "kill_counted",
            Kind::PowerOffCounted => "power_off_counted",
            Kind::WipeCounted => "wipe_counted",
            Kind::CutOffCounted => "cut_off_counted",
            Kind::CutOneWay => "cut_one_way",
            Kind::StopCounted => "stop_counted",
            Kind::ReplaceCounted => "replace_counted",
            Kind::KillAllOfTheCore => "kill_all_of_the_core",
            Kind::PowerOffAll => "power_off_all",
            Kind::DrainEngine => "drain_engine",
            Kind::LoseAnswers => "lose_answers",
        }
    }
}

/// The faults of a day.
pub struct FaultPlan {
    counts: BTreeMap<&'static str, usize>,
    /// The machines that count, as they are now.
    counted: Vec<String>,
    next_replacement: u8,
    drained: usize,
}

impl FaultPlan {
    /// No faults yet.
    pub fn new() -> Self {
        let counted = ["core", "storage"];
        let counted =
            counted.iter().flat_map(|class| (1..=3).map(move |number| format!("{class}-{number}"))).collect();
        FaultPlan { counts: BTreeMap::new(), counted, next_replacement: FIRST_REPLACEMENT, drained: 0 }
    }

    /// How many there were of each kind.
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        self.counts.clone()
    }

    /// Carries out faults, one after the other, until the end of the load.
    pub async fn carry_out(
        &mut self,
        cluster: &mut Cluster,
        ledger: &Rc<Ledger>,
        engines: &[Engine],
        stop_at: Instant,
    ) {
        while Instant::now() < stop_at {
            cluster.pass(Duration::from_millis(200 + random::below(2500))).await;
            let kind = KINDS[random::below(KINDS.len() as u64) as usize];
            if kind.harms_machines() {
                ledger.trouble();
            }
            *self.counts.entry(kind.name()).or_default() += 1;
            self.one(kind, cluster, ledger, engines).await;
            if kind.harms_machines() {
                ledger.trouble();
            }
        }
    }

    fn pick_counted(&self) -> String {
        self.counted[random::below(self.counted.len() as u64) as usize].clone()
    }

    async fn one(&mut self, kind: Kind, cluster: &mut Cluster, ledger: &Rc<Ledger>, engines: &[Engine]) {
        let down = Duration::from_millis(200 + random::below(3000));
        let machine = self.pick_counted();
        match kind {
            Kind::KillFront => {
                let front = format!("front-{}", 1 + random::below(2));
                cluster.kill(&front);
                cluster.pass(down / 2).await;
                cluster.restart(&front);
            }
            Kind::KillCounted => {
                cluster.kill(&machine);
                cluster.pass(down).await;
                cluster.restart(&machine);
                cluster.pass(CATCH_UP).await;
            }
            Kind::PowerOffCounted => {
                cluster.power_off(&machine);
                cluster.pass(down).await;
                cluster.restart(&machine);
                cluster.pass(CATCH_UP).await;
            }
            Kind::WipeCounted => {
                cluster.power_off(&machine);
                cluster.pass(down).await;
                cluster.wipe(&machine);
                cluster.pass(CATCH_UP).await;
            }
            Kind::CutOffCounted => {
                cluster.cut_off(&machine, true);
                cluster.pass(down).await;
                cluster.heal();
                cluster.pass(CATCH_UP).await;
            }
            Kind::CutOneWay => {
                cluster.cut_off(&machine, false);
                cluster.pass(down).await;
                cluster.heal();
                cluster.pass(CATCH_UP).await;
            }
            Kind::StopCounted => {
                cluster.terminate(&machine);
                cluster.pass(Duration::from_secs(4)).await;
                cluster.kill(&machine);
                cluster.restart(&machine);
                cluster.pass(CATCH_UP).await;
            }
            Kind::ReplaceCounted => self.replace(cluster, &machine).await,
            Kind::KillAllOfTheCore => {
                let core: Vec<String> =
                    self.counted.iter().filter(|name| name.starts_with("core")).cloned().collect();
                core.iter().for_each(|name| cluster.kill(name));
                cluster.pass(down / 3).await;
                core.iter().for_each(|name| cluster.restart(name));
                cluster.pass(CATCH_UP).await;
            }
            Kind::PowerOffAll => {
                let mut all = self.counted.clone();
                all.extend(["front-1".to_owned(), "front-2".to_owned()]);
                all.iter().for_each(|name| cluster.power_off(name));
                cluster.pass(down / 3).await;
                all.iter().for_each(|name| cluster.restart(name));
                cluster.pass(CATCH_UP).await;
            }
            Kind::LoseAnswers => {
                let engine = &engines[random::below(engines.len() as u64) as usize];
                engine.lose_answers(10);
                cluster.timeline.note(&engine.id, "loses answers");
                cluster.pass(down).await;
                engine.lose_answers(0);
            }
            Kind::DrainEngine => {
                // One stays.
                if self.drained + 1 < engines.len() {
                    let engine = &engines[self.drained];
                    self.drained += 1;
                    engine.drain().await;
                    ledger.drained(&engine.id);
                    cluster.timeline.note(&engine.id, "drains, acknowledged");
                }
            }
        }
    }

    /// A machine is gone for good; an empty one comes at another address.
    async fn replace(&mut self, cluster: &mut Cluster, machine: &str) {
        let class = if machine.starts_with("core") { "core" } else { "storage" };
        cluster.power_off(machine);
        cluster.pass(Duration::from_millis(500 + random::below(1500))).await;
        let number = self.next_replacement;
        self.next_replacement += 1;
        cluster.add(class, number, false);
        self.counted.retain(|name| name != machine);
        self.counted.push(format!("{class}-{number}"));
        cluster.pass(CATCH_UP).await;
    }

    /// Ends what still lasts.
    pub fn end_all(&self, cluster: &mut Cluster) {
        cluster.heal();
    }
}

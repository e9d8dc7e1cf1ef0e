//! Faults by which machines leave for good: replaced ones, and stores that are emptied.

use crate::caller::Caller;
use crate::chaos::faults::{ACKNOWLEDGED_WITHIN, CATCH_UP, FaultPlan, some_time};
use crate::chaos::ledger::Ledger;
use crate::cluster::Cluster;
use pointcross_tier_runtime::random;
use std::time::Duration;
use tokio::time::Instant;

/// How long stores may take to be emptied.
const EMPTIED_WITHIN: Duration = Duration::from_secs(15);

impl FaultPlan {
    /// A machine is gone for good; an empty one comes at another address, before it goes where that is planned.
    pub(super) async fn replace(
        &mut self,
        cluster: &mut Cluster,
        ledger: &Ledger,
        machine: &str,
        planned: bool,
    ) {
        let class = if machine.starts_with("core") { "core" } else { "storage" };
        let number = self.next_number();
        if planned {
            cluster.add(class, number, false);
            cluster.pass(CATCH_UP).await;
            cluster.terminate(machine);
            cluster.pass(Duration::from_secs(4)).await;
            cluster.power_off(machine);
        } else {
            cluster.power_off(machine);
            cluster.pass(some_time(500, 1500)).await;
            cluster.add(class, number, false);
        }
        self.counted.retain(|name| name != machine);
        self.counted.push(format!("{class}-{number}"));
        ledger.set_members(self.of_class("core"));
        cluster.pass(CATCH_UP).await;
    }

    /// Stores are emptied and taken away with their disks, one or two at once; others may lose theirs right after.
    pub(super) async fn retire(&mut self, cluster: &mut Cluster, ledger: &Ledger, wipe: bool) {
        let caller = cluster.caller();
        let mut leaving = Vec::new();
        for store in self.pick_some(1 + random::below(2) as usize, Some("storage")) {
            if self.is_retirement_taken(&caller, ledger, &store).await {
                cluster.timeline.note(&store, "is to be emptied");
                leaving.push(store);
            }
        }
        let until = Instant::now() + EMPTIED_WITHIN;
        let mut emptied = Vec::new();
        while let Some(store) = leaving.pop() {
            if self.is_completed(&caller, &store).await {
                cluster.power_off(&store);
                cluster.timeline.note(&store, "is emptied and taken away");
                self.counted.retain(|name| *name != store);
                emptied.push(store);
                continue;
            }
            leaving.insert(0, store);
            if Instant::now() > until {
                return;
            }
            cluster.pass(some_time(5, 100)).await;
        }
        let Some(store) = emptied.pop() else { return };
        if wipe {
            let lost = self.pick_some(self.size.tolerated, Some("storage"));
            lost.iter().for_each(|name| cluster.wipe(name));
        }
        if self.is_refused(&caller, &store).await {
            ledger.retirement_refused(&store);
        }
        cluster.pass(CATCH_UP).await;
    }

    async fn is_retirement_taken(&self, caller: &Caller, ledger: &Ledger, store: &str) -> bool {
        let until = Instant::now() + ACKNOWLEDGED_WITHIN;
        let mut taken = false;
        while Instant::now() < until {
            let member = self.pick_some(1, Some("core")).remove(0);
            match caller.retire(&member, store).await {
                Some(200) if taken || random::below(2) == 0 => return true,
                // The answer is taken for lost, and the order repeated.
                Some(200) => taken = true,
                Some(400..500) if taken => {
                    ledger.retirement_refused(store);
                    return true;
                }
                Some(400..500) => return false,
                _ => tokio::time::sleep(some_time(50, 100)).await,
            }
        }
        taken
    }

    async fn is_completed(&self, caller: &Caller, store: &str) -> bool {
        let member = self.pick_some(1, Some("core")).remove(0);
        caller.retirement(&member, store).await.is_some_and(|state| state.contains("completed"))
    }

    async fn is_refused(&self, caller: &Caller, store: &str) -> bool {
        let member = self.pick_some(1, Some("core")).remove(0);
        matches!(caller.retire(&member, store).await, Some(400..500))
    }
}

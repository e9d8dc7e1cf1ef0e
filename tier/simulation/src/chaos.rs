//! A day of random load and random faults, from one seed, with its verdict.

mod faults;
mod kinds;
mod ledger;
mod load;
mod machines_leave;
mod shape;
mod stale_state;

pub use ledger::{Invariant, Violation};
pub use shape::DayShape;

use crate::cluster::{Cluster, run};
use crate::engine::Engine;
use crate::size::Size;
use faults::FaultPlan;
use ledger::Ledger;
use pointcross_tier_runtime::fault_injection;
pub use pointcross_tier_runtime::fault_injection::InjectedFault;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Once;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Time for the deployment to come up and take its first configuration.
const START: Duration = Duration::from_secs(2);
/// The last fault strikes so long before the end of the load, or later.
const CLOSING: Duration = Duration::from_secs(6);
/// Deployments, by seed.
const SIZES: [Size; 4] = [Size::SMALL, Size::TWO_MORE_STORES, Size::SMALL, Size::LARGE];
/// After the last fault the tier serves again within this.
const RECOVER: Duration = Duration::from_secs(12);
/// Model schedulers.
const ENGINES: u8 = 3;

/// What a day came to.
#[derive(Clone, Debug)]
pub struct DayReport {
    /// The seed.
    pub seed: u64,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Requests and orders made.
    pub operations: usize,
    /// Requests answered with success and whole.
    pub served: usize,
    /// Virtual time that passed.
    pub virtual_time: Duration,
    /// Rules broken.
    pub violations: Vec<Violation>,
    /// What happened.
    pub timeline: String,
}

thread_local! {
    /// Panics on this thread, each with its place: those of spawned tasks end nothing but the task.
    static PANICS: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Notes the panics of all threads from now on.
fn watch_panics() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        let usual = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            PANICS.with_borrow_mut(|panics| panics.push(info.to_string()));
            usual(info);
        }));
    });
    PANICS.with_borrow_mut(Vec::clear);
}

/// Plays the mixed day of a seed.
pub fn play(seed: u64) -> DayReport {
    play_shaped(seed, DayShape::MIXED)
}

/// Plays the day of a seed and a shape.
pub fn play_shaped(seed: u64, shape: DayShape) -> DayReport {
    watch_panics();
    let mut report = run(seed, day(seed, shape));
    let panics = PANICS.with_borrow_mut(std::mem::take);
    let broken = |text| Violation { invariant: Invariant::NoInvariantOfTheCodeBreaks, text };
    report.violations.extend(panics.into_iter().map(broken));
    report
}

/// Plays the day of a seed and a shape on code with a defect.
pub fn play_broken(seed: u64, shape: DayShape, defect: InjectedFault) -> DayReport {
    fault_injection::inject(Some(defect));
    let report = play_shaped(seed, shape);
    fault_injection::inject(None);
    report
}

async fn day(seed: u64, shape: DayShape) -> DayReport {
    let begun = Instant::now();
    let size = SIZES[seed as usize % SIZES.len()];
    let mut cluster = Cluster::start_sized(size);
    let mut engines: Vec<Engine> = (1..=ENGINES).map(|number| start_engine(&cluster, number)).collect();
    cluster.pass(START).await;
    let members = (1..=size.core).map(|number| format!("core-{number}")).collect();
    let ledger = Rc::new(Ledger::new(cluster.timeline.clone(), members, shape.retention));
    for engine in &engines {
        ledger.watch(engine.clone());
    }
    let caller = cluster.caller().with_retention(shape.retention);
    let stop_at = Instant::now() + shape.load;
    let mut load = vec![
        spawn_local(load::operate(caller.clone(), ledger.clone(), stop_at)),
        spawn_local(load::follow(caller.clone(), ledger.clone(), stop_at)),
        spawn_local(load::probe(caller.clone(), ledger.clone(), stop_at)),
    ];
    cluster.pass(Duration::from_millis(500)).await;
    load.extend((0..shape.programs).map(|number| {
        spawn_local(load::run_programs(caller.clone(), ledger.clone(), shape, number, stop_at))
    }));
    let mut plan = FaultPlan::new(size, shape);
    plan.carry_out(&mut cluster, &ledger, &mut engines, stop_at - CLOSING).await;
    plan.close(&mut cluster, &ledger).await;
    for task in load {
        let _ = task.await;
    }
    plan.end_all(&mut cluster);
    load::check_recovery(&caller, &ledger, Instant::now() + RECOVER).await;
    if shape.servers_call_any_control {
        stale_state::check_servers_known(&caller, &ledger, plan.staying(&engines)).await;
    }
    let violations = ledger.verdict();
    DayReport {
        seed,
        faults: plan.counts(),
        operations: ledger.operations(),
        served: ledger.served(),
        virtual_time: begun.elapsed(),
        violations,
        timeline: cluster.timeline.to_string(),
    }
}

fn start_engine(cluster: &Cluster, number: u8) -> Engine {
    let host = Ipv4Addr::new(10, 4, 0, number);
    let control = cluster.control_addresses();
    Engine::start(&cluster.world, &format!("i-{number}"), crate::SERVICE, host, control)
}

//! The loop that follows the plan at this scheduler: takes its actions, confirms them, and drives the plan
//! while this scheduler leads.

use super::local_actions::{LocalActions, LocalDrains};
use super::peers::Peers;
use crate::maintenance::decide::{
    Claimant, FleetView, PeerView, Plan, is_phase_complete, next_command, pending_confirmations,
};
use crate::swim::{PeerState, PeerStatus};
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior};

/// How often a scheduler checks whether the plan requires anything of it.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Follows the plan for as long as the program runs. Dropped between two commands, it leaves nothing undone:
/// what was not confirmed is confirmed after the next start.
pub(super) async fn run(peers: &Peers, actions: &dyn LocalActions) {
    let me = peers.settings.name();
    // A restart has a higher incarnation, as long as the clock does not go back.
    let claimant = Claimant { name: me, incarnation: crate::unix_ms() };
    let mut drains = LocalDrains::new(peers.plan.borrow().cordoned_nodes());
    let mut consensus_stopped = false;
    let mut check = tokio::time::interval(CHECK_INTERVAL);
    check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        check.tick().await;
        log_consensus_end(peers, &mut consensus_stopped);
        let plan = peers.plan.borrow().clone();
        drains.apply(&plan, me, actions);
        confirm_phases(peers, &plan, &drains, actions).await;
        let leader = peers.raft.metrics().borrow().current_leader;
        if leader == Some(peers.member_id()) {
            drive_plan(peers, claimant, actions).await;
        }
    }
}

/// The consensus ends by itself only on a fatal error, such as a failed write. Nothing restarts it: the plan
/// stays as it is at this scheduler until the process restarts. Logged once.
fn log_consensus_end(peers: &Peers, stopped: &mut bool) {
    let end = peers.raft.metrics().borrow().running_state.clone().err();
    if let Some(error) = end.filter(|_| !*stopped) {
        *stopped = true;
        tracing::error!(%error, "consensus stopped: drained machines stay drained until a restart");
    }
}

/// Submits the confirmations that this scheduler owes. After a failure the rest waits for the next check.
async fn confirm_phases(peers: &Peers, plan: &Plan, drains: &LocalDrains, actions: &dyn LocalActions) {
    let me = peers.settings.name();
    let confirmations = pending_confirmations(plan, me, |machine, phase| {
        is_phase_complete(phase, &drains.progress(machine, me, actions))
    });
    for confirmation in confirmations {
        if let Err(error) = peers.submit(confirmation).await {
            tracing::debug!(%error, "plan confirmation not committed");
            break;
        }
    }
}

/// Submits the next command. The plan is read anew: the confirmations may have changed it.
async fn drive_plan(peers: &Peers, claimant: Claimant<'_>, actions: &dyn LocalActions) {
    let plan = peers.plan.borrow().clone();
    let view = fleet_view(peers, actions);
    let command = next_command(&plan, crate::unix_ms(), claimant, &view, &peers.settings.rules);
    if let Some(command) = command
        && let Err(error) = peers.submit(command).await
    {
        tracing::debug!(%error, "plan command not committed");
    }
}

fn fleet_view(peers: &Peers, actions: &dyn LocalActions) -> FleetView {
    let states = peers.peer_states.borrow();
    let now = Instant::now();
    let views = peers
        .settings
        .peers
        .iter()
        .enumerate()
        .map(|(index, peer)| (peer.name.clone(), peer_view(states.get(&index), now)));
    FleetView::new(actions.nodes(), views, peers.settings.forget.as_millis() as u64)
}

fn peer_view(status: Option<&PeerStatus>, now: Instant) -> PeerView {
    match status {
        Some(PeerStatus { state: PeerState::Alive, .. }) => PeerView::Alive,
        Some(PeerStatus { state: PeerState::Down, since }) => {
            PeerView::Down { for_ms: now.saturating_duration_since(*since).as_millis() as u64 }
        }
        Some(PeerStatus { state: PeerState::Suspect, .. }) | None => PeerView::Unknown,
    }
}

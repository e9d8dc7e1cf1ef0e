//! One scheduler as a member: submits commands to the log, and reports the plan.

use crate::consensus::{Applied, Raft};
use crate::maintenance::decide::{Command, Machine, Plan};
use crate::settings::PeerSettings;
use crate::swim::{PeerState, PeerStates};
use crate::wire::{CallError, Caller};
use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How long a command may take to be committed before it is given up; what is still wanted is submitted
/// again. Less than the 0.9 s within which the admin API answers whatever happens.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(700);
/// Where a leader takes commands from other schedulers.
pub(super) const COMMAND_PATH: &str = "/peers/command";

/// What a scheduler reports of the plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlanReport {
    /// The reporting scheduler's name.
    pub me: String,
    /// The scheduler that it takes for the leader.
    pub leader: Option<String>,
    /// The plan as far as it is applied there.
    pub plan: Plan,
    /// How it sees each scheduler: `alive`, `suspect` or `gone`.
    pub seen: BTreeMap<String, String>,
    /// Its clock, Unix milliseconds.
    pub now: u64,
}

/// Why a command was not committed, as far as is known here: one that timed out may still be.
#[derive(Debug, thiserror::Error)]
pub(super) enum SubmitError {
    /// No leader is known.
    #[error("no leader: the schedulers here are too few to agree")]
    NoLeader,
    /// The leader's number is not in the operator's file.
    #[error("the leader is none of the peers")]
    UnknownLeader,
    /// Not committed within `COMMIT_TIMEOUT`.
    #[error("not agreed in time")]
    Timeout,
    /// The consensus rejected it, or has stopped.
    #[error("{0}")]
    Consensus(Box<dyn std::error::Error + Send + Sync>),
    /// The call to the leader failed.
    #[error("{0}")]
    Call(#[from] CallError),
    /// The command, or the leader's reply, is not JSON of its type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// One scheduler among its peers.
pub struct Peers {
    pub(super) settings: PeerSettings,
    pub(super) raft: Raft,
    pub(super) plan: watch::Receiver<Plan>,
    pub(super) peer_states: watch::Receiver<PeerStates>,
    pub(super) swim_messages: mpsc::Sender<Bytes>,
    pub(super) caller: Caller,
}

impl Peers {
    /// Submits a command to the leader, wherever that is, and waits until it is committed.
    pub(super) async fn submit(&self, command: Command) -> Result<Applied, SubmitError> {
        let leader = self.raft.metrics().borrow().current_leader;
        match leader {
            None => Err(SubmitError::NoLeader),
            Some(leader) if leader == self.member_id() => self.commit(command).await,
            Some(leader) => self.forward(leader, command).await,
        }
    }

    /// Commits a command as the leader. Where this scheduler does not lead, the consensus rejects it.
    pub(super) async fn commit(&self, command: Command) -> Result<Applied, SubmitError> {
        let response = tokio::time::timeout(COMMIT_TIMEOUT, self.raft.client_write(command)).await;
        match response {
            Err(_) => Err(SubmitError::Timeout),
            Ok(Err(error)) => Err(SubmitError::Consensus(error.into())),
            Ok(Ok(response)) => Ok(response.data),
        }
    }

    async fn forward(&self, leader: u64, command: Command) -> Result<Applied, SubmitError> {
        let peer = self.settings.peers.get(leader as usize).ok_or(SubmitError::UnknownLeader)?;
        let body = serde_json::to_vec(&command)?;
        let reply = self.caller.call("POST", peer.address, COMMAND_PATH, body, COMMIT_TIMEOUT).await?;
        Ok(serde_json::from_slice(&reply)?)
    }

    /// This scheduler's number in the consensus.
    pub(super) fn member_id(&self) -> u64 {
        self.settings.me as u64
    }

    /// What this scheduler reports of the plan.
    pub(super) fn report(&self) -> PlanReport {
        let name = |index: usize| self.settings.peers.get(index).map(|peer| peer.name.clone());
        let peer_states = self.peer_states.borrow();
        let seen = peer_states
            .iter()
            .filter_map(|(&index, status)| Some((name(index)?, peer_state_text(status.state).to_owned())));
        PlanReport {
            me: self.settings.name().to_owned(),
            leader: self.raft.metrics().borrow().current_leader.and_then(|index| name(index as usize)),
            plan: self.plan.borrow().clone(),
            seen: seen.collect(),
            now: crate::unix_ms(),
        }
    }

    /// Operators request that machines be drained; returns the text of the reply.
    ///
    /// # Errors
    /// The HTTP status and the reason: an unknown scheduler, a full plan, or a command that was not
    /// committed.
    pub async fn request_drains(&self, machines: Vec<Machine>) -> Result<Vec<u8>, (StatusCode, String)> {
        let schedulers: BTreeSet<_> = self.settings.peers.iter().map(|peer| &peer.name).collect();
        let unknown = machines
            .iter()
            .find(|machine| matches!(machine, Machine::Scheduler(name) if !schedulers.contains(name)));
        if let Some(machine) = unknown {
            return Err((StatusCode::NOT_FOUND, format!("machines: {machine}: no such scheduler")));
        }
        self.submit_for_operator(Command::Ask { machines, now: crate::unix_ms() }).await
    }

    /// Operators have finished their work on a machine; returns the text of the reply.
    ///
    /// # Errors
    /// The HTTP status and the reason: a machine that is not in the plan, or a command that was not
    /// committed.
    pub async fn finish_work(&self, machine: Machine) -> Result<Vec<u8>, (StatusCode, String)> {
        self.submit_for_operator(Command::Done { machine, now: crate::unix_ms() }).await
    }

    /// The plan as this scheduler knows it, as JSON ([`PlanReport`]).
    pub fn plan_text(&self) -> String {
        serde_json::to_string(&self.report())
            .expect("a report has string keys only and can be written as JSON")
    }

    async fn submit_for_operator(&self, command: Command) -> Result<Vec<u8>, (StatusCode, String)> {
        match self.submit(command).await {
            Ok(Applied { rejection: None }) => Ok(b"agreed\n".to_vec()),
            Ok(Applied { rejection: Some(rejection) }) => Err((StatusCode::CONFLICT, rejection.to_string())),
            Err(error) => Err((StatusCode::SERVICE_UNAVAILABLE, error.to_string())),
        }
    }
}

/// The state as it is written in a [`PlanReport`].
fn peer_state_text(state: PeerState) -> &'static str {
    match state {
        PeerState::Alive => "alive",
        PeerState::Suspect => "suspect",
        PeerState::Down => "gone",
    }
}

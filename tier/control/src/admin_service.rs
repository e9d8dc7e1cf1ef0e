//! The operator's commands.
//!
//! Guarantees that a rejection is final: it is sent only where no other attempt of the same command, however
//! late, can still be committed. Versions only rise, so a command on a base below the committed version, or
//! with a version not above it, can never be accepted. Any other command that isn't carried out ends with
//! 503, and the operator sends it again.

use crate::member::Member;
use crate::proposer::{self, DirectoryDecision};
use crate::reply::Reply;
use bytes::Bytes;
use log::info;
use pointcross_tier_protocol::directory::{ReplaceOutcome, RetireOutcome};
use pointcross_tier_protocol::{Configuration, StoreState};
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a command may take here before the operator should try another member.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2500);

/// Commits a configuration, which replaces the committed one completely. `base` is the version that it is
/// based on.
pub async fn replace(member: &Rc<Member>, base: Option<&str>, body: Bytes) -> Reply {
    let configuration = match Configuration::parse(&body) {
        Ok(configuration) => configuration,
        Err(fault) => return Reply::bad_request(fault.to_string()),
    };
    let Some(base) = base.and_then(|base| base.trim().parse::<u64>().ok()) else {
        return Reply::bad_request("X-Base-Version: the version that this one builds on is missing");
    };
    let max_length = member.acceptor.max_configuration();
    if body.len() > max_length {
        let length = body.len();
        return Reply::no_room(format!(
            "the disk has room for configurations of {max_length} bytes, not of {length}"
        ));
    }
    let version = configuration.version;
    let deadline = Instant::now() + COMMAND_TIMEOUT;
    let outcome = proposer::change_directory(member, deadline, |directory| {
        let base =
            if is_injected(InjectedFault::TakeAnyBase) { directory.configuration_version } else { base };
        if is_injected(InjectedFault::RefuseRepeatedOrder) {
            directory.committed_configurations.clear();
        }
        let outcome = directory.replace_configuration(base, version, &body);
        match outcome {
            ReplaceOutcome::Committed => DirectoryDecision::Write(outcome),
            _ => DirectoryDecision::Decline(outcome),
        }
    });
    let outcome = outcome.await;
    info!("configuration replacement: version={version} base={base} outcome={outcome:?}");
    match outcome {
        Ok(outcome) => replace_reply(base, version, outcome),
        Err(undecided) => Reply::unavailable(undecided.to_string()),
    }
}

fn replace_reply(base: u64, version: u64, outcome: ReplaceOutcome) -> Reply {
    match outcome {
        ReplaceOutcome::Committed | ReplaceOutcome::AlreadyCommitted => Reply::json("{}"),
        ReplaceOutcome::BaseMismatch { current } => {
            Reply::precondition_failed(format!("X-Base-Version: {base} is not current, {current} is"))
        }
        ReplaceOutcome::VersionNotGreater { current } => {
            Reply::bad_request(format!("Version: {version} has to be above {current}"))
        }
        ReplaceOutcome::BaseNotCommitted { current } => Reply::unavailable(format!(
            "X-Base-Version: {base} is not in force yet, {current} is; it may come into force"
        )),
        ReplaceOutcome::HistoryTruncated { oldest } => Reply::unavailable(format!(
            "Version: whether {version} was taken is not remembered; {oldest} is the oldest that is"
        )),
    }
}

/// Reads the newest configuration through a quorum.
pub async fn get(member: &Rc<Member>) -> Reply {
    match proposer::read(member, Instant::now() + COMMAND_TIMEOUT).await {
        Ok(value) if value.state.configuration_version == 0 => {
            Reply::not_found("no configuration was taken yet")
        }
        Ok(value) => Reply::bytes(value.state.configuration),
        Err(undecided) => Reply::unavailable(undecided.to_string()),
    }
}

/// Starts to drain a store, which transfers its replicas to the other stores.
pub async fn start_retire(member: &Rc<Member>, node: &str) -> Reply {
    // So many stores keep their majority when the tolerated number fails.
    let min_remaining = member.settings.fault_tolerance.members();
    let deadline = Instant::now() + COMMAND_TIMEOUT;
    let outcome = proposer::change_directory(member, deadline, |directory| {
        let revision = directory.revision;
        let outcome = directory.start_retirement(node, min_remaining);
        match directory.revision == revision {
            true => DirectoryDecision::Decline(outcome),
            false => DirectoryDecision::Write(outcome),
        }
    });
    let outcome = outcome.await;
    info!("store retirement: node={node} outcome={outcome:?}");
    match outcome {
        Ok(RetireOutcome::Started) => Reply::json("{}"),
        Ok(RetireOutcome::UnknownStore) => Reply::not_found("no such store"),
        Ok(RetireOutcome::Unavailable) => Reply::unavailable("the store is away; it can't be emptied now"),
        Ok(RetireOutcome::TooFewRemaining) => {
            Reply::conflict(format!("{min_remaining} stores have to remain"))
        }
        Err(undecided) => Reply::unavailable(undecided.to_string()),
    }
}

/// Reads the state of a store's retirement. `completed` is final, and may be answered from memory; anything
/// else is read through a quorum, since another member may have started or completed it a moment ago.
pub async fn retire_state(member: &Rc<Member>, node: &str) -> Reply {
    let known = member.replicated_view.read(|view| view.directory().state_of_node(node));
    if known == Some(StoreState::Retired) {
        return Reply::json(r#"{"State":"completed"}"#);
    }
    let state = match proposer::read(member, Instant::now() + COMMAND_TIMEOUT).await {
        Ok(value) => value.state.state_of_node(node),
        Err(undecided) => return Reply::unavailable(undecided.to_string()),
    };
    match state {
        Some(StoreState::Retiring) => Reply::json(r#"{"State":"running"}"#),
        Some(StoreState::Retired) => Reply::json(r#"{"State":"completed"}"#),
        Some(StoreState::Active | StoreState::Unavailable) => {
            Reply::not_found("this store is not being retired")
        }
        None => Reply::not_found("no such store"),
    }
}

//! The operator's orders.

use crate::http::Reply;
use crate::member::Member;
use crate::proposer;
use bytes::Bytes;
use log::info;
use pointcross_tier_protocol::directory::{ReplaceOutcome, RetireOutcome};
use pointcross_tier_protocol::{Configuration, StoreState};
use pointcross_tier_runtime::defect::{Defect, is_in};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long an order may take here before the operator had better ask another member; it waits for a second.
const ORDER_WITHIN: Duration = Duration::from_millis(2500);

/// Puts a whole configuration in force.
pub async fn replace(member: &Rc<Member>, base: Option<&str>, body: Bytes) -> Reply {
    let configuration = match Configuration::parse(&body) {
        Ok(configuration) => configuration,
        Err(fault) => return Reply::bad_request(fault.to_string()),
    };
    let Some(base) = base.and_then(|base| base.trim().parse::<u64>().ok()) else {
        return Reply::bad_request(
            "X-Base-Version: the version that this one builds on is missing".to_owned(),
        );
    };
    let version = configuration.version;
    let deadline = Instant::now() + ORDER_WITHIN;
    let outcome = proposer::change_directory(member, deadline, |directory| {
        let base = if is_in(Defect::TakeAnyBase) { directory.configuration_version } else { base };
        if is_in(Defect::RefuseRepeatedOrder) {
            directory.taken.clear();
        }
        let outcome = directory.replace(base, version, &body);
        (outcome == ReplaceOutcome::Taken, outcome)
    });
    let outcome = outcome.await;
    info!("configuration {version} on {base}: {outcome:?}");
    match outcome {
        Ok(ReplaceOutcome::Taken | ReplaceOutcome::TakenBefore) => Reply::json("{}"),
        Ok(ReplaceOutcome::OtherBase { current }) => {
            Reply::precondition_failed(format!("X-Base-Version: {base} is not current, {current} is"))
        }
        Ok(ReplaceOutcome::NotAbove { current }) => {
            Reply::bad_request(format!("Version: {version} has to be above {current}"))
        }
        Err(undecided) => Reply::unavailable(&undecided.to_string()),
    }
}

/// Reads the newest configuration through a quorum.
pub async fn get(member: &Rc<Member>) -> Reply {
    match proposer::read(member, Instant::now() + ORDER_WITHIN).await {
        Ok(value) if value.state.configuration_version == 0 => {
            Reply::not_found("no configuration was taken yet")
        }
        Ok(value) => Reply::bytes(value.state.configuration),
        Err(undecided) => Reply::unavailable(&undecided.to_string()),
    }
}

/// Begins to empty a store.
pub async fn start_retire(member: &Rc<Member>, node: &str) -> Reply {
    // As many must remain as keep their majority when the tolerated number is lost.
    let least = member.settings.fault_tolerance.members();
    let deadline = Instant::now() + ORDER_WITHIN;
    let outcome = proposer::change_directory(member, deadline, |directory| {
        let revision = directory.revision;
        let outcome = directory.retire(node, least);
        (directory.revision != revision, outcome)
    });
    let outcome = outcome.await;
    info!("retire {node}: {outcome:?}");
    match outcome {
        Ok(RetireOutcome::Begun) => Reply::json("{}"),
        Ok(RetireOutcome::Unknown) => Reply::not_found("no such store"),
        Ok(RetireOutcome::TooFew) => Reply::conflict(&format!("{least} stores have to remain")),
        Err(undecided) => Reply::unavailable(&undecided.to_string()),
    }
}

/// Tells how far a store's retirement is.
pub fn retire_state(member: &Rc<Member>, node: &str) -> Reply {
    if !member.in_touch() {
        return Reply::unavailable("out of touch with the other control members");
    }
    match member.shared.read(|view| view.directory().state_of_node(node)) {
        Some(StoreState::Retiring) => Reply::json(r#"{"State":"running"}"#),
        Some(StoreState::Retired) => Reply::json(r#"{"State":"completed"}"#),
        Some(StoreState::Active | StoreState::Away) | None => Reply::not_found("not retiring"),
    }
}

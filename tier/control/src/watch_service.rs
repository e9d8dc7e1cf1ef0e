//! Answers calls of agents and stores.
//!
//! Guarantees that a watch gets no state that is older than the freshness of the quorum allows: without a
//! fresh quorum it is answered `NoQuorum`, and the watcher asks another member.
//!
//! Only members answer watches from memory: members exchange instances with each other and with nobody else,
//! so that a process that is no member, or no longer one, misses what instances say elsewhere, however fresh
//! its contact with a quorum is. It refers a watch to the members, and the watcher moves on to one of them.

use crate::member::Member;
use crate::store_registry;
use pointcross_tier_protocol::messages::{ControlCall, ControlReply, WatchRequest};
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Answers an agent or a store.
pub async fn answer(member: Rc<Member>, call: ControlCall) -> Option<ControlReply> {
    match call {
        ControlCall::Watch(request) => Some(answer_watch(&member, &request).await),
        ControlCall::ReadLatest(request) => Some(read_latest(&member, &request).await),
        ControlCall::RegisterStore(entry) => store_registry::register(&member, entry).await,
        ControlCall::StoreStopping(id) => store_registry::mark_stopping(&member, id).await,
        ControlCall::StoreDrained { id, epoch } => {
            store_registry::complete_retirement(&member, id, epoch).await
        }
    }
}

/// Answers a long poll once there is an update. The state has to be fresh at the answer too, not only at the
/// request: the poll may have been pending for seconds.
async fn answer_watch(member: &Member, request: &WatchRequest) -> ControlReply {
    if !member.has_fresh_quorum() {
        return ControlReply::NoQuorum;
    }
    if !knows_all_instances(member) {
        return refer_to_members(member, request);
    }
    let reply = member.replicated_view.answer(request).await;
    let is_fresh = knows_all_instances(member) && member.has_fresh_quorum();
    if is_fresh { reply } else { ControlReply::NoQuorum }
}

/// Whether this process is told of all instances: members are.
fn knows_all_instances(member: &Member) -> bool {
    member.is_member() || is_injected(InjectedFault::AnswerWatchesAsNonMember)
}

/// Sends the members where the watcher does not know them yet; `NoQuorum` makes it choose one of them.
fn refer_to_members(member: &Member, request: &WatchRequest) -> ControlReply {
    let referral = member.replicated_view.read(|view| view.referral_for(request));
    referral.map_or(ControlReply::NoQuorum, |referral| ControlReply::Update(Box::new(referral)))
}

/// Answers once the directory is known to be as new as the call. The members are asked at once, and the reply
/// does not wait for their next regular exchange.
async fn read_latest(member: &Member, request: &WatchRequest) -> ControlReply {
    let called_at = Instant::now();
    let deadline = called_at + Duration::from_millis(request.max_wait_ms);
    member.wake_exchange();
    loop {
        let report_received = member.report_received.notified();
        if member.is_up_to_date_since(called_at) {
            let latest = member.replicated_view.read(|view| view.latest_for(request));
            return latest.map_or(ControlReply::Done, |latest| ControlReply::Update(Box::new(latest)));
        }
        if tokio::time::timeout_at(deadline, report_received).await.is_err() {
            return ControlReply::NoQuorum;
        }
    }
}

//! The exchange of state with the other members: instances, the committed ballot and group, and who can be
//! reached.
//!
//! Guarantees that a change at one member reaches every reachable member at once, and a member that was
//! unreachable or has restarted as soon as it answers: each exchange sends all that the receiver's
//! incarnation hasn't acknowledged yet.

use crate::member::Member;
use crate::messages::{MemberCall, MemberReply, SyncCall, SyncReply};
use crate::quorum_contact::PeerReport;
use crate::{commit_learner, commit_repair};
use log::debug;
use pointcross_tier_register::MemberId;
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use pointcross_tier_runtime::random;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

/// The time between two exchanges where nothing changes.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// How long an answer may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// The delay after a call that failed, and the bound of what is added to it at random.
const RETRY_DELAY_MS: u64 = 20;
const RETRY_JITTER_MS: u64 = 40;

/// Exchanges with all other members until cancelled, one task for each; the task of a member that was removed
/// is aborted. Also starts the repair of undecided values.
pub async fn run(member: Rc<Member>) {
    spawn_local(commit_repair::run(member.clone()));
    let mut exchanges: BTreeMap<MemberId, JoinHandle<()>> = BTreeMap::new();
    let mut state_changes = member.state_changed.subscribe();
    loop {
        let own_id = member.id();
        let group = member.group();
        let others: Vec<MemberId> =
            group.members.iter().copied().filter(|other| other.address != own_id.address).collect();
        exchanges.retain(|other, task| {
            let is_member = others.contains(other);
            if !is_member {
                task.abort();
            }
            is_member
        });
        for other in others {
            exchanges.entry(other).or_insert_with(|| spawn_local(exchange_with(member.clone(), other)));
        }
        state_changes.changed().await;
    }
}

/// The revision of this member's instances that an incarnation of another member has acknowledged.
#[derive(Clone, Copy, Default)]
struct Acknowledged {
    incarnation: u64,
    revision: u64,
}

/// Exchanges with one member until aborted.
async fn exchange_with(member: Rc<Member>, other: MemberId) {
    let mut state_changes = member.state_changed.subscribe();
    let mut acknowledged = Acknowledged::default();
    loop {
        state_changes.mark_seen();
        match exchange(&member, other, &mut acknowledged).await {
            ExchangeOutcome::Complete => {
                let _ = tokio::time::timeout(EXCHANGE_INTERVAL, state_changes.changed()).await;
            }
            ExchangeOutcome::ResendAll => {}
            ExchangeOutcome::Failed => {
                member.record_failure(other);
                let delay = RETRY_DELAY_MS + random::below(RETRY_JITTER_MS);
                tokio::time::sleep(Duration::from_millis(delay)).await;
            }
        }
    }
}

/// How one exchange ended.
enum ExchangeOutcome {
    /// The other member has acknowledged everything.
    Complete,
    /// The other member is a new incarnation and has nothing of what the one before acknowledged.
    ResendAll,
    /// No answer.
    Failed,
}

/// One exchange: sends what has changed, and learns from the answer.
async fn exchange(member: &Rc<Member>, other: MemberId, acknowledged: &mut Acknowledged) -> ExchangeOutcome {
    let asked_at = Instant::now();
    let revision = member.replicated_view.read(|view| view.instances().revision());
    let call = MemberCall::Sync(sync_call(member, acknowledged.revision));
    let reply = match member.peer(other.address).call(&call, EXCHANGE_TIMEOUT).await {
        Ok(MemberReply::Sync(reply)) => reply,
        Ok(_) => return ExchangeOutcome::Failed,
        Err(fault) => {
            debug!("exchange failed: member={other:?}: {fault}");
            return ExchangeOutcome::Failed;
        }
    };
    let has_all = reply.incarnation == acknowledged.incarnation || acknowledged.revision == 0;
    *acknowledged =
        Acknowledged { incarnation: reply.incarnation, revision: if has_all { revision } else { 0 } };
    record_report(member, other, asked_at, acknowledged.revision, &reply);
    commit_learner::learn_from_reply(member, other.address, &reply).await;
    if reply.member != other && !is_injected(InjectedFault::ContactByAddress) {
        member.record_failure(other);
    }
    if acknowledged.revision < revision { ExchangeOutcome::ResendAll } else { ExchangeOutcome::Complete }
}

fn sync_call(member: &Member, since_revision: u64) -> SyncCall {
    let instances = member.replicated_view.read(|view| view.instances().changed_since(since_revision));
    SyncCall { committed_ballot: member.committed_ballot(), group: member.group(), instances }
}

fn record_report(
    member: &Member,
    other: MemberId,
    asked_at: Instant,
    instances_revision: u64,
    reply: &SyncReply,
) {
    // The group first: reports of members that were replaced don't count.
    member.learn_group(&reply.group);
    let from = if is_injected(InjectedFault::ContactByAddress) { other } else { reply.member };
    let asked_at = if is_injected(InjectedFault::ContactFromReply) { Instant::now() } else { asked_at };
    let report = PeerReport {
        asked_at,
        instances_revision,
        committed: reply.committed_ballot,
        accepted: reply.accepted_ballot,
        accepted_group: reply.accepted_group.clone(),
    };
    member.record_report(from, report);
}

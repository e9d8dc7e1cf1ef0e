//! The exchange between control members: instances, what is in force, and who can be reached.

use crate::member::{Exchange, Member};
use crate::messages::{MemberCall, MemberReply, SyncCall, SyncReply};
use crate::proposer;
use log::debug;
use pointcross_tier_protocol::Instance;
use pointcross_tier_register::Ballot;
use pointcross_tier_runtime::random;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

/// The time between two exchanges where nothing is new.
const PERIOD: Duration = Duration::from_millis(200);
/// How long an answer may take.
const ANSWER_WITHIN: Duration = Duration::from_millis(400);
/// An accepted value that nobody knows to be in force is settled after so long.
const SETTLE_AFTER: Duration = Duration::from_millis(250);
/// How long settling may take.
const SETTLE_WITHIN: Duration = Duration::from_secs(2);

/// Exchanges with all other members for ever, and settles what was left undecided.
pub async fn run(member: Rc<Member>) {
    spawn_local(settle_undecided(member.clone()));
    let mut exchanging: BTreeMap<SocketAddrV4, JoinHandle<()>> = BTreeMap::new();
    let mut nudges = member.nudge.subscribe();
    loop {
        let own = member.id().address;
        let others: Vec<SocketAddrV4> =
            member.group().members.iter().map(|other| other.address).filter(|other| *other != own).collect();
        exchanging.retain(|address, task| {
            let stays = others.contains(address);
            if !stays {
                task.abort();
            }
            stays
        });
        for address in others {
            exchanging.entry(address).or_insert_with(|| spawn_local(exchange_with(member.clone(), address)));
        }
        let _ = nudges.changed().await;
    }
}

/// Exchanges with one member until aborted.
async fn exchange_with(member: Rc<Member>, address: SocketAddrV4) {
    let mut nudges = member.nudge.subscribe();
    loop {
        nudges.borrow_and_update();
        let known = member.exchange(address);
        let revision = member.shared.read(|view| view.instances().revision());
        let call = MemberCall::Sync(call_for(&member, known.instances_revision));
        match member.peer(address).call(&call, ANSWER_WITHIN).await {
            Ok(MemberReply::Sync(reply)) => {
                // A new life knows nothing of what was told to the one before.
                let same_life = reply.source == known.source;
                let instances_revision =
                    if same_life || known.instances_revision == 0 { revision } else { 0 };
                let answered = Some(Instant::now());
                member.set_exchange(address, Exchange { answered, source: reply.source, instances_revision });
                learn(&member, address, &reply).await;
                if instances_revision < revision {
                    continue;
                }
            }
            Ok(_) => {}
            Err(fault) => {
                debug!("exchange: {fault}");
                tokio::time::sleep(Duration::from_millis(20 + random::below(40))).await;
                continue;
            }
        }
        let _ = tokio::time::timeout(PERIOD, nudges.changed()).await;
    }
}

fn call_for(member: &Member, since: u64) -> SyncCall {
    let changed: Vec<Instance> = member.shared.read(|view| view.instances().changed_since(since));
    SyncCall {
        source: member.life,
        in_force_ballot: member.in_force_ballot(),
        group: member.group(),
        instances: changed,
    }
}

/// Takes in what another member tells.
pub fn take_in(member: &Rc<Member>, call: SyncCall) -> SyncReply {
    member.learn_group(&call.group);
    for instance in &call.instances {
        member.heard.borrow_mut().told(instance);
    }
    member.shared.change(|view| {
        let merged: Vec<bool> =
            call.instances.into_iter().map(|instance| view.instances_mut().merge(instance)).collect();
        merged.contains(&true)
    });
    if let Some(ballot) = call.in_force_ballot
        && member.in_force_ballot() < Some(ballot)
    {
        learn_accepted(member, ballot);
    }
    SyncReply { source: member.life, in_force_ballot: member.in_force_ballot(), group: member.group() }
}

/// Where the own accepted value is the one that is in force, nothing has to be fetched.
fn learn_accepted(member: &Rc<Member>, ballot: Ballot) {
    if member.voter.accepted_ballot() == Some(ballot)
        && let Some((ballot, value)) = member.voter.accepted()
    {
        member.learn_in_force(ballot, value);
    }
}

/// Takes in a member's answer, and fetches the value in force where it is newer than what is known here.
async fn learn(member: &Rc<Member>, address: SocketAddrV4, reply: &SyncReply) {
    member.learn_group(&reply.group);
    let Some(ballot) = reply.in_force_ballot.filter(|ballot| member.in_force_ballot() < Some(*ballot)) else {
        return;
    };
    learn_accepted(member, ballot);
    if member.in_force_ballot() >= Some(ballot) {
        return;
    }
    let fetched = member.peer(address).call(&MemberCall::Fetch, ANSWER_WITHIN * 2).await;
    if let Ok(MemberReply::InForce(Some(newest))) = fetched {
        member.learn_in_force(newest.0, newest.1);
    }
}

/// After a restart of all, or a proposer that died between its rounds, nobody knows whether the newest accepted
/// value is in force: a read through a quorum settles that.
async fn settle_undecided(member: Rc<Member>) {
    let mut seen: Option<Ballot> = None;
    loop {
        let wait = SETTLE_AFTER + Duration::from_millis(random::below(100));
        tokio::time::sleep(if member.in_force_ballot().is_none() { wait / 5 } else { wait }).await;
        let accepted = member.voter.accepted_ballot();
        let known = member.in_force_ballot();
        let undecided = member.is_member() && (known.is_none() || accepted > known);
        if undecided && (known.is_none() || seen == accepted) {
            let _ = proposer::read(&member, Instant::now() + SETTLE_WITHIN).await;
        }
        seen = accepted;
    }
}

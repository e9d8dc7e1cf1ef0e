//! When a member may answer from memory: the rules of quorum freshness, in direct calls with given times.

use pointcross_tier_control::quorum_contact::{FRESHNESS_PERIOD, LocalState, PeerReport, QuorumContact};
use pointcross_tier_register::{Ballot, Group, MemberId};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use tokio::time::Instant;

const MILLISECOND: Duration = Duration::from_millis(1);

fn member(number: u8) -> MemberId {
    MemberId { address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 7100), disk: 0 }
}

fn group_of_three() -> Group {
    Group::initial(&[member(1).address, member(2).address, member(3).address])
}

fn ballot(height: u32) -> Ballot {
    (0..height).fold(Ballot::default(), |ballot, _| Ballot::above(ballot, 1))
}

/// Member 1, which knows that this ballot is committed and has accepted it.
fn local(group: &Group, committed: Option<Ballot>) -> LocalState<'_> {
    LocalState { id: member(1), group, committed, accepted: committed, accepted_group: Some(group) }
}

/// The report of a member that has accepted this ballot and knows nothing newer.
fn report(asked_at: Instant, accepted: Option<Ballot>, group: &Group) -> PeerReport {
    PeerReport {
        asked_at,
        instances_revision: 0,
        committed: None,
        accepted,
        accepted_group: Some(group.clone()),
    }
}

#[test]
fn a_member_alone_has_no_fresh_quorum() {
    let group = group_of_three();
    let mut contact = QuorumContact::default();
    assert!(!contact.has_fresh_quorum(local(&group, Some(ballot(1))), Instant::now()));
}

#[test]
fn freshness_ends_a_period_after_the_peer_was_asked() {
    let group = group_of_three();
    let asked_at = Instant::now();
    let state = local(&group, Some(ballot(1)));
    let mut contact = QuorumContact::default();
    contact.record_report(member(2), report(asked_at, Some(ballot(1)), &group));
    assert!(contact.has_fresh_quorum(state, asked_at + FRESHNESS_PERIOD - MILLISECOND));
    assert!(!contact.has_fresh_quorum(state, asked_at + FRESHNESS_PERIOD));
}

/// A fresh quorum may have been asked before a change that a reader has to see.
#[test]
fn a_read_needs_a_quorum_that_was_asked_since_the_read() {
    let group = group_of_three();
    let read_at = Instant::now();
    let state = local(&group, Some(ballot(1)));
    let mut contact = QuorumContact::default();
    contact.record_report(member(2), report(read_at - MILLISECOND, Some(ballot(1)), &group));
    assert!(contact.has_fresh_quorum(state, read_at));
    assert!(!contact.is_up_to_date_since(state, read_at, read_at));
    contact.record_report(member(3), report(read_at, Some(ballot(1)), &group));
    assert!(contact.is_up_to_date_since(state, read_at, read_at + MILLISECOND));
}

#[test]
fn a_read_waits_for_a_newer_value_that_a_peer_has_accepted() {
    let group = group_of_three();
    let read_at = Instant::now();
    let mut contact = QuorumContact::default();
    contact.record_report(member(2), report(read_at, Some(ballot(2)), &group));
    contact.record_report(member(3), report(read_at, Some(ballot(2)), &group));
    assert!(!contact.is_up_to_date_since(local(&group, Some(ballot(1))), read_at, read_at));
    assert!(contact.is_up_to_date_since(local(&group, Some(ballot(2))), read_at, read_at));
}

#[test]
fn a_member_that_knows_no_committed_value_has_no_fresh_quorum() {
    let group = group_of_three();
    let now = Instant::now();
    let mut contact = QuorumContact::default();
    contact.record_report(member(2), report(now, None, &group));
    contact.record_report(member(3), report(now, None, &group));
    assert!(!contact.has_fresh_quorum(local(&group, None), now));
}

#[test]
fn a_running_proposal_does_not_interrupt_freshness_at_once() {
    let group = group_of_three();
    let start = Instant::now();
    let state = local(&group, Some(ballot(1)));
    let mut contact = QuorumContact::default();
    contact.record_report(member(2), report(start, Some(ballot(1)), &group));
    contact.refresh(state, start);
    let later = start + FRESHNESS_PERIOD / 2;
    contact.record_report(member(2), report(later, Some(ballot(2)), &group));
    assert!(contact.has_fresh_quorum(state, later));
}

#[test]
fn an_undecided_newer_value_at_a_peer_ends_freshness() {
    let group = group_of_three();
    let start = Instant::now();
    let state = local(&group, Some(ballot(1)));
    let mut contact = QuorumContact::default();
    contact.record_report(member(2), report(start, Some(ballot(1)), &group));
    contact.refresh(state, start);
    let later = start + FRESHNESS_PERIOD;
    contact.record_report(member(2), report(later, Some(ballot(2)), &group));
    assert!(!contact.has_fresh_quorum(state, later));
}

#[test]
fn an_undecided_newer_value_of_its_own_ends_freshness() {
    let group = group_of_three();
    let now = Instant::now();
    let state = LocalState { accepted: Some(ballot(2)), ..local(&group, Some(ballot(1))) };
    let mut contact = QuorumContact::default();
    contact.record_report(member(2), report(now, Some(ballot(1)), &group));
    contact.record_report(member(3), report(now, Some(ballot(1)), &group));
    assert!(!contact.has_fresh_quorum(state, now));
}

#[test]
fn a_later_group_that_a_peer_has_accepted_needs_its_own_majority() {
    let group = group_of_three();
    let later_group = group.changed(Some(member(1)), Some(member(4)));
    let now = Instant::now();
    let state = local(&group, Some(ballot(1)));
    let mut contact = QuorumContact::default();
    contact.record_report(member(2), report(now, Some(ballot(1)), &later_group));
    assert!(!contact.has_fresh_quorum(state, now), "one of three members of the later group");
    contact.record_report(member(3), report(now, Some(ballot(1)), &group));
    assert!(contact.has_fresh_quorum(state, now), "two of three members of the later group");
}

#[test]
fn another_disk_at_a_members_address_does_not_count() {
    let group = group_of_three();
    let now = Instant::now();
    let wiped = MemberId { disk: 7, ..member(2) };
    let mut contact = QuorumContact::default();
    contact.record_report(wiped, report(now, None, &group));
    assert!(!contact.has_fresh_quorum(local(&group, Some(ballot(1))), now));
}

#[test]
fn removed_members_do_not_count() {
    let group = group_of_three();
    let now = Instant::now();
    let state = local(&group, Some(ballot(1)));
    let mut contact = QuorumContact::default();
    contact.record_report(member(2), report(now, Some(ballot(1)), &group));
    assert!(contact.has_fresh_quorum(state, now));
    contact.retain_members(&[member(1), member(3)].into());
    assert!(!contact.has_fresh_quorum(state, now));
    assert!(!contact.is_reachable(&member(2), now));
}

#[test]
fn a_majority_has_the_instances_once_one_of_two_peers_does() {
    let group = group_of_three();
    let now = Instant::now();
    let state = local(&group, Some(ballot(1)));
    let mut contact = QuorumContact::default();
    let acknowledged = PeerReport { instances_revision: 5, ..report(now, Some(ballot(1)), &group) };
    contact.record_report(member(2), acknowledged);
    assert!(contact.majority_has_instances(state, 5));
    assert!(!contact.majority_has_instances(state, 6));
}

#[test]
fn failures_count_from_the_first_and_end_with_a_report() {
    let group = group_of_three();
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let mut contact = QuorumContact::default();
    contact.record_failure(member(2), start);
    contact.record_failure(member(2), start + second);
    assert!(contact.is_failing_for(&member(2), start + second, second));
    assert!(!contact.is_failing_for(&member(2), start + second - MILLISECOND, second));
    contact.record_report(member(2), report(start, None, &group));
    assert!(!contact.is_failing_for(&member(2), start + second, second));
}

//! Which calls store a turn with its chain on one store, and what a table knows of chains with a gap.

use bytes::Bytes;
use pointcross_tier_protocol::StoreId;
use pointcross_tier_protocol::messages::StoreReply;
use pointcross_tier_protocol::turns::{TurnId, TurnRecord};
use pointcross_tier_sessions::TurnTable;
use pointcross_tier_sessions::turn_transfer::{TRANSFER_BATCH_BYTES, TransferStep, TurnTransfer};
use std::time::Duration;

const RETENTION_MS: u64 = 60_000;

fn store(node: &str) -> StoreId {
    StoreId { node: node.to_owned(), disk: 1 }
}

/// The turn of this number in a chain, which is stored on these stores.
fn turn(number: u64, replicas: &[&str]) -> TurnRecord {
    TurnRecord {
        id: format!("t{number}"),
        previous: (number > 1).then(|| format!("t{}", number - 1)),
        placement: "p".to_owned(),
        text: Bytes::from_static(b"text"),
        retention_ms: RETENTION_MS,
        replicas: replicas.iter().map(|node| store(node)).collect(),
    }
}

fn ids(turns: &[TurnRecord]) -> Vec<&str> {
    turns.iter().map(|turn| turn.id.as_str()).collect()
}

fn put_ids(step: &TransferStep) -> Vec<&str> {
    match step {
        TransferStep::Put(turns) => ids(turns),
        other => panic!("turns are sent, not {other:?}"),
    }
}

#[test]
fn a_store_that_has_the_chain_is_sent_the_turn_alone() {
    let chain = [turn(1, &["a", "b"]), turn(2, &["a", "b"])];
    let mut transfer = TurnTransfer::new(turn(3, &["a"]), chain.into(), store("a"));
    assert_eq!(ids(&transfer.begin()), ["t3"]);
    assert_eq!(transfer.on_reply(&StoreReply::Done), TransferStep::Stored);
}

#[test]
fn a_store_is_sent_the_turns_that_it_is_no_replica_of_oldest_first() {
    let chain = [turn(1, &["b"]), turn(2, &["a"]), TurnRecord { retention_ms: 1, ..turn(3, &["b"]) }];
    let mut transfer = TurnTransfer::new(turn(4, &["a"]), chain.into(), store("a"));
    let sent = transfer.begin();
    assert_eq!(ids(&sent), ["t1", "t3", "t4"]);
    assert!(
        sent.iter().all(|turn| turn.replicas.contains(&store("a"))),
        "the store is a replica of them now"
    );
    assert!(sent.iter().all(|turn| turn.retention_ms == RETENTION_MS), "none expires before the turn");
}

#[test]
fn a_store_that_lacks_more_is_sent_the_complete_chain_once() {
    let chain = [turn(1, &["a"]), turn(2, &["a"])];
    let mut transfer = TurnTransfer::new(turn(3, &["a"]), chain.into(), store("a"));
    assert_eq!(ids(&transfer.begin()), ["t3"]);
    let missing = StoreReply::MissingTurns(vec!["t2".to_owned()]);
    assert_eq!(put_ids(&transfer.on_reply(&missing)), ["t1", "t2", "t3"]);
    assert_eq!(transfer.on_reply(&missing), TransferStep::Rejected);
}

#[test]
fn a_store_that_is_full_or_not_ready_is_sent_nothing_more() {
    for reply in [StoreReply::OutOfSpace, StoreReply::NotReady, StoreReply::EpochMismatch { epoch: 1 }] {
        let mut transfer = TurnTransfer::new(turn(2, &["a"]), [turn(1, &["a"])].into(), store("a"));
        transfer.begin();
        assert_eq!(transfer.on_reply(&reply), TransferStep::Rejected);
    }
}

#[test]
fn a_long_chain_goes_in_several_calls() {
    let long = Bytes::from(vec![b'x'; TRANSFER_BATCH_BYTES]);
    let chain = [1, 2].map(|number| TurnRecord { text: long.clone(), ..turn(number, &[]) });
    let mut transfer = TurnTransfer::new(turn(3, &["a"]), chain.into(), store("a"));
    assert_eq!(ids(&transfer.begin()), ["t1"]);
    assert_eq!(put_ids(&transfer.on_reply(&StoreReply::Done)), ["t2"]);
    assert_eq!(put_ids(&transfer.on_reply(&StoreReply::Done)), ["t3"]);
    assert_eq!(transfer.on_reply(&StoreReply::Done), TransferStep::Stored);
}

fn table(numbers: &[u64]) -> TurnTable {
    let mut table = TurnTable::default();
    numbers.iter().for_each(|number| table.insert(Duration::ZERO, turn(*number, &[]), 1));
    table
}

fn turn_ids(numbers: &[u64]) -> Vec<TurnId> {
    numbers.iter().map(|number| format!("t{number}")).collect()
}

#[test]
fn a_chain_with_a_gap_is_not_complete_behind_it() {
    let table = table(&[1, 3, 4]);
    assert_eq!(table.missing_predecessors(), ["t2"]);
    assert_eq!(table.without_complete_chain(turn_ids(&[1, 2, 3, 4])), ["t2", "t3", "t4"]);
    assert_eq!(table.missing(turn_ids(&[1, 2, 3, 4])), ["t2"]);
    assert!(self::table(&[4, 3, 2, 1]).without_complete_chain(turn_ids(&[1, 2, 3, 4])).is_empty());
}

#[test]
fn a_turn_is_accepted_with_its_chain_stored_or_sent() {
    let table = table(&[1, 3]);
    assert!(table.missing_for(&[turn(2, &[])]).is_empty());
    assert_eq!(table.missing_for(&[turn(4, &[])]), ["t3"], "the chain of t3 has a gap");
    assert!(table.missing_for(&[turn(2, &[]), turn(3, &[]), turn(4, &[])]).is_empty());
    assert_eq!(table.missing_for(&[turn(6, &[]), turn(7, &[])]), ["t5"]);
}

#[test]
fn predecessors_do_not_expire_while_a_turn_is_written() {
    let mut table = table(&[1, 2]);
    let late = Duration::from_millis(RETENTION_MS - 1);
    table.retain_predecessors(late, &[turn(3, &[]), turn(9, &[])]);
    assert!(table.missing_predecessors().is_empty(), "no turn is missing that no stored one continues from");
    table.remove_expired(late + Duration::from_millis(RETENTION_MS - 1));
    assert!(table.has_complete_chain("t2"));
    table.remove_expired(late + Duration::from_millis(RETENTION_MS));
    assert!(table.is_empty());
}

#[test]
fn turns_are_ordered_behind_those_that_they_continue_from() {
    let table = table(&[1, 2, 3, 5]);
    assert_eq!(table.with_predecessors(&turn_ids(&[3])), ["t1", "t2", "t3"]);
    assert_eq!(table.with_predecessors(&turn_ids(&[2, 3, 5, 7])), ["t1", "t2", "t3", "t5"]);
}

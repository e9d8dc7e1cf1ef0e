//! The bytes of the calls between the tier's processes, and of the register's messages, as golden files: one
//! line for each value, a label and the CBOR bytes in hexadecimal digits.

#[path = "../../../test-support/golden/golden_file.rs"]
mod golden_file;
#[path = "../../../test-support/golden/hex.rs"]
mod hex;

use bytes::Bytes;
use golden_file::assert_golden;
use hex::hex;
use pointcross_tier_protocol::directory::StoreEpoch;
use pointcross_tier_protocol::messages::{
    BudgetsPosition, ControlCall, ControlReply, StoreCall, StoreReply, WatchRequest, WatchUpdate,
};
use pointcross_tier_protocol::turns::{Reservation, TurnRecord};
use pointcross_tier_protocol::{
    CommittedConfiguration, Digest, Directory, Instance, InstanceState, StoreEntry, StoreId, StoreState,
};
use pointcross_tier_register::{
    AcceptorReply, AcceptorRequest, Ballot, DurableRecord, Group, MemberId, Value,
};
use pointcross_tier_runtime::rpc;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt::{Debug, Write as _};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Encodes each value, reads it back, encodes it again, and compares all with the golden file.
fn check<T: Serialize + DeserializeOwned + Debug>(name: &str, values: &[(&str, T)]) {
    let mut content = String::new();
    for (label, value) in values {
        let encoded = rpc::encode(value);
        let decoded: T = rpc::decode(&encoded).unwrap_or_else(|| panic!("{name}: {label} can't be read"));
        assert_eq!(format!("{decoded:?}"), format!("{value:?}"), "{name}: {label} is read as another value");
        assert_eq!(rpc::encode(&decoded), encoded, "{name}: {label} is encoded in another way after reading");
        writeln!(content, "{label}: {}", hex(&encoded)).expect("a string takes any text");
    }
    assert_golden(name, content.as_bytes());
}

fn address(number: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), port)
}

fn store_id(number: u64) -> StoreId {
    StoreId { node: format!("storage-{number}"), disk: 0x0102_0304_0506_0700 + number }
}

fn store_entry(number: u8, state: StoreState) -> StoreEntry {
    StoreEntry {
        id: store_id(u64::from(number)),
        address: address(number, 7102),
        zone: format!("zone-{number}"),
        state,
    }
}

fn instance(number: u32, state: InstanceState) -> Instance {
    Instance {
        id: format!("instance-{number}"),
        service: format!("service-{number}"),
        address: address(number as u8, 9000),
        zone: format!("zone-{number}"),
        capacity: 300 + number,
        state,
        call_seq: 70_000 + u64::from(number),
    }
}

fn instances() -> Vec<Instance> {
    let states = [
        InstanceState::Ready,
        InstanceState::Unresponsive,
        InstanceState::Draining,
        InstanceState::Terminated,
    ];
    states.into_iter().zip(1..).map(|(state, number)| instance(number, state)).collect()
}

fn directory() -> Directory {
    let configuration = Bytes::from_static(b"{\"Version\":7,\"Routes\":[]}\n\x00\xff");
    Directory {
        revision: 11,
        store_epoch: 300,
        stores: vec![
            store_entry(1, StoreState::Active),
            store_entry(2, StoreState::Retiring),
            store_entry(3, StoreState::Retired),
            store_entry(4, StoreState::Unavailable),
        ],
        configuration_version: 7,
        committed_configurations: vec![
            CommittedConfiguration { version: 5, digest: Digest::of(b"five") },
            CommittedConfiguration { version: 7, digest: Digest::of(&configuration) },
        ],
        configuration,
        forgotten_through: 4,
        earlier_store_epochs: vec![
            StoreEpoch { epoch: 298, active: vec![] },
            StoreEpoch { epoch: 299, active: vec![store_id(1), store_id(2)] },
        ],
    }
}

fn turn(number: u8, previous: Option<&str>) -> TurnRecord {
    TurnRecord {
        id: format!("turn-{number}"),
        previous: previous.map(str::to_owned),
        placement: "turn-1".to_owned(),
        text: Bytes::from(vec![b'a', 0, 0xff, b'\n', number]),
        retention_ms: 3_600_000 + u64::from(number),
        replicas: vec![store_id(1), store_id(2)],
    }
}

fn turns() -> Vec<TurnRecord> {
    vec![turn(2, Some("turn-1")), turn(1, None)]
}

fn reservation(number: u64, settled: bool) -> Reservation {
    Reservation { attempt: format!("attempt-{number}"), tokens: 1000 * number, settled }
}

fn reservations() -> Vec<Reservation> {
    vec![reservation(1, false), reservation(2, true)]
}

fn position() -> BudgetsPosition {
    BudgetsPosition { incarnation: u64::MAX - 1, revision: 500 }
}

fn member(number: u8) -> MemberId {
    MemberId { address: address(number, 7101), disk: u64::from(number) * 0x1_0000_0001 }
}

fn group(epoch: u64) -> Group {
    Group { epoch, members: (1..=3).map(member).collect() }
}

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, proposer: 0xfedc_ba98_7654_3211 }
}

fn register_value() -> Value<Directory> {
    Value { group: group(5), previous_group: group(4), state: directory() }
}

#[test]
fn control_calls() {
    let follow = WatchRequest {
        directory_revision: 11,
        configuration_version: 7,
        members_epoch: Some(5),
        source: 0x1234_5678_9abc_def1,
        instances_revision: 90,
        max_wait_ms: 10_000,
    };
    let first_follow = WatchRequest { members_epoch: None, ..follow.clone() };
    let calls = [
        ("follow with a known epoch of the members", ControlCall::Watch(follow)),
        ("follow without an epoch of the members", ControlCall::Watch(first_follow)),
        ("follow with defaults", ControlCall::Watch(WatchRequest::default())),
        ("announce an active store", ControlCall::RegisterStore(store_entry(1, StoreState::Active))),
        ("announce a retiring store", ControlCall::RegisterStore(store_entry(2, StoreState::Retiring))),
        ("announce a retired store", ControlCall::RegisterStore(store_entry(3, StoreState::Retired))),
        (
            "announce a store that is away",
            ControlCall::RegisterStore(store_entry(4, StoreState::Unavailable)),
        ),
        ("a store leaves", ControlCall::StoreStopping(store_id(3))),
        ("a store is emptied", ControlCall::StoreDrained { id: store_id(4), epoch: 300 }),
    ];
    check("control_calls.txt", &calls);
}

#[test]
fn read_latest_calls() {
    let known = WatchRequest {
        directory_revision: 11,
        configuration_version: 7,
        members_epoch: Some(5),
        max_wait_ms: 500,
        ..WatchRequest::default()
    };
    let calls = [
        ("read with a known directory", ControlCall::ReadLatest(known)),
        ("read with defaults", ControlCall::ReadLatest(WatchRequest::default())),
    ];
    check("read_latest_calls.txt", &calls);
}

#[test]
fn control_replies() {
    let news = WatchUpdate {
        directory: Some(directory()),
        members: vec![address(1, 7100), address(2, 7100)],
        members_epoch: 5,
        source: 0x1234_5678_9abc_def1,
        instances_revision: 91,
        instances: instances(),
    };
    let without_directory = WatchUpdate { directory: None, ..news.clone() };
    let replies = [
        ("news with a directory", ControlReply::Update(Box::new(news))),
        ("news without a directory", ControlReply::Update(Box::new(without_directory))),
        ("news with defaults", ControlReply::Update(Box::default())),
        ("done", ControlReply::Done),
        ("out of touch", ControlReply::NoQuorum),
    ];
    check("control_replies.txt", &replies);
}

#[test]
fn store_calls() {
    let program = || "program-1".to_owned();
    let pull =
        StoreCall::PullBudgets { caller: store_id(1), callee: store_id(2), epoch: 300, position: position() };
    let calls = [
        ("ping", StoreCall::Ping),
        ("put turns", StoreCall::PutTurns { epoch: 300, turns: turns() }),
        ("fetch a chain", StoreCall::FetchChain { id: "turn-2".to_owned() }),
        (
            "missing turns",
            StoreCall::FindMissingTurns {
                callee: store_id(2),
                ids: vec!["turn-1".to_owned(), "turn-2".to_owned()],
            },
        ),
        (
            "reserve",
            StoreCall::Reserve { epoch: 300, program: program(), reservation: Some(reservation(1, false)) },
        ),
        ("read reservations", StoreCall::Reserve { epoch: 300, program: program(), reservation: None }),
        ("settle", StoreCall::Settle { program: program(), reservation: reservation(2, true) }),
        ("pull budgets", pull),
    ];
    check("store_calls.txt", &calls);
}

#[test]
fn store_replies() {
    let programs = vec![("program-1".to_owned(), reservations()), ("program-2".to_owned(), vec![])];
    let replies = [
        ("done", StoreReply::Done),
        ("a chain", StoreReply::Chain(turns())),
        ("certainly no turn", StoreReply::TurnNotFound { certain: true }),
        ("perhaps no turn", StoreReply::TurnNotFound { certain: false }),
        ("missing turns", StoreReply::MissingTurns(vec!["turn-1".to_owned()])),
        ("reservations", StoreReply::Reservations(reservations())),
        ("budgets", StoreReply::Budgets { complete_epoch: 299, position: position(), programs }),
        ("other epoch", StoreReply::EpochMismatch { epoch: 301 }),
        ("full", StoreReply::OutOfSpace),
        ("not ready", StoreReply::NotReady),
    ];
    check("store_replies.txt", &replies);
}

#[test]
fn votes_asked_for() {
    let disk = 0x1_0000_0001;
    let requests: [(&str, AcceptorRequest<Directory>); 3] = [
        (
            "prepare with a known ballot",
            AcceptorRequest::Prepare { disk, ballot: ballot(8), known: Some(ballot(7)) },
        ),
        ("prepare without a known ballot", AcceptorRequest::Prepare { disk, ballot: ballot(8), known: None }),
        ("accept", AcceptorRequest::Accept { disk, ballot: ballot(8), value: register_value() }),
    ];
    check("register_requests.txt", &requests);
}

#[test]
fn votes_given() {
    let value = Some(Box::new(register_value()));
    let replies: [(&str, AcceptorReply<Directory>); 6] = [
        ("promised with a value", AcceptorReply::Promised { accepted: Some(ballot(7)), value }),
        ("promised without the value", AcceptorReply::Promised { accepted: Some(ballot(7)), value: None }),
        ("promised by an empty disk", AcceptorReply::Promised { accepted: None, value: None }),
        ("accepted", AcceptorReply::Accepted),
        ("refused", AcceptorReply::Rejected { promised: ballot(9) }),
        ("other disk", AcceptorReply::DiskMismatch),
    ];
    check("register_replies.txt", &replies);
}

#[test]
fn votes_on_disk() {
    let votes: [(&str, DurableRecord<Directory>); 3] = [
        ("promise", DurableRecord::Promise(ballot(8))),
        ("accepted value", DurableRecord::Accept(ballot(8), Box::new(register_value()))),
        ("first value", DurableRecord::Accept(Ballot::default(), Box::new(first_value()))),
    ];
    check("register_votes.txt", &votes);
}

fn first_value() -> Value<Directory> {
    let group = Group::initial(&[address(1, 7101), address(2, 7101), address(3, 7101)]);
    Value { group: group.clone(), previous_group: group, state: Directory::default() }
}

#[test]
fn groups_and_values() {
    let groups =
        [("first group", first_value().group), ("later group", group(5)), ("none", Group::unknown())];
    check("register_groups.txt", &groups);
    let values = [("first value", first_value()), ("later value", register_value())];
    check("register_values.txt", &values);
    let labels = ["ready", "silent", "draining", "gone"];
    check("instances.txt", &labels.into_iter().zip(instances()).collect::<Vec<_>>());
}

/// What followers said before members had epochs.
#[derive(Serialize)]
enum OlderControlCall {
    Follow {
        directory_revision: u64,
        configuration_version: u64,
        source: u64,
        instances_revision: u64,
        hold_ms: u64,
    },
}

/// A directory of before forgotten versions and earlier epochs of the stores were kept.
#[derive(Serialize)]
struct OlderDirectory {
    revision: u64,
    store_epoch: u64,
    stores: Vec<StoreEntry>,
    configuration_version: u64,
    configuration: Bytes,
    taken: Vec<CommittedConfiguration>,
}

/// Fields that came later are left out in what older programs wrote; it is read with their defaults.
#[test]
fn fields_that_came_later_may_be_missing() {
    let older_call = rpc::encode(&OlderControlCall::Follow {
        directory_revision: 11,
        configuration_version: 7,
        source: 3,
        instances_revision: 90,
        hold_ms: 10_000,
    });
    let Directory {
        revision,
        store_epoch,
        stores,
        configuration_version,
        configuration,
        committed_configurations: taken,
        ..
    } = directory();
    let older_directory = rpc::encode(&OlderDirectory {
        revision,
        store_epoch,
        stores,
        configuration_version,
        configuration,
        taken,
    });
    let content = format!("follow: {}\ndirectory: {}\n", hex(&older_call), hex(&older_directory));
    assert_golden("older_forms.txt", content.as_bytes());

    let Some(ControlCall::Watch(follow)) = rpc::decode(&older_call) else {
        panic!("the older call can't be read");
    };
    let expected = WatchRequest {
        directory_revision: 11,
        configuration_version: 7,
        members_epoch: None,
        source: 3,
        instances_revision: 90,
        max_wait_ms: 10_000,
    };
    assert_eq!(follow, expected);
    let read: Directory = rpc::decode(&older_directory).expect("the older directory can be read");
    assert_eq!(read, Directory { forgotten_through: 0, earlier_store_epochs: vec![], ..directory() });
}

/// The state of an instance in earlier versions, with the fields that matter here.
#[derive(Debug, PartialEq, Deserialize)]
struct OlderInstance {
    state: OlderInstanceState,
    call_seq: u64,
}

#[derive(Debug, PartialEq, Deserialize)]
enum OlderInstanceState {
    Ready,
    Silent,
    Draining,
    Gone,
}

/// To earlier versions an expired instance is unresponsive, so that its next heartbeat revokes it there too.
#[test]
fn an_expired_instance_is_silent_to_earlier_versions() {
    let expired = instance(5, InstanceState::Expired);
    check("expired_instances.txt", &[("expired", expired.clone())]);
    let read: OlderInstance = rpc::decode(&rpc::encode(&expired)).expect("an earlier version can read it");
    assert_eq!(read, OlderInstance { state: OlderInstanceState::Silent, call_seq: expired.call_seq });
}

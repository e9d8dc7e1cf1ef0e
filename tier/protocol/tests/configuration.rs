//! The operator's configurations: what is wrong is named, with route and key.

use bytes::Bytes;
use pointcross_tier_protocol::directory::{ReplaceOutcome, RetireOutcome};
use pointcross_tier_protocol::{Configuration, Directory, StoreEntry, StoreId, StoreState};
use std::net::{Ipv4Addr, SocketAddrV4};

const VALID: &str = r#"{"Version":7,"Routes":[{"Name":"r1","Host":"a.example","PathPrefix":"/x/","RouteType":"streaming",
"TimeoutMs":5000,"Service":"s"}],"Services":[{"Name":"s","New":{"Key":1}}]}"#;

fn fault(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "{from}");
    Configuration::parse(VALID.replace(from, to).as_bytes()).expect_err("a fault").to_string()
}

#[test]
fn a_valid_one_with_unknown_keys_is_taken() {
    assert_eq!(Configuration::parse(VALID.as_bytes()).map(|configuration| configuration.version), Ok(7));
}

#[test]
fn faults_name_route_and_key() {
    let second = r#""Service":"s"},{"Name":"r2","Host":"A.example","PathPrefix":"/x/","RouteType":"idempotent","TimeoutMs":1,"Service":"s"}]"#;
    let faults = [
        fault(r#""Service":"s"}"#, r#""Service":"other"}"#),
        fault(r#""Service":"s"}]"#, second),
        fault(r#""Service":"s"}"#, r#""Backends":[{"Service":"s","Weight":0}]}"#),
        fault(r#""Service":"s"}"#, r#""Name":"r1"}"#),
        fault(r#","Service":"s"}"#, "}"),
        fault("5000", "0"),
        fault("/x/", "/x"),
        fault("7", "0"),
        fault("streaming", "sideways"),
        Configuration::parse(&VALID.as_bytes()[..VALID.len() / 2]).expect_err("a fault").to_string(),
    ];
    insta::assert_snapshot!(faults.join("\n"));
}

#[test]
fn one_of_two_changes_on_one_version_is_taken() {
    let mut directory = Directory::default();
    let first = Bytes::from_static(b"first");
    let other = Bytes::from_static(b"other");
    assert_eq!(directory.replace(0, 5, &first), ReplaceOutcome::Taken);
    assert_eq!(directory.replace(0, 5, &other), ReplaceOutcome::OtherBase { current: 5 });
    assert_eq!(directory.replace(0, 5, &first), ReplaceOutcome::TakenBefore);
    assert_eq!(directory.replace(5, 5, &other), ReplaceOutcome::NotAbove { current: 5 });
    assert_eq!(directory.replace(5, 9, &other), ReplaceOutcome::Taken);
    assert_eq!(directory.replace(0, 5, &first), ReplaceOutcome::TakenBefore);
}

fn store(number: u8, disk: u64) -> StoreEntry {
    StoreEntry {
        id: StoreId { node: format!("store-{number}"), disk },
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 1),
        zone: "z".to_owned(),
        state: StoreState::Active,
    }
}

#[test]
fn a_store_with_a_new_disk_takes_the_place_of_the_one_before() {
    let mut directory = Directory::default();
    assert!(directory.announce(&store(1, 10), &[]));
    assert!(!directory.announce(&store(1, 10), &[]));
    assert!(directory.announce(&store(1, 11), &[]));
    let active: Vec<u64> = directory.active_stores().map(|store| store.id.disk).collect();
    assert_eq!(active, [11]);
}

#[test]
fn a_store_is_retired_where_enough_remain() {
    let mut directory = Directory::default();
    for number in 1..=4 {
        directory.announce(&store(number, 1), &[]);
    }
    assert_eq!(directory.retire("store-9", 3), RetireOutcome::Unknown);
    assert_eq!(directory.retire("store-1", 3), RetireOutcome::Begun);
    assert_eq!(directory.retire("store-1", 3), RetireOutcome::Begun);
    assert_eq!(directory.retire("store-2", 3), RetireOutcome::TooFew);
    assert!(directory.retired(&store(1, 1).id));
    assert_eq!(directory.state_of_node("store-1"), Some(StoreState::Retired));
    // It stays retired, whatever it says.
    assert!(!directory.announce(&store(1, 1), &[]));
}

//! Instances merge in any order, and one that drains never takes requests again; views never go back.

use pointcross_tier_instances::{ClusterView, InstanceTable, MAX_INSTANCES, WatchPosition};
use pointcross_tier_protocol::{Directory, Instance, InstanceState};
use proptest::prelude::*;
use std::net::{Ipv4Addr, SocketAddrV4};

fn instance(state: InstanceState, call_seq: u64) -> Instance {
    Instance {
        id: "i".to_owned(),
        service: "s".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
        zone: "z".to_owned(),
        capacity: 1,
        state,
        call_seq,
    }
}

#[test]
fn a_late_heartbeat_does_not_undo_draining() {
    let mut table = InstanceTable::default();
    assert!(table.merge(instance(InstanceState::Draining, 4)));
    assert!(!table.merge(instance(InstanceState::Ready, 9)));
    assert_eq!(table.get("i").map(|instance| instance.state), Some(InstanceState::Draining));
    assert!(table.deregister("i"));
    assert!(!table.merge(instance(InstanceState::Draining, 10)));
    assert_eq!(table.get("i").map(|instance| instance.state), Some(InstanceState::Terminated));
}

#[test]
fn a_heartbeat_that_changes_nothing_leaves_the_revision() {
    let mut table = InstanceTable::default();
    table.merge(instance(InstanceState::Ready, 1));
    let revision = table.revision();
    assert!(!table.merge(instance(InstanceState::Ready, 2)));
    assert_eq!(table.revision(), revision);
}

#[test]
fn an_unresponsive_instance_is_ready_after_the_next_heartbeat() {
    let mut table = InstanceTable::default();
    table.merge(instance(InstanceState::Ready, 1));
    assert!(table.merge(instance(InstanceState::Unresponsive, 1)));
    assert!(!table.merge(instance(InstanceState::Ready, 1)));
    assert!(table.merge(instance(InstanceState::Ready, 2)));
}

/// A table of as many instances as it may have, all in this state.
fn full_table(state: InstanceState) -> InstanceTable {
    let mut table = InstanceTable::default();
    for number in 0..MAX_INSTANCES {
        table.merge(Instance { id: format!("i-{number}"), ..instance(state, 1) });
    }
    table
}

/// Many starts of servers in turn: those that have ended make room for a new one, the oldest first.
#[test]
fn ended_instances_make_room_for_new_ones() {
    for ended in [InstanceState::Terminated, InstanceState::Expired] {
        let mut table = full_table(ended);
        assert!(table.has_capacity());
        assert!(table.merge(instance(InstanceState::Ready, 1)));
        assert!(table.get("i").is_some());
        assert!(table.get("i-0").is_none());
        assert_eq!(table.all().count(), MAX_INSTANCES);
    }
}

#[test]
fn live_instances_make_no_room() {
    for live in [InstanceState::Ready, InstanceState::Unresponsive, InstanceState::Draining] {
        assert!(!full_table(live).has_capacity());
    }
}

#[test]
fn a_watch_of_a_new_source_gets_everything_and_loses_nothing() {
    let mut source = ClusterView::new(7);
    source.instances_mut().merge(instance(InstanceState::Ready, 1));
    let mut follower = ClusterView::new(8);
    let update = source.update_for(&follower.watch_request(WatchPosition::default(), 0)).expect("all of it");
    let position = WatchPosition { source: update.source, revision: update.instances_revision };
    assert!(follower.apply(update));
    assert!(source.update_for(&follower.watch_request(position, 0)).is_none());
    // A source that has just started has nothing; its update removes nothing.
    let empty = ClusterView::new(9);
    let update =
        empty.update_for(&follower.watch_request(position, 0)).expect("a new source sends an update");
    follower.apply(update);
    assert_eq!(follower.instances().all().count(), 1);
}

#[test]
fn a_view_never_goes_back_to_an_older_directory() {
    let mut view = ClusterView::new(1);
    let directory = |revision| Directory { revision, ..Directory::default() };
    assert!(view.adopt_directory(directory(5)));
    assert!(!view.adopt_directory(directory(4)));
    assert_eq!(view.directory().revision, 5);
}

fn member(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 1)
}

#[test]
fn watches_learn_of_new_members_and_never_go_back_to_earlier_ones() {
    let (mut source, mut behind) = (ClusterView::new(1), ClusterView::new(2));
    source.adopt_members(0, vec![member(1), member(2)]);
    behind.adopt_members(0, vec![member(1), member(2)]);
    let mut follower = ClusterView::new(3);
    let mut position = WatchPosition::default();
    let mut watch = |follower: &mut ClusterView, source: &ClusterView| {
        let update = source.update_for(&follower.watch_request(position, 0))?;
        position = WatchPosition { source: update.source, revision: update.instances_revision };
        Some(follower.apply(update))
    };
    assert_eq!(watch(&mut follower, &source), Some(true));
    // A change of nothing but the members is an update.
    source.adopt_members(1, vec![member(1), member(3)]);
    assert_eq!(watch(&mut follower, &source), Some(true));
    assert_eq!(follower.members(), [member(1), member(3)]);
    watch(&mut follower, &behind);
    assert_eq!(follower.members(), [member(1), member(3)]);
}

fn states() -> impl Strategy<Value = Instance> {
    let state = prop_oneof![
        Just(InstanceState::Ready),
        Just(InstanceState::Unresponsive),
        Just(InstanceState::Draining),
        Just(InstanceState::Terminated),
    ];
    (state, 0..6_u64).prop_map(|(state, call_seq)| instance(state, call_seq))
}

proptest! {
    #[test]
    fn reports_merge_in_any_order(reports in proptest::collection::vec(states(), 1..8)) {
        let merged = |reports: &[Instance]| {
            let mut table = InstanceTable::default();
            for instance in reports {
                table.merge(instance.clone());
            }
            table.get("i").map(|instance| instance.state)
        };
        let mut reversed = reports.clone();
        reversed.reverse();
        prop_assert_eq!(merged(&reports), merged(&reversed));
    }
}

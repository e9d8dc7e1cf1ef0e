//! What a lifted ban leaves behind.

use super::*;

/// Guards against a node that warmed up during its ban and is spared from the call back on, and against one
/// whose restart is not told yet being taken for warm.
#[test]
fn a_lifted_ban_is_cold_from_the_told_restart_or_from_now() {
    let member = |started| Member {
        name: "s-1".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: 0,
        shard: 0,
        state: NodeState::Ready,
        started,
    };
    let mut nodes = Nodes::default();
    nodes.note(member(50.0));
    nodes.ban("s-1", 1000.0).unwrap();
    nodes.ban("s-1", 1600.0).unwrap();
    assert_eq!(nodes.unban("s-1", 4000.0).unwrap().unwrap().started, 4000.0, "its restart was not told");
    nodes.ban("s-1", 5000.0).unwrap();
    nodes.note(member(5500.0));
    nodes.ban("s-1", 5600.0).unwrap();
    assert_eq!(nodes.unban("s-1", 9000.0).unwrap().unwrap().started, 5500.0);
    // Restored by a later process: what started before it may have started before the ban.
    nodes.restore(["s-1".to_owned()], 6000.0);
    assert_eq!(nodes.unban("s-1", 9500.0).unwrap().unwrap().started, 9500.0);
}

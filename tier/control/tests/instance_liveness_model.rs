//! A small world of one instance and two members, walked whole: heartbeats come late, twice and out of order,
//! members miss each other's reports for any time, and both are killed at once.
//!
//! The decisions are the package's own ([`instance_liveness`], the tracker, the table). A heartbeat that
//! never arrives is one that stays in flight, an exchange that is lost one that is not made.

use pointcross_tier_control::failure_detector::HeartbeatTimeouts;
use pointcross_tier_control::heartbeat_tracker::HeartbeatTracker;
use pointcross_tier_control::instance_liveness::{apply_heartbeat, apply_report, apply_timeouts};
use pointcross_tier_instances::InstanceTable;
use pointcross_tier_protocol::{Instance, InstanceState};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use tokio::time::Instant;

const MEMBERS: usize = 2;
const ID: &str = "i";
/// Heartbeats that the instance sends.
const MAX_CALLS: u64 = 3;
/// Units of time that pass.
const MAX_TICKS: u32 = 3;
const TICK: Duration = Duration::from_secs(1);
/// An instance is unresponsive after more than one unit, and expired after more than two.
const TIMEOUTS: HeartbeatTimeouts = HeartbeatTimeouts { unresponsive: TICK, expiry: Duration::from_secs(2) };

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    /// A late heartbeat is tracked, and an instance that has expired is terminated whatever is known of later
    /// calls.
    TerminateLate,
    /// A member that knows of a later call does not tell the one that suspects.
    KeepLaterCalls,
}

/// A member's memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Member {
    table: InstanceTable,
    tracker: HeartbeatTracker,
    /// The revision of its table that the other member has.
    acknowledged: u64,
}

/// A heartbeat under way to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Heartbeat {
    member: usize,
    call_seq: u64,
}

/// The newest call that a member has acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct NewestCall {
    call_seq: u64,
    at_tick: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    members: [Member; MEMBERS],
    in_flight: BTreeSet<Heartbeat>,
    sent: u64,
    ticks: u32,
    newest: Option<NewestCall>,
    was_doubled: bool,
    were_killed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// The instance calls a member.
    Call {
        member: usize,
    },
    /// A heartbeat arrives; once in a walk one arrives twice.
    Deliver {
        heartbeat: Heartbeat,
        again: bool,
    },
    /// A member sends the other one what has changed.
    Exchange {
        from: usize,
    },
    /// A member looks for missing heartbeats.
    Check {
        member: usize,
    },
    Tick,
    /// Both members lose their memory.
    KillBoth,
}

struct World {
    defect: Option<Defect>,
    start: Instant,
}

fn reported(call_seq: u64) -> Instance {
    Instance {
        id: ID.to_owned(),
        service: "model".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 8000),
        zone: "zone-1".to_owned(),
        capacity: 1,
        state: InstanceState::Ready,
        call_seq,
    }
}

impl World {
    fn now(&self, state: &State) -> Instant {
        self.start + TICK * state.ticks
    }

    fn deliver(&self, state: &mut State, heartbeat: Heartbeat) {
        let Heartbeat { member, call_seq } = heartbeat;
        let now = self.now(state);
        let Member { table, tracker, .. } = &mut state.members[member];
        if self.defect == Some(Defect::TerminateLate) {
            tracker.record(ID, call_seq, now);
            table.merge(reported(call_seq));
        } else {
            apply_heartbeat(tracker, table, reported(call_seq), now);
        }
        if state.newest.is_none_or(|newest| newest.call_seq < call_seq) {
            state.newest = Some(NewestCall { call_seq, at_tick: state.ticks });
        }
    }

    fn exchange(&self, state: &mut State, from: usize) {
        let sender = &mut state.members[from];
        let changed = sender.table.changed_since(sender.acknowledged);
        sender.acknowledged = sender.table.revision();
        let Member { table, tracker, .. } = &mut state.members[1 - from];
        for instance in changed {
            if self.defect == Some(Defect::KeepLaterCalls) {
                tracker.observe_peer(&instance);
                table.merge(instance);
            } else {
                apply_report(tracker, table, instance);
            }
        }
    }

    fn check(&self, state: &mut State, member: usize) {
        let now = self.now(state);
        let Member { table, tracker, .. } = &mut state.members[member];
        let is_expired = !tracker.expired(TIMEOUTS.expiry, now).is_empty();
        apply_timeouts(tracker, table, TIMEOUTS, now);
        if is_expired && self.defect == Some(Defect::TerminateLate) {
            table.deregister(ID);
        }
    }

    /// Whether both members take an instance for ready whose newest call is young enough, once each has
    /// checked and they have exchanged all.
    fn is_ready_in_the_end(&self, state: &State) -> bool {
        let is_young = |newest: NewestCall| TICK * (state.ticks - newest.at_tick) <= TIMEOUTS.unresponsive;
        if !state.newest.is_some_and(is_young) {
            return true;
        }
        let mut settled = state.clone();
        for member in 0..MEMBERS {
            self.check(&mut settled, member);
        }
        for from in [0, 1, 0, 1] {
            self.exchange(&mut settled, from);
        }
        let is_ready = |member: &Member| {
            member.table.get(ID).is_some_and(|instance| instance.state == InstanceState::Ready)
        };
        settled.members.iter().all(is_ready)
    }
}

impl Model for World {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State::default()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for member in 0..MEMBERS {
            if state.sent < MAX_CALLS {
                actions.push(Action::Call { member });
            }
            actions.push(Action::Exchange { from: member });
            actions.push(Action::Check { member });
        }
        for heartbeat in state.in_flight.iter().copied() {
            actions.push(Action::Deliver { heartbeat, again: false });
            if !state.was_doubled {
                actions.push(Action::Deliver { heartbeat, again: true });
            }
        }
        if state.ticks < MAX_TICKS {
            actions.push(Action::Tick);
        }
        if !state.were_killed {
            actions.push(Action::KillBoth);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Call { member } => {
                state.sent += 1;
                state.in_flight.insert(Heartbeat { member, call_seq: state.sent });
            }
            Action::Deliver { heartbeat, again } => {
                self.deliver(&mut state, heartbeat);
                state.was_doubled |= again;
                if !again {
                    state.in_flight.remove(&heartbeat);
                }
            }
            Action::Exchange { from } => self.exchange(&mut state, from),
            Action::Check { member } => self.check(&mut state, member),
            Action::Tick => state.ticks += 1,
            Action::KillBoth => {
                state.members = Default::default();
                state.newest = None;
                state.were_killed = true;
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn any_is(state: &State, wanted: InstanceState) -> bool {
            let is_wanted = |member: &Member| member.table.get(ID).is_some_and(|known| known.state == wanted);
            state.members.iter().any(is_wanted)
        }
        vec![
            Property::always("nobody but the instance ends it", |_: &World, state: &State| {
                !any_is(state, InstanceState::Draining) && !any_is(state, InstanceState::Terminated)
            }),
            Property::always("it is ready while its newest call is young", |world: &World, state: &State| {
                world.is_ready_in_the_end(state)
            }),
            Property::sometimes("it expires", |_: &World, state: &State| {
                any_is(state, InstanceState::Expired)
            }),
            Property::sometimes("it is ready after it was expired elsewhere", |_: &World, state: &State| {
                any_is(state, InstanceState::Expired) && any_is(state, InstanceState::Ready)
            }),
        ]
    }
}

/// The names of the properties with a discovery, and the number of states.
fn walk(defect: Option<Defect>) -> (BTreeSet<&'static str>, usize) {
    let builder = World { defect, start: Instant::now() }.checker().threads(4);
    let checker = match defect {
        None => builder.spawn_bfs().join(),
        Some(_) => builder.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join(),
    };
    (checker.discoveries().into_keys().collect(), checker.unique_state_count())
}

#[test]
fn an_instance_that_calls_is_ready_whatever_comes_late() {
    let (discoveries, states) = walk(None);
    println!("{states} states");
    let reached = ["it expires", "it is ready after it was expired elsewhere"];
    assert_eq!(discoveries, reached.into());
}

#[test]
fn a_late_heartbeat_that_is_tracked_ends_an_instance() {
    let (discoveries, _) = walk(Some(Defect::TerminateLate));
    assert!(discoveries.contains("nobody but the instance ends it"), "{discoveries:?}");
}

#[test]
fn a_suspicion_that_nobody_refutes_stays() {
    let (discoveries, _) = walk(Some(Defect::KeepLaterCalls));
    assert!(discoveries.contains("it is ready while its newest call is young"), "{discoveries:?}");
}

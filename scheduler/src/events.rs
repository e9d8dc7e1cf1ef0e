//! What goes into the decision module and what comes out of it: plain data, no decisions.
//!
//! Times are milliseconds on the host's own clock, which never runs backwards ([`Millis`]); sizes are [`Units`].

use crate::units::{Millis, Units};
use std::fmt;

/// A request as its host numbers it; never used twice.
pub type RequestId = u64;

/// A storage node: the same name at every host, and after its process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId {
    /// Network address, first byte first.
    pub address: [u8; 4],
    /// Port.
    pub port: u16,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [a, b, c, d] = self.address;
        write!(f, "{a}.{b}.{c}.{d}:{}", self.port)
    }
}

/// How a list event relates to the list held so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The whole list; whoever is missing is gone.
    Full,
    /// The list as this host last had it; it may be stale.
    Cached,
    /// A call failed or the subscription broke; the old list holds.
    Failed,
}

/// What the list says of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeState {
    /// Takes work.
    Ready,
    /// Finishes what it has; nothing new.
    Draining,
    /// Removed.
    #[default]
    Gone,
}

/// One node in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: u8,
    /// The shard it holds.
    pub shard: u32,
    /// Its state.
    pub state: NodeState,
    /// When it last started; 0 is long ago.
    pub started: Millis,
}

/// A client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: u16,
    /// Its volume's plan.
    pub plan: u16,
    /// The piece of data; 0 is none.
    pub key: u64,
    /// When the client gives up.
    pub deadline: Millis,
    /// Its volume.
    pub volume: u64,
    /// Its size.
    pub units: Units,
    /// The shard that holds the data; `None` for a new object, which any node can take.
    pub shard: Option<u32>,
    /// Through how many hosts the volume's requests come.
    pub volume_hosts: f64,
    /// A client's repeat, where clients say so.
    pub client_repeat: bool,
    /// It writes.
    pub writes: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The node sent an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in time; it may have run or be running.
    TimedOut,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
}

/// How one attempt of a request ended, with what the answer carried.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, from 0.
    pub attempt: u16,
    /// The node it went to.
    pub node: NodeId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long ago it was sent.
    pub elapsed: Millis,
    /// The request is over, by this or earlier.
    pub over: bool,
    /// The volume's use of its rate in a finished period, all hosts and nodes, in percent.
    pub usage: Option<f64>,
    /// Units this shard served for the volume through other hosts since it last answered here.
    pub elsewhere: Units,
    /// Load report; empty where none came.
    pub load: Vec<f32>,
}

/// What a host learns.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Word of the nodes.
    List {
        /// How it relates to the last one.
        kind: ListKind,
        /// The entries.
        entries: Vec<NodeEntry>,
    },
    /// A request was accepted and is owed one final answer.
    Arrived(Request),
    /// A streamed answer has begun; the attempt is the client's now.
    Started {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// An attempt ended.
    Ended(AttemptEnd),
    /// The client left; no answer is owed any more.
    Abandoned {
        /// The request.
        request: RequestId,
    },
    /// A timer came due.
    Timer {
        /// As set.
        token: u32,
    },
    /// A probe's result.
    Probed {
        /// The node.
        node: NodeId,
        /// How it ended.
        outcome: Outcome,
        /// How long ago it was sent.
        elapsed: Millis,
        /// Load report; empty where none came.
        load: Vec<f32>,
    },
    /// Another host sent a message.
    Message {
        /// Its number.
        from: u32,
        /// The bytes.
        body: Vec<u8>,
    },
}

/// What a host is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        node: NodeId,
        /// Its time-out; `None` waits until the client gives up.
        time_limit: Option<Millis>,
    },
    /// Final answer: turned away, a retry does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        retry_after: Millis,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting on an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Ask for a [`Event::Timer`].
    SetTimer {
        /// How long from now.
        after: Millis,
        /// Comes back with it.
        token: u32,
    },
    /// Probe a node.
    Probe {
        /// The node.
        node: NodeId,
    },
    /// Message other hosts.
    Message {
        /// One host, or all.
        to: Option<u16>,
        /// At most 256 bytes.
        body: Vec<u8>,
    },
    /// Follow the list's changes from now on, or stop.
    FollowList {
        /// On or off.
        on: bool,
    },
    /// Tell the staff.
    Log(String),
}

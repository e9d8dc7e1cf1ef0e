//! The acceptor of a member (Lamport, *Paxos Made Simple*, section 2.2): it votes on proposals.
//!
//! Guarantees, against restarts, message loss, duplication and reordering: an acceptor never votes for a
//! ballot below one that it has promised (P1a of the paper), whatever it was asked before a restart, as long
//! as the caller writes what [`Acceptor::handle`] returns before it sends the reply. An acceptor that lost
//! its disk has forgotten its promises; it carries another disk number, and votes asked of the lost disk are
//! rejected.

use crate::{Ballot, Value};
use serde::{Deserialize, Serialize};

/// A proposer's request to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AcceptorRequest<T> {
    /// Phase 1a: promise to reject lower ballots, and report the accepted value.
    Prepare {
        /// The disk number of the member that is asked: see [`AcceptorReply::DiskMismatch`].
        disk: u64,
        /// The proposal's number.
        ballot: Ballot,
        /// The ballot of a value that the proposer has already, which need not be sent again. A ballot has
        /// one value at the most, so that an equal ballot means an equal value.
        known: Option<Ballot>,
    },
    /// Phase 2a: accept this value.
    Accept {
        /// The disk number of the member that is asked: see [`AcceptorReply::DiskMismatch`].
        disk: u64,
        /// The proposal's number.
        ballot: Ballot,
        /// The proposed value.
        value: Value<T>,
    },
}

/// An acceptor's reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AcceptorReply<T> {
    /// Phase 1b: no lower ballot will be accepted from now on. The accepted value is left out where the
    /// proposer has it.
    Promised {
        /// The highest ballot under which a value was accepted; `None` before the first.
        accepted: Option<Ballot>,
        /// The value accepted under that ballot.
        value: Option<Box<Value<T>>>,
    },
    /// Phase 2b: the value is accepted.
    Accepted,
    /// A higher ballot was promised before, or for a prepare an equal one. The paper's acceptor may ignore
    /// such a request; the reply spares the proposer a timeout and tells it which ballot to exceed.
    #[serde(rename = "Refused")]
    Rejected {
        /// The promised ballot.
        promised: Ballot,
    },
    /// The vote was asked of another disk than this member has: the disk that had made the promises is lost.
    /// A vote now could break them, so that the member counts as failed until a change of the group admits
    /// its new disk.
    #[serde(rename = "OtherDisk")]
    DiskMismatch,
}

/// What has to be on disk before an acceptor's reply is sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DurableRecord<T> {
    /// A promise of this ballot.
    Promise(Ballot),
    /// An accepted value, which implies a promise of its ballot.
    Accept(Ballot, Box<Value<T>>),
}

/// The result of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptorOutput<T> {
    /// To be written and synced before the reply is sent.
    pub write: Option<DurableRecord<T>>,
    /// The reply.
    pub reply: AcceptorReply<T>,
}

impl<T> AcceptorOutput<T> {
    /// A reply that changes nothing.
    fn without_write(reply: AcceptorReply<T>) -> Self {
        AcceptorOutput { write: None, reply }
    }
}

/// The state of an acceptor. Invariant: `promised` is never below the ballot of `accepted`, and neither ever
/// falls.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor<T> {
    disk: u64,
    promised: Ballot,
    accepted: Option<(Ballot, Value<T>)>,
}

impl<T: Clone> Acceptor<T> {
    /// An acceptor with an empty disk. `initial` is the value of the system's first start, under the zero
    /// ballot; only the members of that start have one.
    pub fn new(disk: u64, initial: Option<Value<T>>) -> Self {
        let accepted = initial.map(|value| (Ballot::default(), value));
        Acceptor { disk, promised: Ballot::default(), accepted }
    }

    /// Replays a record from the disk. Records have to come in the order in which they were written.
    pub fn recover(&mut self, durable: DurableRecord<T>) {
        match durable {
            DurableRecord::Promise(ballot) => self.promised = self.promised.max(ballot),
            DurableRecord::Accept(ballot, value) => {
                self.promised = self.promised.max(ballot);
                if self.accepted.as_ref().is_none_or(|(accepted, _)| *accepted <= ballot) {
                    self.accepted = Some((ballot, *value));
                }
            }
        }
    }

    /// The number of its disk.
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// The highest ballot that it promised.
    pub fn promised(&self) -> Ballot {
        self.promised
    }

    /// The ballot and value that it accepted last.
    pub fn accepted(&self) -> Option<&(Ballot, Value<T>)> {
        self.accepted.as_ref()
    }

    /// Handles a request, whichever its order. The caller writes and syncs [`AcceptorOutput::write`] before
    /// it sends the reply; where the write fails, the reply must not be sent.
    pub fn handle(&mut self, request: AcceptorRequest<T>) -> AcceptorOutput<T> {
        match request {
            AcceptorRequest::Prepare { disk, ballot, known } => self.prepare(disk, ballot, known),
            AcceptorRequest::Accept { disk, ballot, value } => self.accept(disk, ballot, value),
        }
    }

    fn prepare(&mut self, disk: u64, ballot: Ballot, known: Option<Ballot>) -> AcceptorOutput<T> {
        if disk != self.disk {
            return AcceptorOutput::without_write(AcceptorReply::DiskMismatch);
        }
        // Ballots are unique, so that an equal one is a duplicate of a request that was answered before.
        if ballot <= self.promised {
            return AcceptorOutput::without_write(AcceptorReply::Rejected { promised: self.promised });
        }
        self.promised = ballot;
        let accepted = self.accepted.as_ref().map(|(ballot, _)| *ballot);
        let is_known = known.is_some() && known == accepted;
        let value = self.accepted.as_ref().filter(|_| !is_known).map(|(_, value)| Box::new(value.clone()));
        AcceptorOutput {
            write: Some(DurableRecord::Promise(ballot)),
            reply: AcceptorReply::Promised { accepted, value },
        }
    }

    fn accept(&mut self, disk: u64, ballot: Ballot, value: Value<T>) -> AcceptorOutput<T> {
        if disk != self.disk {
            return AcceptorOutput::without_write(AcceptorReply::DiskMismatch);
        }
        // An equal ballot is the promised proposal itself, or a duplicate of its accept with the same value.
        if ballot < self.promised {
            return AcceptorOutput::without_write(AcceptorReply::Rejected { promised: self.promised });
        }
        self.promised = ballot;
        self.accepted = Some((ballot, value.clone()));
        AcceptorOutput {
            write: Some(DurableRecord::Accept(ballot, Box::new(value))),
            reply: AcceptorReply::Accepted,
        }
    }
}

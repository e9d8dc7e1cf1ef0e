//! One change of the register, by one proposer under one ballot: the proposer of *Paxos Made Simple*, section
//! 2.2, with the change function of CASPaxos between the phases.
//!
//! Guarantees, against replies that are lost, late, duplicated or out of order: a proposal ends with
//! [`Outcome::Committed`] only after majorities of every needed group accepted its value, and its value is
//! computed from the value of the highest ballot that majorities of these groups reported (P2c of the paper).

use crate::{AcceptorReply, AcceptorRequest, Ballot, Group, MemberId, Value};
use std::collections::BTreeSet;

/// A request to a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OutboundMessage<T> {
    /// Its receiver.
    pub to: MemberId,
    /// The request.
    pub request: AcceptorRequest<T>,
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome<T> {
    /// The value is committed (*chosen* in the paper): accepted by a majority of every needed group.
    Committed {
        /// The ballot under which it was accepted.
        ballot: Ballot,
        /// The value.
        value: Value<T>,
    },
    /// A member promised a higher ballot to another proposal. Undecided: what was sent in the second phase
    /// may become committed by a later proposal. Retry above this ballot.
    Preempted {
        /// The highest ballot seen.
        highest: Ballot,
    },
    /// The committed group is newer than the one that the proposal began with; retry with this one. Nothing
    /// was proposed.
    GroupChanged {
        /// A group that was committed.
        committed: Group,
        /// The highest ballot seen.
        highest: Ballot,
    },
    /// So many members failed, or lost their disks, that no majority is left. Undecided: what was sent in the
    /// second phase may become committed by a later proposal.
    NoQuorum,
}

/// What the caller of a proposal has to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step<T> {
    /// Send these requests and pass each reply to [`Proposal::handle_reply`], each failure to
    /// [`Proposal::handle_failure`].
    Send(Vec<OutboundMessage<T>>),
    /// Wait for further replies.
    Wait,
    /// The first phase is over and this is the register's value: pass the new one, or the same one for a
    /// read, to [`Proposal::propose`]. The value read may be uncommitted; only the second phase commits it.
    Read(Value<T>),
    /// The proposal has ended.
    End(Outcome<T>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Phase 1: promises are collected.
    Prepare,
    /// The value was read, and the caller computes the new one.
    Compute,
    /// Phase 2: acceptances are collected.
    Accept,
    /// The outcome was returned.
    Ended,
}

/// A proposal in progress. Invariant: `granted` holds votes of the current phase only; a promise is no
/// acceptance.
///
/// Replies come in by [`Proposal::handle_reply`], failures and timeouts by [`Proposal::handle_failure`]. Both
/// may come in any order, late or twice; only members that were asked may be named.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal<T> {
    ballot: Ballot,
    /// The newest group that the proposer knows to be committed.
    committed_group: Group,
    /// A value that the proposer has already, with its ballot, so that members need not send it.
    known: Option<(Ballot, Value<T>)>,
    phase: Phase,
    /// The groups whose majorities are needed: one, or two around a change of the members.
    groups: Vec<Group>,
    /// The members that were sent this phase's request.
    asked: BTreeSet<MemberId>,
    /// The members that promised (phase 1) or accepted (phase 2).
    granted: BTreeSet<MemberId>,
    /// The members that can't vote in this phase.
    failed: BTreeSet<MemberId>,
    /// The reported value of the highest ballot.
    highest_accepted: Option<(Ballot, Value<T>)>,
    /// The value of phase 2.
    proposed: Option<Value<T>>,
}

impl<T: Clone> Proposal<T> {
    /// Starts a proposal, and returns the requests of its first phase. `committed_group` is the newest group
    /// that the proposer knows to be committed; `known` a value with the ballot under which it was accepted.
    /// The ballot must not have been used before.
    pub fn start(
        ballot: Ballot,
        committed_group: Group,
        known: Option<(Ballot, Value<T>)>,
    ) -> (Self, Vec<OutboundMessage<T>>) {
        let mut proposal = Proposal {
            ballot,
            groups: vec![committed_group.clone()],
            committed_group,
            known,
            phase: Phase::Prepare,
            asked: BTreeSet::new(),
            granted: BTreeSet::new(),
            failed: BTreeSet::new(),
            highest_accepted: None,
            proposed: None,
        };
        let sends = proposal.prepare_all();
        (proposal, sends)
    }

    /// Its ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    fn prepare_all(&mut self) -> Vec<OutboundMessage<T>> {
        let known_ballot = self.known.as_ref().map(|(ballot, _)| *ballot);
        let ballot = self.ballot;
        self.ask_all(|member| AcceptorRequest::Prepare { disk: member.disk, ballot, known: known_ballot })
    }

    /// Requests to all members of the needed groups that were not asked in this phase yet.
    fn ask_all(&mut self, request: impl Fn(&MemberId) -> AcceptorRequest<T>) -> Vec<OutboundMessage<T>> {
        let members: BTreeSet<MemberId> =
            self.groups.iter().flat_map(|group| group.members.iter().copied()).collect();
        let new: Vec<MemberId> = members.difference(&self.asked).copied().collect();
        self.asked.extend(&new);
        new.into_iter().map(|to| OutboundMessage { to, request: request(&to) }).collect()
    }

    /// Handles a member's reply.
    pub fn handle_reply(&mut self, from: MemberId, reply: AcceptorReply<T>) -> Step<T> {
        match (self.phase, reply) {
            (Phase::Prepare, AcceptorReply::Promised { accepted, value }) => {
                self.handle_promise(from, accepted, value)
            }
            (Phase::Accept, AcceptorReply::Accepted) => self.handle_accepted(from),
            (Phase::Prepare | Phase::Accept, AcceptorReply::Rejected { promised }) => {
                self.end(Outcome::Preempted { highest: promised })
            }
            (Phase::Prepare | Phase::Accept, AcceptorReply::DiskMismatch) => self.handle_failure(from),
            // After its end a proposal ignores replies that were still in flight; its outcome stands.
            (Phase::Ended, _) => Step::Wait,
            // While the caller computes, the promises that were needed are there already; further ones, and
            // rejections, are late. A rejecting member rejects the second phase as well.
            (Phase::Compute, _) => Step::Wait,
            // Late or duplicate promises of phase 1 say nothing about the proposed value.
            (Phase::Accept, AcceptorReply::Promised { .. }) => Step::Wait,
            // Nothing was proposed yet: not a reply to a request of this proposal.
            (Phase::Prepare, AcceptorReply::Accepted) => Step::Wait,
        }
    }

    fn handle_promise(
        &mut self,
        from: MemberId,
        accepted: Option<Ballot>,
        value: Option<Box<Value<T>>>,
    ) -> Step<T> {
        let known_value = self.known.as_ref().filter(|(ballot, _)| accepted == Some(*ballot));
        let value = value.map(|value| *value).or_else(|| known_value.map(|(_, value)| value.clone()));
        if let (Some(ballot), Some(value)) = (accepted, value)
            && self.highest_accepted.as_ref().is_none_or(|(highest, _)| *highest < ballot)
        {
            self.highest_accepted = Some((ballot, value));
        }
        self.granted.insert(from);
        self.try_read()
    }

    /// Ends the first phase once a majority of every needed group has promised.
    fn try_read(&mut self) -> Step<T> {
        if !self.has_majorities() {
            return Step::Wait;
        }
        // A majority may consist of new disks, which have no value; a member that has one may still reply.
        let Some((_, value)) = &self.highest_accepted else {
            return Step::Wait;
        };
        let value = value.clone();
        // The group was changed more than once since the one that is known: the majorities asked do not have
        // to meet the newest one's. The value's previous group was committed and is nearer.
        if value.group.epoch > self.committed_group.epoch + 1 {
            let highest = self.ballot;
            return self.end(Outcome::GroupChanged { committed: value.previous_group, highest });
        }
        let is_new = !self.groups.contains(&value.group);
        if value.group.epoch == self.committed_group.epoch + 1 && is_new {
            // The value's group is not known to be committed: from here on majorities of both groups are
            // needed. Where the members that have promised are majorities of both already, the ones that
            // joined need not be asked; they may have failed meanwhile.
            self.groups = vec![self.committed_group.clone(), value.group.clone()];
            if !self.has_majorities() {
                return Step::Send(self.prepare_all());
            }
        }
        self.phase = Phase::Compute;
        Step::Read(value)
    }

    /// Whether a majority of every needed group has granted this phase's request.
    fn has_majorities(&self) -> bool {
        self.groups.iter().all(|group| group.has_majority(&self.granted))
    }

    /// Whether the group that was read is known to be committed, so that [`Proposal::propose`] may change it.
    /// Otherwise a second change could be proposed on an uncommitted one, and majorities of the outer groups
    /// need not intersect.
    pub fn may_change_group(&self) -> bool {
        self.groups.len() == 1
    }

    /// Starts the second phase, and returns its requests. The value's group is the one that was read or,
    /// where [`Proposal::may_change_group`] holds, the next one.
    ///
    /// # Panics
    ///
    /// Panics where the value's group is another one, and unless the last step was [`Step::Read`].
    pub fn propose(&mut self, value: Value<T>) -> Vec<OutboundMessage<T>> {
        assert_eq!(self.phase, Phase::Compute, "a value is proposed once, after it was read");
        if !self.groups.contains(&value.group) {
            assert!(self.may_change_group() && value.group.epoch == self.committed_group.epoch + 1);
            self.groups.push(value.group.clone());
        }
        self.phase = Phase::Accept;
        self.asked.clear();
        self.granted.clear();
        self.failed.clear();
        self.proposed = Some(value.clone());
        let ballot = self.ballot;
        self.ask_all(|member| AcceptorRequest::Accept { disk: member.disk, ballot, value: value.clone() })
    }

    fn handle_accepted(&mut self, from: MemberId) -> Step<T> {
        self.granted.insert(from);
        if !self.has_majorities() {
            return Step::Wait;
        }
        let value = self.proposed.clone().expect("phase 2 has a value");
        let ballot = self.ballot;
        self.end(Outcome::Committed { ballot, value })
    }

    /// Handles that a member could not be reached or did not reply in time. The request may have been handled
    /// nevertheless; only the vote is not counted.
    pub fn handle_failure(&mut self, from: MemberId) -> Step<T> {
        // Between and after the phases no vote is needed, so that a failure changes nothing.
        if !matches!(self.phase, Phase::Prepare | Phase::Accept) {
            return Step::Wait;
        }
        self.failed.insert(from);
        let lacks_majority = |group: &Group| {
            let remaining = group.members.iter().filter(|member| !self.failed.contains(member)).count();
            remaining * 2 <= group.members.len()
        };
        if self.groups.iter().any(lacks_majority) {
            return self.end(Outcome::NoQuorum);
        }
        let is_reply_outstanding =
            self.asked.iter().any(|member| !self.granted.contains(member) && !self.failed.contains(member));
        if !is_reply_outstanding && self.phase == Phase::Prepare {
            // All have replied or failed, and none of them has a value.
            return self.end(Outcome::NoQuorum);
        }
        Step::Wait
    }

    fn end(&mut self, outcome: Outcome<T>) -> Step<T> {
        self.phase = Phase::Ended;
        Step::End(outcome)
    }
}

//! Carries out proposals to the register: sends their messages, passes the replies to [`Proposal`], and
//! retries until a value is committed or the deadline has passed.
//!
//! Guarantees that a result is returned only for a value that is committed. A change without a result may
//! still be committed later: callers must not report it as rejected.
//!
//! The protocol is CASPaxos (Rystsov 2018). A caller that stops waiting cancels its proposal; the replies
//! still outstanding are dropped.

use crate::member::Member;
use crate::messages::{MemberCall, MemberReply};
use log::debug;
use pointcross_tier_protocol::Directory;
use pointcross_tier_register::{
    AcceptorReply, Ballot, MemberId, OutboundMessage, Outcome, Proposal, Step, Value,
};
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use pointcross_tier_runtime::random;
use snafu::Snafu;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// How long an acceptor may take to reply: a round trip between regions, and a slow sync.
const ACCEPTOR_TIMEOUT: Duration = Duration::from_millis(800);
/// The bound of the random backoff after a proposal was preempted; it doubles up to [`MAX_BACKOFF_MS`].
const INITIAL_BACKOFF_MS: u64 = 8;
const MAX_BACKOFF_MS: u64 = 128;
/// The delay after no majority could be reached.
const NO_QUORUM_DELAY: Duration = Duration::from_millis(60);

/// The deadline passed before a value was committed; the change may still be committed by a later proposal.
#[derive(Debug, Snafu)]
#[snafu(display("not decided in time: no majority of the control members answered"))]
pub struct Undecided;

/// What to do with a value that was read.
pub enum Decision {
    /// Write this one.
    Write(Box<Value<Directory>>),
    /// Write the same value back: it was only read.
    Keep,
    /// Write the same value back: the change isn't possible with it.
    Decline,
}

/// A value that a proposal has read.
pub struct ReadValue<'a> {
    /// The value.
    pub value: &'a Value<Directory>,
    /// Whether this proposal may change the group: one change at a time, on a committed group.
    pub may_change_group: bool,
}

/// What was decided on a value.
pub struct Decided<T> {
    /// What to do with the value.
    pub decision: Decision,
    /// The result for the caller, valid once a value is committed.
    pub result: T,
}

/// A committed value with the result of the decision that led to it.
pub struct Committed<T> {
    /// The result.
    pub result: T,
    /// The value.
    pub value: Value<Directory>,
}

/// What to do with a directory that was read and changed, and the result of the change.
pub enum DirectoryDecision<T> {
    /// Write the changed directory.
    Write(T),
    /// Drop the change.
    Decline(T),
}

impl DirectoryDecision<bool> {
    /// Writes where something has changed; the result says whether it has.
    pub fn write_if(changed: bool) -> Self {
        if changed { DirectoryDecision::Write(true) } else { DirectoryDecision::Decline(false) }
    }
}

/// Reads the register's value, has `decide` change it, and commits the result.
///
/// `decide` runs once for each attempt; the result of its last run is returned, with the committed value.
pub async fn change<T>(
    member: &Rc<Member>,
    deadline: Instant,
    mut decide: impl FnMut(ReadValue<'_>) -> Decided<T>,
) -> Result<Committed<T>, Undecided> {
    let Ok(_lock) = tokio::time::timeout_at(deadline, member.proposal_lock.lock()).await else {
        return Err(Undecided);
    };
    let mut retries = Retries::new();
    while Instant::now() < deadline {
        let mut result = None;
        let ballot = retries.next_ballot(member);
        let attempt = attempt(member, ballot, |read| {
            let decided = decide(read);
            result = Some(decided.result);
            decided.decision
        });
        let Ok(outcome) = tokio::time::timeout_at(deadline, attempt).await else {
            return Err(Undecided);
        };
        match outcome {
            Outcome::Committed { ballot, value } => {
                member.learn_committed(ballot, value.clone());
                let result = result.expect("a committed value was decided on");
                return Ok(Committed { result, value });
            }
            Outcome::Preempted { highest } => retries.back_off(highest).await,
            Outcome::GroupChanged { committed: group, highest } => {
                retries.observe(highest);
                member.learn_group(&group);
            }
            Outcome::NoQuorum => {
                retries.observe(ballot);
                tokio::time::sleep(NO_QUORUM_DELAY).await;
            }
        }
    }
    Err(Undecided)
}

/// What the attempts of one change have seen.
struct Retries {
    /// The highest ballot seen; the next one has to be above it.
    highest: Ballot,
    backoff_ms: u64,
}

impl Retries {
    fn new() -> Self {
        Retries { highest: Ballot::default(), backoff_ms: INITIAL_BACKOFF_MS }
    }

    fn next_ballot(&self, member: &Member) -> Ballot {
        Ballot::above(self.highest.max(member.acceptor.promised()), member.incarnation)
    }

    fn observe(&mut self, ballot: Ballot) {
        self.highest = self.highest.max(ballot);
    }

    /// Waits for a random time, so that two proposers don't preempt each other for ever.
    async fn back_off(&mut self, highest: Ballot) {
        self.observe(highest);
        tokio::time::sleep(Duration::from_millis(random::below(self.backoff_ms) + 1)).await;
        self.backoff_ms = (self.backoff_ms * 2).min(MAX_BACKOFF_MS);
    }
}

/// Reads the register through a quorum. The value read is committed again, which makes the read linearizable.
pub async fn read(member: &Rc<Member>, deadline: Instant) -> Result<Value<Directory>, Undecided> {
    let keep = |_: ReadValue<'_>| Decided { decision: Decision::Keep, result: () };
    change(member, deadline, keep).await.map(|committed| committed.value)
}

/// Changes the directory where `decide` says so, and returns the result of its last run.
pub async fn change_directory<T>(
    member: &Rc<Member>,
    deadline: Instant,
    mut decide: impl FnMut(&mut Directory) -> DirectoryDecision<T>,
) -> Result<T, Undecided> {
    let changed = change(member, deadline, |read| {
        let mut new = read.value.clone();
        match decide(&mut new.state) {
            DirectoryDecision::Write(result) => Decided { decision: Decision::Write(Box::new(new)), result },
            DirectoryDecision::Decline(result) => Decided { decision: Decision::Decline, result },
        }
    });
    changed.await.map(|committed| committed.result)
}

/// The result of a message to an acceptor.
struct AcceptorAnswer {
    from: MemberId,
    /// Nothing where the acceptor did not reply in time.
    reply: Option<AcceptorReply<Directory>>,
}

/// Carries out one proposal.
async fn attempt(
    member: &Rc<Member>,
    ballot: Ballot,
    decide: impl FnMut(ReadValue<'_>) -> Decision,
) -> Outcome<Directory> {
    if member.group().is_unknown() {
        return Outcome::NoQuorum;
    }
    let (proposal, first) = Proposal::start(ballot, member.group(), member.acceptor.accepted());
    let mut attempt = Attempt { member, proposal, answers: PhaseAnswers::start(member, first) };
    let outcome = attempt.run(decide).await;
    debug!("proposal ended: ballot={ballot:?} outcome={}", outcome_name(&outcome));
    outcome
}

/// A running proposal.
struct Attempt<'a> {
    member: &'a Rc<Member>,
    proposal: Proposal<Directory>,
    /// The answers of the current phase. Those of the phase before must not count in it, so each has its own
    /// channel.
    answers: PhaseAnswers,
}

impl Attempt<'_> {
    async fn run(&mut self, mut decide: impl FnMut(ReadValue<'_>) -> Decision) -> Outcome<Directory> {
        loop {
            let Some(AcceptorAnswer { from, reply }) = self.answers.receiver.recv().await else {
                return Outcome::NoQuorum;
            };
            let step = match reply {
                Some(reply) => self.proposal.handle_reply(from, reply),
                None => self.proposal.handle_failure(from),
            };
            match step {
                Step::Wait => {}
                Step::Send(messages) => self.answers.send(self.member, messages),
                Step::End(outcome) => return outcome,
                Step::Read(read) => {
                    if let Some(outcome) = self.propose(read, &mut decide) {
                        return outcome;
                    }
                }
            }
        }
    }

    /// Starts the accept phase. A value that isn't changed is written back too: only then is it certainly
    /// committed, and so is what was decided on it.
    fn propose(
        &mut self,
        read: Value<Directory>,
        decide: &mut impl FnMut(ReadValue<'_>) -> Decision,
    ) -> Option<Outcome<Directory>> {
        let may_change_group = self.proposal.may_change_group();
        let mut value = match decide(ReadValue { value: &read, may_change_group }) {
            Decision::Write(value) => *value,
            Decision::Decline if is_injected(InjectedFault::RefuseWhileUndecided) => {
                return Some(Outcome::Committed { ballot: Ballot::default(), value: read });
            }
            Decision::Keep | Decision::Decline => read.clone(),
        };
        if may_change_group {
            value.previous_group = read.group;
        }
        self.answers = PhaseAnswers::start(self.member, self.proposal.propose(value));
        None
    }
}

fn outcome_name(outcome: &Outcome<Directory>) -> &'static str {
    match outcome {
        Outcome::Committed { .. } => "committed",
        Outcome::Preempted { .. } => "preempted",
        Outcome::GroupChanged { .. } => "group changed",
        Outcome::NoQuorum => "no quorum",
    }
}

/// The answers of one phase of a proposal.
struct PhaseAnswers {
    sender: mpsc::UnboundedSender<AcceptorAnswer>,
    receiver: mpsc::UnboundedReceiver<AcceptorAnswer>,
}

impl PhaseAnswers {
    /// Starts a phase with these messages.
    fn start(member: &Rc<Member>, messages: Vec<OutboundMessage<Directory>>) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        let answers = PhaseAnswers { sender, receiver };
        answers.send(member, messages);
        answers
    }

    /// Sends messages, each in a detached task that ends after [`ACCEPTOR_TIMEOUT`], or with the write to the
    /// own disk. It isn't cancelled with the phase: an acceptor that is slow has to get the message all the
    /// same.
    fn send(&self, member: &Rc<Member>, messages: Vec<OutboundMessage<Directory>>) {
        for message in messages {
            let (member, answers) = (member.clone(), self.sender.clone());
            spawn_local(async move {
                let reply = request_reply(&member, &message).await;
                let _ = answers.send(AcceptorAnswer { from: message.to, reply });
            });
        }
    }
}

/// Sends a message to an acceptor, which may be this member's own.
async fn request_reply(
    member: &Rc<Member>,
    message: &OutboundMessage<Directory>,
) -> Option<AcceptorReply<Directory>> {
    if message.to == member.id() {
        member.refresh_quorum_contact();
        return member.acceptor.vote(message.request.clone()).await.ok();
    }
    let call = MemberCall::Vote(Box::new(message.request.clone()));
    match member.peer(message.to.address).call(&call, ACCEPTOR_TIMEOUT).await {
        Ok(MemberReply::Vote(reply)) => Some(reply),
        Ok(_) => None,
        Err(fault) => {
            debug!("acceptor call failed: member={:?}: {fault}", message.to);
            None
        }
    }
}

//! Quorum freshness: whether a member may answer from memory.
//!
//! Guarantees that an answer from memory lags behind the register by [`FRESHNESS_PERIOD`] at the most, also
//! for a member that is partitioned, was paused, or has just restarted.
//!
//! A member has a *fresh quorum* while, within the last [`FRESHNESS_PERIOD`], it has asked members that are a
//! majority of every group that may be committed, and none of them had accepted anything newer than what this
//! member knew to be committed. Any value that was acknowledged before they were asked has been accepted by
//! one of them: two majorities of a group share a member. It is not enough that no member *knew* of a newer
//! committed value: after a restart none does. A value whose proposal is running does not interrupt
//! freshness; one that stays undecided does.
//!
//! Freshness counts from when a member was *asked*, as a read lease does (Gray and Cheriton 1989): a process
//! that was paused finds replies in its sockets that are as old as its pause. It belongs to a member's
//! address *and disk*: an empty process at a member's address knows nothing of what that member voted for.
//!
//! Nothing here reads a clock or does I/O: the caller passes the times.

use pointcross_tier_register::{Ballot, Group, MemberId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// A report counts for so long after the member was asked.
pub const FRESHNESS_PERIOD: Duration = Duration::from_millis(700);

/// What another member reported of itself.
#[derive(Clone, Debug)]
pub struct PeerReport {
    /// When it was asked, by the asking member's clock.
    pub asked_at: Instant,
    /// The revision up to which it has the asking member's instances.
    pub instances_revision: u64,
    /// The newest ballot that it knows to be committed.
    pub committed: Option<Ballot>,
    /// The ballot of the value that it accepted last; it may be committed although no member knows so.
    pub accepted: Option<Ballot>,
    /// The group of that value.
    pub accepted_group: Option<Group>,
}

impl PeerReport {
    /// Whether the member had nothing that is newer than this committed ballot.
    fn has_nothing_newer(&self, committed: Option<Ballot>) -> bool {
        self.committed <= committed && self.accepted <= committed
    }
}

/// The asking member's own state.
#[derive(Clone, Copy, Debug)]
pub struct LocalState<'a> {
    /// Its id.
    pub id: MemberId,
    /// The newest group that it knows to be committed.
    pub group: &'a Group,
    /// The newest ballot that it knows to be committed.
    pub committed: Option<Ballot>,
    /// The ballot of the value that it accepted last.
    pub accepted: Option<Ballot>,
    /// The group of that value.
    pub accepted_group: Option<&'a Group>,
}

/// The last report of each member, and since when calls to it fail. Its size is bounded by the members of the
/// group.
#[derive(Clone, Debug, Default)]
pub struct QuorumContact {
    reports: BTreeMap<MemberId, PeerReport>,
    /// When each member was last asked while it had nothing newer than what was known here to be committed;
    /// this member included.
    up_to_date_at: BTreeMap<MemberId, Instant>,
    /// Since when calls to a member fail, counted from the first failure noticed.
    failing_since: BTreeMap<MemberId, Instant>,
}

impl QuorumContact {
    /// Records a member's report. The caller also calls [`Self::refresh`].
    pub fn record_report(&mut self, from: MemberId, report: PeerReport) {
        self.failing_since.remove(&from);
        self.reports.insert(from, report);
    }

    /// Records which members have nothing newer than this one. To be called before the local state changes
    /// (with the state until then), and after each report.
    pub fn refresh(&mut self, local: LocalState<'_>, now: Instant) {
        if local.committed.is_some() && local.accepted <= local.committed {
            self.up_to_date_at.insert(local.id, now);
        }
        for (member, report) in &self.reports {
            if report.has_nothing_newer(local.committed) {
                self.up_to_date_at.insert(*member, report.asked_at);
            }
        }
    }

    /// Records that a call to a member failed, or that a process with another disk answered at its address.
    pub fn record_failure(&mut self, member: MemberId, now: Instant) {
        self.failing_since.entry(member).or_insert(now);
    }

    /// Removes all members but these.
    pub fn retain_members(&mut self, members: &BTreeSet<MemberId>) {
        self.reports.retain(|member, _| members.contains(member));
        self.up_to_date_at.retain(|member, _| members.contains(member));
        self.failing_since.retain(|member, _| members.contains(member));
    }

    /// Whether this member has answered a call made within [`FRESHNESS_PERIOD`].
    pub fn is_reachable(&self, member: &MemberId, now: Instant) -> bool {
        self.reports.get(member).is_some_and(|report| is_fresh(report.asked_at, now))
    }

    /// Whether calls to this member have failed for at least this time.
    pub fn is_failing_for(&self, member: &MemberId, now: Instant, time: Duration) -> bool {
        self.failing_since.get(member).is_some_and(|since| now.saturating_duration_since(*since) >= time)
    }

    /// Whether the member may answer from memory.
    pub fn has_fresh_quorum(&mut self, local: LocalState<'_>, now: Instant) -> bool {
        self.has_quorum_where(local, now, |asked_at| is_fresh(asked_at, now))
    }

    /// Whether all that was committed before `since` is known to the member: a majority that was asked since
    /// then had nothing newer. Such an answer is linearizable, as a read by Raft's read index.
    pub fn is_up_to_date_since(&mut self, local: LocalState<'_>, since: Instant, now: Instant) -> bool {
        self.has_quorum_where(local, now, |asked_at| asked_at >= since)
    }

    /// Whether members that are majorities, this one among them, had nothing newer when they were asked at
    /// times that count.
    fn has_quorum_where(
        &mut self,
        local: LocalState<'_>,
        now: Instant,
        counts: impl Fn(Instant) -> bool,
    ) -> bool {
        self.refresh(local, now);
        let counted = self.up_to_date_at.iter().filter(|(_, asked_at)| counts(**asked_at));
        let counted: BTreeSet<MemberId> = counted.map(|(member, _)| *member).collect();
        local.committed.is_some() && counted.contains(&local.id) && self.is_majority(local, &counted)
    }

    /// Whether a majority has the member's instances up to a revision.
    pub fn majority_has_instances(&self, local: LocalState<'_>, revision: u64) -> bool {
        let reports = self.reports.iter().filter(|(_, report)| report.instances_revision >= revision);
        let holders = reports.map(|(member, _)| *member).chain([local.id]).collect();
        self.is_majority(local, &holders)
    }

    /// Whether these are a majority of the committed group, and of each later group that one of them has
    /// accepted. A committed group was accepted by a majority of the group before it, so one of these would
    /// know of it.
    fn is_majority(&self, local: LocalState<'_>, members: &BTreeSet<MemberId>) -> bool {
        let reported = members.iter().filter_map(|member| self.reports.get(member)?.accepted_group.as_ref());
        let accepted = reported.chain(local.accepted_group);
        let mut later = accepted.filter(|group| group.epoch > local.group.epoch);
        local.group.has_majority(members) && later.all(|group| group.has_majority(members))
    }
}

fn is_fresh(asked_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(asked_at) < FRESHNESS_PERIOD
}

//! The decision whether a process becomes a member.
//!
//! Guarantees that a change replaces at most one member and never one that answers, except for a member whose
//! disk was lost: its votes are lost with the disk, so it must not go on to vote under the old id.

use pointcross_tier_register::{Group, MemberId};

/// What to do with a process that asks to become a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Nothing: it is a member already, or the group is complete and all of it answers.
    Wait,
    /// Add it: the group has fewer members than wanted.
    Add,
    /// Put it in this member's place.
    Replace(MemberId),
}

/// Decides on a candidate.
///
/// `unreachable` are the members to which calls have failed for long enough to replace them, `wanted` is the
/// size of a complete group.
pub fn decide_admission(
    group: &Group,
    candidate: MemberId,
    unreachable: &[MemberId],
    wanted: usize,
) -> Admission {
    if group.contains(&candidate) {
        return Admission::Wait;
    }
    // The same address with another disk: that member's votes are lost with its disk.
    let wiped = group.members.iter().find(|member| member.address == candidate.address);
    if let Some(wiped) = wiped {
        return Admission::Replace(*wiped);
    }
    if group.members.len() < wanted {
        return Admission::Add;
    }
    match group.members.iter().find(|member| unreachable.contains(member)) {
        Some(failed) => Admission::Replace(*failed),
        None => Admission::Wait,
    }
}

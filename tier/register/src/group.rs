//! The groups of members that vote on the register, and their majorities.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// A member: an address and a disk. A member that lost its disk is another member, since its promises are
/// lost with the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The address of its acceptor.
    pub address: SocketAddrV4,
    /// The number of its disk, drawn at random; 0 for the disks of the system's first start.
    pub disk: u64,
}

/// A group of members. Two groups whose epochs differ by one differ in one change of members.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Rises by one with each change of the members.
    pub epoch: u64,
    /// The members, sorted, each once.
    pub members: SmallVec<[MemberId; 5]>,
}

impl Group {
    /// The group of the system's first start.
    pub fn initial(addresses: &[SocketAddrV4]) -> Self {
        let mut members: SmallVec<[MemberId; 5]> =
            addresses.iter().map(|&address| MemberId { address, disk: 0 }).collect();
        members.sort();
        members.dedup();
        Group { epoch: 0, members }
    }

    /// The group of a process that has not learned of any yet: no set of voters is a majority of it.
    pub fn unknown() -> Self {
        Group { epoch: 0, members: SmallVec::new() }
    }

    /// Whether this is [`Group::unknown`].
    pub fn is_unknown(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether this group replaced the other one. Both have been committed, so that epochs order them.
    pub fn supersedes(&self, other: &Group) -> bool {
        !self.is_unknown() && (other.is_unknown() || self.epoch > other.epoch)
    }

    /// Whether more than half of the members are among the voters. Any two majorities of a group share a
    /// member.
    pub fn has_majority(&self, voters: &BTreeSet<MemberId>) -> bool {
        let present = self.members.iter().filter(|member| voters.contains(member)).count();
        present * 2 > self.members.len()
    }

    /// Whether this member, by address and disk, belongs to the group.
    pub fn contains(&self, member: &MemberId) -> bool {
        self.members.contains(member)
    }

    /// The next group: without `leaving`, with `joining`, and with the next epoch.
    pub fn changed(&self, leaving: Option<MemberId>, joining: Option<MemberId>) -> Self {
        let mut members: SmallVec<[MemberId; 5]> =
            self.members.iter().copied().filter(|member| Some(*member) != leaving).chain(joining).collect();
        members.sort();
        members.dedup();
        Group { epoch: self.epoch + 1, members }
    }
}

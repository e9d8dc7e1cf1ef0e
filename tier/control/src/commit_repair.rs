//! Repair of undecided values: reads the register through a quorum, which commits the newest accepted value.
//!
//! After a restart of all members, or of a proposer between its phases, no member knows whether the newest
//! accepted value is committed; without the repair no member could answer from memory. After a change of
//! members a read also records on the disks that the new group is committed: without that, members that
//! restart would need a majority of the group before, which the next failure may take away.

use crate::member::Member;
use crate::proposer;
use pointcross_tier_register::Ballot;
use pointcross_tier_runtime::random;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// An accepted value that isn't known to be committed is repaired after so long, and a random part of
/// [`REPAIR_JITTER_MS`] more.
const REPAIR_DELAY: Duration = Duration::from_millis(250);
const REPAIR_JITTER_MS: u64 = 100;
/// A member that can't answer from memory checks so many times as often.
const STALE_SPEEDUP: u32 = 5;
/// How long a repair may take.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(2);

/// Repairs undecided values until cancelled.
pub async fn run(member: Rc<Member>) {
    let mut previously_accepted: Option<Ballot> = None;
    loop {
        let delay = REPAIR_DELAY + Duration::from_millis(random::below(REPAIR_JITTER_MS));
        tokio::time::sleep(if member.has_fresh_quorum() { delay } else { delay / STALE_SPEEDUP }).await;
        let accepted = member.acceptor.accepted_ballot();
        let knows_none = member.committed_ballot().is_none();
        // A value accepted since the last check may still be committed by its own proposer.
        if is_undecided(&member, accepted) && (knows_none || previously_accepted == accepted) {
            let _ = proposer::read(&member, Instant::now() + REPAIR_TIMEOUT).await;
        }
        previously_accepted = accepted;
    }
}

fn is_undecided(member: &Member, accepted: Option<Ballot>) -> bool {
    let committed = member.committed_ballot();
    let group_unproven = accepted == committed && !member.acceptor.proves_group_committed();
    member.is_member() && (committed.is_none() || accepted > committed || group_unproven)
}

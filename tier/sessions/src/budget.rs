//! Whether an attempt's reservation fits in its program's token budget.
//!
//! Guarantees that the attempts granted together stay within the budget, though the stores don't agree on an
//! order. An attempt first writes its reservation, the most that it may use, to a majority of the program's
//! stores, then reads the reservations from a majority. Any two majorities share a store. So of any granted
//! attempts, the one whose write ended last has read all the others. The reservation of an attempt whose
//! proxy failed stays counted in full.

use pointcross_tier_protocol::turns::Reservation;
use std::collections::BTreeMap;

/// Attempts of one program that may be written within the same few milliseconds without reading each other.
const MAX_CONCURRENT_ATTEMPTS: u64 = 8;

/// Reservations of one program, merged from several stores. A settled one replaces an unsettled one of its
/// attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reservations(BTreeMap<String, Reservation>);

impl Reservations {
    /// Merges the reservations that one store returned.
    pub fn merge(&mut self, reservations: Vec<Reservation>) {
        for reservation in reservations {
            match self.0.get(&reservation.attempt) {
                Some(known) if known.settled || !reservation.settled => {}
                _ => {
                    self.0.insert(reservation.attempt.clone(), reservation);
                }
            }
        }
    }

    /// Merges reservations that were merged elsewhere.
    pub fn merge_all(&mut self, other: Reservations) {
        self.merge(other.0.into_values().collect());
    }

    /// The sum of the tokens of all attempts except this one.
    pub fn reserved_by_others(&self, attempt: &str) -> u64 {
        self.0.values().filter(|other| other.attempt != attempt).map(|other| other.tokens).sum()
    }
}

/// The decision on a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The attempt may run.
    Granted,
    /// The reservation fits in what was read, but so close to the budget that concurrent attempts may not be
    /// counted: read from a majority once more, after the own write.
    ReadAgain,
    /// The reservation exceeds the budget: the attempt must not run.
    Exhausted,
}

/// Decides on a reservation of at most `max_tokens`, all amounts in tokens.
///
/// `reserved_by_others` was read from a majority of the program's stores. `read_after_write` says that this
/// read began after the own reservation had been written to a majority.
pub fn decide(budget: u64, max_tokens: u64, reserved_by_others: u64, read_after_write: bool) -> Verdict {
    let reserved = reserved_by_others.saturating_add(max_tokens);
    if reserved > budget {
        return Verdict::Exhausted;
    }
    // With this much budget left, a few concurrent attempts that have not read each other can't exceed it.
    let unread_by_this = max_tokens.saturating_mul(MAX_CONCURRENT_ATTEMPTS);
    let has_margin = reserved.saturating_add(unread_by_this) <= budget;
    if read_after_write || has_margin { Verdict::Granted } else { Verdict::ReadAgain }
}

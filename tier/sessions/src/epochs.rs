//! When a store may serve budgets in a new epoch of the stores.
//!
//! Guarantees that no reservation that was granted in an earlier epoch is missed, whatever stores were lost
//! or replaced since. A reservation counts once a majority of the program's stores has it, in one epoch. A
//! store is *complete* for an epoch once it has every reservation that may have counted in any epoch before.
//! A store that was asked for its budgets in an epoch is fenced: it accepts nothing in earlier epochs from
//! then on, so that its answer stays final.
//!
//! Of the stores that answered, one that is complete for epoch `w` has all that counted before `w`. For each
//! epoch from `w` on, one store of every majority that may have been formed in it has to be among those that
//! answered.

use crate::placement::majority;
use pointcross_tier_protocol::StoreId;
use pointcross_tier_protocol::directory::StoreEpoch;
use std::collections::BTreeMap;

/// Whether a store that has merged the budgets of the stores in `answered` is complete for `epoch`.
///
/// `earlier` lists the epochs before it, with the stores active in each; an epoch that is not listed counts
/// as not covered. `answered` has the epoch for which each store that answered is complete, the asking store
/// included. `budget_stores` is the number of stores that share a program's budget.
pub fn is_complete_for(
    earlier: &[StoreEpoch],
    epoch: u64,
    answered: &BTreeMap<StoreId, u64>,
    budget_stores: usize,
) -> bool {
    let complete_for = answered.values().copied().max().unwrap_or(0).min(epoch);
    (complete_for..epoch).all(|wanted| {
        let listed = earlier.iter().find(|earlier| earlier.epoch == wanted);
        listed.is_some_and(|listed| intersects_every_majority(&listed.active, answered, budget_stores))
    })
}

/// Whether too few of an epoch's active stores are unanswered to form a majority by themselves.
fn intersects_every_majority(
    active: &[StoreId],
    answered: &BTreeMap<StoreId, u64>,
    budget_stores: usize,
) -> bool {
    if active.is_empty() {
        return true;
    }
    let unanswered = active.iter().filter(|store| !answered.contains_key(store)).count();
    unanswered < majority(active.len().min(budget_stores))
}

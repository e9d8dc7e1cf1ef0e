//! Fetches the turns that this store's chains lack from the other stores.
//!
//! A turn is stored only with its complete chain. A chain may have a gap all the same where an earlier version of
//! this program wrote the turns, or where the write of a predecessor failed and that of a turn behind it
//! succeeded. Guarantees that such a gap is closed while another store has the missing turns, also after a restart:
//! what is missing is read from the table, which the turns on the disk rebuild.

use crate::repair::find_missing;
use crate::state::Store;
use crate::writes::store_turns;
use log::info;
use pointcross_tier_protocol::StoreEntry;
use pointcross_tier_protocol::messages::{StoreCall, StoreReply};
use pointcross_tier_protocol::turns::TurnId;
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use std::rc::Rc;
use std::time::Duration;

/// How long another store may take to send a chain.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// The largest number of chains that one round completes; the next round goes on.
const MAX_CHAINS_PER_ROUND: usize = 2000;

/// Fetches what the chains lack, from one store after the other. Returns whether no other store can have
/// anything of it any longer: all chains are complete, or each of the stores has answered that it has none of the
/// missing turns.
pub async fn complete_chains(store: &Rc<Store>, others: &[&StoreEntry]) -> bool {
    let mut missing = store.turns.borrow().missing_predecessors();
    if missing.is_empty() || is_injected(InjectedFault::AcknowledgeWithoutChain) {
        return true;
    }
    let found = missing.len();
    let mut is_final = missing.len() <= MAX_CHAINS_PER_ROUND;
    missing.truncate(MAX_CHAINS_PER_ROUND);
    for other in others {
        let answers = find_missing(store, &missing, &[*other]).await;
        let Some(answer) = answers.first() else {
            is_final = false;
            continue;
        };
        let available: Vec<TurnId> =
            missing.iter().filter(|id| !answer.missing.contains(*id)).cloned().collect();
        for id in available {
            is_final &= fetch_chain(store, other, id).await;
        }
        missing = store.turns.borrow().missing(missing);
    }
    if missing.len() < found {
        info!("chains completed: store={} missing={}", store.settings.node, missing.len());
    }
    is_final
}

/// Fetches a turn and those before it from a store that has them, and stores them, oldest first. Returns whether
/// they are stored.
async fn fetch_chain(store: &Rc<Store>, other: &StoreEntry, id: TurnId) -> bool {
    let reply = store.peer(other.address).call(&StoreCall::FetchChain { id }, FETCH_TIMEOUT).await;
    match reply {
        Ok(StoreReply::Chain(mut chain)) => {
            chain.reverse();
            store_turns(store, chain).await
        }
        _ => false,
    }
}

//! Reading a chain of turns: from the cache, else from the stores.

use super::call::{RETRY_DELAY, StoreResponse, spawn_fetch, wait_until};
use crate::proxy::Proxy;
use bytes::{Bytes, BytesMut};
use pointcross_tier_protocol::messages::StoreReply;
use pointcross_tier_protocol::turns::TurnRecord;
use pointcross_tier_protocol::{Directory, StoreEntry};
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use pointcross_tier_sessions::placement;
use snafu::Snafu;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A chain as the next turn needs it.
pub struct Chain {
    /// Its turns, oldest first.
    turns: Vec<TurnRecord>,
    /// The key that its turns are placed by.
    pub placement: String,
}

impl Chain {
    /// Puts the texts of all turns before the next one's input. Returns the joined text, and the chain's turns, oldest
    /// first, whose texts are parts of it: held on to for as long as the request, they take no further memory for
    /// texts.
    pub fn prepend_to(mut self, input: &[u8]) -> (Bytes, Rc<[TurnRecord]>) {
        let length: usize = self.turns.iter().map(|turn| turn.text.len()).sum();
        let mut joined = BytesMut::with_capacity(length + input.len());
        for turn in &self.turns {
            joined.extend_from_slice(&turn.text);
        }
        joined.extend_from_slice(input);
        let joined = joined.freeze();
        let mut begin = 0;
        for turn in &mut self.turns {
            let end = begin + turn.text.len();
            turn.text = joined.slice(begin..end);
            begin = end;
        }
        (joined, self.turns.into())
    }
}

/// Why a chain can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ChainError {
    /// No such turn exists: every store that could have it says so, and there were no others. Never said of a
    /// turn that a stored one continues from: that one was stored.
    #[snafu(display("there is no such turn"))]
    TurnNotFound,
    /// Some store that may have it did not reply before the deadline.
    #[snafu(display("stores that may have the turn did not reply"))]
    Undetermined,
}

/// What one pass over the stores found.
enum PassResult {
    /// The turn and those before it, newest first, as far as the store has them.
    Found(Vec<TurnRecord>),
    /// All stores replied that they certainly never had the turn.
    CertainlyAbsent,
    /// Some store did not reply, or can't be certain.
    Undetermined,
}

/// Reads the chain that ends with the turn `newest`.
///
/// # Errors
///
/// [`ChainError`] where a turn of the chain doesn't exist, or can't be read before the deadline.
pub async fn fetch_chain(
    proxy: &Rc<Proxy>,
    newest: &str,
    program: &str,
    deadline: Instant,
) -> Result<Chain, ChainError> {
    let asked_at = Instant::now();
    let mut records: Vec<TurnRecord> = Vec::new();
    let mut next = Some(newest.to_owned());
    while let Some(id) = next {
        let cached = proxy.chains.borrow().get(&id).cloned();
        let found = match cached {
            Some(record) => vec![record],
            None => {
                let query = TurnQuery { id: &id, program, asked_at, deadline };
                let fetched = fetch_with_retries(proxy, query).await;
                fetched.map_err(|error| if records.is_empty() { error } else { ChainError::Undetermined })?
            }
        };
        for record in &found {
            proxy.chains.borrow_mut().insert(record.clone(), Instant::now());
        }
        next = found.last().and_then(|oldest| oldest.previous.clone());
        records.extend(found);
    }
    if is_injected(InjectedFault::DropOldestTurn) && records.len() > 1 {
        records.pop();
    }
    records.reverse();
    let placement = records.first().map_or_else(|| program.to_owned(), |oldest| oldest.placement.clone());
    Ok(Chain { turns: records, placement })
}

/// A turn that is looked for.
#[derive(Clone, Copy)]
struct TurnQuery<'a> {
    id: &'a str,
    program: &'a str,
    /// When the request for it was there: a turn that was stored before then has to be found.
    asked_at: Instant,
    deadline: Instant,
}

/// Passes over the stores until the result is certain or the deadline near.
async fn fetch_with_retries(proxy: &Rc<Proxy>, query: TurnQuery<'_>) -> Result<Vec<TurnRecord>, ChainError> {
    loop {
        match fetch_once(proxy, query).await {
            Err(ChainError::Undetermined) if Instant::now() + RETRY_DELAY < query.deadline => {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

/// One pass over the stores, and what it proves.
async fn fetch_once(proxy: &Rc<Proxy>, query: TurnQuery<'_>) -> Result<Vec<TurnRecord>, ChainError> {
    let directory = proxy.stores.directory();
    let ranked = placement::rank_for_turns(query.program, &proxy.stores.zone, directory.readable_stores());
    let mut stores: Vec<StoreEntry> = ranked.into_iter().cloned().collect();
    proxy.stores.sort_unresponsive_last(&mut stores);
    let is_absent = match call_each_store(proxy, stores, query.id, query.deadline).await {
        PassResult::Found(chain) => return Ok(chain),
        PassResult::CertainlyAbsent => has_no_unreadable_stores(proxy, &directory),
        PassResult::Undetermined => false,
    };
    let is_certain = is_absent && was_current(proxy, &directory, query).await;
    Err(if is_certain { ChainError::TurnNotFound } else { ChainError::Undetermined })
}

/// Whether no turn may be on stores that can't be read now. An empty directory proves nothing.
fn has_no_unreadable_stores(proxy: &Proxy, directory: &Directory) -> bool {
    let lists_stores = directory.active_stores().next().is_some();
    let route_table = proxy.route_table.borrow();
    let retention = route_table.as_ref().map_or(Duration::MAX, |table| table.longest_retention());
    lists_stores && !proxy.stores.may_have_unreadable_turns(directory, retention)
}

/// Whether a directory was the current one when the turn was asked for, so that all stores which the turn may
/// have been stored on were asked. A process that stood still or is cut off can't tell by itself.
async fn was_current(proxy: &Proxy, directory: &Directory, query: TurnQuery<'_>) -> bool {
    if is_injected(InjectedFault::DenyByOldDirectory) {
        return true;
    }
    let is_latest = proxy.latest.read_since(query.asked_at, query.deadline).await;
    is_latest && proxy.stores.directory().revision == directory.revision
}

/// Calls each store once: the next one as soon as one replies that it doesn't have the turn, fails, or is
/// slow.
async fn call_each_store(
    proxy: &Rc<Proxy>,
    stores: Vec<StoreEntry>,
    id: &str,
    deadline: Instant,
) -> PassResult {
    let (sender, mut responses) = mpsc::unbounded_channel::<StoreResponse>();
    let mut not_certain = stores.len();
    let mut stores = stores.into_iter();
    let mut in_flight = 0;
    loop {
        if let Some(store) = stores.next() {
            spawn_fetch(proxy, store, id.to_owned(), &sender);
            in_flight += 1;
        } else if in_flight == 0 {
            break;
        }
        let until = wait_until(deadline, stores.len() > 0);
        let Ok(response) = tokio::time::timeout_at(until, responses.recv()).await else {
            if Instant::now() >= deadline {
                break;
            }
            continue;
        };
        let Some(response) = response else { break };
        in_flight -= 1;
        match response.reply {
            Some(StoreReply::Chain(chain)) => return PassResult::Found(chain),
            Some(StoreReply::TurnNotFound { certain: true }) => not_certain -= 1,
            _ => {}
        }
    }
    if not_certain == 0 { PassResult::CertainlyAbsent } else { PassResult::Undetermined }
}

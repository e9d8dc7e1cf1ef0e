//! Reservations of programs' token budgets at the stores.
//!
//! Guarantees that no turn is forwarded before its maximum of tokens is reserved at a majority of the
//! program's stores, so concurrent turns through several proxies can't exceed the budget together, also where
//! a proxy or a minority of the stores dies. A reservation counts at its maximum until it is settled with
//! what was used.

use crate::proxy::Proxy;
use pointcross_tier_protocol::StoreEntry;
use pointcross_tier_protocol::messages::{StoreCall, StoreReply};
use pointcross_tier_protocol::turns::Reservation;
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use pointcross_tier_sessions::budget::{Reservations, Verdict, decide};
use pointcross_tier_sessions::placement;
use snafu::Snafu;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// How long one call may take, and the pause before a settlement is sent once more.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// The pause before a majority is called once more.
const RETRY_DELAY: Duration = Duration::from_millis(30);
/// How often a settlement is sent to a store that does not reply.
const MAX_SETTLE_ATTEMPTS: usize = 3;

/// Why a turn must not be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BudgetError {
    /// The budget certainly has too few tokens left.
    #[snafu(display("the budget has too few tokens left"))]
    Exhausted,
    /// No majority of the program's stores replied before the deadline.
    #[snafu(display("no majority of the program's stores replied"))]
    Undetermined,
}

/// What a turn asks of its program's budget.
#[derive(Clone, Debug)]
pub struct TurnBudget {
    /// The program.
    pub program: String,
    /// The attempt's id, by which the reservation is identified.
    pub attempt: String,
    /// Tokens of all the program's turns together.
    pub budget: u64,
    /// The maximum of tokens that this turn generates.
    pub max_tokens: u64,
}

/// A reservation at the stores.
///
/// It counts at its maximum until it is settled, also where its proxy dies first. Dropping it settles it with
/// zero: no token of it was forwarded.
pub struct BudgetGrant {
    proxy: Rc<Proxy>,
    turn: TurnBudget,
    settled: bool,
}

/// Reserves a turn's maximum before the turn is forwarded.
///
/// # Errors
///
/// [`BudgetError`] where the budget is exhausted, or a majority didn't reply before the deadline. The
/// reservation, which some stores may have written, is then settled with zero.
pub async fn reserve(
    proxy: &Rc<Proxy>,
    turn: TurnBudget,
    deadline: Instant,
) -> Result<BudgetGrant, BudgetError> {
    let reservation = Reservation { attempt: turn.attempt.clone(), tokens: turn.max_tokens, settled: false };
    let written = call_majority(proxy, &turn.program, Some(reservation), deadline).await;
    // Made before the results are read: dropped on an error, it settles what a minority may have written.
    let grant = BudgetGrant { proxy: proxy.clone(), turn, settled: false };
    let mut reservations = written.ok_or(BudgetError::Undetermined)?;
    let turn = &grant.turn;
    if is_injected(InjectedFault::IgnoreOtherAttempts) {
        return Ok(grant);
    }
    let others = reservations.reserved_by_others(&turn.attempt);
    let mut verdict = decide(turn.budget, turn.max_tokens, others, false);
    if verdict == Verdict::ReadAgain {
        let read = call_majority(proxy, &turn.program, None, deadline).await;
        reservations.merge_all(read.ok_or(BudgetError::Undetermined)?);
        let others = reservations.reserved_by_others(&turn.attempt);
        verdict = decide(turn.budget, turn.max_tokens, others, true);
    }
    if verdict == Verdict::Granted { Ok(grant) } else { Err(BudgetError::Exhausted) }
}

/// Calls the program's stores until a majority has replied in one epoch; `None` at the deadline.
async fn call_majority(
    proxy: &Rc<Proxy>,
    program: &str,
    reservation: Option<Reservation>,
    deadline: Instant,
) -> Option<Reservations> {
    loop {
        if let Some(reservations) = call_majority_once(proxy, program, reservation.clone(), deadline).await {
            return Some(reservations);
        }
        if Instant::now() + RETRY_DELAY >= deadline {
            return None;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Calls each of the program's stores once; a `reservation` is written there before the store's replies.
async fn call_majority_once(
    proxy: &Rc<Proxy>,
    program: &str,
    reservation: Option<Reservation>,
    deadline: Instant,
) -> Option<Reservations> {
    let directory = proxy.stores.directory();
    let stores: Vec<StoreEntry> =
        placement::budget_stores(program, proxy.stores.stores_per_budget, directory.active_stores())
            .into_iter()
            .cloned()
            .collect();
    let called = stores.len();
    let (sender, replies) = mpsc::unbounded_channel();
    for store in stores {
        let call = StoreCall::Reserve {
            epoch: directory.store_epoch,
            program: program.to_owned(),
            reservation: reservation.clone(),
        };
        let (proxy, sender) = (proxy.clone(), sender.clone());
        // Detached: it ends within the call's timeout, and a reservation must reach slow stores as well.
        spawn_local(async move {
            let _ = sender.send(proxy.stores.call(store.address, &call, CALL_TIMEOUT).await);
        });
    }
    drop(sender);
    merge_majority(replies, called, deadline).await
}

/// Merges what a majority of the called stores has; `None` once a majority can't be reached any more.
async fn merge_majority(
    mut replies: mpsc::UnboundedReceiver<Option<StoreReply>>,
    called: usize,
    deadline: Instant,
) -> Option<Reservations> {
    let needed = placement::majority(called);
    let mut merged = Reservations::default();
    let mut succeeded = 0;
    let mut failed = 0;
    while succeeded < needed && failed + needed <= called {
        match tokio::time::timeout_at(deadline, replies.recv()).await {
            Ok(Some(Some(StoreReply::Reservations(reservations)))) => {
                merged.merge(reservations);
                succeeded += 1;
            }
            Ok(Some(_)) => failed += 1,
            Ok(None) | Err(_) => return None,
        }
    }
    (called > 0 && succeeded >= needed).then_some(merged)
}

impl BudgetGrant {
    /// Settles the reservation with the tokens that were forwarded.
    pub fn settle(mut self, tokens: u64) {
        self.spawn_settlements(tokens);
    }

    /// Sends the settlement to the program's stores. Its tasks are detached: a request doesn't wait for them,
    /// each ends after [`MAX_SETTLE_ATTEMPTS`] calls, and a settlement that is lost leaves the reservation at
    /// its maximum.
    fn spawn_settlements(&mut self, tokens: u64) {
        if std::mem::replace(&mut self.settled, true) {
            return;
        }
        let (proxy, turn) = (&self.proxy, &self.turn);
        let tokens = tokens.min(turn.max_tokens);
        let reservation = Reservation { attempt: turn.attempt.clone(), tokens, settled: true };
        let directory = proxy.stores.directory();
        let count = proxy.stores.stores_per_budget;
        for store in placement::budget_stores(&turn.program, count, directory.active_stores()) {
            let call = StoreCall::Settle { program: turn.program.clone(), reservation: reservation.clone() };
            spawn_local(settle_at(proxy.clone(), store.address, call));
        }
    }
}

impl Drop for BudgetGrant {
    fn drop(&mut self) {
        self.spawn_settlements(0);
    }
}

/// Sends a settlement until the store replies. Settling is idempotent.
async fn settle_at(proxy: Rc<Proxy>, address: SocketAddrV4, call: StoreCall) {
    for _ in 0..MAX_SETTLE_ATTEMPTS {
        if proxy.stores.call(address, &call, CALL_TIMEOUT).await.is_some() {
            return;
        }
        tokio::time::sleep(CALL_TIMEOUT).await;
    }
}

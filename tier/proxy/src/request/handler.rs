//! The steps of a request: read, prepend its chain, choose a server, reserve tokens, send, answer.
//!
//! A request is refused before anything is reserved wherever a refusal can be foreseen.

use super::attempts::{Attempts, RequestOutcome};
use super::context::RequestContext;
use super::stream::{self, UnstoredTurn};
use crate::answer::{self, Answer};
use crate::budget::{self, BudgetError, BudgetGrant, TurnBudget};
use crate::proxy::Proxy;
use crate::turns::{self, ChainError};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use log::debug;
use pointcross_tier_routing::{ProgramDemand, ProgramStage};
use pointcross_tier_runtime::fault_injection::{InjectedFault, is_injected};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// When a client may retry after something that passes within moments, in milliseconds.
const TRANSIENT_RETRY_AFTER_MS: f64 = 150.0;
/// Part of the remaining time that fetching a chain may take, in hundredths.
const CHAIN_TIME_PERCENT: u32 = 40;
/// How long a reservation may take.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Handles one request.
pub async fn handle(proxy: &Rc<Proxy>, request: Request<Incoming>) -> Answer {
    try_handle(proxy, request).await.unwrap_or_else(|early_answer| early_answer)
}

/// Handles one request. The error is the answer of a request that ends before it is sent to a server.
async fn try_handle(proxy: &Rc<Proxy>, request: Request<Incoming>) -> Result<Answer, Answer> {
    let mut context = RequestContext::read(proxy, request).await?;
    if let Some(refusal) = refuse_program(proxy, &context) {
        return Err(refusal);
    }
    let unstored = prepend_chain(proxy, &mut context).await?;
    let context = Rc::new(context);
    let mut attempts = Attempts::new(proxy, &context);
    // Refused before anything is reserved. A reservation takes time: the choice is then made anew.
    let mut first_choice = Some(attempts.choose_server().await?);
    let grant = reserve(proxy, &context).await?;
    if grant.is_some() {
        first_choice = None;
    }
    match attempts.run(first_choice).await {
        RequestOutcome::Complete(answer) => {
            settle(grant, 0);
            Ok(answer)
        }
        RequestOutcome::Stream(response) => Ok(stream::forward(attempts, *response, unstored, grant)),
        RequestOutcome::Failed(_) if is_injected(InjectedFault::PromiseAfterRun) => {
            Ok(answer::refusal("", TRANSIENT_RETRY_AFTER_MS))
        }
        RequestOutcome::Failed(status) => {
            // Tokens that a failed attempt generated were never forwarded.
            settle(grant, 0);
            debug!("request failed: target={} status={}", context.target, status.as_u16());
            Ok(answer::failure(status, ""))
        }
    }
}

/// The refusal of a request whose program isn't admitted while its service is overloaded, before any work is done for it.
/// Calls of tools belong to programs under way and are always admitted.
fn refuse_program(proxy: &Proxy, context: &RequestContext) -> Option<Answer> {
    let program = context.program.as_deref().filter(|_| context.prompt.is_some())?;
    let stage = program_stage(proxy, context, program);
    let demand = ProgramDemand { program, stage, priority: context.routed.route.priority };
    let service = &context.routed.service;
    let refused = proxy.servers.borrow().refuse_program(proxy.now_ms(), service, &demand);
    if refused.is_none() {
        proxy.programs.borrow_mut().insert(program);
    }
    refused.map(|retry_after_ms| answer::refusal("the service is overloaded", retry_after_ms))
}

/// A turn that continues from another one is always of a program under way, however late that is: a client that was
/// answered the earlier turn has to be able to go on.
fn program_stage(proxy: &Proxy, context: &RequestContext, program: &str) -> ProgramStage {
    if context.previous.is_some() {
        return ProgramStage::UnderWay;
    }
    if context.finish.is_some_and(|finish| finish <= Instant::now()) {
        return ProgramStage::Late;
    }
    let is_known = proxy.programs.borrow().contains(program);
    if is_known { ProgramStage::UnderWay } else { ProgramStage::New }
}

fn settle(grant: Option<BudgetGrant>, tokens: u64) {
    if let Some(grant) = grant {
        grant.settle(tokens);
    }
}

/// Puts the chain before the request's input, on routes whose turns are retained. Returns the turn that is to
/// be stored once it is answered.
async fn prepend_chain(
    proxy: &Rc<Proxy>,
    context: &mut RequestContext,
) -> Result<Option<UnstoredTurn>, Answer> {
    let route = &context.routed.route;
    let Some(attempt) = context.attempt_text().filter(|_| route.retained) else {
        return Ok(None);
    };
    let program = context.program.clone().unwrap_or_default();
    let input = context.body.clone();
    let mut placement = program.clone();
    let mut chain = Rc::default();
    if let Some(previous) = &context.previous {
        let now = Instant::now();
        let deadline = now + context.deadline.saturating_duration_since(now) * CHAIN_TIME_PERCENT / 100;
        let fetched = turns::fetch_chain(proxy, previous, &program, deadline).await;
        let fetched = fetched.map_err(chain_error_answer)?;
        placement.clone_from(&fetched.placement);
        (context.body, chain) = fetched.prepend_to(&input);
    }
    let retention_ms = (route.retention_s * 1000.0) as u64;
    let previous = context.previous.clone();
    Ok(Some(UnstoredTurn { id: attempt, previous, chain, placement, input, retention_ms }))
}

fn chain_error_answer(error: ChainError) -> Answer {
    match error {
        ChainError::TurnNotFound => answer::failure(StatusCode::NOT_FOUND, "Previous: there is no such turn"),
        ChainError::Undetermined => {
            answer::refusal("Previous: the turn can't be found now", TRANSIENT_RETRY_AFTER_MS)
        }
    }
}

/// Reserves the turn's maximum of tokens, where its program has a budget.
async fn reserve(proxy: &Rc<Proxy>, context: &RequestContext) -> Result<Option<BudgetGrant>, Answer> {
    let Some(turn) = turn_budget(context) else {
        return Ok(None);
    };
    let deadline = context.deadline.min(Instant::now() + RESERVE_TIMEOUT);
    budget::reserve(proxy, turn, deadline).await.map(Some).map_err(budget_error_answer)
}

fn budget_error_answer(error: BudgetError) -> Answer {
    match error {
        BudgetError::Exhausted => {
            answer::failure(StatusCode::PAYMENT_REQUIRED, "Budget: there is no room for this turn")
        }
        BudgetError::Undetermined => {
            answer::refusal("Budget: what is left of it can't be found now", TRANSIENT_RETRY_AFTER_MS)
        }
    }
}

fn turn_budget(context: &RequestContext) -> Option<TurnBudget> {
    let budget = context.budget?;
    let (program, attempt) = (context.program.clone()?, context.attempt_text()?);
    Some(TurnBudget { program, attempt, budget, max_tokens: context.max_tokens })
}

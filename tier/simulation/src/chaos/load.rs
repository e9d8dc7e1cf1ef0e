//! Programs and an operator that use a deployment, and note what they see.

use crate::chaos::ledger::{AnsweredTurn, Invariant, Ledger};
use crate::cluster::{Caller, Turn};
use pointcross_tier_runtime::random;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Turns of one program.
const MOST_TURNS: u64 = 6;
/// Tokens of one turn.
const TURN_TOKENS: u64 = 3;
/// Fronts of the deployment.
const FRONTS: [&str; 2] = ["front-1", "front-2"];
/// Control members that the operator knows.
const MEMBERS: [&str; 3] = ["core-1", "core-2", "core-3"];
/// At times the operator is quiet for so long: nothing brings a member that was away up to date meanwhile.
const LONG_PAUSE_MS: u64 = 5000;
/// How long an order may go without a clear answer before the operator gives it up.
const ORDER_WITHIN: Duration = Duration::from_secs(8);

fn pick<'a>(of: &[&'a str]) -> &'a str {
    of[random::below(of.len() as u64) as usize]
}

async fn pause(least_ms: u64, more_ms: u64) {
    tokio::time::sleep(Duration::from_millis(least_ms + random::below(more_ms))).await;
}

/// Runs one program after the other until the end of the load.
pub async fn run_programs(caller: Caller, ledger: Rc<Ledger>, lane: usize, stop_at: Instant) {
    let mut number = 0;
    while Instant::now() < stop_at {
        number += 1;
        let program = format!("p{lane}.{number}");
        run_program(&caller, &ledger, &program, stop_at).await;
        pause(20, 200).await;
    }
}

async fn run_program(caller: &Caller, ledger: &Ledger, program: &str, stop_at: Instant) {
    let kept = random::below(3) > 0;
    // Some run out of their budget on the way.
    let budget = TURN_TOKENS * (2 + random::below(MOST_TURNS * 2));
    let mut previous: Option<AnsweredTurn> = None;
    for turn in 0..MOST_TURNS {
        let mut answered = None;
        for attempt in 0..4 {
            if Instant::now() >= stop_at {
                return;
            }
            let id = format!("{program}.{turn}.{attempt}");
            match take_turn(caller, ledger, program, &id, kept, budget, previous.as_ref()).await {
                Outcome::Answered(turn) => {
                    answered = Some(turn);
                    break;
                }
                Outcome::Ends => return,
                Outcome::Again => pause(100, 300).await,
            }
        }
        let Some(answered) = answered else { return };
        previous = Some(answered).filter(|_| kept);
        pause(10, 100).await;
    }
}

enum Outcome {
    Answered(AnsweredTurn),
    Again,
    Ends,
}

async fn take_turn(
    caller: &Caller,
    ledger: &Ledger,
    program: &str,
    id: &str,
    kept: bool,
    budget: u64,
    previous: Option<&AnsweredTurn>,
) -> Outcome {
    let input = format!("in {id};");
    let body = format!("{}{input}", previous.map_or("", |turn| turn.text.as_str()));
    ledger.sends(id, body.clone());
    let turn = Turn {
        id,
        program,
        previous: previous.map(|turn| turn.id.as_str()),
        input: &input,
        budget: Some(budget),
        most: TURN_TOKENS,
        kept,
    };
    let Some(reply) = caller.turn(pick(&FRONTS), &turn).await else {
        return Outcome::Again;
    };
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let tokens = text.matches("data: ").count() as u64;
    match reply.status.as_u16() {
        200 => {
            ledger.received(program, budget, TURN_TOKENS, tokens);
            if !reply.whole {
                return Outcome::Again;
            }
            let output: String = (1..=TURN_TOKENS).map(|event| format!("{id}.{event}\n")).collect();
            let answered = AnsweredTurn { id: id.to_owned(), text: body + &output, at: Instant::now() };
            if kept {
                ledger.answered(answered.clone());
            }
            Outcome::Answered(answered)
        }
        402 => {
            ledger.refused(id);
            Outcome::Ends
        }
        404 => {
            ledger.refused(id);
            if let Some(previous) = previous {
                ledger.not_found(&previous.id);
            }
            Outcome::Ends
        }
        408 | 421 | 429 | 503 => {
            ledger.refused(id);
            Outcome::Again
        }
        _ => Outcome::Again,
    }
}

/// Changes the configuration again and again, at times two at once on one version.
pub async fn operate(caller: Caller, ledger: Rc<Ledger>, stop_at: Instant) {
    let mut current = 0;
    let mut next = 1;
    while Instant::now() < stop_at {
        let version = next;
        next += 1 + random::below(3);
        if current > 0 && random::below(4) == 0 {
            let other = next;
            next += 1;
            let both = tokio::join!(
                order(&caller, &ledger, current, version),
                order(&caller, &ledger, current, other)
            );
            if both == (Some(200), Some(200)) {
                let text = format!("{version} and {other} were both taken on {current}");
                ledger.broken(Invariant::OneChangeForEachVersion, text);
            }
        } else {
            let taken = order(&caller, &ledger, current, version).await;
            if taken == Some(200) && random::below(2) == 0 {
                let again = order(&caller, &ledger, current, version).await;
                if again.is_some_and(|status| (400..500).contains(&status)) {
                    let text = format!("{version} was taken, and then got {again:?}");
                    ledger.broken(Invariant::RepeatedOrderIsTaken, text);
                }
            }
        }
        current = read_back(&caller, current, stop_at).await;
        next = next.max(current + 1);
        if random::below(5) == 0 {
            pause(LONG_PAUSE_MS, LONG_PAUSE_MS).await;
        }
        pause(300, 1500).await;
    }
}

/// Sends an order until it has a clear answer, to any member.
async fn order(caller: &Caller, ledger: &Ledger, base: u64, version: u64) -> Option<u16> {
    let until = Instant::now() + ORDER_WITHIN;
    while Instant::now() < until {
        ledger.orders();
        let status = caller.configure(pick(&MEMBERS), base, version).await;
        match status {
            Some(200) => {
                ledger.acknowledged(base, version);
                return status;
            }
            Some(400..500) => {
                ledger.order_refused(version);
                return status;
            }
            _ => pause(50, 300).await,
        }
    }
    None
}

async fn read_back(caller: &Caller, known: u64, stop_at: Instant) -> u64 {
    while Instant::now() < stop_at {
        if let Some(version) = caller.configuration_version(pick(&MEMBERS)).await {
            return version;
        }
        pause(50, 300).await;
    }
    known
}

/// After the last fault: the configuration is there, and every turn can be continued.
pub async fn check_recovery(caller: &Caller, ledger: &Ledger, until: Instant) {
    let mut version = None;
    while version.is_none() && Instant::now() < until {
        version = caller.configuration_version(pick(&MEMBERS)).await;
        pause(50, 100).await;
    }
    match version {
        Some(version) => ledger.check_configuration(version),
        None => ledger.broken(Invariant::Recovers, "no configuration came back".to_owned()),
    }
    for (number, turn) in ledger.kept_turns().iter().enumerate() {
        let id = format!("after.{number}");
        let mut continued = false;
        let mut attempt = 0;
        while !continued && (Instant::now() < until || attempt < 2) {
            attempt += 1;
            let id = format!("{id}.{attempt}");
            let program = format!("after.{number}");
            match take_turn(caller, ledger, &program, &id, true, 1000, Some(turn)).await {
                Outcome::Answered(_) => continued = true,
                Outcome::Ends => break,
                Outcome::Again => pause(100, 100).await,
            }
        }
        if !continued {
            ledger.broken(Invariant::Recovers, format!("{} can't be continued", turn.id));
        }
    }
}

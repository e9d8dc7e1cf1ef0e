//! Programs and an operator that use a deployment, and note what they see.

use crate::caller::{Caller, Turn};
use crate::chaos::ledger::{AnsweredTurn, Invariant, Ledger};
use crate::chaos::shape::DayShape;
use crate::order::Order;
use pointcross_tier_runtime::random;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Tokens of one turn.
const TURN_TOKENS: u64 = 3;
/// Fronts of the deployment.
const FRONTS: [&str; 2] = ["front-1", "front-2"];
/// Changes that follow on each other at once, at times.
const MAX_IN_A_ROW: u32 = 40;
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
pub async fn run_programs(
    caller: Caller,
    ledger: Rc<Ledger>,
    shape: DayShape,
    lane: usize,
    stop_at: Instant,
) {
    let mut number = 0;
    while Instant::now() < stop_at {
        number += 1;
        let program = format!("p{lane}.{number}");
        let front = shape.has_sticky_programs.then(|| FRONTS[lane % FRONTS.len()]);
        run_program(&caller, &ledger, shape, &program, front, stop_at).await;
        pause(20, 200).await;
    }
}

async fn run_program(
    caller: &Caller,
    ledger: &Ledger,
    shape: DayShape,
    program: &str,
    front: Option<&'static str>,
    stop_at: Instant,
) {
    let stored = random::below(3) > 0;
    // Some run out of their budget on the way.
    let budget = TURN_TOKENS * (2 + random::below(shape.max_turns * 2));
    let mut previous: Option<AnsweredTurn> = None;
    for turn in 0..shape.max_turns {
        let mut answered = None;
        for attempt in 0..4 {
            if Instant::now() >= stop_at {
                return;
            }
            let id = format!("{program}.{turn}.{attempt}");
            let previous = previous.as_ref();
            // A program whose proxy failed it tries either one.
            let front = front.filter(|_| attempt == 0);
            let next = NextTurn { program, id: &id, stored, budget, previous, front };
            match take_turn(caller, ledger, &next).await {
                Outcome::Answered(turn) => {
                    answered = Some(turn);
                    break;
                }
                Outcome::Ends => return,
                Outcome::Again => pause(100, 300).await,
            }
        }
        let Some(answered) = answered else { return };
        previous = Some(answered).filter(|_| stored);
        pause(shape.pause_ms.0, shape.pause_ms.1).await;
    }
}

enum Outcome {
    Answered(AnsweredTurn),
    Again,
    Ends,
}

/// A program's next turn.
struct NextTurn<'a> {
    program: &'a str,
    /// The attempt's id.
    id: &'a str,
    /// Whether the turn is retained.
    stored: bool,
    budget: u64,
    previous: Option<&'a AnsweredTurn>,
    /// The proxy that it is sent to; `None` for either one.
    front: Option<&'a str>,
}

async fn take_turn(caller: &Caller, ledger: &Ledger, next: &NextTurn<'_>) -> Outcome {
    let &NextTurn { program, id, stored, budget, previous, front } = next;
    let input = format!("in {id};");
    let body = format!("{}{input}", previous.map_or("", |turn| turn.text.as_str()));
    ledger.sends(id, body.clone());
    let turn = Turn {
        id,
        program,
        previous: previous.map(|turn| turn.id.as_str()),
        input: &input,
        budget: Some(budget),
        max_tokens: TURN_TOKENS,
        stored,
    };
    let front = front.unwrap_or_else(|| pick(&FRONTS));
    let Some(reply) = caller.turn(front, &turn).await else {
        return Outcome::Again;
    };
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let tokens = text.matches("data: ").count() as u64;
    match reply.status.as_u16() {
        200 => {
            ledger.received(program, budget, TURN_TOKENS, tokens);
            if !reply.complete {
                return Outcome::Again;
            }
            let output: String = (1..=TURN_TOKENS).map(|event| format!("{id}.{event}\n")).collect();
            let events: String =
                (1..=TURN_TOKENS).map(|event| format!("id: {event}\ndata: {id}.{event}\n\n")).collect();
            if text != events {
                ledger.foreign_answer(id, &text);
            }
            let answered = AnsweredTurn { id: id.to_owned(), text: body + &output, at: Instant::now() };
            if stored {
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

/// Takes the first two turns of a program, each at a proxy of its own.
pub async fn take_two_turns(caller: Caller, ledger: Rc<Ledger>, program: String, fronts: [String; 2]) {
    let mut previous = None;
    for (turn, front) in fronts.iter().enumerate() {
        let id = format!("{program}.{turn}.0");
        let next = NextTurn {
            program: &program,
            id: &id,
            stored: true,
            budget: TURN_TOKENS * 4,
            previous: previous.as_ref(),
            front: Some(front),
        };
        let Outcome::Answered(answered) = take_turn(&caller, &ledger, &next).await else { return };
        previous = Some(answered);
    }
}

/// Changes the configuration again and again, at times two operators at once on one version, under one number or two,
/// and at times many changes in a row.
pub async fn operate(caller: Caller, ledger: Rc<Ledger>, stop_at: Instant) {
    let mut current = 0;
    let mut next = 1;
    let mut in_a_row = 0;
    while Instant::now() < stop_at {
        let first = Order { base: current, version: next, author: 1 };
        next += 1 + random::below(3);
        if current > 0 && in_a_row == 0 && random::below(4) == 0 {
            let one_number = random::below(2) == 0;
            let other = Order { version: if one_number { first.version } else { next }, author: 2, ..first };
            next += 1;
            tokio::join!(order(&caller, &ledger, first), order(&caller, &ledger, other));
        } else {
            order(&caller, &ledger, first).await;
        }
        repeat_one(&caller, &ledger).await;
        current = read_back(&caller, &ledger, current, stop_at).await;
        next = next.max(current + 1);
        if in_a_row > 0 {
            in_a_row -= 1;
            continue;
        }
        if random::below(12) == 0 {
            in_a_row = MAX_IN_A_ROW;
        }
        if random::below(5) == 0 {
            pause(LONG_PAUSE_MS, LONG_PAUSE_MS).await;
        }
        pause(300, 1500).await;
    }
}

/// At times an order that was acknowledged is sent again, also an old one: its answer may have been lost.
async fn repeat_one(caller: &Caller, ledger: &Ledger) {
    let acknowledged = ledger.all_acknowledged();
    if acknowledged.is_empty() || random::below(2) == 0 {
        return;
    }
    let again = match random::below(2) {
        0 => acknowledged[acknowledged.len() - 1],
        _ => acknowledged[random::below(acknowledged.len() as u64) as usize],
    };
    order(caller, ledger, again).await;
}

/// Sends an order until it has a clear answer, to any member. At times a clear answer is taken for lost.
async fn order(caller: &Caller, ledger: &Ledger, order: Order) -> Option<u16> {
    let until = Instant::now() + ORDER_WITHIN;
    while Instant::now() < until {
        ledger.orders(&order);
        let status = caller.order(&ledger.any_member(), &order).await;
        let is_lost = random::below(4) == 0;
        match status {
            Some(200) => {
                ledger.acknowledged(order);
                if !is_lost {
                    return status;
                }
            }
            Some(400..500) => {
                ledger.order_refused(order);
                return status;
            }
            _ => pause(50, 300).await,
        }
    }
    None
}

async fn read_back(caller: &Caller, ledger: &Ledger, known: u64, stop_at: Instant) -> u64 {
    while Instant::now() < stop_at {
        let asked = Instant::now();
        if let Some((version, author)) = caller.newest_order(&ledger.any_member()).await {
            ledger.read_back(version, author, asked);
            return version;
        }
        pause(50, 300).await;
    }
    known
}

/// Follows all members in turn as a proxy that has just started, and notes what they hand out.
pub async fn follow(caller: Caller, ledger: Rc<Ledger>, stop_at: Instant) {
    while Instant::now() < stop_at {
        for member in ledger.members() {
            let asked = Instant::now();
            if let Some(version) = caller.served_version(&member).await {
                ledger.record_served_version(&member, version, asked);
            }
        }
        pause(20, 40).await;
    }
}

/// Asks proxies for the route that only the newest configuration has.
pub async fn probe(caller: Caller, ledger: Rc<Ledger>, stop_at: Instant) {
    let mut number = 0;
    while Instant::now() < stop_at {
        pause(100, 300).await;
        let Some((version, taken)) = ledger.settled_version() else { continue };
        let front = pick(&FRONTS);
        number += 1;
        let id = format!("probe.{number}");
        ledger.sends(&id, String::new());
        let asked = Instant::now();
        let status = caller.probe(front, version, &id).await;
        if status == Some(404) && ledger.settled_version().is_some_and(|(settled, _)| settled == version) {
            ledger.route_missing(front, version, taken, asked);
        }
        if matches!(status, Some(404 | 408 | 421 | 429 | 503)) {
            ledger.refused(&id);
        }
    }
}

/// After the last fault: the configuration is there, and every turn can be continued.
pub async fn check_recovery(caller: &Caller, ledger: &Ledger, until: Instant) {
    let mut is_read = false;
    while !is_read && Instant::now() < until {
        let asked = Instant::now();
        if let Some((version, author)) = caller.newest_order(&ledger.any_member()).await {
            ledger.read_back(version, author, asked);
            is_read = true;
        }
        pause(50, 100).await;
    }
    if !is_read {
        ledger.broken(Invariant::Recovers, "no configuration came back".to_owned());
    }
    for (number, turn) in ledger.retained_turns().iter().enumerate() {
        let id = format!("after.{number}");
        let mut continued = false;
        let mut attempt = 0;
        while !continued && (Instant::now() < until || attempt < 2) {
            attempt += 1;
            let id = format!("{id}.{attempt}");
            let program = format!("after.{number}");
            let next = NextTurn {
                program: &program,
                id: &id,
                stored: true,
                budget: 1000,
                previous: Some(turn),
                front: None,
            };
            match take_turn(caller, ledger, &next).await {
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

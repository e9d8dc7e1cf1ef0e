//! What programs and operators are answered over whole random days, and when, against golden files.

#[path = "../../../test-support/golden/transcript.rs"]
mod transcript;

use pointcross_tier_simulation::chaos;
use transcript::Transcript;

/// An answer to a program's turn, as a row of a day's timeline tells it: who answered, and what. The row's
/// text is `turn ID: STATUS` or `turn ID after PREVIOUS: STATUS`, with more behind it where the answer was
/// not whole.
fn turn_words(column: &str, text: &str) -> Option<String> {
    let (turn, answer) = text.strip_prefix("turn ")?.rsplit_once(": ")?;
    let (id, previous) = turn.split_once(" after ").unwrap_or((turn, "none"));
    let status: String = answer.chars().take_while(char::is_ascii_digit).collect();
    let end = match (status.is_empty(), status == answer) {
        (true, _) => "no answer",
        (false, true) => "whole",
        (false, false) => "cut short",
    };
    Some(format!("{column} turn {id} after {previous}: {status} {end}"))
}

/// An answer to an operator's order, whose row is `VERSION on BASE by AUTHOR: STATUS`.
fn order_words(column: &str, text: &str) -> Option<String> {
    let (order, answer) = text.rsplit_once(": ")?;
    let (version, rest) = order.split_once(" on ")?;
    let (base, author) = rest.split_once(" by ").unwrap_or((rest, "0"));
    let numbers = [version, base, author].map(|number| number.parse::<u64>().ok());
    let [Some(version), Some(base), Some(author)] = numbers else { return None };
    let status = answer.parse::<u16>().map_or("none".to_owned(), |status| status.to_string());
    Some(format!("{column} order {version} on {base} of {author}: {status}"))
}

/// Plays a day. Of its timeline only answers to turns and orders are kept, with their times.
fn play_day(seed: u64) -> Vec<String> {
    let report = chaos::play(seed);
    let mut steps = Vec::new();
    let mut rows = report.timeline.lines();
    let columns: Vec<&str> = rows.next().unwrap_or_default().split(" | ").map(str::trim).collect();
    for row in rows {
        let cells: Vec<&str> = row.split(" | ").map(str::trim).collect();
        let told = cells.iter().zip(&columns).skip(1).find(|(text, _)| !text.is_empty());
        let Some((text, column)) = told else { continue };
        if let Some(words) = turn_words(column, text).or_else(|| order_words(column, text)) {
            steps.push(format!("{:>6} {words}", cells[0]));
        }
    }
    let faults: Vec<String> = report.faults.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
    steps.push(format!(
        "operations {} served {} rules broken {} milliseconds {} faults [{}]",
        report.operations,
        report.served,
        report.violations.len(),
        report.virtual_time.as_millis(),
        faults.join(", ")
    ));
    steps
}

/// Compares a whole day with its golden file.
fn check_day(steps: &[String], file: &str) {
    let mut transcript = Transcript::new(1500);
    steps.iter().for_each(|step| transcript.step(step));
    transcript.check(file);
}

#[test]
fn a_day_of_a_small_deployment_goes_as_recorded() {
    check_day(&play_day(6), "day_6.txt");
}

/// Steps of the day of seed 5 before the first turn whose write, in `day_5.txt`, waits for that of another turn's
/// predecessor: the program that was recorded there acknowledged turns before it had the turns before them, and wrote those
/// on its own. The same program without that fetch answers the rest of the day's load as
/// `day_5_complete_chains.txt` says.
const STEPS_BEFORE_A_LATE_FETCH: usize = 82;

#[test]
fn a_day_of_more_stores_goes_as_recorded() {
    let steps = play_day(5);
    let recorded = include_str!("golden/day_5.txt").lines().take(STEPS_BEFORE_A_LATE_FETCH);
    assert_eq!(steps[..STEPS_BEFORE_A_LATE_FETCH], recorded.collect::<Vec<_>>());
    check_day(&steps, "day_5_complete_chains.txt");
}

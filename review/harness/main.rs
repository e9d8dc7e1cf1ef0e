//! Stand-ins and the platform for the scripts of this folder, with the standard library only: it starts the tier's
//! own program by the deploy file's commands on loopback addresses, plays schedulers, clients and the operator as
//! PROTOCOL.md and DEPLOY.md describe them, and checks one rule.
//!
//! Usage: harness CASE PROGRAM TEMPORARY_FOLDER RECORD; CASE is `memory`, `ring`, `chain`, or one of the further
//! faults of the report: `beat`, `retention`, `stale`.
//! Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.

mod cases;
mod client;
mod engine;
mod platform;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.len() != 5 {
        eprintln!("usage: harness CASE PROGRAM TEMPORARY_FOLDER RECORD");
        std::process::exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = cases::run(&arguments[1], &arguments[2], &arguments[3], &arguments[4], trouble);
    let _ = std::fs::remove_dir_all(&arguments[3]);
    std::process::exit(code);
}

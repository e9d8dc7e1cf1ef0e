//! Plays a rehearsal script in virtual time: the same script and seed give the same outcome.

use super::RULE_BROKEN;
use super::files::read_script;
use super::machine::peak_memory_mib;
use clap::Args;
use pointcross_experiments::report::html;
use pointcross_experiments::virtual_time::{Outcome, play};
use serde_json::json;
use std::path::PathBuf;
use std::time::Instant;

#[derive(Args)]
pub struct Run {
    /// The script (TOML)
    script: PathBuf,
    /// Seed of everything that is drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Nodes and schedulers, and so the load, as many times as in the script
    #[arg(long, default_value_t = 1)]
    size: u32,
    /// One line of JSON
    #[arg(long)]
    json: bool,
    /// Write a report, one HTML page, to this file
    #[arg(long)]
    report: Option<PathBuf>,
}

impl Run {
    pub fn run(self) -> Result<u8, String> {
        let script = read_script(&self.script)?;
        if self.size == 0 {
            return Err("--size: 0: wanted 1 or more".into());
        }
        let started = Instant::now();
        let outcome = play(&script, self.seed, self.size);
        let seconds = started.elapsed().as_secs_f64();
        if let Some(file) = &self.report {
            let page = html(&script, &outcome).map_err(|error| format!("--report: {error}"))?;
            std::fs::write(file, page).map_err(|error| format!("--report: {}: {error}", file.display()))?;
        }
        if self.json {
            let mut document = serde_json::to_value(&outcome).map_err(|error| error.to_string())?;
            // These vary from run to run of the same seed, and so are no part of the outcome.
            document["wall_s"] = json!(seconds);
            document["us_per_request"] = json!(seconds * 1e6 / outcome.requests.max(1) as f64);
            document["peak_mb"] = json!(peak_memory_mib());
            println!("{document}");
        } else {
            print(&outcome, seconds);
        }
        Ok(if outcome.rules_broken > 0 { RULE_BROKEN } else { 0 })
    }
}

fn print(outcome: &Outcome, seconds: f64) {
    let Outcome { script, seed, size, schedulers, nodes, requests, .. } = outcome;
    println!(
        "{script}, seed {seed}, size {size}: {schedulers} schedulers, {nodes} nodes, {requests} requests"
    );
    println!(
        "worth served {:.3}, {seconds:.1} s, ledger {}",
        outcome.served_worth_share, outcome.ledger_hash
    );
    for (kind, table) in [("plan", &outcome.plans), ("class", &outcome.classes)] {
        println!("{kind:<16} requests   served  refused   failed     lost   worth  p50 ms  p99 ms");
        for (name, o) in table {
            println!(
                "{name:<16} {:>8} {:>8} {:>8} {:>8} {:>8}   {:.3} {:>7.0} {:>7.0}",
                o.requests, o.served, o.refused, o.failed, o.lost, o.served_worth_share, o.p50_ms, o.p99_ms
            );
        }
    }
    if outcome.rules_broken == 0 {
        println!("rules kept");
    } else {
        println!("RULES BROKEN: {:?}", outcome.broken);
    }
}

//! The laboratory's sub-commands.

use clap::{Args, Subcommand};
use pointcross_lab::script::Script;
use pointcross_lab::virtual_time::{Outcome, play};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

#[derive(Subcommand)]
pub enum Lab {
    /// Play a rehearsal in virtual time; ends with 1 where a rule was broken
    Run(Run),
    /// Check rehearsal scripts
    Check {
        /// The scripts (TOML)
        #[arg(required = true)]
        scripts: Vec<PathBuf>,
    },
}

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
}

/// Exit codes: a rule was broken; something is wrong with what was given.
const BROKEN: u8 = 1;
const BAD: u8 = 2;

fn read(path: &Path) -> Result<Script, String> {
    let named = |text: String| {
        text.lines().map(|line| format!("{}: {line}", path.display())).collect::<Vec<_>>().join("\n")
    };
    let text = std::fs::read_to_string(path).map_err(|error| named(format!("cannot be read: {error}")))?;
    Script::parse(&text).map_err(|faults| named(faults.to_string()))
}

impl Lab {
    pub fn run(self) -> ExitCode {
        let ended = match self {
            Lab::Run(run) => run.run(),
            Lab::Check { scripts } => {
                let faults: Vec<String> = scripts.iter().filter_map(|path| read(path).err()).collect();
                if faults.is_empty() {
                    println!("no fault found");
                    Ok(0)
                } else {
                    Err(faults.join("\n"))
                }
            }
        };
        match ended {
            Ok(code) => ExitCode::from(code),
            Err(text) => {
                text.lines().for_each(|line| eprintln!("pointcross: {line}"));
                ExitCode::from(BAD)
            }
        }
    }
}

impl Run {
    fn run(self) -> Result<u8, String> {
        let script = read(&self.script)?;
        if self.size == 0 {
            return Err("--size: 0: wanted 1 or more".into());
        }
        let begun = Instant::now();
        let outcome = play(&script, self.seed, self.size);
        let seconds = begun.elapsed().as_secs_f64();
        if self.json {
            let mut told = serde_json::to_value(&outcome).map_err(|error| error.to_string())?;
            // What the machine took is no part of what is replayed.
            told["wall_s"] = json!(seconds);
            told["us_per_request"] = json!(seconds * 1e6 / outcome.requests.max(1) as f64);
            told["peak_mb"] = json!(peak_mb());
            println!("{told}");
        } else {
            print(&outcome, seconds);
        }
        Ok(if outcome.rules_broken > 0 { BROKEN } else { 0 })
    }
}

/// The most memory that this process held, in MiB, where the system tells.
fn peak_mb() -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse::<f64>().ok().map(|kib| kib / 1024.0)
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

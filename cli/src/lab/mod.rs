//! The sub-commands of `lab`: rehearsals in virtual time, clusters of real processes, measurements.
//!
//! Each returns its exit code, or what is wrong with its input; the latter ends with 2.

mod bisect_size;
mod capacity;
mod check_model;
mod compare;
mod files;
mod fleet;
mod hollow;
mod load;
mod machine;
mod run;
mod scale;
mod traffic;

use clap::Subcommand;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code of a run in which a rule was broken.
const RULE_BROKEN: u8 = 1;

/// The exit code for input that cannot be used.
const INVALID_INPUT: u8 = 2;

#[derive(Subcommand)]
pub enum Lab {
    /// Play a rehearsal in virtual time; ends with 1 where a rule was broken
    Run(run::Run),
    /// Check rehearsal scripts
    Check {
        /// The scripts (TOML)
        #[arg(required = true)]
        scripts: Vec<PathBuf>,
    },
    /// Play a script and a variant of it over the same seeds; says better, worse or undecided
    Compare(compare::Compare),
    /// Find the largest load that keeps an objective
    BisectSize(bisect_size::BisectSize),
    /// Put load on a scheduler, or on one of its own before nodes that answer at once
    Load(load::LoadTool),
    /// Start a fleet of real processes of this program before stand-in nodes, and play a scenario of faults
    Fleet(fleet::FleetRun),
    /// Walk every state of a small world of schedulers; ends with 1 where a rule does not hold
    CheckModel(check_model::CheckModel),
    /// Play a scale scenario: real schedulers beside hollow ones, before a list of any size
    Scale(scale::Scale),
    /// Run many hollow schedulers in this process, for `lab scale`
    #[command(hide = true)]
    Hollow(hollow::Hollow),
    /// Measure what clients' connections and requests cost one scheduler
    Traffic(traffic::Traffic),
    /// What the fleet needs at its target, from the measured slopes, beside the budgets
    Capacity(capacity::Capacity),
}

impl Lab {
    pub fn run(self) -> ExitCode {
        let result = match self {
            Lab::Run(run) => run.run(),
            Lab::Check { scripts } => check_scripts(&scripts),
            Lab::Compare(compare) => compare.run(),
            Lab::BisectSize(bisect) => bisect.run(),
            Lab::Load(load) => load.run(),
            Lab::Fleet(fleet) => fleet.run(),
            Lab::CheckModel(check) => check.run(),
            Lab::Scale(scale) => scale.run(),
            Lab::Hollow(hollow) => hollow.run(),
            Lab::Traffic(traffic) => traffic.run(),
            Lab::Capacity(capacity) => capacity.run(),
        };
        match result {
            Ok(code) => ExitCode::from(code),
            Err(text) => {
                text.lines().for_each(|line| eprintln!("pointcross: {line}"));
                ExitCode::from(INVALID_INPUT)
            }
        }
    }
}

fn check_scripts(scripts: &[PathBuf]) -> Result<u8, String> {
    let faults: Vec<String> = scripts.iter().filter_map(|path| files::read_script(path).err()).collect();
    if !faults.is_empty() {
        return Err(faults.join("\n"));
    }
    println!("no fault found");
    Ok(0)
}

//! Plays a script and a variant of it over the same seeds and compares the outcomes seed by seed.

use super::RULE_BROKEN;
use super::files::{read_text, with_path};
use super::machine::threads;
use clap::Args;
use pointcross_experiments::experiment::{experiment, variant};
use pointcross_experiments::script::Script;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct Compare {
    /// The script (TOML)
    script: PathBuf,
    /// What the variant sets anew, such as `site.load=0.8`; may be given several times
    #[arg(long = "set", required = true)]
    changes: Vec<String>,
    /// How many seeds, from 1 on
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Size of both
    #[arg(long, default_value_t = 1)]
    size: u32,
    /// One line of JSON
    #[arg(long)]
    json: bool,
}

impl Compare {
    pub fn run(self) -> Result<u8, String> {
        let text = read_text(&self.script)?;
        let base = Script::parse(&text).map_err(|faults| with_path(&self.script, &faults))?;
        let other = variant(&text, &self.changes).map_err(|faults| with_path(Path::new("--set"), &faults))?;
        let seeds: Vec<u64> = (1..=self.seeds).collect();
        let comparison = experiment(&base, &other, &seeds, self.size.max(1), threads());
        if self.json {
            println!("{}", serde_json::to_string(&comparison).map_err(|error| error.to_string())?);
        } else {
            println!("{}, {} seeds, with {}", base.name, seeds.len(), self.changes.join(" "));
            println!("worth served       base  variant  difference  95% interval        verdict");
            for (plan, compared) in &comparison.served_worth_share {
                let (low, high) = compared.interval;
                let verdict = format!("{:?}", compared.verdict).to_lowercase();
                println!(
                    "{plan:<16} {:>6.3}   {:>6.3}     {:>+7.4}  {low:>+7.4} to {high:>+7.4}  {verdict}",
                    compared.base, compared.variant, compared.difference
                );
            }
            println!("rules broken: {} and {}", comparison.rules_broken.0, comparison.rules_broken.1);
        }
        Ok(if comparison.rules_broken.1 > 0 { RULE_BROKEN } else { 0 })
    }
}

//! Finds the largest load at which a share of the value is still served, by bisection.

use super::files::read_script;
use super::machine::threads;
use clap::Args;
use pointcross_experiments::experiment::bisect;
use std::path::PathBuf;

#[derive(Args)]
pub struct BisectSize {
    /// The script (TOML)
    script: PathBuf,
    /// The part of the worth that must be served, in the mean over the seeds
    #[arg(long, default_value_t = 0.9)]
    objective: f64,
    /// How many seeds, from 1 on
    #[arg(long, default_value_t = 8)]
    seeds: u64,
    /// The largest load that is tried, as a part of the capacity
    #[arg(long = "most", value_name = "MOST", default_value_t = 2.0)]
    max_load: f64,
    /// Halvings
    #[arg(long, default_value_t = 7)]
    halvings: u32,
    /// One line of JSON
    #[arg(long)]
    json: bool,
}

impl BisectSize {
    pub fn run(self) -> Result<u8, String> {
        let script = read_script(&self.script)?;
        let seeds: Vec<u64> = (1..=self.seeds).collect();
        let found = bisect(&script, &seeds, self.objective, self.max_load, self.halvings, threads());
        if self.json {
            println!("{}", serde_json::to_string(&found).map_err(|error| error.to_string())?);
        } else {
            for (load, share) in &found.tried {
                println!("load {load:.3}: worth served {share:.3}");
            }
            println!(
                "keeps {} up to a load of {:.3}, not at {:.3}",
                self.objective, found.load, found.fails_at
            );
        }
        Ok(0)
    }
}

//! Scale runs: real schedulers beside many simulated ones that run the control code alone.

use super::RULE_BROKEN;
use clap::Args;
use pointcross_cluster_harness::scale::{ScaleScenario, ScaleSettings, rehearse};
use std::path::PathBuf;
use tokio::signal::unix::{SignalKind, signal};

#[derive(Args)]
pub struct Scale {
    /// The scenario (TOML, `kind = "scale"`)
    scenario: PathBuf,
    /// Schedulers that are processes of their own
    #[arg(long, default_value_t = 8)]
    real: usize,
    /// Schedulers of which many share a process: the control code alone
    #[arg(long, default_value_t = 0)]
    hollow: usize,
    /// Hollow schedulers a process at the most
    #[arg(long, default_value_t = 150)]
    per_process: usize,
    /// Listed storage nodes
    #[arg(long, default_value_t = 100)]
    nodes: usize,
    /// Seed of the changes, the picks and the load
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Changes of the list a second, in place of the scenario's
    #[arg(long)]
    change_rate: Option<f64>,
    /// Changes of the configuration a second, in place of the scenario's
    #[arg(long)]
    configuration_rate: Option<f64>,
    /// Seconds of the day, in place of the scenario's
    #[arg(long)]
    seconds: Option<f64>,
    /// Carry no configuration: no sources, and no `[configuration]` in the operator's file
    #[arg(long)]
    off: bool,
    /// Where the processes' folders and logs go; a fresh one under the system's temporary folder, removed after a
    /// run that kept the rules, if left out
    #[arg(long)]
    folder: Option<PathBuf>,
    /// One line of JSON
    #[arg(long)]
    json: bool,
}

impl Scale {
    #[tokio::main(flavor = "multi_thread", worker_threads = 4)]
    pub async fn run(self) -> Result<u8, String> {
        let named = |error: &dyn std::fmt::Display| format!("{}: {error}", self.scenario.display());
        let text = std::fs::read_to_string(&self.scenario).map_err(|error| named(&error))?;
        let mut scenario = ScaleScenario::parse(&text).map_err(|error| named(&error))?;
        scenario.change_rate = self.change_rate.unwrap_or(scenario.change_rate);
        scenario.configuration_rate = self.configuration_rate.unwrap_or(scenario.configuration_rate);
        scenario.seconds = self.seconds.unwrap_or(scenario.seconds);
        scenario.check().map_err(|error| error.to_string())?;
        let name = self.scenario.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let fresh = std::env::temp_dir().join(format!("pointcross-scale-{}", std::process::id()));
        let settings = ScaleSettings {
            program: std::env::current_exe().map_err(|error| error.to_string())?,
            folder: self.folder.clone().unwrap_or_else(|| fresh.clone()),
            scenario: name,
            real: self.real,
            hollow: self.hollow,
            per_process: self.per_process,
            nodes: self.nodes,
            configuration: !self.off,
            seed: self.seed,
        };
        // A signal ends the run, and with it every process that it started.
        let mut terminated = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
        let mut interrupted = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
        let result = tokio::select! {
            result = rehearse(&scenario, &settings) => result.map_err(|error| error.to_string())?,
            _ = terminated.recv() => return Err("ended by SIGTERM".into()),
            _ = interrupted.recv() => return Err("ended by SIGINT".into()),
        };
        let document = serde_json::to_value(&result).map_err(|error| error.to_string())?;
        if self.json {
            println!("{document}");
        } else {
            for (key, value) in document.as_object().into_iter().flatten() {
                println!("{key:>28}  {value}");
            }
        }
        if !result.rules_hold() {
            return Ok(RULE_BROKEN);
        }
        if self.folder.is_none() {
            let _ = std::fs::remove_dir_all(&fresh);
        }
        Ok(0)
    }
}

//! Checks configuration without serving: the scheduler's, as `serve` would read it, or a client's file.

use clap::Args;
use pointcross::config::{Config, OPERATOR_FILE};
use pointcross_client::ClientConfig;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Args)]
pub struct Check {
    /// The platform's JSON, where not the one that RELAY_CONFIG names
    #[arg(long)]
    config: Option<PathBuf>,
    /// The operator's file, where not the one that POINTCROSS_OPERATOR names
    #[arg(long)]
    operator: Option<PathBuf>,
    /// Check this file of the client library instead
    #[arg(long, conflicts_with_all = ["config", "operator"])]
    client: Option<PathBuf>,
}

/// The exit code for a configuration with a fault.
const INVALID_INPUT: u8 = 2;

impl Check {
    pub fn run(self) -> ExitCode {
        let faults = match &self.client {
            Some(file) => client(file),
            None => self.scheduler(),
        };
        match faults {
            None => {
                println!("no fault found");
                ExitCode::SUCCESS
            }
            Some(faults) => {
                faults.lines().for_each(|line| println!("{line}"));
                ExitCode::from(INVALID_INPUT)
            }
        }
    }

    fn scheduler(&self) -> Option<String> {
        let given = |file: &Option<PathBuf>| file.as_ref().map(|file| file.to_string_lossy().into_owned());
        let variable = |key: &str| match key {
            "RELAY_CONFIG" => given(&self.config).or_else(|| std::env::var(key).ok()),
            OPERATOR_FILE => given(&self.operator).or_else(|| std::env::var(key).ok()),
            key => std::env::var(key).ok(),
        };
        Config::from_variables(variable).err().map(|faults| faults.to_string())
    }
}

fn client(file: &Path) -> Option<String> {
    match std::fs::read_to_string(file) {
        Ok(text) => ClientConfig::from_toml(&text).err().map(|faults| faults.to_string()),
        Err(error) => Some(format!("--client: cannot read {}: {error}", file.display())),
    }
}

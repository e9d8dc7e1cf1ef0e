//! The configuration that is carried to every scheduler: its source, and what is in force where.

use clap::Subcommand;
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum Configuration {
    /// Serve a configuration to schedulers that ask for it
    Serve,
}

impl Configuration {
    pub fn run(self) -> ExitCode {
        eprintln!("pointcross: not built yet");
        ExitCode::from(2)
    }
}

//! The program: `serve` (also without a sub-command), and the sub-commands beside it.

mod call;
mod check;
mod configuration;
mod lab;
mod log;
mod maintenance;
mod nodes;
mod serve;

use clap::{CommandFactory, Parser, Subcommand};
use std::process::ExitCode;

/// A scheduler between the clients of a records archive and its storage nodes.
#[derive(Parser)]
#[command(name = "pointcross", version, about)]
struct Arguments {
    #[command(flatten)]
    log: log::Log,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until told to stop; what is done without a sub-command. Configured by the environment
    Serve,
    /// Check configuration files; tells every fault with its key and ends with 2 where there is one
    CheckConfig(check::Check),
    /// Read or write one piece of data through the client library
    Call(call::Call),
    /// Print a saved node list, with its age and what is wrong with the file
    Nodes(nodes::Nodes),
    /// Rehearse incidents in the laboratory
    #[command(subcommand)]
    Lab(lab::Lab),
    /// Take machines out for work, in an order that the schedulers settle among themselves
    #[command(subcommand)]
    Maintenance(maintenance::Maintenance),
    /// Carry a configuration to every scheduler, and tell which version is in force where
    #[command(subcommand)]
    Configuration(configuration::Configuration),
    /// Print a shell's completions
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let source =
        |command: &Command| matches!(command, Command::Configuration(configuration::Configuration::Serve(_)));
    let serves = matches!(arguments.command, None | Some(Command::Serve))
        || arguments.command.as_ref().is_some_and(source);
    if let Err(error) = arguments.log.start(serves) {
        eprintln!("pointcross: --log-filter: {error}");
        return ExitCode::from(2);
    }
    match arguments.command.unwrap_or(Command::Serve) {
        Command::Serve => serve::run(),
        Command::CheckConfig(check) => check.run(),
        Command::Call(call) => call.run(),
        Command::Nodes(nodes) => nodes.run(),
        Command::Lab(lab) => lab.run(),
        Command::Maintenance(maintenance) => maintenance.run(),
        Command::Configuration(configuration) => configuration.run(),
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "pointcross", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}

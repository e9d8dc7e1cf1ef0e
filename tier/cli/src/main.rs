//! The program `pointcross-tier`: one process of the serving tier, by role, and the operator's commands.

mod arguments;
mod operator;

use arguments::{Command, Role, USAGE};
use log::{LevelFilter, error};
use pointcross_tier_protocol::Settings;
use pointcross_tier_protocol::settings::SettingsError;
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::process::{self, Stop};
use pointcross_tier_runtime::role::RoleError;
use snafu::{ResultExt, Snafu};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for a command line or settings that can't be used.
const EXIT_USAGE: u8 = 2;
/// Exit code for a process that could not serve, or a request that was not carried out.
const EXIT_FAILURE: u8 = 1;

#[derive(Debug, Snafu)]
enum CommandError {
    #[snafu(display("{text}\n\n{USAGE}"))]
    Usage { text: String },
    #[snafu(display("{source}"))]
    Settings { source: SettingsError },
    #[snafu(display("{source}"))]
    Operator { source: operator::OperatorError },
    #[snafu(display("the runtime can't start: {source}"))]
    Runtime { source: std::io::Error },
    #[snafu(display("proxy: {source}"))]
    Proxy { source: RoleError },
    #[snafu(display("agent: {source}"))]
    Agent { source: RoleError },
    #[snafu(display("control: {source}"))]
    Control { source: RoleError },
    #[snafu(display("store: {source}"))]
    Store { source: RoleError },
}

fn serve(role: Role, name: &str, file: Option<PathBuf>, level: LevelFilter) -> Result<(), CommandError> {
    let settings = match file {
        Some(file) => Settings::from_file(&file),
        None => Settings::from_environment(),
    };
    let settings = settings.context(SettingsSnafu)?;
    if role == Role::Check {
        return Ok(());
    }
    pointcross_tier_runtime::log::start(&settings.node, name, level);
    process::allow_connections(settings.limits.max_fds);
    let served = process::run(async {
        let environment = Environment::system();
        let stop = Box::pin(process::stop_requested());
        match role {
            Role::Proxy => pointcross_tier_proxy::run(settings, environment, stop).await.context(ProxySnafu),
            Role::ProxyWithAgent => serve_with_agent(settings, environment, stop).await,
            Role::Agent => pointcross_tier_agent::run(settings, environment, stop).await.context(AgentSnafu),
            Role::Control => {
                pointcross_tier_control::run(settings, environment, stop).await.context(ControlSnafu)
            }
            Role::Store => pointcross_tier_store::run(settings, environment, stop).await.context(StoreSnafu),
            Role::Check => Ok(()),
        }
    });
    served.context(RuntimeSnafu)?
}

/// Serves clients with the proxy's agent in the same process; the agent feeds over loopback as it does from a process
/// of its own. A machine with a small part of a core has only one process to start.
async fn serve_with_agent(
    settings: Settings,
    environment: Environment,
    stop: Stop,
) -> Result<(), CommandError> {
    let agent_stop = Box::pin(process::stop_requested());
    let agent = pointcross_tier_agent::run(settings.clone(), environment.clone(), agent_stop);
    let agent_error = async {
        match agent.await {
            Ok(()) => std::future::pending().await,
            Err(error) => error,
        }
    };
    tokio::select! {
        biased;
        error = agent_error => Err(error).context(AgentSnafu),
        served = pointcross_tier_proxy::run(settings, environment, stop) => served.context(ProxySnafu),
    }
}

fn run() -> Result<(), CommandError> {
    let given: Vec<String> = std::env::args().skip(1).collect();
    let output = match arguments::parse(&given).map_err(|text| CommandError::Usage { text })? {
        Command::Serve { role, name, settings, level } => return serve(role, &name, settings, level),
        Command::Help => Ok(USAGE.to_owned()),
        Command::CheckConfiguration(file) => operator::check(&file),
        Command::RequestControl { control, request } => operator::request_control(&control, &request),
        Command::Inspect(folder) => operator::inspect(&folder),
    };
    println!("{}", output.context(OperatorSnafu)?);
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ (CommandError::Usage { .. } | CommandError::Settings { .. })) => {
            eprintln!("pointcross-tier: {error}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(error @ CommandError::Operator { .. }) => {
            eprintln!("pointcross-tier: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
        Err(error) => {
            error!("{error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

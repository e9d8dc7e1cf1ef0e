//! The program `pointcross-tier`: one process of the serving tier, by role.

use getopts::Options;
use log::{LevelFilter, error};
use pointcross_tier_protocol::Settings;
use pointcross_tier_protocol::settings::SettingsFault;
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::process;
use snafu::{ResultExt, Snafu};
use std::path::Path;
use std::process::ExitCode;

/// Exit code for a command line or settings that can't be used.
const EXIT_USAGE: u8 = 2;
/// Exit code for a process that could not serve.
const EXIT_FAULT: u8 = 1;

const USAGE: &str = "Usage: pointcross-tier ROLE [--settings FILE] [--log LEVEL]

Roles:
  proxy     serves clients
  agent     follows the control plane and feeds the proxy on the same machine
  control   a member of the control plane
  store     keeps turns and budgets
  check     checks the settings file and ends";

#[derive(Debug, Snafu)]
enum Fault {
    #[snafu(display("{text}\n\n{USAGE}"))]
    Usage { text: String },
    #[snafu(display("{source}"))]
    Settings { source: SettingsFault },
    #[snafu(display("the runtime can't start: {source}"))]
    Runtime { source: std::io::Error },
    #[snafu(display("proxy: {source}"))]
    Proxy { source: pointcross_tier_proxy::ProxyFault },
    #[snafu(display("agent: {source}"))]
    Agent { source: pointcross_tier_agent::AgentFault },
    #[snafu(display("control: {source}"))]
    Control { source: pointcross_tier_control::ControlFault },
    #[snafu(display("store: {source}"))]
    Store { source: pointcross_tier_store::StoreFault },
}

enum Role {
    Proxy,
    Agent,
    Control,
    Store,
    Check,
}

impl Role {
    fn parse(name: &str) -> Option<Self> {
        match name {
            "proxy" => Some(Role::Proxy),
            "agent" => Some(Role::Agent),
            "control" => Some(Role::Control),
            "store" => Some(Role::Store),
            "check" => Some(Role::Check),
            _ => None,
        }
    }
}

struct Arguments {
    role: Role,
    role_name: String,
    settings: Settings,
    level: LevelFilter,
}

fn arguments() -> Result<Option<Arguments>, Fault> {
    let mut options = Options::new();
    options.optopt("", "settings", "settings file, in place of the one the environment names", "FILE");
    options.optopt("", "log", "error, warn, info, debug or trace", "LEVEL");
    options.optflag("h", "help", "prints this");
    let given: Vec<String> = std::env::args().skip(1).collect();
    let matches = options.parse(given).map_err(|fault| Fault::Usage { text: fault.to_string() })?;
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return Ok(None);
    }
    let [role_name] = matches.free.as_slice() else {
        return UsageSnafu { text: "one role has to be named" }.fail();
    };
    let role =
        Role::parse(role_name).ok_or_else(|| Fault::Usage { text: format!("{role_name} is no role") })?;
    let level = match matches.opt_str("log") {
        Some(level) => {
            level.parse().map_err(|_| Fault::Usage { text: format!("--log: {level} is no level") })?
        }
        None => LevelFilter::Info,
    };
    let settings = match matches.opt_str("settings") {
        Some(file) => Settings::from_file(Path::new(&file)),
        None => Settings::from_environment(),
    };
    let settings = settings.context(SettingsSnafu)?;
    Ok(Some(Arguments { role, role_name: role_name.clone(), settings, level }))
}

fn run() -> Result<(), Fault> {
    let Some(Arguments { role, role_name, settings, level }) = arguments()? else {
        return Ok(());
    };
    pointcross_tier_runtime::log::start(&settings.node, &role_name, level);
    process::allow_connections(settings.limits.max_fds);
    let served = process::run(async {
        let environment = Environment::system();
        let stop = Box::pin(process::told_to_stop());
        match role {
            Role::Proxy => pointcross_tier_proxy::run(settings, environment, stop).await.context(ProxySnafu),
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

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault @ (Fault::Usage { .. } | Fault::Settings { .. })) => {
            eprintln!("pointcross-tier: {fault}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(fault) => {
            error!("{fault}");
            ExitCode::from(EXIT_FAULT)
        }
    }
}

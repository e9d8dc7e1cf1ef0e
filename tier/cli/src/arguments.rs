//! The command line.

use getopts::{Matches, Options};
use log::LevelFilter;
use std::path::PathBuf;

/// The help text.
pub const USAGE: &str =
    "Usage: pointcross-tier COMMAND [--settings FILE] [--log LEVEL] [--with-agent] [--control ADDRESS] [--base VERSION]

Roles, started by the platform:
  proxy                 serves clients; --with-agent: runs its agent in the same process
  agent                 follows the control plane and feeds the proxy on the same machine
  control               a member of the control plane
  store                 keeps turns and budgets

For operators:
  check                 checks the settings file and ends
  config check FILE     checks a configuration
  config get            prints the newest configuration
  config apply FILE     puts a configuration in force that builds on --base
  retire start NODE     begins to empty a store
  retire status NODE    tells how far that is
  inspect FOLDER        tells what a data folder holds";

/// A role that serves until SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Serves clients.
    Proxy,
    /// Serves clients, with its agent in the same process.
    ProxyWithAgent,
    /// Feeds a proxy.
    Agent,
    /// A member of the control plane.
    Control,
    /// Keeps turns and budgets.
    Store,
    /// Only checks its settings.
    Check,
}

/// An operator's request to the control plane.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlRequest {
    /// The newest configuration.
    Get,
    /// Put this file's configuration in force.
    Apply {
        /// The file.
        file: PathBuf,
        /// The version that it builds on.
        base: u64,
    },
    /// Start to retire a store.
    StartRetire(String),
    /// The progress of a retirement.
    RetireStatus(String),
}

/// A complete command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Serve.
    Serve {
        /// As what.
        role: Role,
        /// The role as it was written.
        name: String,
        /// The settings file, where not the one that the environment names.
        settings: Option<PathBuf>,
        /// The least urgent lines that are logged.
        level: LevelFilter,
    },
    /// Check a configuration.
    CheckConfiguration(PathBuf),
    /// Send a request to a control member.
    RequestControl {
        /// Its address.
        control: String,
        /// The request.
        request: ControlRequest,
    },
    /// Describe a data folder.
    Inspect(PathBuf),
    /// Print the help text.
    Help,
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "settings", "settings file, in place of the one the environment names", "FILE");
    options.optopt("", "log", "error, warn, info, debug or trace", "LEVEL");
    options.optflag("", "with-agent", "run the proxy's agent in the proxy's process");
    options.optopt("", "control", "address of a control member", "ADDRESS");
    options.optopt("", "base", "the version that a configuration builds on", "VERSION");
    options.optflag("h", "help", "prints this");
    options
}

/// Parses a command line, without the program's name.
///
/// # Errors
/// A text that names the word or option and says what is wanted.
pub fn parse(given: &[String]) -> Result<Command, String> {
    let matches = options().parse(given).map_err(|error| error.to_string())?;
    if matches.opt_present("help") {
        return Ok(Command::Help);
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["proxy"] if matches.opt_present("with-agent") => serve(&matches, Role::ProxyWithAgent),
        _ if matches.opt_present("with-agent") => Err("--with-agent goes with proxy only".to_owned()),
        ["proxy"] => serve(&matches, Role::Proxy),
        ["agent"] => serve(&matches, Role::Agent),
        ["control"] => serve(&matches, Role::Control),
        ["store"] => serve(&matches, Role::Store),
        ["check"] => serve(&matches, Role::Check),
        ["config", "check", file] => Ok(Command::CheckConfiguration(file.into())),
        ["config", "get"] => request_control(&matches, ControlRequest::Get),
        ["config", "apply", file] => {
            let base = matches
                .opt_str("base")
                .ok_or("config apply needs --base: the current version, 0 at first")?;
            let base = base.parse().map_err(|_| format!("--base: {base} is no version"))?;
            request_control(&matches, ControlRequest::Apply { file: file.into(), base })
        }
        ["retire", "start", node] => {
            request_control(&matches, ControlRequest::StartRetire((*node).to_owned()))
        }
        ["retire", "status", node] => {
            request_control(&matches, ControlRequest::RetireStatus((*node).to_owned()))
        }
        ["inspect", folder] => Ok(Command::Inspect(folder.into())),
        [] => Err("a command has to be named".to_owned()),
        words => Err(format!("{} is no command", words.join(" "))),
    }
}

fn serve(matches: &Matches, role: Role) -> Result<Command, String> {
    let level = match matches.opt_str("log") {
        Some(level) => level.parse().map_err(|_| format!("--log: {level} is no level"))?,
        None => LevelFilter::Info,
    };
    let settings = matches.opt_str("settings").map(PathBuf::from);
    let name = matches.free.first().cloned().unwrap_or_default();
    Ok(Command::Serve { role, name, settings, level })
}

fn request_control(matches: &Matches, request: ControlRequest) -> Result<Command, String> {
    let control = matches.opt_str("control").ok_or("--control: the address of a control member is needed")?;
    Ok(Command::RequestControl { control, request })
}

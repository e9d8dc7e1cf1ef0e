//! The admin API's decisions, without sockets: which call a request is, what is wrong with it, and the
//! counters' text.
//!
//! Guards against an API that acts on a malformed call: a request is a call only where its path, method and
//! body all fit.

use pointcross_config_distribution::Status;
use pointcross_coordination::maintenance::decide::Machine;
use std::fmt::Write;

/// The prefix of all calls' paths.
const PREFIX: &str = "/control/";
/// The longest storage node id taken: discovery's ids are far shorter, and a longer one is a mistake.
const MAX_ID: usize = 128;

/// A call of the admin API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// `GET /control/ready`: whether this process takes clients.
    Ready,
    /// `GET /control/counters`: the figures.
    Counters,
    /// `PUT /control/storage-nodes/ID/offline`: nothing more to this node.
    Offline(String),
    /// `PUT /control/storage-nodes/ID/online`: the node may serve again.
    Online(String),
    /// `PUT /control/out-of-service`: send clients away.
    OutOfService,
    /// `PUT /control/in-service`: take clients again.
    InService,
    /// `GET /control/maintenance`: the plan that the schedulers hold together.
    Plan,
    /// `PUT /control/maintenance/storage-nodes/ID/out` or `.../schedulers/NAME/out`: have it taken out in its
    /// turn.
    Ask(Machine),
    /// The same with `done`: its work is done.
    Done(Machine),
    /// `GET /control/configuration`: what is in force of the fleet's configuration.
    Configuration,
}

/// Why a request is no call of the API, with the status it is answered with.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// No call has this path.
    #[error("path {0:?}: no such call; the calls are under /control/")]
    Path(String),
    /// The path is a call's, the method is not.
    #[error("method {method}: {path} takes {wanted}")]
    Method {
        /// What came.
        method: String,
        /// The path.
        path: String,
        /// What the call takes.
        wanted: &'static str,
    },
    /// The storage node id is empty, too long or has characters no id has.
    #[error("id {0:?}: wanted 1 to 128 letters, digits or . _ - :")]
    Id(String),
    /// A body came with a call that takes none.
    #[error("body: the door's calls take none")]
    Body,
}

impl RequestError {
    /// The status it is answered with.
    pub fn status(&self) -> u16 {
        match self {
            RequestError::Path(_) => 404,
            RequestError::Method { .. } => 405,
            RequestError::Id(_) | RequestError::Body => 400,
        }
    }
}

/// Reads a request's method and path (without its query) as a call. `body` tells whether one came.
///
/// # Errors
/// The status and text for a path that is not known, a method that does not go with it, or a body that is not
/// wanted.
pub fn route(method: &str, path: &str, body: bool) -> Result<Call, RequestError> {
    let rest = path.strip_prefix(PREFIX).ok_or_else(|| RequestError::Path(path.to_owned()))?;
    let (call, wanted) = match rest.split('/').collect::<Vec<_>>().as_slice() {
        ["ready"] => (Call::Ready, "GET"),
        ["counters"] => (Call::Counters, "GET"),
        ["out-of-service"] => (Call::OutOfService, "PUT"),
        ["in-service"] => (Call::InService, "PUT"),
        ["storage-nodes", id, turn @ ("offline" | "online")] => {
            let id = checked_id(id)?;
            (if *turn == "offline" { Call::Offline(id) } else { Call::Online(id) }, "PUT")
        }
        ["maintenance"] => (Call::Plan, "GET"),
        ["configuration"] => (Call::Configuration, "GET"),
        ["maintenance", kind @ ("storage-nodes" | "schedulers"), id, turn @ ("out" | "done")] => {
            let id = checked_id(id)?;
            let machine = if *kind == "schedulers" { Machine::Scheduler(id) } else { Machine::Node(id) };
            (if *turn == "out" { Call::Ask(machine) } else { Call::Done(machine) }, "PUT")
        }
        _ => return Err(RequestError::Path(path.to_owned())),
    };
    if method != wanted {
        return Err(RequestError::Method { method: method.to_owned(), path: path.to_owned(), wanted });
    }
    if body {
        return Err(RequestError::Body);
    }
    Ok(call)
}

/// What is in force of the fleet's configuration, as one line of JSON.
pub fn configuration(status: &Status) -> String {
    let refused = status.refused.as_ref();
    let refused = refused.map(|(version, error)| serde_json::json!({"version": version, "error": error}));
    let source = status.source.map(|source| source.to_string());
    let (version, unreachable) = (status.version, status.unreachable);
    let line = serde_json::json!(
        {"version": version, "source": source, "unreachable": unreachable, "refused": refused}
    );
    format!("{line}\n")
}

fn checked_id(id: &str) -> Result<String, RequestError> {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | ':');
    if id.is_empty() || id.len() > MAX_ID || !id.chars().all(fits) {
        return Err(RequestError::Id(id.to_owned()));
    }
    Ok(id.to_owned())
}

/// One class's figures, by the class's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassFigures {
    /// The class's name as the settings give it.
    pub name: String,
    /// Served.
    pub success: u64,
    /// Refused.
    pub busy: u64,
    /// Failed.
    pub failure: u64,
}

/// All the figures at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Figures {
    /// By class.
    pub classes: Vec<ClassFigures>,
    /// Attempts written to storage nodes.
    pub backend_calls: u64,
    /// Requests taken and not ended.
    pub inflight: u64,
    /// Storage nodes in the list.
    pub hosts_listed: u64,
    /// Listed storage nodes that take nothing new now.
    pub hosts_down: u64,
}

/// The counters' text: one `app_NAME{tier="CLASS"} VALUE` or `app_NAME VALUE` a line.
pub fn counters(figures: &Figures) -> String {
    let mut text = String::new();
    for class in &figures.classes {
        // A class name with a quote or backslash would end the label early.
        let tier = class.name.replace('\\', "\\\\").replace('"', "\\\"");
        for (name, value) in [("success", class.success), ("busy", class.busy), ("failure", class.failure)] {
            let _ = writeln!(text, "app_{name}{{tier=\"{tier}\"}} {value}");
        }
    }
    let plain = [
        ("backend_calls", figures.backend_calls),
        ("inflight", figures.inflight),
        ("hosts_listed", figures.hosts_listed),
        ("hosts_down", figures.hosts_down),
    ];
    for (name, value) in plain {
        let _ = writeln!(text, "app_{name} {value}");
    }
    text
}

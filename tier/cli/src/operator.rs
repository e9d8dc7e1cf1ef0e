//! The operator's commands: requests to a control member, and checks of files.

use crate::arguments::ControlRequest;
use pointcross_tier_protocol::{Configuration, ConfigurationError};
use pointcross_tier_storage::RingError;
use snafu::{ResultExt, Snafu};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long a control member may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Why an operator's command was not carried out.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// A file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// A configuration is invalid.
    #[snafu(display("{}: {source}", path.display()))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Route and key.
        source: ConfigurationError,
    },
    /// A data folder can't be read.
    #[snafu(display("{source}"))]
    Folder {
        /// File and reason.
        source: RingError,
    },
    /// No answer: the request may or may not be carried out.
    #[snafu(display("{control}: {source}; send the same again, to any control member"))]
    NoAnswer {
        /// The member.
        control: String,
        /// What happened.
        source: Box<ureq::Error>,
    },
    /// The member rejected the request.
    #[snafu(display("{control}: {status}: {text}"))]
    Rejected {
        /// The member.
        control: String,
        /// Its status.
        status: u16,
        /// What it says.
        text: String,
    },
}

/// Checks a configuration file and returns a summary of it.
///
/// # Errors
/// A file that can't be read, or the first key that is invalid.
pub fn check(path: &Path) -> Result<String, OperatorError> {
    let body = std::fs::read(path).context(UnreadableSnafu { path })?;
    let configuration = Configuration::parse(&body).context(InvalidSnafu { path })?;
    let (routes, services) = (configuration.routes.len(), configuration.services.len());
    Ok(format!("version {}: {routes} routes, {services} services", configuration.version))
}

/// Describes the files of a data folder, a line each, without changing them.
///
/// # Errors
/// A folder or file that can't be read.
pub fn inspect(folder: &Path) -> Result<String, OperatorError> {
    let reports = pointcross_tier_storage::inspect(folder).context(FolderSnafu)?;
    let line = |report: &pointcross_tier_storage::FileReport| {
        let generation =
            report.generation.map_or("unused".to_owned(), |number| format!("generation {number}"));
        let rest = if report.has_trailing_bytes { ", then bytes of no whole record" } else { "" };
        format!(
            "{}: {generation}, {} records, whole up to {} of {}{rest}",
            report.path.display(),
            report.records,
            report.end,
            report.length
        )
    };
    Ok(reports.iter().map(line).collect::<Vec<_>>().join("\n"))
}

/// Sends a request to a control member and returns its answer.
///
/// # Errors
/// A file that can't be read or is invalid, no answer within [`ANSWER_TIMEOUT`], or the member's rejection.
pub fn request_control(control: &str, request: &ControlRequest) -> Result<String, OperatorError> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(ANSWER_TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into();
    let url = |path: &str| format!("http://{control}/pointcross/{path}");
    let sent = match request {
        ControlRequest::Get => agent.get(url("Configuration.Get")).call(),
        ControlRequest::Apply { file, base } => {
            let body = std::fs::read(file).context(UnreadableSnafu { path: file })?;
            Configuration::parse(&body).context(InvalidSnafu { path: file })?;
            let request = agent.post(url("Configuration.Replace")).header("X-Base-Version", base.to_string());
            request.header("Content-Type", "application/json").send(&body)
        }
        ControlRequest::StartRetire(node) => agent.post(url(&format!("Retire.Start/{node}"))).send("{}"),
        ControlRequest::RetireStatus(node) => agent.get(url(&format!("Retire.Get/{node}"))).call(),
    };
    let no_answer = |error| OperatorError::NoAnswer { control: control.to_owned(), source: Box::new(error) };
    let mut response = sent.map_err(no_answer)?;
    let text = response.body_mut().read_to_string().map_err(no_answer)?;
    let status = response.status().as_u16();
    if status != 200 {
        return RejectedSnafu { control, status, text }.fail();
    }
    Ok(text)
}

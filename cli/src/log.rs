//! The log: one line an event on standard error, as text or JSON. Lines of one request carry its id, which
//! the front end sets as a span around everything that serves the request.

use clap::{Args, ValueEnum};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::filter::ParseError;

#[derive(Clone, Copy, ValueEnum)]
enum Format {
    Text,
    Json,
}

#[derive(Args)]
pub struct Log {
    /// How log lines are written to standard error
    #[arg(long, global = true, value_enum, default_value = "text", env = "POINTCROSS_LOG_FORMAT")]
    log_format: Format,
    /// What is logged, such as `info` or `warn,pointcross::store=debug`; `info` where it serves, else `error`
    #[arg(long, global = true, env = "POINTCROSS_LOG_FILTER")]
    log_filter: Option<String>,
}

impl Log {
    /// Starts to log; fails where the filter cannot be read.
    pub fn start(&self, serves: bool) -> Result<(), ParseError> {
        let default_filter = if serves { "info" } else { "error" };
        let filter: EnvFilter = self.log_filter.as_deref().unwrap_or(default_filter).parse()?;
        let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
        match self.log_format {
            Format::Text => log.with_ansi(false).init(),
            Format::Json => log.json().flatten_event(true).with_span_list(false).init(),
        }
        Ok(())
    }
}

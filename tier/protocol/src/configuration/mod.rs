//! The operator's configuration (JSON): routes, services and limits.
//!
//! Guarantees that only a configuration that passes all checks is committed: [`Configuration::parse`] rejects
//! one whose values are out of range, whose routes name unknown services, or which has two routes or services
//! of one name. The error names the route or service, the key, what was found and what is wanted.

mod checks;
mod error;

pub use error::ConfigurationError;
use serde::Deserialize;
use validator::Validate;

/// A configuration of the tier.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct Configuration {
    /// Its version; at least 1, and above the version that it replaces.
    #[validate(range(min = 1))]
    pub version: u64,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: Vec<Service>,
    /// What clients may send.
    #[serde(default)]
    pub limits: ClientLimits,
}

/// How often a server may execute a request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RouteType {
    /// More than once: the tier retries and hedges freely.
    Idempotent,
    /// At most once for each attempt of a client: retried only where it certainly was not executed.
    NonIdempotent,
    /// A stream of events; executed at most once, unless the route is resumable and its turns are not
    /// stored.
    Streaming,
}

/// Where the requests of one host and path prefix go.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct Route {
    /// Its name, for logs and errors.
    #[serde(default)]
    pub name: String,
    /// The `Host` header that it matches, in any case; not empty.
    #[validate(length(min = 1))]
    pub host: String,
    /// The prefix that the path has to have; begins and ends with a slash.
    pub path_prefix: String,
    /// How often a server may execute a request.
    pub route_type: RouteType,
    /// The longest time from a request to its answer, in milliseconds; above 0.
    #[validate(range(min = 0.001))]
    pub timeout_ms: f64,
    /// The latency target, in milliseconds; 1,000 by default.
    #[serde(default = "default_target_ms")]
    pub target_ms: f64,
    /// The priority; 0 is the highest, 5 the default.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// The only service, where `backends` is empty.
    pub service: Option<String>,
    /// Services that share the requests by weight; empty by default.
    #[serde(default)]
    pub backends: Vec<Backend>,
    /// The most servers that one request may be sent to; 1 by default, at least 1.
    #[serde(default = "default_max_attempts")]
    #[validate(range(min = 1))]
    pub max_attempts: u32,
    /// Whether the tier stores the turns of conversations; false by default.
    #[serde(default)]
    pub retained: bool,
    /// How long a stored turn is retained, in seconds.
    #[serde(default, rename = "RetentionS")]
    pub retention_s: f64,
    /// Whether requests name the prefixes of their prompts, so that servers with these in their caches are
    /// preferred; false by default.
    #[serde(default)]
    pub sticky: bool,
    /// Whether a broken stream may be resumed at another server; false by default.
    #[serde(default)]
    pub resumable: bool,
    /// The latency target between two events of a stream, in milliseconds; none by default.
    #[serde(default, rename = "gap_aim_ms")]
    pub gap_aim_ms: Option<f64>,
}

/// One of several services of a route.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Backend {
    /// The service's name.
    pub service: String,
    /// Its share of the requests, relative to the sum of the weights.
    pub weight: u32,
}

/// A service that routes may name.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct Service {
    /// Its name.
    #[validate(length(min = 1))]
    pub name: String,
    /// Connections that each of its servers accepts from all callers together; 64 by default.
    #[serde(default = "default_max_conns")]
    pub max_conns: u32,
    /// The engine, where its servers generate tokens.
    pub engine: Option<Engine>,
}

/// A model scheduler's engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Engine {
    /// Requests that it executes concurrently; 1 by default.
    #[serde(default = "default_capacity")]
    pub capacity: u32,
    /// Tokens that its KV cache has room for; 0 by default, where that is unknown.
    #[serde(default)]
    pub kv_tokens: u64,
    /// Tokens in each event of a stream; 1 by default.
    #[serde(default = "default_stride")]
    pub stride: u64,
}

/// Limits of what clients may send, and how long they may take.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct ClientLimits {
    /// The longest head of a request, in bytes; 16 KiB by default.
    pub max_header_bytes: usize,
    /// The longest body of a request, in bytes; 4 MiB by default.
    pub max_body_bytes: usize,
    /// The longest time in which a head has to arrive, in milliseconds; 3,000 by default.
    pub header_timeout_ms: u64,
    /// The longest time that a connection may be idle, in milliseconds; 15,000 by default.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    }
}

fn default_target_ms() -> f64 {
    1000.0
}

fn default_priority() -> u8 {
    5
}

fn default_max_attempts() -> u32 {
    1
}

fn default_max_conns() -> u32 {
    64
}

fn default_capacity() -> u32 {
    1
}

fn default_stride() -> u64 {
    1
}

impl Configuration {
    /// Parses a configuration and makes all checks.
    ///
    /// # Errors
    ///
    /// The first error in the order of the file; the ranges of one route or service are reported together.
    pub fn parse(body: &[u8]) -> Result<Self, ConfigurationError> {
        let configuration: Configuration = serde_json::from_slice(body)
            .map_err(|error| ConfigurationError::Malformed { text: error.to_string() })?;
        configuration.check()?;
        Ok(configuration)
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl Route {
    /// Whether a server may execute one request more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route_type == RouteType::Idempotent
    }
}

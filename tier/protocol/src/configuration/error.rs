//! Why a configuration is rejected.

use snafu::Snafu;

/// Why a configuration is rejected.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(super)))]
pub enum ConfigurationError {
    /// It is not JSON, lacks a key, or a value has the wrong type.
    #[snafu(display("not a configuration: {text}"))]
    Malformed {
        /// Line, column and reason.
        text: String,
    },
    /// Values are out of their ranges.
    #[snafu(display("{location}: {text}"))]
    OutOfRange {
        /// The route, service or top level.
        location: String,
        /// Each key with what was found and what is wanted.
        text: String,
    },
    /// A route names a service that isn't there.
    #[snafu(display("route {route}: Service: {service} is not among Services"))]
    UnknownService {
        /// The route's name.
        route: String,
        /// The service's name.
        service: String,
    },
    /// A route names no service at all.
    #[snafu(display("route {route}: neither Service nor Backends is there"))]
    NoService {
        /// The route's name.
        route: String,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("route {route}: Host and PathPrefix are those of another route"))]
    DuplicateRoute {
        /// The second route's name.
        route: String,
    },
    /// The weights of a route sum to 0.
    #[snafu(display("route {route}: Backends: the weights sum to 0"))]
    ZeroWeights {
        /// The route's name.
        route: String,
    },
    /// A prefix that does not begin and end with a slash.
    #[snafu(display("route {route}: PathPrefix: {prefix} has to begin and end with a slash"))]
    InvalidPathPrefix {
        /// The route's name.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// Two services have the same name.
    #[snafu(display("service {service}: there is another of this name"))]
    DuplicateService {
        /// The service's name.
        service: String,
    },
}

//! Why an attempt has no response, and whether the request may have run.

use snafu::Snafu;

/// Why an attempt has no complete response, by what it proves about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum AttemptError {
    /// No connection was established: not run.
    #[snafu(display("no connection was established"))]
    NoConnection,
    /// The connection broke before the last byte of the request was written: not run.
    #[snafu(display("the connection broke before the request was written"))]
    NotSent,
    /// The connection broke after that, or what was received is no valid response: it may have run.
    #[snafu(display("the connection broke, or the response is invalid"))]
    Broken,
}

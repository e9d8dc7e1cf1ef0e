//! Why a scheduler could not start, with the key or subsystem at fault.

use pointcross_core::decide::SettingsError;
use std::io;

/// Why the program could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The exporter to the OpenTelemetry collector cannot be set up.
    #[error("otlp: {0}")]
    Otlp(#[from] opentelemetry_otlp::ExporterBuildError),
    /// The decision module cannot work with these settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The other schedulers cannot be joined.
    #[error(transparent)]
    Peers(#[from] pointcross_coordination::driver::StartError),
    /// An address cannot be listened on.
    #[error("{key}: cannot listen there: {error}")]
    Listen {
        /// The key that names the address.
        key: &'static str,
        /// The system's error.
        error: io::Error,
    },
}

//! `[otlp]` of the operator's file: the OpenTelemetry collector.

use super::error::ConfigErrors;
use crate::telemetry::OtlpConfig;
use serde::Deserialize;
use std::time::Duration;

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OtlpSection {
    endpoint: String,
    #[serde(default = "pointcross")]
    service: String,
    #[serde(default = "two_thousand")]
    #[serde(rename = "most_spans")]
    max_spans: usize,
    #[serde(default = "five_seconds")]
    interval_ms: u64,
    #[serde(default = "two_seconds")]
    timeout_ms: u64,
}

fn pointcross() -> String {
    "pointcross".to_owned()
}

fn two_thousand() -> usize {
    2000
}

fn five_seconds() -> u64 {
    5000
}

fn two_seconds() -> u64 {
    2000
}

impl OtlpSection {
    pub(super) fn check(self, errors: &mut ConfigErrors) -> Option<OtlpConfig> {
        let before = errors.0.len();
        match self.endpoint.parse::<http::Uri>() {
            Err(error) => errors.require(false, "otlp.endpoint", error),
            Ok(address) => errors.require(
                address.scheme() == Some(&http::uri::Scheme::HTTP) && address.query().is_none(),
                "otlp.endpoint",
                format!("{:?}: wanted http:// and an address", self.endpoint),
            ),
        }
        for (key, value) in [
            ("otlp.most_spans", self.max_spans as u64),
            ("otlp.interval_ms", self.interval_ms),
            ("otlp.timeout_ms", self.timeout_ms),
        ] {
            errors.require(value > 0, key, "must be over 0");
        }
        (errors.0.len() == before).then(|| OtlpConfig {
            endpoint: self.endpoint,
            service: self.service,
            max_spans: self.max_spans,
            interval: Duration::from_millis(self.interval_ms),
            timeout: Duration::from_millis(self.timeout_ms),
        })
    }
}

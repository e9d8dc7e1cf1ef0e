//! `[configuration]` of the operator's file: the sources of the carried configuration.

use super::error::ConfigErrors;
use pointcross_config_distribution::FollowerSettings;
use pointcross_config_distribution::wire::{NAME_WANTED, faulty_name};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Sources at most: enough for one in each cluster.
const MAX_SOURCES: usize = 16;
/// The longest hold, in milliseconds: half of the source's time-out for a scheduler (10 s), so that one lost
/// call does not exceed it.
const MAX_HOLD_MS: u64 = 5_000;

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ConfigurationSection {
    fleet: String,
    sources: Vec<SocketAddr>,
    #[serde(default = "ConfigurationSection::hold")]
    hold_ms: u64,
    saved: Option<PathBuf>,
    #[serde(default = "ConfigurationSection::bytes")]
    most_bytes: usize,
}

impl ConfigurationSection {
    fn hold() -> u64 {
        1400
    }
    fn bytes() -> usize {
        1 << 20
    }

    pub(super) fn check(self, name: &str, seed: u64, errors: &mut ConfigErrors) -> FollowerSettings {
        // A source rejects every call with a faulty name.
        for (key, text) in [("configuration.fleet", self.fleet.as_str()), ("name", name)] {
            let fault = faulty_name(text);
            errors.require(
                fault.is_none(),
                key,
                format!("{}; wanted {NAME_WANTED}", fault.unwrap_or_default()),
            );
        }
        let sources = (1..=MAX_SOURCES).contains(&self.sources.len());
        let wanted = format!("{} named; wanted 1 to {MAX_SOURCES}", self.sources.len());
        errors.require(sources, "configuration.sources", wanted);
        let wanted = format!("{}: wanted 100 to {MAX_HOLD_MS} milliseconds", self.hold_ms);
        errors.require((100..=MAX_HOLD_MS).contains(&self.hold_ms), "configuration.hold_ms", wanted);
        let wanted = format!("{}: wanted 1024 to 16777216 bytes", self.most_bytes);
        errors.require((1 << 10..=16 << 20).contains(&self.most_bytes), "configuration.most_bytes", wanted);
        FollowerSettings {
            fleet: self.fleet,
            name: name.to_owned(),
            sources: self.sources,
            poll_timeout: Duration::from_millis(self.hold_ms),
            saved_document: self.saved,
            max_bytes: self.most_bytes,
            seed,
        }
    }
}

/// The settings without the seed, which is new at each start.
pub(super) fn without_seed(settings: Option<&FollowerSettings>) -> Option<FollowerSettings> {
    settings.map(|settings| FollowerSettings { seed: 0, ..settings.clone() })
}

//! `[membership]` of the operator's file: how far the node list is trusted, and where it is saved.

use super::error::ConfigErrors;
use crate::membership::MembershipConfig;
use pointcross_membership::decide::MembershipRules;
use pointcross_membership::staleness::StalenessLimits;
use pointcross_membership::warm_up::WarmUpRules;
use pointcross_settings::Parsed;
use serde::Deserialize;
use std::path::PathBuf;
use std::time::Duration;

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct MembershipSection {
    snapshot: Option<PathBuf>,
    interval_ms: u64,
    most_bytes: u64,
    fresh_s: u64,
    careful_s: u64,
    #[serde(rename = "careful_out")]
    max_unverified_in_flight: usize,
    quiet_ms: f64,
    most_aside_ms: f64,
    empty_doubt_ms: f64,
    ready_share: f64,
    ready_after_ms: f64,
}

impl Default for MembershipSection {
    fn default() -> Self {
        let bounds = MembershipRules::new(
            0.0,
            WarmUpRules { units: 0.0, window: 0.0, max_units: 0.0, schedulers: 1, index: 0 },
            0,
        );
        MembershipSection {
            snapshot: None,
            interval_ms: 1000,
            most_bytes: 8 << 20,
            fresh_s: bounds.staleness_limits.fresh.as_secs(),
            careful_s: bounds.staleness_limits.careful.as_secs(),
            max_unverified_in_flight: bounds.max_unverified_in_flight,
            quiet_ms: bounds.verification_ttl,
            most_aside_ms: bounds.max_ejection,
            empty_doubt_ms: bounds.empty_list_grace,
            ready_share: bounds.ready_share,
            ready_after_ms: bounds.ready_timeout,
        }
    }
}

impl MembershipSection {
    pub(super) fn check(self, parsed: &Parsed, seed: u64, errors: &mut ConfigErrors) -> MembershipConfig {
        const DAY: f64 = 86_400_000.0;
        for (key, value) in [
            ("membership.quiet_ms", self.quiet_ms),
            ("membership.most_aside_ms", self.most_aside_ms),
            ("membership.empty_doubt_ms", self.empty_doubt_ms),
            ("membership.ready_after_ms", self.ready_after_ms),
        ] {
            errors.require(
                (0.0..=DAY).contains(&value),
                key,
                format!("{value}: wanted 0 to {DAY} milliseconds"),
            );
        }
        let share = (0.0..=1.0).contains(&self.ready_share);
        errors.require(share, "membership.ready_share", format!("{}: wanted 0 to 1", self.ready_share));
        errors.require(self.max_unverified_in_flight > 0, "membership.careful_out", "no request at all");
        errors.require(self.careful_s >= self.fresh_s, "membership.careful_s", "under fresh_s");
        errors.require(self.interval_ms > 0, "membership.interval_ms", "must be over 0");
        errors.require(self.most_bytes >= 4096, "membership.most_bytes", "under 4096");
        let decide = &parsed.decide;
        let warm_up = WarmUpRules {
            units: decide.rules.cold_units,
            window: decide.rules.fall_window,
            max_units: decide.max_units.max(1.0),
            schedulers: decide.hosts,
            index: decide.host,
        };
        let tightest = decide.classes.iter().map(|class| class.aim).fold(f64::INFINITY, f64::min);
        let staleness_limits = StalenessLimits {
            fresh: Duration::from_secs(self.fresh_s),
            careful: Duration::from_secs(self.careful_s),
        };
        MembershipConfig {
            snapshot: self.snapshot,
            interval: Duration::from_millis(self.interval_ms),
            most_bytes: self.most_bytes,
            bounds: MembershipRules {
                staleness_limits,
                max_unverified_in_flight: self.max_unverified_in_flight,
                verification_ttl: self.quiet_ms,
                max_ejection: self.most_aside_ms,
                empty_list_grace: self.empty_doubt_ms,
                ready_share: self.ready_share,
                ready_timeout: self.ready_after_ms,
                ..MembershipRules::new(if tightest.is_finite() { tightest } else { 250.0 }, warm_up, seed)
            },
        }
    }
}

//! `[list_calls]` of the operator's file: the rate of calls to the list service.

use super::error::ConfigErrors;
use pointcross_membership::call_rate::CallRateRules;
use serde::Deserialize;
use std::time::Duration;

/// `[list_calls]`: how calls for the list are spaced, so that many schedulers do not overload the list
/// service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListCalls {
    /// The rate limiter's rules.
    pub rules: CallRateRules,
    /// How long the list service may hold a watch without a change.
    pub hold: Duration,
}

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct ListCallsSection {
    spread_ms: f64,
    base_ms: f64,
    cap_ms: f64,
    budget: usize,
    window_ms: f64,
    hold_ms: u64,
}

impl Default for ListCallsSection {
    fn default() -> Self {
        let rules = CallRateRules::default();
        ListCallsSection {
            spread_ms: rules.spread_ms,
            base_ms: rules.base_ms,
            cap_ms: rules.cap_ms,
            budget: rules.budget,
            window_ms: rules.window_ms,
            hold_ms: 4000,
        }
    }
}

impl ListCallsSection {
    pub(super) fn check(self, errors: &mut ConfigErrors) -> ListCalls {
        const HOUR: f64 = 3_600_000.0;
        for (key, value) in [
            ("list_calls.spread_ms", self.spread_ms),
            ("list_calls.base_ms", self.base_ms),
            ("list_calls.cap_ms", self.cap_ms),
            ("list_calls.window_ms", self.window_ms),
        ] {
            errors.require(
                (0.0..=HOUR).contains(&value),
                key,
                format!("{value}: wanted 0 to {HOUR} milliseconds"),
            );
        }
        errors.require(self.budget > 0, "list_calls.budget", "0: no call at all");
        let hold = (100..=60_000).contains(&self.hold_ms);
        errors.require(hold, "list_calls.hold_ms", format!("{}: wanted 100 to 60000", self.hold_ms));
        let rules = CallRateRules {
            spread_ms: self.spread_ms,
            base_ms: self.base_ms,
            cap_ms: self.cap_ms,
            budget: self.budget,
            window_ms: self.window_ms,
        };
        ListCalls { rules, hold: Duration::from_millis(self.hold_ms) }
    }
}

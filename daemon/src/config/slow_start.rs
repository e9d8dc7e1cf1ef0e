//! `[ramp]` of the operator's file: how fast a scheduler that has just started sends to each node.

use super::error::ConfigErrors;
use pointcross_membership::slow_start::SlowStartRules;
use serde::Deserialize;

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SlowStartSection {
    cold_rate: f64,
    #[serde(default = "SlowStartSection::fast")]
    fast_ms: f64,
    #[serde(default = "SlowStartSection::slow")]
    slow_ms: f64,
    #[serde(default = "SlowStartSection::double")]
    double_ms: f64,
    #[serde(default = "SlowStartSection::grow")]
    grow: f64,
    #[serde(default = "SlowStartSection::release")]
    release: f64,
}

impl SlowStartSection {
    fn fast() -> f64 {
        SlowStartRules::default().fast_ms
    }
    fn slow() -> f64 {
        SlowStartRules::default().slow_ms
    }
    fn double() -> f64 {
        SlowStartRules::default().double_ms
    }
    fn grow() -> f64 {
        SlowStartRules::default().grow
    }
    fn release() -> f64 {
        SlowStartRules::default().release
    }

    pub(super) fn check(self, errors: &mut ConfigErrors) -> SlowStartRules {
        let SlowStartSection { cold_rate, fast_ms, slow_ms, double_ms, grow, release } = self;
        for (key, value, from, to, unit) in [
            ("ramp.cold_rate", cold_rate, 0.1, 1e6, "requests a second"),
            ("ramp.fast_ms", fast_ms, 0.1, 6e4, "milliseconds"),
            ("ramp.slow_ms", slow_ms, fast_ms, 6e4, "milliseconds, no less than fast_ms"),
            ("ramp.double_ms", double_ms, 10.0, 3.6e6, "milliseconds"),
            ("ramp.grow", grow, 1.0, 10.0, "times"),
            ("ramp.release", release, 1.0, 1e4, "times"),
        ] {
            let wanted = format!("{value}: wanted {from} to {to} {unit}");
            errors.require((from..=to).contains(&value), key, wanted);
        }
        SlowStartRules { cold_rate, fast_ms, slow_ms, double_ms, grow, release }
    }
}

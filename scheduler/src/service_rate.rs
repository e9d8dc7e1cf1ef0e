//! The learned service rate of a server and the forecast that follows from it: units ahead over units a second.

use crate::units::{Millis, Units, UnitsPerSecond};

/// The smoothing factor of the moving averages: a single slow answer does not rule.
const SMOOTHING: f64 = 0.05;
/// The lowest rate that is reckoned with, in units a second: a forecast stays finite.
const MIN_RATE: UnitsPerSecond = 1e-3;

/// Moving averages of an answer's units and of the busy time between answers: their ratio is the learned rate.
#[derive(Clone, Debug, Default)]
pub struct LearnedRate {
    units: Units,
    gap: Millis,
}

impl LearnedRate {
    /// Records an answer: its units, and the busy time since the answer before it.
    pub fn learn(&mut self, units: Units, gap: Millis) {
        let weight = if self.gap == 0.0 { 1.0 } else { SMOOTHING };
        self.units += weight * (units - self.units);
        self.gap += weight * (gap - self.gap);
    }

    /// The rate, with a gap between answers of `min_gap` at the least; `None` where nothing was learned yet.
    pub fn rate(&self, min_gap: Millis) -> Option<UnitsPerSecond> {
        (self.gap > 0.0).then(|| (self.units / self.gap.max(min_gap) * 1000.0).max(MIN_RATE))
    }
}

/// The wait behind `units_ahead` at this rate; zero where no rate was learned.
pub fn forecast(units_ahead: Units, rate: Option<UnitsPerSecond>) -> Millis {
    rate.map_or(0.0, |rate| units_ahead / rate * 1000.0)
}

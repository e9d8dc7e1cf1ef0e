//! When a machine was out, by the times in the plan's entries.
//!
//! A view is as old as the call that brought it: a machine that a view shows as out may have been given back since.
//! So the end of a period is never the time at which a view was looked at.

use pointcross_coordination::maintenance::decide::{DrainPhase, PlanEntry};

/// A time in which a machine was out, in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutPeriod {
    /// When the phase began.
    pub from: u64,
    /// When the next phase began, or the latest time at which a scheduler had the machine as out.
    pub until: u64,
}

/// The periods of one machine, in order.
#[derive(Clone, Debug, Default)]
pub struct OutPeriods {
    ended: Vec<OutPeriod>,
    /// The round of the period that has not ended, by what was seen.
    open: Option<(u64, OutPeriod)>,
}

impl OutPeriods {
    /// Takes in the machine's entry in a view, which a scheduler gave at `now` by its clock.
    pub fn observe(&mut self, entry: &PlanEntry, now: u64) {
        if let Some((round, period)) = self.open.filter(|(round, _)| *round != entry.round) {
            let is_next_phase = entry.round == round + 1;
            let until = if is_next_phase { entry.since } else { period.until };
            self.ended.push(OutPeriod { until, ..period });
            self.open = None;
        }
        if entry.phase == DrainPhase::Out {
            let seen_until = self.open.map_or(now, |(_, period)| period.until.max(now));
            self.open = Some((entry.round, OutPeriod { from: entry.since, until: seen_until }));
        }
    }

    /// The periods that were seen, the one that has not ended included.
    pub fn periods(&self) -> impl Iterator<Item = OutPeriod> {
        self.ended.iter().copied().chain(self.open.map(|(_, period)| period))
    }
}

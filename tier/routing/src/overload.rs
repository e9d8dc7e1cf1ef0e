//! Load shedding by program: where a service's servers answer much slower than they would alone, new programs are
//! refused at their first request, so that those under way still end in time.
//!
//! Guarantees that the decision on a program is the same at every try and at every proxy that sees the same slowness
//! (its key is hashed against the admitted share, as in DAGOR: Zhou et al., *Overload Control for Scaling WeChat
//! Microservices*, 2018), that less urgent programs are refused before more urgent ones, and that a part of all programs
//! is always admitted: without answers nothing would show that the overload is over.
//!
//! The slowness is the time of answers to their first event over the time expected at an idle server, both summed over
//! the last seconds. It says nothing while too few answers have come.

use crate::rendezvous;

/// Answers count less with their age: after this time by a factor of e, in milliseconds. Longer reacts later, shorter
/// sheds on single slow answers.
const WINDOW_MS: f64 = 1500.0;
/// Weighed answers below which nothing is concluded.
const MIN_ANSWERS: f64 = 10.0;
/// Slowness up to which programs still end by their aims, measured on days that lose a part of the engines: 3.0 to 3.5
/// where nearly all did, 4.4 to 6.4 where nearly none did.
const TOLERATED_SLOWNESS: f64 = 3.6;
/// What each unit of slowness above that takes off the admitted share of the most urgent programs, and of all others.
const URGENT_SLOPE: f64 = 0.15;
const OTHER_SLOPE: f64 = 0.4;
/// The least admitted share of either.
const MIN_URGENT_SHARE: f64 = 0.5;
const MIN_OTHER_SHARE: f64 = 0.3;
/// Slowness above which programs that have missed their aim are refused too: they take the time of those that have not.
const LATE_SLOWNESS: f64 = 3.9;
/// Refused programs may return between these times, spread by their keys, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 600.0;
const RETRY_AFTER_SPREAD_MS: f64 = 900.0;

/// How far a program has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramStage {
    /// Nothing of it has been admitted yet.
    New,
    /// It has been admitted before.
    UnderWay,
    /// Its time is over: it earns less than others, or nothing.
    Late,
}

/// A program that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct ProgramDemand<'a> {
    /// Its id.
    pub program: &'a str,
    /// How far it has come.
    pub stage: ProgramStage,
    /// The route's priority; 0 is the most urgent.
    pub priority: u8,
}

/// Slowness of one service, and what follows from it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Overload {
    took: f64,
    expected: f64,
    answers: f64,
    /// When the sums were last decayed, in milliseconds.
    decayed_at: f64,
}

impl Overload {
    /// Records an answer's time to its first event, and the expected one, in milliseconds.
    pub fn record(&mut self, now: f64, took: f64, expected_ms: f64) {
        let remaining = self.decay(now);
        self.took = self.took * remaining + took;
        self.expected = self.expected * remaining + expected_ms.max(1.0);
        self.answers = self.answers * remaining + 1.0;
        self.decayed_at = now;
    }

    fn decay(&self, now: f64) -> f64 {
        (-(now - self.decayed_at).max(0.0) / WINDOW_MS).exp()
    }

    /// How many times as long as expected answers take; `None` while too few have come.
    pub fn slowness(&self, now: f64) -> Option<f64> {
        let is_known = self.answers * self.decay(now) >= MIN_ANSWERS;
        is_known.then(|| self.took / self.expected)
    }

    /// When a program may return that is not admitted now, in milliseconds; `None` where it is admitted.
    pub fn refuse(&self, now: f64, demand: &ProgramDemand) -> Option<f64> {
        let slowness = self.slowness(now)?;
        let position = rendezvous::position(demand.program);
        let is_refused = match demand.stage {
            ProgramStage::New => position >= admitted_share(slowness, demand.priority),
            ProgramStage::UnderWay => false,
            ProgramStage::Late => slowness > LATE_SLOWNESS,
        };
        is_refused.then_some(MIN_RETRY_AFTER_MS + RETRY_AFTER_SPREAD_MS * position)
    }
}

/// The share of new programs that is admitted.
fn admitted_share(slowness: f64, priority: u8) -> f64 {
    let excess = (slowness - TOLERATED_SLOWNESS).max(0.0);
    match priority {
        0 => (1.0 - URGENT_SLOPE * excess).max(MIN_URGENT_SHARE),
        _ => (1.0 - OTHER_SLOPE * excess).max(MIN_OTHER_SHARE),
    }
}

//! The priority of a request at an engine, which admits the more urgent first and preempts the others.

/// What an engine takes for a request that states nothing; 0 is the most urgent.
const DEFAULT_PRIORITY: u8 = 5;
/// The client's last attempt, or nearly: the turn is lost where it is not served now.
const LAST_ATTEMPT_PRIORITY: u8 = 1;
/// An attempt after an earlier one has used up a part of the time.
const LATER_ATTEMPT_PRIORITY: u8 = 3;
/// The program misses its target in any case; it is worth less than others.
const LATE_PROGRAM_PRIORITY: u8 = 7;

/// Parts of the route's time-out below which an attempt counts as the last, or as a later one.
const LAST_ATTEMPT_PART: f64 = 0.3;
const LATER_ATTEMPT_PART: f64 = 0.7;

/// What is known of a request's time, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct RequestTime {
    /// Until its answer is due.
    pub left: f64,
    /// What requests of its route have at first.
    pub timeout: f64,
    /// Until its program should be over, where it belongs to one.
    pub program_left: Option<f64>,
}

/// The value of `Priority`.
pub fn priority(time: RequestTime) -> u8 {
    if time.program_left.is_some_and(|left| left <= 0.0) {
        return LATE_PROGRAM_PRIORITY;
    }
    if time.left < LAST_ATTEMPT_PART * time.timeout {
        return LAST_ATTEMPT_PRIORITY;
    }
    if time.left < LATER_ATTEMPT_PART * time.timeout {
        return LATER_ATTEMPT_PRIORITY;
    }
    DEFAULT_PRIORITY
}

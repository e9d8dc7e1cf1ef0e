//! How urgent a request is to an engine, which lets the more urgent in first and preempts the others.

/// What an engine takes for a request that states nothing; 0 is the most urgent.
const USUAL: u8 = 5;
/// The client's last try, or nearly: the turn is lost where it does not come through now.
const LAST_TRY: u8 = 1;
/// A try that comes after another has used up a part of the time.
const LATER_TRY: u8 = 3;
/// The program can't end by its aim any more; it is worth less than others.
const PROGRAM_LATE: u8 = 7;

/// Parts of the time that a request has at first.
const LAST_TRY_PART: f64 = 0.3;
const LATER_TRY_PART: f64 = 0.7;

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
        return PROGRAM_LATE;
    }
    if time.left < LAST_TRY_PART * time.timeout {
        return LAST_TRY;
    }
    if time.left < LATER_TRY_PART * time.timeout {
        return LATER_TRY;
    }
    USUAL
}

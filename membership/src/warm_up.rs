//! What one scheduler may send a node whose start is not known, so that all schedulers together stay within the units
//! that a warming node always bears, without any message between them.
//!
//! Let `B` be those units within a window of `W`, `n` the schedulers, `u` the largest request.
//!
//! - `B / n >= u`: each keeps to `B / n` within any window of `W`. All together: `n * B / n = B`.
//! - Otherwise time is cut into slots of `W` by the one clock that all machines read. Every other slot is idle,
//!   so that no window of `W` meets two active ones. An active slot belongs to one group of `k = floor(B / u)`
//!   schedulers, each of which may send one request in it. All together: `k * u <= B`.
//! - `u > B`: such a request cannot be sent at all.
//!
//! Clocks that differ by less than `W` could bring two groups into one window of the idle slot's edge; the
//! platform's machines read one clock (PROTOCOL).

/// The rule's figures.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmUpRules {
    /// Units that a warming node bears within the window, from all schedulers together; 0 where nodes need no warm-up.
    pub units: f64,
    /// The window, in milliseconds.
    pub window: f64,
    /// The largest request.
    pub max_units: f64,
    /// Schedulers in all.
    pub schedulers: u32,
    /// This one's number, from 0.
    pub index: u32,
}

/// One send to a warming node.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Send {
    /// When, in milliseconds.
    at: f64,
    units: f64,
}

/// What was sent to one node within the last window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WarmUpSends {
    /// Oldest first; no longer than a window holds.
    sends: Vec<Send>,
}

impl WarmUpRules {
    fn schedulers(&self) -> u32 {
        self.schedulers.max(1)
    }

    /// This scheduler's part of the units, where parts hold a request.
    fn part(&self) -> Option<f64> {
        let part = self.units / f64::from(self.schedulers());
        (part >= self.max_units).then_some(part)
    }

    /// Whether each scheduler's part holds a request, so that none has to wait for a turn.
    pub fn has_parts(&self) -> bool {
        self.part().is_some()
    }

    /// The first time from `now` on at which this scheduler has a turn, where it goes by turns.
    fn turn(&self, now: f64) -> Option<f64> {
        let together = (self.units / self.max_units.max(1e-9)).floor();
        if together < 1.0 {
            return None;
        }
        let together = together.min(f64::from(self.schedulers())) as u32;
        let groups = f64::from(self.schedulers().div_ceil(together));
        let mine = f64::from(self.index / together);
        let window = self.window.max(1.0);
        // Slots come in pairs, an active and an idle one; the pairs belong to the groups in turn.
        let pair = (now / (2.0 * window)).floor();
        let ahead = (mine - pair).rem_euclid(groups);
        let begins = |pair: f64| pair * 2.0 * window;
        let first = begins(pair + ahead);
        // Within its own active slot the turn is now; past it, a whole round later.
        Some(if first + window > now { first.max(now) } else { begins(pair + ahead + groups) })
    }
}

impl WarmUpSends {
    /// When a request of these units may go at the earliest: `now`, or later; `None` for never.
    pub fn earliest_send(&mut self, rules: &WarmUpRules, now: f64, units: f64) -> Option<f64> {
        if rules.units <= 0.0 {
            return Some(now);
        }
        self.sends.retain(|send| send.at > now - 2.0 * rules.window);
        if let Some(part) = rules.part() {
            let mut sent: f64 =
                self.sends.iter().filter(|send| send.at > now - rules.window).map(|send| send.units).sum();
            if sent + units <= part {
                return Some(now);
            }
            for send in self.sends.iter().filter(|send| send.at > now - rules.window) {
                sent -= send.units;
                if sent + units <= part {
                    return Some(send.at + rules.window);
                }
            }
            return None;
        }
        if units > rules.units {
            return None;
        }
        let turn = rules.turn(now)?;
        // One request a turn.
        match self.sends.last() {
            Some(send) if turn - send.at < rules.window => rules.turn(send.at + 1.5 * rules.window),
            _ => Some(turn),
        }
    }

    /// Records a send.
    pub fn record_send(&mut self, now: f64, units: f64) {
        self.sends.push(Send { at: now, units });
    }
}

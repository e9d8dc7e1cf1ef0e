//! When each change came into force at each scheduler, reckoned from what the schedulers reported and when the links
//! to them were cut. No socket and no clock.

/// A change: its revision or version, and when it was made, Unix microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Its number; later ones are greater.
    pub number: u64,
    /// When.
    pub at: u64,
}

/// One start of a scheduler: what it reported in force, and when.
#[derive(Clone, Debug, Default)]
pub struct Life {
    /// When it was started, Unix microseconds.
    pub start: u64,
    /// When it was ended, where it was.
    pub end: Option<u64>,
    /// Numbers in force and when, in order of time.
    pub reports: Vec<(u64, u64)>,
}

/// A scheduler's starts, and from when to when its links were cut.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    /// Its starts in order.
    pub lives: Vec<Life>,
    /// Cuts in order; the end is that of the run where it never healed.
    pub cuts: Vec<(u64, u64)>,
}

/// Times to be told, in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Times {
    /// From the change, with its number.
    pub told: Vec<(u64, u64)>,
    /// From the link's return, for changes made while it was cut and those that the cut kept back.
    pub after_cut: Vec<u64>,
    /// From a first start to all that was listed when it began.
    pub ready: Vec<u64>,
    /// The same from later starts.
    pub ready_again: Vec<u64>,
    /// Changes that a scheduler which ran to the end had not been told, and starts that never had the list: these
    /// count until the end in the times above.
    pub never: u64,
}

impl Times {
    /// Adds another's.
    pub fn add(&mut self, other: Times) {
        self.told.extend(other.told);
        self.after_cut.extend(other.after_cut);
        self.ready.extend(other.ready);
        self.ready_again.extend(other.ready_again);
        self.never += other.never;
    }
}

/// When the life reported this number or a later one, first.
fn reached(life: &Life, number: u64) -> Option<u64> {
    life.reports.iter().find(|(reported, _)| *reported >= number).map(|(_, at)| *at)
}

/// The times of one scheduler. `changes` in order; the run ended at `end`. A change counts for a life that had the
/// list before it was made, and not where that life was ended before it could tell.
pub fn times(follower: &Follower, changes: &[Change], end: u64) -> Times {
    let mut times = Times::default();
    for (turn, life) in follower.lives.iter().enumerate() {
        let listed = changes.iter().take_while(|change| change.at <= life.start).last();
        let ready = reached(life, listed.map_or(1, |change| change.number));
        let readied = if turn == 0 { &mut times.ready } else { &mut times.ready_again };
        match ready {
            Some(at) => readied.push(at.saturating_sub(life.start)),
            None if life.end.is_none() => {
                readied.push(end.saturating_sub(life.start));
                times.never += 1;
            }
            None => {}
        }
        let Some(ready) = ready else { continue };
        // Changes and reports both grow: each is walked once.
        let mut reports = life.reports.iter().peekable();
        for change in changes.iter().filter(|change| change.at >= ready) {
            while reports.next_if(|(number, _)| *number < change.number).is_some() {}
            let told = match reports.peek() {
                Some((_, at)) => *at,
                None if life.end.is_some() => continue,
                None => {
                    times.never += 1;
                    end
                }
            };
            let cut = follower.cuts.iter().find(|(from, to)| change.at < *to && told > *from && told >= *to);
            match cut {
                Some((_, healed)) => times.after_cut.push(told.saturating_sub((*healed).max(change.at))),
                None => times.told.push((change.number, told.saturating_sub(change.at))),
            }
        }
    }
    times
}

/// The value at a share of the sorted values, by nearest rank, in milliseconds; `None` where there are none.
pub fn percentile_ms(sorted: &[u64], share: f64) -> Option<f64> {
    let rank = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1));
    sorted.get(rank - 1).map(|&us| us as f64 / 1000.0)
}

/// The greatest, in milliseconds.
pub fn worst_ms(values: &[u64]) -> Option<f64> {
    values.iter().max().map(|&us| us as f64 / 1000.0)
}

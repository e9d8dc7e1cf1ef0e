//! A source's table: what it serves, and which scheduler has which version active.
//!
//! Guards against a change of which nobody knows whether it is active everywhere, and against a table that
//! grows without bound with the names of its callers.

use crate::wire::{self, DocumentError, PollRequest, SchedulerReport, Schedulers, State};
use bytes::Bytes;
use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

/// The most schedulers in the table. A further one replaces the unresponsive one whose last request is the
/// oldest. Where none is unresponsive, its requests are answered like any other, and counted as `uncounted`.
pub const MAX_SCHEDULERS: usize = 4096;
/// A scheduler without a request for this time is unresponsive: five times the interval of its requests at a
/// time-out of 1.4 s.
pub const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// A scheduler without a request for this time is removed from the table: it was taken out of the fleet.
pub const RETENTION: Duration = Duration::from_secs(3600);
/// The most schedulers that a [`State`] lists as behind, so that it stays readable.
pub const MAX_BEHIND: usize = 100;

/// The document that is served.
#[derive(Clone, Debug, PartialEq)]
pub struct Published {
    /// Its version.
    pub version: u64,
    /// Its text, as the file has it.
    pub text: Bytes,
    /// The CRC-32C of the text.
    pub checksum: u32,
    /// When it was published.
    pub since: Duration,
}

/// The reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// This document.
    Document(Published),
    /// No newer version yet: the request stays pending for this time, and [`Table::newer`] is asked at each
    /// change.
    Pending(Duration),
    /// The request is of another fleet than the one given here.
    OtherFleet(String),
}

/// What the last request of a scheduler said.
#[derive(Clone, Debug)]
struct SchedulerEntry {
    active_version: u64,
    rejected_version: Option<u64>,
    last_request: Duration,
}

impl SchedulerEntry {
    fn is_unresponsive(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_request) >= UNRESPONSIVE_TIMEOUT
    }
}

/// What a source serves and knows.
#[derive(Clone, Debug)]
pub struct Table {
    fleet: String,
    max_bytes: usize,
    published: Published,
    schedulers: HashMap<String, SchedulerEntry>,
    /// Requests of schedulers for which there was no space.
    uncounted: u64,
}

fn check(fleet: &str, max_bytes: usize, text: Bytes, since: Duration) -> Result<Published, DocumentError> {
    if text.len() > max_bytes {
        return Err(DocumentError::TooLong { bytes: text.len() as u64, max_bytes });
    }
    let document = wire::decode(&text)?;
    if document.fleet != fleet {
        return Err(DocumentError::OtherFleet { found: document.fleet, wanted: fleet.to_owned() });
    }
    Ok(Published { version: document.version, checksum: crc32c::crc32c(&text), text, since })
}

impl Table {
    /// A table that serves this text to this fleet and knows no scheduler yet.
    ///
    /// # Errors
    /// [`DocumentError`], naming the key.
    pub fn new(fleet: String, max_bytes: usize, now: Duration, text: Bytes) -> Result<Self, DocumentError> {
        let published = check(&fleet, max_bytes, text, now)?;
        Ok(Table { fleet, max_bytes, published, schedulers: HashMap::new(), uncounted: 0 })
    }

    /// The version that is served.
    pub fn version(&self) -> u64 {
        self.published.version
    }

    /// Publishes the text of a changed file; returns whether it is a newer version. The same text is none.
    ///
    /// # Errors
    /// [`DocumentError`]; the version served stays the same.
    pub fn publish(&mut self, now: Duration, text: Bytes) -> Result<bool, DocumentError> {
        if text == self.published.text {
            return Ok(false);
        }
        let candidate = check(&self.fleet, self.max_bytes, text, now)?;
        let (found, active) = (candidate.version, self.published.version);
        match found.cmp(&active) {
            Ordering::Greater => {
                self.published = candidate;
                Ok(true)
            }
            Ordering::Equal => Err(DocumentError::ChangedWithoutVersion(found)),
            Ordering::Less => Err(DocumentError::NotNewer { found, active }),
        }
    }

    /// Handles a scheduler's request: records what the scheduler has, and returns the reply.
    pub fn handle(&mut self, now: Duration, request: &PollRequest) -> Answer {
        if request.fleet != self.fleet {
            return Answer::OtherFleet(self.fleet.clone());
        }
        self.record(now, request);
        self.newer(request).map_or(Answer::Pending(request.timeout), Answer::Document)
    }

    /// The document for a request that was recorded, if there is a newer one that the scheduler has not
    /// rejected.
    pub fn newer(&self, request: &PollRequest) -> Option<Published> {
        let version = self.published.version;
        let is_wanted = version > request.active_version && Some(version) != request.rejected_version;
        is_wanted.then(|| self.published.clone())
    }

    fn record(&mut self, now: Duration, request: &PollRequest) {
        let entry = SchedulerEntry {
            active_version: request.active_version,
            rejected_version: request.rejected_version,
            last_request: now,
        };
        if let Some(known) = self.schedulers.get_mut(&request.name) {
            *known = entry;
        } else if self.make_space(now) {
            self.schedulers.insert(request.name.clone(), entry);
        } else {
            self.uncounted += 1;
        }
    }

    /// Whether there is space for one more scheduler. A full table removes an unresponsive one for that.
    fn make_space(&mut self, now: Duration) -> bool {
        if self.schedulers.len() < MAX_SCHEDULERS {
            return true;
        }
        let unresponsive = self.schedulers.iter().filter(|(_, entry)| entry.is_unresponsive(now));
        let oldest = unresponsive.min_by_key(|(_, entry)| entry.last_request).map(|(name, _)| name.clone());
        oldest.is_some_and(|name| self.schedulers.remove(&name).is_some())
    }

    /// Every scheduler in the table, after those past their [`RETENTION`] were removed.
    pub fn schedulers(&mut self, now: Duration) -> Schedulers {
        self.schedulers.retain(|_, entry| now.saturating_sub(entry.last_request) < RETENTION);
        let ms_ago = |since| now.saturating_sub(since).as_millis() as u64;
        let schedulers = self.schedulers.iter().map(|(name, entry)| SchedulerReport {
            name: name.clone(),
            have: entry.active_version,
            refused: entry.rejected_version,
            heard_ms_ago: ms_ago(entry.last_request),
        });
        let mut schedulers: Vec<SchedulerReport> = schedulers.collect();
        sort_oldest_first(&mut schedulers);
        Schedulers {
            fleet: self.fleet.clone(),
            version: self.published.version,
            published_ms_ago: ms_ago(self.published.since),
            uncounted: self.uncounted,
            schedulers,
        }
    }

    /// A summary of the fleet as this source knows it.
    pub fn state(&mut self, now: Duration) -> State {
        merge_states(vec![self.schedulers(now)], None).expect("there is a state for one source")
    }
}

/// By the time since the last request, then by name.
fn sort_oldest_first(schedulers: &mut [SchedulerReport]) {
    schedulers.sort_by(|a, b| b.heard_ms_ago.cmp(&a.heard_ms_ago).then_with(|| a.name.cmp(&b.name)));
}

/// The latest report of each scheduler: one that went from one source to another is known to both.
fn latest_reports(reports: impl IntoIterator<Item = SchedulerReport>) -> Vec<SchedulerReport> {
    let mut latest: HashMap<String, SchedulerReport> = HashMap::new();
    for report in reports {
        match latest.get(&report.name) {
            Some(known) if known.heard_ms_ago <= report.heard_ms_ago => {}
            _ => _ = latest.insert(report.name.clone(), report),
        }
    }
    latest.into_values().collect()
}

/// A summary of what several sources of one fleet know. A scheduler is up to date if it has the greatest
/// version that a source serves, or, where a version is `wanted`, that one or a newer one. `None` where no
/// source is given.
pub fn merge_states(sources: Vec<Schedulers>, wanted: Option<u64>) -> Option<State> {
    let newest = sources.iter().max_by_key(|source| source.version)?;
    let (fleet, version, published_ms_ago) = (newest.fleet.clone(), newest.version, newest.published_ms_ago);
    let uncounted = sources.iter().map(|source| source.uncounted).sum();
    let mut behind = latest_reports(sources.into_iter().flat_map(|source| source.schedulers));
    let known = behind.len();
    behind.retain(|report| u128::from(report.heard_ms_ago) < UNRESPONSIVE_TIMEOUT.as_millis());
    let responsive = behind.len();
    behind.retain(|report| wanted.map_or(report.have != version, |wanted| report.have < wanted));
    sort_oldest_first(&mut behind);
    let in_force = responsive - behind.len();
    let left_out = behind.len().saturating_sub(MAX_BEHIND);
    behind.truncate(MAX_BEHIND);
    Some(State {
        fleet,
        version,
        published_ms_ago,
        schedulers: responsive,
        in_force,
        silent: known - responsive,
        uncounted,
        behind,
        left_out,
    })
}

//! A source's table: what it serves, and which scheduler has which version in force.
//!
//! Guards against a change of which nobody knows whether it is in force, and against a table that names without end
//! make grow.

use crate::wire::{self, Behind, Call, Refusal, State};
use bytes::Bytes;
use std::collections::HashMap;
use std::time::Duration;

/// Names in the table. One more takes the place of the one that is silent the longest; where none is silent it is
/// answered like any other, but not counted, and its calls show as `uncounted`.
pub const MOST_NAMES: usize = 4096;
/// A scheduler that was not heard for so long is silent: five times as long as its calls are apart at a hold of 1.4 s.
pub const SILENT: Duration = Duration::from_secs(10);
/// A name that was not heard for so long is forgotten: its scheduler was taken away.
pub const FORGET: Duration = Duration::from_secs(3600);
/// Those behind that are named in the state, so that it stays readable.
pub const MOST_BEHIND: usize = 100;

/// The document served.
#[derive(Clone, Debug, PartialEq)]
pub struct Published {
    /// Its version.
    pub version: u64,
    /// Its text, as the file has it.
    pub text: Bytes,
    /// The text's crc32c.
    pub sum: u32,
    /// Since when.
    pub since: Duration,
}

/// What a call is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// This document.
    Text(Published),
    /// Nothing yet: it is held for so long, and asked again where a version comes meanwhile.
    Hold(Duration),
    /// It is of another fleet than this one.
    OtherFleet(String),
}

#[derive(Clone, Debug)]
struct Entry {
    have: u64,
    refused: Option<u64>,
    heard: Duration,
}

/// What a source serves and knows.
#[derive(Clone, Debug)]
pub struct Table {
    fleet: String,
    most_bytes: usize,
    published: Published,
    heard: HashMap<String, Entry>,
    uncounted: u64,
}

fn read(fleet: &str, most_bytes: usize, text: Bytes, since: Duration) -> Result<Published, Refusal> {
    if text.len() > most_bytes {
        return Err(Refusal::TooLong { bytes: text.len() as u64, most: most_bytes });
    }
    let document = wire::decode(&text)?;
    if document.fleet != fleet {
        return Err(Refusal::Foreign { found: document.fleet, wanted: fleet.to_owned() });
    }
    Ok(Published { version: document.version, sum: crc32c::crc32c(&text), text, since })
}

impl Table {
    /// A table that serves this text to this fleet and knows of no scheduler.
    ///
    /// # Errors
    /// [`Refusal`], naming the key.
    pub fn new(fleet: String, most_bytes: usize, now: Duration, text: Bytes) -> Result<Self, Refusal> {
        let published = read(&fleet, most_bytes, text, now)?;
        Ok(Table { fleet, most_bytes, published, heard: HashMap::new(), uncounted: 0 })
    }

    /// The version served.
    pub fn version(&self) -> u64 {
        self.published.version
    }

    /// A changed file: tells whether a newer version is served from now on. The same text again is none.
    ///
    /// # Errors
    /// [`Refusal`]: what was served is served on.
    pub fn offer(&mut self, now: Duration, text: Bytes) -> Result<bool, Refusal> {
        if text == self.published.text {
            return Ok(false);
        }
        let offered = read(&self.fleet, self.most_bytes, text, now)?;
        match offered.version.cmp(&self.published.version) {
            std::cmp::Ordering::Greater => {
                self.published = offered;
                Ok(true)
            }
            std::cmp::Ordering::Equal => Err(Refusal::Changed(offered.version)),
            std::cmp::Ordering::Less => {
                Err(Refusal::NotNewer { found: offered.version, in_force: self.published.version })
            }
        }
    }

    /// A scheduler's call: notes what it has and says what it is answered.
    pub fn call(&mut self, now: Duration, call: &Call) -> Answer {
        if call.fleet != self.fleet {
            return Answer::OtherFleet(self.fleet.clone());
        }
        self.note(now, call);
        self.newer(call).map_or(Answer::Hold(call.hold), Answer::Text)
    }

    /// What there is for a call that was noted.
    pub fn newer(&self, call: &Call) -> Option<Published> {
        let Published { version, .. } = self.published;
        (version > call.have && Some(version) != call.refused).then(|| self.published.clone())
    }

    fn note(&mut self, now: Duration, call: &Call) {
        let entry = Entry { have: call.have, refused: call.refused, heard: now };
        if let Some(known) = self.heard.get_mut(&call.name) {
            *known = entry;
            return;
        }
        if self.heard.len() >= MOST_NAMES {
            let silent = self.heard.iter().filter(|(_, entry)| now.saturating_sub(entry.heard) >= SILENT);
            let longest = silent.min_by_key(|(_, entry)| entry.heard).map(|(name, _)| name.clone());
            let Some(longest) = longest else {
                self.uncounted += 1;
                return;
            };
            self.heard.remove(&longest);
        }
        self.heard.insert(call.name.clone(), entry);
    }

    /// What is known of one scheduler.
    pub fn of(&self, now: Duration, name: &str) -> Option<Behind> {
        self.heard.get(name).map(|entry| told(now, name, entry))
    }

    /// What is known of the fleet.
    pub fn state(&mut self, now: Duration) -> State {
        self.heard.retain(|_, entry| now.saturating_sub(entry.heard) < FORGET);
        let version = self.published.version;
        let lately = self.heard.iter().filter(|(_, entry)| now.saturating_sub(entry.heard) < SILENT);
        let schedulers = lately.clone().count();
        let behind = lately.filter(|(_, entry)| entry.have != version);
        let mut behind: Vec<Behind> = behind.map(|(name, entry)| told(now, name, entry)).collect();
        behind.sort_by(|a, b| b.heard_ms_ago.cmp(&a.heard_ms_ago).then_with(|| a.name.cmp(&b.name)));
        let in_force = schedulers - behind.len();
        let left_out = behind.len().saturating_sub(MOST_BEHIND);
        behind.truncate(MOST_BEHIND);
        State {
            fleet: self.fleet.clone(),
            version,
            published_ms_ago: now.saturating_sub(self.published.since).as_millis() as u64,
            schedulers,
            in_force,
            silent: self.heard.len() - schedulers,
            uncounted: self.uncounted,
            behind,
            left_out,
        }
    }
}

fn told(now: Duration, name: &str, entry: &Entry) -> Behind {
    Behind {
        name: name.to_owned(),
        have: entry.have,
        refused: entry.refused,
        heard_ms_ago: now.saturating_sub(entry.heard).as_millis() as u64,
    }
}

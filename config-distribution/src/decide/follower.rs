//! One scheduler that follows the fleet's configuration: which source is asked next and when, and which
//! document is applied.
//!
//! Guards against a change that comes late because a request was lost, a source failed or backoffs grew;
//! against 1,200 schedulers that send requests at the same moment; and against the application of a document
//! that is damaged, of another fleet, older or invalid.

use super::{LONG_POLL_TIMEOUT, MAX_BACKOFF, MIN_BACKOFF, REPLY_SLACK};
use crate::wire::{self, DocumentError, PollRequest};
use crate::{Document, FollowerSettings, Status};
use bytes::Bytes;
use std::time::Duration;

/// The input of a follower: the start, or the outcome of its last [`Action`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The follower starts without a saved document.
    Started,
    /// The follower starts with the text of a saved document, whose checksum was verified.
    Saved(Bytes),
    /// A request brought a text.
    Document {
        /// The text.
        text: Bytes,
        /// The version announced with it.
        version: Option<u64>,
        /// The checksum sent with it.
        checksum: Option<u32>,
    },
    /// A request brought a text that is too long, and was not read.
    TooLong {
        /// Its length in bytes, as far as it is known.
        bytes: u64,
        /// The version announced with it.
        version: Option<u64>,
    },
    /// A request ended without a newer version.
    NotModified,
    /// A request failed, and why.
    PollFailed(String),
    /// The time of [`Action::WaitUntil`] has come.
    WaitOver,
    /// The document was applied.
    Applied,
    /// The document could not be applied, and why; nothing changed.
    ApplyRejected(String),
}

/// What is to be done next; the outcome is the next [`Event`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a source.
    Poll {
        /// Index of the source in [`FollowerSettings::sources`].
        source: usize,
        /// The request.
        request: PollRequest,
        /// The request has failed when there is no reply after this time.
        timeout: Duration,
    },
    /// Wait until this time.
    WaitUntil(Duration),
    /// Apply a document.
    ApplyConfiguration {
        /// The document.
        document: Document,
        /// Its text, to be saved once it is applied; `None` where it is the saved one.
        text: Option<Bytes>,
    },
}

/// Something for the log. Each is reported once, not at every request.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerEvent {
    /// A version is active.
    Activated(u64),
    /// A document was rejected.
    Rejected {
        /// Its version, where it is known.
        version: Option<u64>,
        /// The reason.
        reason: String,
    },
    /// Requests began to fail.
    SourceFailed {
        /// Index of the source that failed first.
        source: usize,
        /// The reason.
        reason: String,
    },
    /// A source replies again.
    SourceRecovered {
        /// Index of the source.
        source: usize,
    },
}

/// The action in progress.
#[derive(Clone, Debug, PartialEq)]
enum Activity {
    Polling,
    BackingOff,
    Applying {
        version: u64,
        /// Whether it is the saved document: the first request is yet to come.
        saved: bool,
    },
}

/// One follower's state.
#[derive(Clone, Debug)]
pub struct Follower {
    settings: FollowerSettings,
    active_version: Option<u64>,
    /// Index of the source of the last request.
    source: usize,
    /// Index of the source that replied last.
    last_replied: Option<usize>,
    /// Requests that failed in a row.
    failures: u32,
    /// The last rejected version and the reason, for operators.
    last_rejection: Option<(u64, String)>,
    /// A version that was rejected and that the source is not to send again.
    skipped_version: Option<u64>,
    activity: Activity,
    random_state: u64,
    events: Vec<FollowerEvent>,
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood 2014): neighbouring inputs give unrelated outputs.
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Follower {
    /// A follower without an active version. Followers of one seed draw different random numbers, by their
    /// names.
    ///
    /// # Panics
    /// Without a source.
    pub fn new(settings: FollowerSettings) -> Self {
        assert!(!settings.sources.is_empty(), "a follower has at least one source");
        let random_state = mix(settings.seed ^ fnv1a(settings.name.as_bytes()));
        Follower {
            settings,
            active_version: None,
            source: 0,
            last_replied: None,
            failures: 0,
            last_rejection: None,
            skipped_version: None,
            activity: Activity::BackingOff,
            random_state,
            events: Vec::new(),
        }
    }

    /// The state as operators see it.
    pub fn status(&self) -> Status {
        Status {
            version: self.active_version,
            source: self.last_replied.map(|source| self.settings.sources[source]),
            unreachable: self.failures > 0,
            refused: self.last_rejection.clone(),
        }
    }

    /// Takes the events for the log since the last call.
    pub fn take_events(&mut self) -> Vec<FollowerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Handles an event at `now`, a time since any fixed moment, and returns what is to be done next. An
    /// event that does not fit the action in progress counts as a failed request.
    pub fn handle(&mut self, now: Duration, event: Event) -> Action {
        let activity = std::mem::replace(&mut self.activity, Activity::BackingOff);
        match (event, activity) {
            (Event::Started, _) => self.schedule_first_poll(now),
            (Event::Saved(text), _) => self.handle_saved(now, &text),
            (Event::WaitOver, Activity::BackingOff) => self.poll(),
            (Event::NotModified, Activity::Polling) => {
                self.record_reply();
                self.poll()
            }
            (Event::Document { text, version, checksum }, Activity::Polling) => {
                self.handle_document(now, text, version, checksum)
            }
            (Event::TooLong { bytes, version }, Activity::Polling) => {
                let error = DocumentError::TooLong { bytes, max_bytes: self.settings.max_bytes };
                self.reject_document(now, version, &error)
            }
            (Event::Applied, Activity::Applying { version, saved }) => {
                self.handle_applied(now, version, saved)
            }
            (Event::ApplyRejected(reason), Activity::Applying { version, saved }) => {
                self.handle_apply_rejected(now, version, saved, reason)
            }
            (Event::PollFailed(reason), _) => self.record_failure(now, reason),
            (event, activity) => self.record_failure(now, format!("{event:?} does not follow {activity:?}")),
        }
    }

    fn handle_saved(&mut self, now: Duration, text: &[u8]) -> Action {
        match self.check(text, None) {
            Ok(document) => self.apply(document, None),
            Err(error) => {
                self.record_rejection(None, error.to_string());
                self.schedule_first_poll(now)
            }
        }
    }

    fn handle_applied(&mut self, now: Duration, version: u64, saved: bool) -> Action {
        self.active_version = Some(version);
        (self.last_rejection, self.skipped_version) = (None, None);
        self.events.push(FollowerEvent::Activated(version));
        if saved { self.schedule_first_poll(now) } else { self.poll() }
    }

    fn handle_apply_rejected(&mut self, now: Duration, version: u64, saved: bool, reason: String) -> Action {
        self.record_rejection(Some(version), reason);
        if saved {
            return self.schedule_first_poll(now);
        }
        self.skipped_version = Some(version);
        self.poll()
    }

    /// Decodes a text whose checksum was verified, and checks that it may be applied.
    fn check(&self, text: &[u8], announced: Option<u64>) -> Result<Document, DocumentError> {
        let max_bytes = self.settings.max_bytes;
        if text.len() > max_bytes {
            return Err(DocumentError::TooLong { bytes: text.len() as u64, max_bytes });
        }
        let document = wire::decode(text)?;
        if document.fleet != self.settings.fleet {
            let wanted = self.settings.fleet.clone();
            return Err(DocumentError::OtherFleet { found: document.fleet, wanted });
        }
        let found = document.version;
        if let Some(announced) = announced.filter(|&announced| announced != found) {
            return Err(DocumentError::VersionMismatch { found, announced });
        }
        match self.active_version {
            Some(active) if found <= active => Err(DocumentError::NotNewer { found, active }),
            _ => Ok(document),
        }
    }

    fn handle_document(
        &mut self,
        now: Duration,
        text: Bytes,
        announced: Option<u64>,
        checksum: Option<u32>,
    ) -> Action {
        if let Err(error) = verify_checksum(&text, checksum) {
            return self.reject_document(now, None, &error);
        }
        match self.check(&text, announced) {
            // The source was asked not to send this version, and does so nevertheless.
            Ok(document) if Some(document.version) == self.skipped_version => {
                let reason = format!("version {} was sent again, which was refused", document.version);
                self.record_failure(now, reason)
            }
            Ok(document) => {
                self.record_reply();
                self.apply(document, Some(text))
            }
            Err(error) => self.reject_document(now, announced, &error),
        }
    }

    fn apply(&mut self, document: Document, text: Option<Bytes>) -> Action {
        self.activity = Activity::Applying { version: document.version, saved: text.is_none() };
        Action::ApplyConfiguration { document, text }
    }

    /// Rejects a text that is not applied. Where the version itself is invalid it is not fetched again; where
    /// the link or the source may be at fault, the next source is asked.
    fn reject_document(&mut self, now: Duration, version: Option<u64>, error: &DocumentError) -> Action {
        self.record_rejection(version, error.to_string());
        let newer = version.filter(|&version| version > self.active_version.unwrap_or(0));
        match newer.filter(|_| is_version_invalid(error)) {
            Some(version) if self.skipped_version != Some(version) => {
                self.record_reply();
                self.skipped_version = Some(version);
                self.poll()
            }
            _ => self.record_failure(now, error.to_string()),
        }
    }

    fn record_rejection(&mut self, version: Option<u64>, reason: String) {
        let is_known = self
            .last_rejection
            .as_ref()
            .is_some_and(|(known_version, known)| Some(*known_version) == version && *known == reason);
        if let Some(version) = version {
            self.last_rejection = Some((version, reason.clone()));
        }
        // While requests fail, the failure was reported already.
        if !is_known && self.failures == 0 {
            self.events.push(FollowerEvent::Rejected { version, reason });
        }
    }

    fn record_reply(&mut self) {
        self.last_replied = Some(self.source);
        if self.failures > 0 {
            self.failures = 0;
            self.events.push(FollowerEvent::SourceRecovered { source: self.source });
        }
    }

    /// Backs off, exponentially and with jitter, and turns to the next source.
    fn record_failure(&mut self, now: Duration, reason: String) -> Action {
        if self.failures == 0 {
            self.events.push(FollowerEvent::SourceFailed { source: self.source, reason });
        }
        self.failures = self.failures.saturating_add(1);
        self.source = (self.source + 1) % self.settings.sources.len();
        let doubled = MIN_BACKOFF.saturating_mul(1 << (self.failures - 1).min(8));
        let max_backoff = doubled.min(MAX_BACKOFF);
        self.activity = Activity::BackingOff;
        Action::WaitUntil(now + max_backoff / 2 + self.random_duration(max_backoff / 2))
    }

    /// The first request is sent at a random time within [`MAX_BACKOFF`], so that a fleet that starts at once
    /// does not send its requests at once.
    fn schedule_first_poll(&mut self, now: Duration) -> Action {
        self.activity = Activity::BackingOff;
        Action::WaitUntil(now + self.random_duration(MAX_BACKOFF))
    }

    /// A random duration from zero to `max`, evenly distributed.
    fn random_duration(&mut self, max: Duration) -> Duration {
        self.random_state = mix(self.random_state);
        max.mul_f64((self.random_state >> 11) as f64 / (1u64 << 53) as f64)
    }

    /// Requests a newer version. The time-out is drawn from the upper quarter of the settings': schedulers
    /// that received one document together do not go on sending requests together.
    fn poll(&mut self) -> Action {
        self.activity = Activity::Polling;
        let max_timeout = self.settings.poll_timeout;
        let timeout = max_timeout - self.random_duration(max_timeout / 4);
        let request = PollRequest {
            fleet: self.settings.fleet.clone(),
            name: self.settings.name.clone(),
            active_version: self.active_version.unwrap_or(0),
            rejected_version: self.skipped_version,
            timeout,
        };
        Action::Poll { source: self.source, request, timeout: timeout + REPLY_SLACK }
    }
}

/// Whether the version itself is invalid, so that every source would send the same text.
fn is_version_invalid(error: &DocumentError) -> bool {
    !matches!(
        error,
        DocumentError::NoChecksum
            | DocumentError::ChecksumMismatch { .. }
            | DocumentError::OtherFleet { .. }
            | DocumentError::NotNewer { .. }
            | DocumentError::VersionMismatch { .. }
    )
}

fn verify_checksum(text: &[u8], checksum: Option<u32>) -> Result<(), DocumentError> {
    let found = crc32c::crc32c(text);
    match checksum {
        None => Err(DocumentError::NoChecksum),
        Some(wanted) if wanted != found => Err(DocumentError::ChecksumMismatch { found, wanted }),
        Some(_) => Ok(()),
    }
}

/// The hash FNV-1a, 64 bits.
fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

// The bound that operators rely on, three seconds, holds at the default time-out.
const _: () = assert!(super::worst_path(LONG_POLL_TIMEOUT).as_millis() < 3000);

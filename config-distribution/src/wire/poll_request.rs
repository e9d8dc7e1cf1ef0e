//! A scheduler's request for a document: a long poll, in the query of a GET.

use super::endpoints::PATH;
use super::name::{MAX_NAME, NAME_WANTED, faulty_name};
use std::fmt::Write;
use std::time::Duration;

/// The longest time that a source leaves a request pending, in milliseconds, whatever the request asks for.
pub const MAX_HOLD_MS: u64 = 60_000;

/// A request for a document newer than the active one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// The scheduler's fleet.
    pub fleet: String,
    /// The scheduler's name.
    pub name: String,
    /// The version active there; 0 while only the scheduler's own files apply.
    pub active_version: u64,
    /// A version that the scheduler rejected and that is not to be sent again.
    pub rejected_version: Option<u64>,
    /// How long the request may stay pending while there is no newer version.
    pub timeout: Duration,
}

/// Why a request is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PollRequestError {
    /// A key is missing.
    #[error("{0}: missing")]
    MissingKey(&'static str),
    /// A key is not known.
    #[error("{0}: unknown; fleet, name, have, hold_ms and refused are known")]
    UnknownKey(String),
    /// A key appears twice.
    #[error("{0}: said twice")]
    DuplicateKey(&'static str),
    /// A key holds an invalid value.
    #[error("{key}: {found:?}; {wanted} is wanted")]
    InvalidValue {
        /// The key.
        key: &'static str,
        /// The value found, cut at [`MAX_NAME`] characters.
        found: String,
        /// What is valid there.
        wanted: &'static str,
    },
}

impl PollRequest {
    /// The path and query of the request.
    pub fn target(&self) -> String {
        let PollRequest { fleet, name, active_version, rejected_version, timeout } = self;
        let refused = rejected_version.map(|version| format!("&refused={version}")).unwrap_or_default();
        let (fleet, name, hold_ms) = (escape(fleet), escape(name), timeout.as_millis());
        format!("{PATH}?fleet={fleet}&name={name}&have={active_version}&hold_ms={hold_ms}{refused}")
    }

    /// Decodes the query of a request. A time-out above [`MAX_HOLD_MS`] is lowered to that.
    ///
    /// # Errors
    /// [`PollRequestError`], naming the key.
    pub fn decode(query: &str) -> Result<Self, PollRequestError> {
        let values = Values::split(query)?;
        let fleet = values.name(Key::Fleet)?;
        let name = values.name(Key::Name)?;
        let active_version = values.required_number(Key::Have)?;
        let hold_ms = values.required_number(Key::HoldMs)?;
        let rejected_version = values.number(Key::Refused)?;
        let timeout = Duration::from_millis(hold_ms.min(MAX_HOLD_MS));
        Ok(PollRequest { fleet, name, active_version, rejected_version, timeout })
    }
}

/// The keys of a query.
#[derive(Clone, Copy)]
enum Key {
    Fleet,
    Name,
    Have,
    HoldMs,
    Refused,
}

impl Key {
    const ALL: [Key; 5] = [Key::Fleet, Key::Name, Key::Have, Key::HoldMs, Key::Refused];

    fn text(self) -> &'static str {
        match self {
            Key::Fleet => "fleet",
            Key::Name => "name",
            Key::Have => "have",
            Key::HoldMs => "hold_ms",
            Key::Refused => "refused",
        }
    }
}

/// The values of a query by [`Key`], as they came.
struct Values<'a>([Option<&'a str>; Key::ALL.len()]);

impl<'a> Values<'a> {
    fn split(query: &'a str) -> Result<Self, PollRequestError> {
        let mut values = [None; Key::ALL.len()];
        for part in query.split('&').filter(|part| !part.is_empty()) {
            let (text, value) = part.split_once('=').unwrap_or((part, ""));
            let Some(key) = Key::ALL.into_iter().find(|key| key.text() == text) else {
                return Err(PollRequestError::UnknownKey(text.chars().take(MAX_NAME).collect()));
            };
            if values[key as usize].replace(value).is_some() {
                return Err(PollRequestError::DuplicateKey(key.text()));
            }
        }
        Ok(Values(values))
    }

    fn get(&self, key: Key) -> Option<&'a str> {
        self.0[key as usize]
    }

    fn name(&self, key: Key) -> Result<String, PollRequestError> {
        let found = self.get(key).ok_or(PollRequestError::MissingKey(key.text()))?;
        let name = unescape(found).filter(|name| faulty_name(name).is_none());
        name.ok_or_else(|| invalid_value(key, found, NAME_WANTED))
    }

    fn number(&self, key: Key) -> Result<Option<u64>, PollRequestError> {
        let Some(found) = self.get(key) else { return Ok(None) };
        // `parse` accepts a leading sign, which is not valid here.
        let digits = Some(found).filter(|found| found.bytes().all(|byte| byte.is_ascii_digit()));
        let number = digits.and_then(|digits| digits.parse::<u64>().ok());
        number.map(Some).ok_or_else(|| invalid_value(key, found, "a whole number"))
    }

    fn required_number(&self, key: Key) -> Result<u64, PollRequestError> {
        self.number(key)?.ok_or(PollRequestError::MissingKey(key.text()))
    }
}

fn invalid_value(key: Key, found: &str, wanted: &'static str) -> PollRequestError {
    PollRequestError::InvalidValue { key: key.text(), found: found.chars().take(MAX_NAME).collect(), wanted }
}

/// Percent-encodes all but the unreserved characters of RFC 3986, section 2.3.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => escaped.push(byte as char),
            _ => _ = write!(escaped, "%{byte:02X}"),
        }
    }
    escaped
}

/// The inverse of [`escape`]; `None` for an incomplete escape or text that is not UTF-8.
fn unescape(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        let digit = |byte: Option<u8>| char::from(byte?).to_digit(16);
        bytes.push(match byte {
            b'%' => (digit(rest.next())? * 16 + digit(rest.next())?) as u8,
            byte => byte,
        });
    }
    String::from_utf8(bytes).ok()
}

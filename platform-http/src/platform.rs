//! The platform's headers and the forms of what stands in them. Reading is strict: what is not in the stated
//! form is `None`, never a guess.

use http::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

/// A request's id, from its client to its node; fresh on every request, a retry included.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// The request's class, also the first part of its path.
pub const CLASS: HeaderName = HeaderName::from_static("x-service-class");
/// The plan of the request's volume.
pub const PLAN: HeaderName = HeaderName::from_static("tier");
/// How long the sender will wait, from its last byte on.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
/// Units, shard and hosts of a request.
pub const EXTRAS: HeaderName = HeaderName::from_static("io-info");
/// `1` on a client's own retry.
pub const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
/// `1` on a node's answer to what it never ran.
pub const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// Where a scheduler says whether it takes work.
pub const READY_PATH: &str = "/-/ready";

/// A century: more than any client waits, and still adds up with the clock.
const LONGEST: f64 = 3.2e9;

/// Reads a time such as `480m` (milliseconds) or `480000u` (microseconds).
pub fn read_time(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let per_second = match unit {
        "m" => 1e3,
        "u" => 1e6,
        _ => return None,
    };
    let seconds = number.parse::<f64>().ok()? / per_second;
    (0.0..LONGEST).contains(&seconds).then(|| Duration::from_secs_f64(seconds))
}

/// Writes a time in microseconds, as `read_time` reads it.
pub fn write_time(time: Duration) -> HeaderValue {
    HeaderValue::try_from(format!("{}u", time.as_micros())).expect("digits and a letter")
}

/// Reads `Retry-After`: seconds, whole or decimal. A date, a negative number, text, or a header that stands
/// twice tells nothing.
pub fn read_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let mut values = headers.get_all(http::header::RETRY_AFTER).iter();
    let value = values.next().filter(|_| values.next().is_none())?.to_str().ok()?.trim();
    // Digits and one dot: `f64` would also read `inf`, `1e9` and `-0`.
    let decimal = value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = value.parse().ok().filter(|_| decimal)?;
    (0.0..LONGEST).contains(&seconds).then(|| Duration::from_secs_f64(seconds))
}

/// Reads 16 hex digits, the form of volumes and pieces in a path.
pub fn read_hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// The path of one piece of data.
pub fn write_path(class: &str, volume: u64, piece: u64) -> String {
    format!("/{class}/{volume:016x}/{piece:016x}")
}

/// Whether a class's name can stand in a path as it is.
pub fn fits_path(class: &str) -> bool {
    !class.is_empty() && class.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte))
}

/// What `IO-Info` states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Extras {
    /// The request's size.
    pub units: f64,
    /// The shard that holds the data; `None` (written -1) for a new object.
    pub shard: Option<u32>,
    /// Through how many schedulers requests of the volume arrive.
    pub hosts: f64,
}

impl Extras {
    /// Reads `units=2,shard=5,hosts=3`; shard -1 is a new object's.
    pub fn read(text: &str) -> Option<Extras> {
        let value = |name: &str| {
            let fields = text.split(',').filter_map(|field| field.split_once('='));
            fields.map(|(key, value)| (key.trim(), value.trim())).find(|(key, _)| *key == name)
        };
        let units = value("units")?.1.parse().ok().filter(|units: &f64| units.is_finite() && *units > 0.0)?;
        let shard: i64 = value("shard")?.1.parse().ok().filter(|&shard| shard >= -1)?;
        let hosts =
            value("hosts")?.1.parse().ok().filter(|hosts: &f64| hosts.is_finite() && *hosts >= 1.0)?;
        let shard = if shard < 0 { None } else { Some(u32::try_from(shard).ok()?) };
        Some(Extras { units, shard, hosts })
    }

    /// Writes it as `read` reads it.
    pub fn write(&self) -> HeaderValue {
        let shard = self.shard.map_or(-1, i64::from);
        let text = format!("units={},shard={shard},hosts={}", self.units, self.hosts);
        HeaderValue::try_from(text).expect("letters, digits and marks")
    }
}

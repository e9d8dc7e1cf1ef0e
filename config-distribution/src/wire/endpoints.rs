//! Paths and headers of a source's HTTP API.

/// Where a document is requested.
pub const PATH: &str = "/api/configuration";
/// Where a source reports which version is active in the fleet ([`State`](super::State)).
pub const STATE_PATH: &str = "/api/configuration/state";
/// Where a source reports on each scheduler ([`Schedulers`](super::Schedulers)).
pub const SCHEDULERS_PATH: &str = "/api/configuration/schedulers";
/// The header with the CRC-32C of the text, in eight hexadecimal digits.
pub const SUM_HEADER: &str = "x-crc32c";
/// The header with the version of the text, so that a text that cannot be decoded is not fetched again.
pub const VERSION_HEADER: &str = "x-version";

/// Decodes a checksum; `None` where the text is anything but eight hexadecimal digits.
pub fn parse_checksum(text: &str) -> Option<u32> {
    let is_valid = text.len() == 8 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if is_valid { u32::from_str_radix(text, 16).ok() } else { None }
}

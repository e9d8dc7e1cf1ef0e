//! Why a document is rejected.

use super::endpoints::SUM_HEADER;

/// Why a document is rejected. The texts are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// It came without its checksum.
    #[error("{SUM_HEADER}: missing; the text's crc32c in eight hexadecimal digits is wanted")]
    NoChecksum,
    /// It was damaged on its way.
    #[error("torn: its crc32c is {found:08x}, {wanted:08x} was sent with it")]
    ChecksumMismatch {
        /// The checksum of the text received.
        found: u32,
        /// The checksum sent with it.
        wanted: u32,
    },
    /// It is longer than the settings allow.
    #[error("{bytes} bytes long; at most {max_bytes} are taken (most_bytes)")]
    TooLong {
        /// Its length, as far as it is known.
        bytes: u64,
        /// The bound.
        max_bytes: usize,
    },
    /// It is not JSON, or not an object.
    #[error("not a JSON object: {0}")]
    Json(String),
    /// A key is missing.
    #[error("{0}: missing")]
    MissingKey(&'static str),
    /// A key is not known.
    #[error("{0}: unknown; fleet, version and keys are known")]
    UnknownKey(String),
    /// A key holds a value of the wrong kind.
    #[error("{key}: {found}; {wanted} is wanted")]
    InvalidValue {
        /// The key.
        key: &'static str,
        /// The value found.
        found: String,
        /// What is valid there.
        wanted: &'static str,
    },
    /// It is for another fleet.
    #[error("fleet: it is for {found:?}, this is {wanted:?}")]
    OtherFleet {
        /// The document's fleet.
        found: String,
        /// The fleet of this process.
        wanted: String,
    },
    /// Its version is not greater than the active one. Versions never go back.
    #[error("version: {found} is not newer than {active}, which is in force")]
    NotNewer {
        /// The document's version.
        found: u64,
        /// The active version.
        active: u64,
    },
    /// Its version is not the one announced with it.
    #[error("version: {found} in the text, {announced} announced with it")]
    VersionMismatch {
        /// The version in the text.
        found: u64,
        /// The version announced.
        announced: u64,
    },
    /// Its text differs from that of the same version published before. Schedulers that have this version
    /// would never fetch the change.
    #[error("version: {0} holds other keys than it did; a change needs a greater version")]
    ChangedWithoutVersion(u64),
}

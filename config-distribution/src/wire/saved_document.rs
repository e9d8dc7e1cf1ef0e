//! The saved form of a document: one line with version and checksum, then the text as it was received.
//!
//! Guards against a file that a crash or a hand left damaged: it is rejected as a whole.

use super::document::decode;
use super::endpoints::parse_checksum;
use super::error::DocumentError;

/// The start of a saved document; the number is the version of the form.
const HEADER: &str = "pointcross-configuration 1";

/// Why a saved document is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SavedDocumentError {
    /// The first line is not one of this form.
    #[error("first line: not {HEADER:?} with version and crc32c")]
    Header,
    /// The text is not the one that was saved.
    #[error("text: torn, its crc32c is {found:08x}, the first line says {wanted:08x}")]
    ChecksumMismatch {
        /// The checksum of the text found.
        found: u32,
        /// The checksum in the first line.
        wanted: u32,
    },
    /// The text is not a document, or not of the version in the first line.
    #[error("text: {0}")]
    Document(#[from] DocumentError),
}

/// Encodes a document's text for saving.
pub fn encode_saved(version: u64, text: &[u8]) -> Vec<u8> {
    let header = format!("{HEADER} version={version} crc32c={:08x}\n", crc32c::crc32c(text));
    [header.as_bytes(), text].concat()
}

/// Decodes a saved document and returns its text.
///
/// # Errors
/// [`SavedDocumentError`], saying where.
pub fn decode_saved(bytes: &[u8]) -> Result<&[u8], SavedDocumentError> {
    let end = bytes.iter().position(|&byte| byte == b'\n').ok_or(SavedDocumentError::Header)?;
    let (header, text) = (&bytes[..end], &bytes[end + 1..]);
    let header = parse_header(header).ok_or(SavedDocumentError::Header)?;
    let found = crc32c::crc32c(text);
    if found != header.checksum {
        return Err(SavedDocumentError::ChecksumMismatch { found, wanted: header.checksum });
    }
    let found = decode(text)?.version;
    if found != header.version {
        return Err(DocumentError::VersionMismatch { found, announced: header.version }.into());
    }
    Ok(text)
}

/// The values of the first line.
struct Header {
    version: u64,
    checksum: u32,
}

fn parse_header(line: &[u8]) -> Option<Header> {
    let values = std::str::from_utf8(line).ok()?.strip_prefix(HEADER)?.strip_prefix(" version=")?;
    let (version, checksum) = values.split_once(" crc32c=")?;
    Some(Header { version: version.parse().ok()?, checksum: parse_checksum(checksum)? })
}

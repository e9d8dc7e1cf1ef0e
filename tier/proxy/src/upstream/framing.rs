//! Where a response's body ends (RFC 9112, 6.3). Pure: headers in, framing out.

use super::error::AttemptError;
use http::{HeaderMap, StatusCode, header};

/// How much of a response's body is still to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// So many bytes.
    Length(u64),
    /// Chunked coding: so many bytes of the current chunk; `None` before a chunk's size line.
    Chunked(Option<u64>),
    /// All bytes until the server closes the connection.
    UntilClose,
    /// None: the response is complete.
    Complete,
}

impl Framing {
    /// The framing that a response's head states.
    ///
    /// # Errors
    ///
    /// [`AttemptError::Broken`] where the body's end can't be known: an unknown transfer coding, or several
    /// or malformed lengths. Guessing would let the remainder of a body pass for the next response.
    pub(super) fn of(status: StatusCode, headers: &HeaderMap) -> Result<Self, AttemptError> {
        if status.is_informational() || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
        {
            return Ok(Framing::Complete);
        }
        if let Some(coding) = headers.get(header::TRANSFER_ENCODING) {
            let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            return if is_chunked { Ok(Framing::Chunked(None)) } else { Err(AttemptError::Broken) };
        }
        let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
        match (lengths.next(), lengths.next()) {
            (None, _) => Ok(Framing::UntilClose),
            (Some(length), None) => {
                let length = length.to_str().ok().and_then(|length| length.trim().parse().ok());
                length.map(Framing::Length).ok_or(AttemptError::Broken)
            }
            (Some(_), Some(_)) => Err(AttemptError::Broken),
        }
    }
}

/// The chunk size that a size line states, in bytes; extensions behind a semicolon are ignored.
pub(super) fn chunk_size(size_line: &[u8]) -> Option<u64> {
    let line = std::str::from_utf8(size_line).ok()?;
    let digits = line.split(';').next().unwrap_or_default().trim();
    u64::from_str_radix(digits, 16).ok()
}

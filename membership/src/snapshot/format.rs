//! The format: a header, then records. Reading recovers: what is sound is used, and errors say where the rest is.
//!
//! ```text
//! header   "PXMEMBER" version(u32) crc32c(u32) of both
//! record   0xC3 length(u32) crc32c(u32) of length and payload, payload: JSON
//! ```
//!
//! All numbers are little-endian. A record is a node as it is now, a removed node, or the list as a whole.

use crate::decide::{SavedList, SavedNode};
use std::collections::BTreeMap;

/// The version that is written. What is read must have this or an earlier one.
pub const VERSION: u32 = 1;
const MAGIC: &[u8; 8] = b"PXMEMBER";
const HEADER_LENGTH: usize = 16;
/// The first byte of each record; broken bytes are skipped up to the next record whose checksum fits.
pub const RECORD_MARK: u8 = 0xc3;
const RECORD_HEADER_LENGTH: usize = 9;
/// A record's payload holds at most this much: an id and an address are far shorter.
const MAX_PAYLOAD: usize = 64 * 1024;

#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Record {
    Node(SavedNode),
    #[serde(rename = "gone")]
    Removed(String),
    List(SavedList),
}

/// What is wrong with a file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FormatError {
    /// It has no bytes.
    #[error("the file is empty")]
    Empty,
    /// It is not a snapshot.
    #[error("not a snapshot: it does not begin as one")]
    Foreign,
    /// The header's checksum does not fit.
    #[error("byte 0: the header is broken")]
    Header,
    /// A later program wrote it.
    #[error("version {0} is later than this program's {VERSION}")]
    Future(u32),
    /// Bytes that are no sound record.
    #[error("byte {at}: {length} bytes are no sound record, and were passed over")]
    Broken {
        /// Where they begin.
        at: usize,
        /// How many there are.
        length: usize,
    },
    /// The last record is cut short.
    #[error("byte {at}: the last record is cut short")]
    Torn {
        /// Where it begins.
        at: usize,
    },
}

/// What a file holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loaded {
    /// The list as a whole, where its record is sound.
    pub list: Option<SavedList>,
    /// The nodes, by id.
    pub nodes: Vec<SavedNode>,
    /// What is wrong with the rest.
    pub errors: Vec<FormatError>,
    /// Records that were sound.
    pub records: usize,
}

pub(crate) fn header() -> [u8; HEADER_LENGTH] {
    let mut header = [0; HEADER_LENGTH];
    header[..8].copy_from_slice(MAGIC);
    header[8..12].copy_from_slice(&VERSION.to_le_bytes());
    let sum = crc32c::crc32c(&header[..12]);
    header[12..].copy_from_slice(&sum.to_le_bytes());
    header
}

/// One record's bytes, for a node.
pub fn encode_record(node: &SavedNode) -> Vec<u8> {
    encode(&Record::Node(node.clone()))
}

pub(crate) fn encode(record: &Record) -> Vec<u8> {
    let payload = serde_json::to_vec(record).expect("plain values");
    let length = (payload.len() as u32).to_le_bytes();
    let sum = crc32c::crc32c_append(crc32c::crc32c(&length), &payload).to_le_bytes();
    [&[RECORD_MARK][..], &length, &sum, &payload].concat()
}

/// A whole file: header, list and nodes.
pub fn encode_image(list: &SavedList, nodes: &[SavedNode]) -> Vec<u8> {
    let mut bytes = header().to_vec();
    bytes.extend(encode(&Record::List(list.clone())));
    for node in nodes {
        bytes.extend(encode_record(node));
    }
    bytes
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// A sound record at this offset, with its end.
///
/// # Errors
/// Whether it could be a record that is cut short.
fn read_record(bytes: &[u8], at: usize) -> Result<(Record, usize), bool> {
    if bytes[at] != RECORD_MARK {
        return Err(false);
    }
    let (Some(length), Some(sum)) = (read_u32(bytes, at + 1), read_u32(bytes, at + 5)) else {
        return Err(true);
    };
    let length = length as usize;
    if length > MAX_PAYLOAD {
        return Err(false);
    }
    let Some(payload) = bytes.get(at + RECORD_HEADER_LENGTH..at + RECORD_HEADER_LENGTH + length) else {
        return Err(true);
    };
    if crc32c::crc32c_append(crc32c::crc32c(&bytes[at + 1..at + 5]), payload) != sum {
        return Err(false);
    }
    let record = serde_json::from_slice(payload).map_err(|_| false)?;
    Ok((record, at + RECORD_HEADER_LENGTH + length))
}

/// Reads a file's bytes; what is sound is used.
pub fn decode(bytes: &[u8]) -> Loaded {
    let mut loaded = Loaded::default();
    let failed = |fault| Loaded { errors: vec![fault], ..Loaded::default() };
    if bytes.is_empty() {
        return failed(FormatError::Empty);
    }
    if bytes.len() < HEADER_LENGTH || &bytes[..8] != MAGIC {
        // A header that was being written when the power went is a torn one, not another program's file.
        let torn = bytes.len() < HEADER_LENGTH && header().starts_with(bytes);
        return failed(if torn { FormatError::Torn { at: 0 } } else { FormatError::Foreign });
    }
    if read_u32(bytes, 12) != Some(crc32c::crc32c(&bytes[..12])) {
        return failed(FormatError::Header);
    }
    match read_u32(bytes, 8) {
        Some(version) if version <= VERSION => {}
        version => return failed(FormatError::Future(version.unwrap_or(0))),
    }
    let mut nodes: BTreeMap<String, SavedNode> = BTreeMap::new();
    let (mut at, mut broken_since, mut torn) = (HEADER_LENGTH, None, false);
    while at < bytes.len() {
        match read_record(bytes, at) {
            Ok((record, end)) => {
                if let Some(from) = broken_since.take() {
                    loaded.errors.push(FormatError::Broken { at: from, length: at - from });
                }
                loaded.records += 1;
                match record {
                    Record::Node(node) => _ = nodes.insert(node.name.clone(), node),
                    Record::Removed(name) => _ = nodes.remove(&name),
                    Record::List(list) => loaded.list = Some(list),
                }
                (at, torn) = (end, false);
            }
            Err(short) => {
                torn |= short && broken_since.is_none();
                broken_since.get_or_insert(at);
                at += 1;
                // On to the next byte that could begin a record.
                at += bytes[at..].iter().position(|&byte| byte == RECORD_MARK).unwrap_or(bytes.len() - at);
            }
        }
    }
    if let Some(from) = broken_since {
        let length = bytes.len() - from;
        loaded.errors.push(if torn {
            FormatError::Torn { at: from }
        } else {
            FormatError::Broken { at: from, length }
        });
    }
    loaded.nodes = nodes.into_values().collect();
    loaded
}

//! The bytes of file headers and records, as `docs/formats/storage.md` describes them.
//!
//! Guarantees that bytes which were not written as the next record of this use of the file are never read as
//! one: each record's checksum continues that of the record before it, and the first one that of the file
//! header with its generation. All numbers are little-endian; checksums are CRC-32.

/// The first bytes of every file of a ring; the last one is the version of the format.
pub const MAGIC: [u8; 8] = *b"pcring\0\x01";
/// The length of a file's header in bytes: magic (8), generation (8), checksum (4).
pub const FILE_HEADER_LENGTH: usize = 20;
/// The length of a record's header in bytes: length of the body (4), checksum (4).
pub const RECORD_HEADER_LENGTH: usize = 8;

/// The checksum of a file's header, which its first record's checksum continues.
pub fn file_checksum(generation: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&MAGIC);
    hasher.update(&generation.to_le_bytes());
    hasher.finalize()
}

/// The header of a file in this generation.
pub fn file_header(generation: u64) -> [u8; FILE_HEADER_LENGTH] {
    let mut header = [0; FILE_HEADER_LENGTH];
    header[..8].copy_from_slice(&MAGIC);
    header[8..16].copy_from_slice(&generation.to_le_bytes());
    header[16..].copy_from_slice(&file_checksum(generation).to_le_bytes());
    header
}

/// The generation in a file's header; `None` where the header is incomplete or damaged.
pub fn read_file_header(bytes: &[u8]) -> Option<u64> {
    let header = bytes.get(..FILE_HEADER_LENGTH)?;
    let generation = u64::from_le_bytes(header[8..16].try_into().ok()?);
    (header == file_header(generation)).then_some(generation)
}

/// The checksum of a record that follows one with the checksum `previous`.
fn record_checksum(previous: u32, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&previous.to_le_bytes());
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// Appends a record that follows one with the checksum `previous`. Returns its own checksum.
pub fn write_record(previous: u32, body: &[u8], buffer: &mut Vec<u8>) -> u32 {
    let checksum = record_checksum(previous, body);
    buffer.extend_from_slice(&(body.len() as u32).to_le_bytes());
    buffer.extend_from_slice(&checksum.to_le_bytes());
    buffer.extend_from_slice(body);
    checksum
}

/// Iterates over the bodies of the complete records at the start of some bytes, up to the first that isn't
/// one.
pub struct RecordReader<'a> {
    /// The checksum of the last record read, or the one that the first record continues.
    pub checksum: u32,
    /// The bytes after the last record read.
    pub rest: &'a [u8],
}

impl<'a> Iterator for RecordReader<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<&'a [u8]> {
        let (header, after_header) = self.rest.split_at_checked(RECORD_HEADER_LENGTH)?;
        let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
        let checksum = u32::from_le_bytes(header[4..].try_into().ok()?);
        // Unused bytes of a file are zero: they are no record of length zero.
        if length == 0 {
            return None;
        }
        let (body, after_body) = after_header.split_at_checked(length)?;
        if record_checksum(self.checksum, body) != checksum {
            return None;
        }
        self.checksum = checksum;
        self.rest = after_body;
        Some(body)
    }
}

/// The length of the record that begins here, with its header, as the header says; `None` where the header is
/// incomplete or the bytes are unused.
pub fn record_length(bytes: &[u8]) -> Option<usize> {
    let length = bytes.first_chunk::<4>().map(|bytes| u32::from_le_bytes(*bytes) as usize)?;
    (bytes.len() >= RECORD_HEADER_LENGTH && length > 0).then_some(RECORD_HEADER_LENGTH + length)
}

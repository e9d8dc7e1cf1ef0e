//! NBD's messages: bytes to small typed values, and back. Numbers are big-endian throughout.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};

const GREETING_MAGIC: u64 = 0x4e42_444d_4147_4943;
const OPTION_MAGIC: u64 = 0x4948_4156_454f_5054;
const OPTION_REPLY_MAGIC: u64 = 0x0003_e889_0455_65a9;
const REQUEST_MAGIC: u32 = 0x2560_9513;
const SIMPLE_REPLY_MAGIC: u32 = 0x6744_6698;
const STRUCTURED_REPLY_MAGIC: u32 = 0x668e_33ef;

const FLAG_FIXED_NEWSTYLE: u16 = 1;
const FLAG_NO_ZEROES: u16 = 1 << 1;
const FLAG_HAS_FLAGS: u16 = 1;
const FLAG_READ_ONLY: u16 = 1 << 1;
const INFO_EXPORT: u16 = 0;
const INFO_BLOCK_SIZE: u16 = 3;
/// The zeroes after an export's flags, for clients that don't do without.
const ZEROES: usize = 124;
/// An option's data is a name and a few numbers; more is no option.
const MAX_OPTION: u32 = 16 * 1024;
/// The protocol's limit on names and messages.
const MAX_STRING: usize = 4096;

/// The most that one command may carry or ask for; told in every INFO and GO.
pub const MAX_PAYLOAD: u32 = 256 * 1024;

/// Why a session cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The connection ended or broke.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// What should be a message is none.
    #[error("bad magic: {0:#x}")]
    Magic(u64),
    /// The client's flags ask for what was not offered.
    #[error("unknown client flags: {0:#x}")]
    Flags(u32),
    /// A length beyond the protocol's limits, or ours.
    #[error("a length of {0} bytes is over the limit")]
    Oversized(u32),
}

/// Errors that a command's reply may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Errno {
    /// Not allowed on this export.
    Perm = 1,
    /// Refused or failed.
    Io = 5,
    /// Not understood, or not aligned.
    Invalid = 22,
    /// A write beyond the end.
    NoSpace = 28,
    /// The server is stopping.
    Shutdown = 108,
}

/// Refusals of an option.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum OptionError {
    /// Not an option of this server.
    Unsupported = (1 << 31) + 1,
    /// Its data does not fit it.
    Invalid = (1 << 31) + 3,
    /// No such export.
    Unknown = (1 << 31) + 6,
    /// The server is stopping.
    Shutdown = (1 << 31) + 7,
}

/// An option in negotiation.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientOption {
    /// Begin transmission at once, or end the session.
    ExportName(String),
    /// End the session in good order.
    Abort,
    /// Name the exports.
    List,
    /// Tell of an export.
    Info(String),
    /// Tell of an export and begin transmission.
    Go(String),
    /// Structured replies from now on.
    StructuredReply,
    /// One of the above whose data does not fit it.
    Malformed,
    /// Any other.
    Other,
}

/// Writes the server's first message.
pub fn greeting() -> Bytes {
    let mut out = BytesMut::with_capacity(18);
    out.put_u64(GREETING_MAGIC);
    out.put_u64(OPTION_MAGIC);
    out.put_u16(FLAG_FIXED_NEWSTYLE | FLAG_NO_ZEROES);
    out.freeze()
}

/// Reads the client's flags; true where it does without the zeroes.
///
/// # Errors
/// A connection that broke or ended, or flags that are not known.
pub async fn read_client_flags(input: &mut (impl AsyncRead + Unpin)) -> Result<bool, WireError> {
    let flags = input.read_u32().await?;
    let offered = u32::from(FLAG_FIXED_NEWSTYLE | FLAG_NO_ZEROES);
    if flags & !offered != 0 || flags & u32::from(FLAG_FIXED_NEWSTYLE) == 0 {
        return Err(WireError::Flags(flags));
    }
    Ok(flags & u32::from(FLAG_NO_ZEROES) != 0)
}

/// Reads one option with its number.
///
/// # Errors
/// A connection that broke or ended, or an option that breaks the protocol.
pub async fn read_option(input: &mut (impl AsyncRead + Unpin)) -> Result<(u32, ClientOption), WireError> {
    let magic = input.read_u64().await?;
    if magic != OPTION_MAGIC {
        return Err(WireError::Magic(magic));
    }
    let number = input.read_u32().await?;
    let length = input.read_u32().await?;
    if length > MAX_OPTION {
        return Err(WireError::Oversized(length));
    }
    let data = read_payload(input, length).await?;
    let option = match number {
        1 => name(&data).map_or(ClientOption::Malformed, ClientOption::ExportName),
        2 => ClientOption::Abort,
        3 if data.is_empty() => ClientOption::List,
        6 => asked_export(data).map_or(ClientOption::Malformed, ClientOption::Info),
        7 => asked_export(data).map_or(ClientOption::Malformed, ClientOption::Go),
        8 if data.is_empty() => ClientOption::StructuredReply,
        3 | 8 => ClientOption::Malformed,
        _ => ClientOption::Other,
    };
    Ok((number, option))
}

async fn read_payload(input: &mut (impl AsyncRead + Unpin), length: u32) -> io::Result<Bytes> {
    let mut data = vec![0; length as usize];
    input.read_exact(&mut data).await?;
    Ok(data.into())
}

fn name(bytes: &[u8]) -> Option<String> {
    let fits = bytes.len() <= MAX_STRING;
    fits.then(|| String::from_utf8(bytes.to_vec()).ok()).flatten()
}

/// The export that INFO or GO asks for. The list of wanted details is checked and passed over: all that
/// there is to tell is always told.
fn asked_export(mut data: Bytes) -> Option<String> {
    let length = data.try_get_u32().ok()? as usize;
    let export = name(data.get(..length)?)?;
    data.advance(length);
    let wanted = usize::from(data.try_get_u16().ok()?);
    (data.len() == wanted * 2).then_some(export)
}

/// What a client is told of an export.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Geometry {
    /// Bytes in all.
    pub size: u64,
    /// Bytes of a block.
    pub block: u32,
    /// Whether writes are out.
    pub read_only: bool,
}

impl Geometry {
    fn flags(self) -> u16 {
        // Neither FLUSH nor FUA nor TRIM: the stores promise nothing of the kind.
        FLAG_HAS_FLAGS | if self.read_only { FLAG_READ_ONLY } else { 0 }
    }
}

/// The server's replies in negotiation.
#[derive(Clone, Debug, PartialEq)]
pub enum OptionReply {
    /// Done.
    Ack,
    /// One export's name.
    Server(String),
    /// An export's size and flags.
    Export(Geometry),
    /// An export's block sizes.
    BlockSize(Geometry),
    /// Not done.
    Error(OptionError),
}

/// Writes a reply to the option of this number.
pub fn put_option_reply(out: &mut BytesMut, number: u32, reply: &OptionReply) {
    let mut data = BytesMut::new();
    let kind = match reply {
        OptionReply::Ack => 1,
        OptionReply::Server(name) => {
            data.put_u32(name.len() as u32);
            data.put_slice(name.as_bytes());
            2
        }
        OptionReply::Export(geometry) => {
            data.put_u16(INFO_EXPORT);
            data.put_u64(geometry.size);
            data.put_u16(geometry.flags());
            3
        }
        OptionReply::BlockSize(geometry) => {
            data.put_u16(INFO_BLOCK_SIZE);
            data.put_u32(geometry.block);
            data.put_u32(geometry.block);
            data.put_u32(MAX_PAYLOAD);
            3
        }
        OptionReply::Error(error) => *error as u32,
    };
    out.put_u64(OPTION_REPLY_MAGIC);
    out.put_u32(number);
    out.put_u32(kind);
    out.put_u32(data.len() as u32);
    out.put_slice(&data);
}

/// Writes the answer to EXPORT_NAME.
pub fn put_export(out: &mut BytesMut, geometry: Geometry, no_zeroes: bool) {
    out.put_u64(geometry.size);
    out.put_u16(geometry.flags());
    out.put_bytes(0, if no_zeroes { 0 } else { ZEROES });
}

/// What a command asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Bytes from here on.
    Read {
        /// How many.
        length: u32,
    },
    /// These bytes from here on.
    Write(Bytes),
    /// End the session.
    Disconnect,
    /// Anything that was not offered, flags included.
    Other,
}

/// A command with its envelope.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Comes back with every reply.
    pub cookie: u64,
    /// Where it starts.
    pub offset: u64,
    /// What it asks for.
    pub command: Command,
}

/// Reads one command, with a write's data.
///
/// # Errors
/// A connection that broke or ended, or a request that breaks the protocol.
pub async fn read_request(
    input: &mut (impl AsyncRead + Unpin),
    within: Duration,
) -> Result<Request, WireError> {
    let first = input.read_u8().await?;
    // Guards against a client that stops in the middle of a command and keeps its session for ever.
    let rest = tokio::time::timeout(within, read_rest(first, input));
    rest.await.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn read_rest(first: u8, input: &mut (impl AsyncRead + Unpin)) -> Result<Request, WireError> {
    let mut magic = [first, 0, 0, 0];
    input.read_exact(&mut magic[1..]).await?;
    let magic = u32::from_be_bytes(magic);
    if magic != REQUEST_MAGIC {
        return Err(WireError::Magic(magic.into()));
    }
    let flags = input.read_u16().await?;
    let kind = input.read_u16().await?;
    let cookie = input.read_u64().await?;
    let offset = input.read_u64().await?;
    let length = input.read_u32().await?;
    // Other commands' lengths (TRIM's, say) claim no room here.
    if length > MAX_PAYLOAD && kind <= 1 {
        return Err(WireError::Oversized(length));
    }
    let command = match kind {
        0 if flags == 0 => Command::Read { length },
        1 => {
            let data = read_payload(input, length).await?;
            if flags == 0 { Command::Write(data) } else { Command::Other }
        }
        2 => Command::Disconnect,
        _ => Command::Other,
    };
    Ok(Request { cookie, offset, command })
}

/// A piece of a command's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Done, whatever errors came before.
    Done,
    /// A block's bytes.
    Data {
        /// Where they stand.
        offset: u64,
        /// The bytes.
        data: Bytes,
    },
    /// Something went wrong.
    Error {
        /// With the block at this offset, where it was one block.
        offset: Option<u64>,
        /// What.
        errno: Errno,
        /// Why, and when to come back.
        message: String,
    },
}

/// Writes a simple reply: an error, or success with a read's data.
pub fn simple_reply(cookie: u64, outcome: Result<&[u8], Errno>) -> Bytes {
    let (errno, data) = match outcome {
        Ok(data) => (0, data),
        Err(errno) => (errno as u32, [].as_slice()),
    };
    let mut out = BytesMut::with_capacity(16 + data.len());
    out.put_u32(SIMPLE_REPLY_MAGIC);
    out.put_u32(errno);
    out.put_u64(cookie);
    out.put_slice(data);
    out.freeze()
}

/// Writes one chunk of a structured reply.
pub fn chunk(cookie: u64, reply: &Reply) -> Bytes {
    let mut payload = BytesMut::new();
    let (flags, kind) = match reply {
        Reply::Done => (1, 0),
        Reply::Data { offset, data } => {
            payload.put_u64(*offset);
            payload.put_slice(data);
            (0, 1)
        }
        Reply::Error { offset, errno, message } => {
            let message = &message.as_bytes()[..message.floor_char_boundary(MAX_STRING)];
            payload.put_u32(*errno as u32);
            payload.put_u16(message.len() as u16);
            payload.put_slice(message);
            if let Some(offset) = offset {
                payload.put_u64(*offset);
            }
            (0, (1 << 15) + if offset.is_some() { 2 } else { 1 })
        }
    };
    let mut out = BytesMut::with_capacity(20 + payload.len());
    out.put_u32(STRUCTURED_REPLY_MAGIC);
    out.put_u16(flags);
    out.put_u16(kind);
    out.put_u64(cookie);
    out.put_u32(payload.len() as u32);
    out.put_slice(&payload);
    out.freeze()
}

//! The wire's frames: bytes to events, actions to bytes.

use bytes::{Buf, BufMut, TryGetError};
use pointcross_scheduler::{
    Action, AttemptEnd, Event, ListKind, NodeEntry, NodeId, NodeState, Outcome, Request,
};
use std::io::{self, Read};

const HEADER_BYTES: usize = 16;
/// No round comes near this; a length beyond it is a broken header, not a round.
const MAX_BODY_BYTES: u32 = 1 << 30;

/// What is wrong with a frame; offsets count from the start of the frame.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Input ended inside a frame.
    #[error("offset {offset}: input ends inside a frame, {wanted} bytes were still to come")]
    CutShort {
        /// Where input ended.
        offset: usize,
        /// What is missing.
        wanted: usize,
    },
    /// The header's length is beyond all reason.
    #[error("offset 4: a frame of {length} bytes is over the limit of {MAX_BODY_BYTES}")]
    Oversized {
        /// As stated.
        length: u32,
    },
    /// A record wants more bytes than the frame has.
    #[error("offset {offset}: record needs {wanted} more bytes, the frame has {left}")]
    RecordCut {
        /// Where the field starts.
        offset: usize,
        /// Bytes wanted.
        wanted: usize,
        /// Bytes left.
        left: usize,
    },
    /// Bytes are left after the last record.
    #[error("offset {offset}: {left} bytes are left after the last record")]
    Surplus {
        /// Where they start.
        offset: usize,
        /// How many.
        left: usize,
    },
    /// A code that the wire does not describe.
    #[error("offset {offset}: unknown {what} code {code}")]
    UnknownCode {
        /// Where it stands.
        offset: usize,
        /// What it should have named.
        what: &'static str,
        /// The code.
        code: u32,
    },
    /// A clock that is not a number.
    #[error("offset 8: the clock is not a finite number")]
    BadClock,
    /// An instance that was never created, or was killed.
    #[error("offset {offset}: event for instance {instance}, which is not running")]
    NoInstance {
        /// Where the record starts.
        offset: usize,
        /// The instance.
        instance: u32,
    },
    /// Reading failed.
    #[error("cannot read input: {0}")]
    Io(#[from] io::Error),
}

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// An instance starts.
    Create {
        /// Seed of its random numbers.
        seed: u64,
        /// Settings text.
        config: Vec<u8>,
    },
    /// An instance was killed.
    Crash,
    /// An event for its module.
    Event(Event),
}

/// A batch as it was read.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// The clock, in milliseconds.
    pub now: f64,
    /// Offset, instance and record, in order.
    pub records: Vec<(usize, u32, Record)>,
}

/// Reads one frame; `None` at a clean end of input.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
    let mut header = Vec::with_capacity(HEADER_BYTES);
    input.by_ref().take(HEADER_BYTES as u64).read_to_end(&mut header)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < HEADER_BYTES {
        let offset = header.len();
        return Err(WireError::CutShort { offset, wanted: HEADER_BYTES - offset });
    }
    let mut fields = header.as_slice();
    let (count, length, now) = (fields.get_u32_le(), fields.get_u32_le(), fields.get_f64_le());
    if length > MAX_BODY_BYTES {
        return Err(WireError::Oversized { length });
    }
    if !now.is_finite() {
        return Err(WireError::BadClock);
    }
    let mut body = Vec::new();
    input.by_ref().take(u64::from(length)).read_to_end(&mut body)?;
    if body.len() < length as usize {
        let wanted = length as usize - body.len();
        return Err(WireError::CutShort { offset: HEADER_BYTES + body.len(), wanted });
    }
    let mut cursor = Cursor { rest: &body, total: body.len() };
    let mut records = Vec::new();
    for _ in 0..count {
        let offset = cursor.offset();
        let (instance, record) = cursor.record()?;
        records.push((offset, instance, record));
    }
    match cursor.rest.len() {
        0 => Ok(Some(Batch { now, records })),
        left => Err(WireError::Surplus { offset: cursor.offset(), left }),
    }
}

struct Cursor<'a> {
    rest: &'a [u8],
    total: usize,
}

impl Cursor<'_> {
    fn offset(&self) -> usize {
        HEADER_BYTES + self.total - self.rest.len()
    }

    fn get<T>(&mut self, read: impl FnOnce(&mut &[u8]) -> Result<T, TryGetError>) -> Result<T, WireError> {
        let offset = self.offset();
        read(&mut self.rest).map_err(|e| WireError::RecordCut {
            offset,
            wanted: e.requested,
            left: e.available,
        })
    }

    fn u8(&mut self) -> Result<u8, WireError> {
        self.get(|b| b.try_get_u8())
    }

    fn u16(&mut self) -> Result<u16, WireError> {
        self.get(|b| b.try_get_u16_le())
    }

    fn u32(&mut self) -> Result<u32, WireError> {
        self.get(|b| b.try_get_u32_le())
    }

    fn u64(&mut self) -> Result<u64, WireError> {
        self.get(|b| b.try_get_u64_le())
    }

    fn f32(&mut self) -> Result<f32, WireError> {
        self.get(|b| b.try_get_f32_le())
    }

    fn f64(&mut self) -> Result<f64, WireError> {
        self.get(|b| b.try_get_f64_le())
    }

    fn bytes(&mut self, length: usize) -> Result<Vec<u8>, WireError> {
        let (offset, left) = (self.offset(), self.rest.len());
        let Some((head, tail)) = self.rest.split_at_checked(length) else {
            return Err(WireError::RecordCut { offset, wanted: length, left });
        };
        self.rest = tail;
        Ok(head.to_vec())
    }

    fn node(&mut self) -> Result<NodeId, WireError> {
        let address = self.get(|b| b.try_get_u32_le())?.to_le_bytes();
        Ok(NodeId { address, port: self.u16()? })
    }

    fn load(&mut self) -> Result<Vec<f32>, WireError> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }

    fn outcome(&mut self) -> Result<Outcome, WireError> {
        let offset = self.offset();
        Ok(match self.u8()? {
            10 => Outcome::Served,
            20 => Outcome::Error,
            30 => Outcome::Full,
            40 => Outcome::TimedOut,
            50 => Outcome::NoConnection,
            60 => Outcome::Reset,
            70 => Outcome::Cancelled,
            80 => Outcome::NotSent,
            code => {
                return Err(WireError::UnknownCode { offset, what: "outcome", code: code.into() });
            }
        })
    }

    fn list(&mut self) -> Result<Event, WireError> {
        self.u32()?;
        let offset = self.offset();
        let kind = match self.u8()? {
            0 => ListKind::Changes,
            1 => ListKind::Full,
            2 => ListKind::Cached,
            3 => ListKind::Failed,
            code => {
                return Err(WireError::UnknownCode { offset, what: "list", code: code.into() });
            }
        };
        let count = self.u32()?;
        let mut entries = Vec::new();
        for _ in 0..count {
            let node = self.node()?;
            let zone = self.u8()?;
            self.u16()?;
            let shard = self.u16()?.into();
            let offset = self.offset();
            let state = match self.u8()? {
                0 => NodeState::Gone,
                1 => NodeState::Ready,
                2 => NodeState::Draining,
                code => {
                    return Err(WireError::UnknownCode { offset, what: "node state", code: code.into() });
                }
            };
            self.f32()?;
            entries.push(NodeEntry { node, zone, shard, state, started: self.f64()? });
        }
        Ok(Event::List { kind, entries })
    }

    fn request(&mut self) -> Result<Event, WireError> {
        let id = self.u64()?;
        let class = self.u16()?;
        let plan = self.u16()?;
        let key = self.u64()?;
        let deadline = self.f64()?;
        let volume = self.u64()?;
        let units = self.f32()?.into();
        let shard = self.f32()?;
        let volume_hosts = self.f32()?.into();
        let marks = self.u8()?;
        Ok(Event::Arrived(Request {
            id,
            class,
            plan,
            key,
            deadline,
            volume,
            units,
            shard: (shard >= 0.0).then_some(shard as u32),
            volume_hosts,
            client_repeat: marks & 2 != 0,
            writes: marks & 4 != 0,
        }))
    }

    fn record(&mut self) -> Result<(u32, Record), WireError> {
        let offset = self.offset();
        let code = self.u8()?;
        if code > 9 {
            return Err(WireError::UnknownCode { offset, what: "event", code: code.into() });
        }
        let instance = self.u32()?;
        let event = match code {
            0 => {
                let seed = self.u64()?;
                let length = self.u32()? as usize;
                return Ok((instance, Record::Create { seed, config: self.bytes(length)? }));
            }
            1 => self.list()?,
            2 => self.request()?,
            3 => {
                let (request, attempt) = (self.u64()?, self.u16()?);
                self.node()?;
                self.f64()?;
                Event::Started { request, attempt }
            }
            4 => Event::Ended(AttemptEnd {
                request: self.u64()?,
                attempt: self.u16()?,
                node: self.node()?,
                outcome: self.outcome()?,
                elapsed: self.f64()?,
                over: self.u8()? != 0,
                usage: self.u16()?.checked_sub(1).map(f64::from),
                elsewhere: self.u16()?.into(),
                load: self.load()?,
            }),
            5 => Event::Abandoned { request: self.u64()? },
            6 => Event::Timer { token: self.u32()? },
            7 => Event::Probed {
                node: self.node()?,
                outcome: self.outcome()?,
                elapsed: self.f64()?,
                load: self.load()?,
            },
            8 => {
                let from = self.u32()?;
                let length = self.u16()?.into();
                Event::Message { from, body: self.bytes(length)? }
            }
            _ => return Ok((instance, Record::Crash)),
        };
        Ok((instance, Record::Event(event)))
    }
}

fn put_node(out: &mut Vec<u8>, node: NodeId) {
    out.put_slice(&node.address);
    out.put_u16_le(node.port);
}

fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    let length = u16::try_from(bytes.len()).unwrap_or(u16::MAX);
    out.put_u16_le(length);
    out.put_slice(&bytes[..usize::from(length)]);
}

/// Writes one action of an instance.
pub fn put_action(out: &mut Vec<u8>, instance: u32, action: &Action) {
    let code = match action {
        Action::Send { .. } => 0,
        Action::Refuse { .. } => 1,
        Action::Fail { .. } => 2,
        Action::Cancel { .. } => 3,
        Action::SetTimer { .. } => 4,
        Action::Probe { .. } => 5,
        Action::Message { .. } => 7,
        Action::Log(_) => 8,
        Action::FollowList { .. } => 10,
    };
    out.put_u8(code);
    out.put_u32_le(instance);
    match action {
        Action::Send { request, node, time_limit } => {
            out.put_u64_le(*request);
            out.put_f64_le(time_limit.unwrap_or(0.0));
            put_node(out, *node);
        }
        Action::Refuse { request, retry_after } => {
            out.put_u64_le(*request);
            out.put_f64_le(*retry_after);
        }
        Action::Fail { request } => out.put_u64_le(*request),
        Action::Cancel { request, attempt } => {
            out.put_u64_le(*request);
            out.put_u16_le(*attempt);
        }
        Action::SetTimer { after, token } => {
            out.put_f64_le(*after);
            out.put_u32_le(*token);
        }
        Action::Probe { node } => put_node(out, *node),
        Action::Message { to, body } => {
            out.put_u16_le(to.unwrap_or(u16::MAX));
            put_bytes(out, body);
        }
        Action::Log(text) => put_bytes(out, text.as_bytes()),
        Action::FollowList { on } => out.put_u8((*on).into()),
    }
}

/// Writes the report that an instance's decision code has failed.
pub fn put_fatal(out: &mut Vec<u8>, instance: u32, text: &str) {
    out.put_u8(9);
    out.put_u32_le(instance);
    put_bytes(out, text.as_bytes());
}

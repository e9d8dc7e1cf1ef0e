//! Frames on a connection: the length of the rest (4 bytes), the call's number (8 bytes) and the body, with
//! integers in little-endian order. A reply has the number of its call.

use crate::network::Stream;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::sync::mpsc;

/// The longest frame in bytes, its length not counted: a whole configuration, or a batch of turns, with a
/// margin.
const MAX_FRAME_LENGTH: usize = 16 * 1024 * 1024;
/// Bytes of a frame's length.
const LENGTH_BYTES: usize = size_of::<u32>();
/// Bytes of a call's number.
const CALL_NUMBER_BYTES: usize = size_of::<u64>();

/// A frame that was received.
pub(super) struct Frame {
    /// The number of the call.
    pub call_number: u64,
    /// The call or reply, encoded.
    pub body: Bytes,
}

/// A frame as it is sent.
pub(super) fn encode_frame(call_number: u64, body: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + CALL_NUMBER_BYTES + body.len());
    frame.put_u32_le((CALL_NUMBER_BYTES + body.len()) as u32);
    frame.put_u64_le(call_number);
    frame.put_slice(body);
    frame.freeze()
}

/// Reads frames from a connection.
pub(super) struct FrameReader {
    half: ReadHalf<Stream>,
    buffer: BytesMut,
}

impl FrameReader {
    pub fn new(half: ReadHalf<Stream>) -> Self {
        FrameReader { half, buffer: BytesMut::new() }
    }

    /// The next frame; `None` at the end of the connection. A frame whose length is out of bounds is an
    /// error, since the start of the next one can't be found.
    pub async fn next_frame(&mut self) -> io::Result<Option<Frame>> {
        loop {
            if let Some(frame) = self.decode_frame()? {
                return Ok(Some(frame));
            }
            if self.half.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Splits the first frame off the buffer; `None` where it is incomplete.
    fn decode_frame(&mut self) -> io::Result<Option<Frame>> {
        let Some(length) = self.buffer.first_chunk().map(|bytes| u32::from_le_bytes(*bytes) as usize) else {
            return Ok(None);
        };
        if !(CALL_NUMBER_BYTES..=MAX_FRAME_LENGTH).contains(&length) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            self.buffer.reserve(LENGTH_BYTES + length - self.buffer.len());
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let mut body = self.buffer.split_to(length).freeze();
        let call_number = body.get_u64_le();
        Ok(Some(Frame { call_number, body }))
    }
}

/// Writes frames until all senders are dropped or the connection breaks. Frames that are queued at the same
/// time are written together.
pub(super) async fn write_frames(mut half: WriteHalf<Stream>, mut frames: mpsc::UnboundedReceiver<Bytes>) {
    let mut batch = BytesMut::new();
    while let Some(first) = frames.recv().await {
        batch.extend_from_slice(&first);
        while let Ok(next) = frames.try_recv() {
            batch.extend_from_slice(&next);
        }
        if half.write_all(&batch).await.is_err() {
            return;
        }
        batch.clear();
    }
}

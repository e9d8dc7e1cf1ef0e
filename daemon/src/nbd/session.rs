//! One NBD session from greeting to end: negotiation, then commands side by side.

use super::wire::{self, ClientOption, Command, Errno, OptionError, OptionReply, Reply, Request, WireError};
use super::{BlockError, Export, Nbd};
use crate::connection_slots::ConnectionSlot;
use crate::shutdown::Phase;
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use futures_util::stream::{self, StreamExt};
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::JoinSet;

/// Commands of one session that are carried out at once; the next is not read before one ends.
const MAX_COMMANDS: usize = 16;
/// Blocks of one command that are out at once.
const MAX_BLOCKS: usize = 8;

/// A reply on its way out. The last of a command carries the command's permit: a client that does not read
/// its replies soon has no more commands read, while what is out at the stores ends in its own time.
struct Outgoing {
    bytes: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
}

type Replies = mpsc::UnboundedSender<Outgoing>;

/// How a session ended.
#[derive(Debug)]
pub(super) enum End {
    /// As the client asked, or with the program.
    Completed,
    /// Negotiation took too long.
    NegotiationTimeout,
    /// It had not mounted an export when its place was needed.
    Evicted,
    /// The client left, or broke the protocol.
    Broken(#[allow(dead_code, reason = "for the log")] WireError),
}

impl From<WireError> for End {
    fn from(error: WireError) -> Self {
        End::Broken(error)
    }
}

impl From<std::io::Error> for End {
    fn from(error: std::io::Error) -> Self {
        End::Broken(error.into())
    }
}

/// The outcome of a negotiation.
struct Negotiated {
    export: Export,
    structured: bool,
}

/// Runs a session to its end. Everything it holds is dropped with it.
pub(super) async fn run(front: &Arc<Nbd>, slot: &ConnectionSlot, stream: TcpStream) -> End {
    let (mut input, mut output) = stream.into_split();
    let negotiation =
        tokio::time::timeout(front.config.negotiation_timeout, negotiate(front, &mut input, &mut output));
    let negotiated = tokio::select! {
        negotiated = negotiation => match negotiated {
            Err(_elapsed) => return End::NegotiationTimeout,
            Ok(Err(error)) => return error.into(),
            Ok(Ok(None)) => return End::Completed,
            Ok(Ok(Some(negotiated))) => negotiated,
        },
        () = front.shutdown.reached(Phase::Draining) => return End::Completed,
    };
    slot.open_request();
    let (replies, waiting) = mpsc::unbounded_channel();
    let write = write_replies(output, waiting);
    let read = transmit(front, negotiated, input, replies);
    // The writer ends when every sender is gone; where it ends first, the connection broke.
    tokio::pin!(write);
    tokio::select! {
        ended = read => {
            match ended {
                Ok(()) => write.await.map_or_else(End::from, |()| End::Completed),
                Err(error) => error.into(),
            }
        }
        written = &mut write => written.map_or_else(End::from, |()| End::Completed),
    }
}

/// Options in turn until one settles the export; `None` where the client ended the session in good order.
async fn negotiate(
    front: &Nbd,
    input: &mut OwnedReadHalf,
    output: &mut OwnedWriteHalf,
) -> Result<Option<Negotiated>, WireError> {
    output.write_all(&wire::greeting()).await?;
    let no_zeroes = wire::read_client_flags(input).await?;
    let mut structured = false;
    loop {
        let (number, option) = wire::read_option(input).await?;
        let mut out = BytesMut::new();
        let mut negotiated = None;
        let replies = match option {
            ClientOption::ExportName(name) => {
                // This option knows no error: what cannot be had ends the session.
                let export = front.export(&name).filter(|_| !front.rejects_sessions()).cloned();
                let Some(export) = export else { return Ok(None) };
                wire::put_export(&mut out, export.geometry(), no_zeroes);
                negotiated = Some(Negotiated { export, structured });
                vec![]
            }
            ClientOption::Abort => {
                wire::put_option_reply(&mut out, number, &OptionReply::Ack);
                output.write_all(&out).await?;
                return Ok(None);
            }
            ClientOption::List => {
                let names =
                    front.config.exports.iter().map(|export| OptionReply::Server(export.name.clone()));
                names.chain([OptionReply::Ack]).collect()
            }
            ClientOption::Info(_) | ClientOption::Go(_) if front.rejects_sessions() => {
                vec![OptionReply::Error(OptionError::Shutdown)]
            }
            ClientOption::Info(ref name) | ClientOption::Go(ref name) => match front.export(name) {
                None => vec![OptionReply::Error(OptionError::Unknown)],
                Some(export) => {
                    if matches!(option, ClientOption::Go(_)) {
                        negotiated = Some(Negotiated { export: export.clone(), structured });
                    }
                    let geometry = export.geometry();
                    vec![OptionReply::Export(geometry), OptionReply::BlockSize(geometry), OptionReply::Ack]
                }
            },
            ClientOption::StructuredReply => {
                structured = true;
                vec![OptionReply::Ack]
            }
            ClientOption::Malformed => vec![OptionReply::Error(OptionError::Invalid)],
            ClientOption::Other => vec![OptionReply::Error(OptionError::Unsupported)],
        };
        for reply in &replies {
            wire::put_option_reply(&mut out, number, reply);
        }
        output.write_all(&out).await?;
        if negotiated.is_some() {
            return Ok(negotiated);
        }
    }
}

async fn write_replies(
    mut output: OwnedWriteHalf,
    mut waiting: mpsc::UnboundedReceiver<Outgoing>,
) -> Result<(), WireError> {
    while let Some(reply) = waiting.recv().await {
        output.write_all(&reply.bytes).await?;
    }
    Ok(output.shutdown().await?)
}

/// Reads commands and carries them out side by side. An error drops those under way: their client has left.
async fn transmit(
    front: &Arc<Nbd>,
    negotiated: Negotiated,
    mut input: OwnedReadHalf,
    replies: Replies,
) -> Result<(), WireError> {
    let negotiated = Arc::new(negotiated);
    let slots = Arc::new(Semaphore::new(MAX_COMMANDS));
    let mut commands = JoinSet::new();
    loop {
        // The semaphore is never closed. Guards against a full session whose client has left unseen, since
        // nothing is read meanwhile: its commands would run on, and those that wait for a node would begin.
        let permit = tokio::select! {
            biased;
            permit = slots.clone().acquire_owned() => permit,
            () = closed(&input) => return Err(WireError::Io(std::io::ErrorKind::ConnectionReset.into())),
        };
        let Ok(permit) = permit else { break };
        let request = tokio::select! {
            request = wire::read_request(&mut input, front.config.negotiation_timeout) => request?,
            () = front.shutdown.reached(Phase::Draining) => break,
        };
        while commands.try_join_next().is_some() {}
        if request.command == Command::Disconnect {
            break;
        }
        commands.spawn(carry_out(front.clone(), negotiated.clone(), request, replies.clone(), permit));
    }
    // Whatever was taken is answered before the connection closes; a client that has closed it meanwhile has
    // left, and nothing is carried on for it.
    tokio::select! {
        () = async { while commands.join_next().await.is_some() {} } => Ok(()),
        gone = wait_for_end(&mut input) => gone,
    }
}

/// Ends once the client has closed its side, with or without bytes that nobody has read in front of that.
async fn closed(input: &OwnedReadHalf) {
    loop {
        // This interest hears of an end of stream alone: that there are bytes to read does not wake it.
        match input.ready(Interest::PRIORITY).await {
            Ok(ready) if !ready.is_read_closed() => tokio::task::yield_now().await,
            _ => return,
        }
    }
}

/// Ends once the client has closed its side or the connection broke; what else comes is passed over.
async fn wait_for_end(input: &mut (impl AsyncRead + Unpin)) -> Result<(), WireError> {
    match tokio::io::copy(input, &mut tokio::io::sink()).await {
        // A client may close its sending side after DISC and still read the replies.
        Ok(_) => std::future::pending().await,
        Err(error) => Err(error.into()),
    }
}

/// Checks a command against its export before anything of it is sent.
fn check(front: &Nbd, export: &Export, offset: u64, command: &Command) -> Result<(), BlockError> {
    let fault = |errno, message: &str| Err(BlockError { errno, message: message.to_owned() });
    let (length, beyond) = match command {
        Command::Read { length } => (u64::from(*length), Errno::Invalid),
        Command::Write(_) if export.write.is_none() => {
            return fault(Errno::Perm, "the export is read-only");
        }
        Command::Write(data) => (data.len() as u64, Errno::NoSpace),
        Command::Disconnect | Command::Other => return fault(Errno::Invalid, "not offered here"),
    };
    let block = u64::from(export.block);
    if !offset.is_multiple_of(block) || !length.is_multiple_of(block) || length == 0 {
        return fault(Errno::Invalid, &format!("not whole blocks of {block} bytes"));
    }
    if offset.checked_add(length).is_none_or(|end| end > export.size) {
        return fault(beyond, &format!("beyond the export's {} bytes", export.size));
    }
    if front.rejects_commands() {
        return fault(Errno::Shutdown, "stopping; come back when the server has restarted");
    }
    Ok(())
}

/// Carries out one command, every block of it as a request of its own.
async fn carry_out(
    front: Arc<Nbd>,
    negotiated: Arc<Negotiated>,
    request: Request,
    replies: Replies,
    permit: OwnedSemaphorePermit,
) {
    let Request { cookie, offset, command } = request;
    let Negotiated { export, structured } = &*negotiated;
    let send = |reply: &Reply| {
        // The receiver is gone only where the connection is.
        let _ = replies.send(Outgoing { bytes: wire::chunk(cookie, reply), _permit: None });
    };
    let mut whole = BytesMut::new();
    let mut failed = None;
    match check(&front, export, offset, &command) {
        Err(fault) if *structured => {
            send(&Reply::Error { offset: None, errno: fault.errno, message: fault.message });
        }
        Err(fault) => failed = Some(fault.errno),
        Ok(()) => {
            let (length, data) = match command {
                Command::Write(data) => (data.len(), Some(data)),
                Command::Read { length } => (length as usize, None),
                Command::Disconnect | Command::Other => (0, None),
            };
            let block = export.block as usize;
            if data.is_none() && !structured {
                whole.resize(length, 0);
            }
            let mut blocks = stream::iter((0..length).step_by(block))
                .map(|at| {
                    let index = (offset + at as u64) / block as u64;
                    let piece = data.as_ref().map(|data| data.slice(at..at + block));
                    front.block(export, index, piece).map(move |result| (at, result))
                })
                .buffer_unordered(MAX_BLOCKS);
            while let Some((at, result)) = blocks.next().await {
                let offset = offset + at as u64;
                match result {
                    Ok(_) if data.is_some() => {}
                    Ok(bytes) if *structured => send(&Reply::Data { offset, data: bytes }),
                    Ok(bytes) => whole[at..at + block].copy_from_slice(&bytes),
                    Err(BlockError { errno, message }) if *structured => {
                        send(&Reply::Error { offset: Some(offset), errno, message });
                    }
                    Err(fault) => failed = Some(fault.errno),
                }
            }
        }
    }
    let bytes = match (structured, failed) {
        (true, _) => wire::chunk(cookie, &Reply::Done),
        (false, None) => wire::simple_reply(cookie, Ok(&whole)),
        (false, Some(errno)) => wire::simple_reply(cookie, Err(errno)),
    };
    let _ = replies.send(Outgoing { bytes, _permit: Some(permit) });
}

//! Answers to clients.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// An answer that can't be finished: its connection is closed so that it looks cut short.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the answer can't be finished"))]
pub struct Aborted;

/// The body of an answer.
pub enum AnswerBody {
    /// Whole.
    Whole(Option<Bytes>),
    /// Piece by piece.
    Pieces(mpsc::Receiver<Result<Bytes, Aborted>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match &mut *self {
            AnswerBody::Whole(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            AnswerBody::Pieces(pieces) => {
                let piece = ready!(pieces.poll_recv(context));
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64))
            }
            AnswerBody::Pieces(_) => SizeHint::default(),
        }
    }
}

/// An answer to a client.
pub type Answer = Response<AnswerBody>;

fn own(status: StatusCode, text: &'static str) -> Answer {
    let body = Bytes::from_static(text.as_bytes());
    let mut answer = Response::new(AnswerBody::Whole(Some(body).filter(|body| !body.is_empty())));
    *answer.status_mut() = status;
    answer
}

/// An answer of the proxy's own, which promises nothing about whether the request has run.
pub fn failure(status: StatusCode, text: &'static str) -> Answer {
    own(status, text)
}

/// A promise that the request has not run and never will, with the time to come back in milliseconds.
pub fn refusal(text: &'static str, come_back_ms: f64) -> Answer {
    let mut answer = own(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.3}", come_back_ms.max(1.0) / 1000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// A server's whole answer.
pub fn whole(status: StatusCode, headers: HeaderMap, body: Bytes) -> Answer {
    let mut answer = Response::new(AnswerBody::Whole(Some(body).filter(|body| !body.is_empty())));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// A server's answer in pieces.
pub fn pieces(
    status: StatusCode,
    headers: HeaderMap,
    receiver: mpsc::Receiver<Result<Bytes, Aborted>>,
) -> Answer {
    let mut answer = Response::new(AnswerBody::Pieces(receiver));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

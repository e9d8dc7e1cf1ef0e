//! Answers to clients, the proxy's own and those of servers.
//!
//! Two kinds are distinguished: a [`refusal`] says that the request has not run and never will, so the client
//! may send it anew; a [`failure`] says nothing about that. An answer that can't be completed ends with
//! [`Aborted`], so that no client mistakes a part for a complete answer.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// An answer that can't be completed: its connection is closed, so that the client sees it as truncated.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the answer can't be finished"))]
pub struct Aborted;

/// Parts of a streamed answer. An [`Aborted`] among them truncates it.
pub type BodyReceiver = mpsc::Receiver<Result<Bytes, Aborted>>;

/// The body of an answer.
pub enum AnswerBody {
    /// A body with a known length; `None` once it was written, or where it is empty.
    Complete(Option<Bytes>),
    /// A body that is written as its parts arrive.
    Streamed(BodyReceiver),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match &mut *self {
            AnswerBody::Complete(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            AnswerBody::Streamed(parts) => {
                let part = ready!(parts.poll_recv(context));
                Poll::Ready(part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Complete(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64))
            }
            AnswerBody::Streamed(_) => SizeHint::default(),
        }
    }
}

/// An answer to a client.
pub type Answer = Response<AnswerBody>;

/// An answer of the proxy's own, which promises nothing about whether the request has run.
pub fn failure(status: StatusCode, text: &'static str) -> Answer {
    complete(status, HeaderMap::new(), Bytes::from_static(text.as_bytes()))
}

/// A promise that the request has not run and never will: 503 with `Retry-After`, in seconds with three
/// decimals.
pub fn refusal(text: &'static str, retry_after_ms: f64) -> Answer {
    let mut answer = failure(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.3}", retry_after_ms.max(1.0) / 1000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// An answer whose body is complete.
pub fn complete(status: StatusCode, headers: HeaderMap, body: Bytes) -> Answer {
    let body = AnswerBody::Complete(Some(body).filter(|body| !body.is_empty()));
    with_head(status, headers, body)
}

/// An answer whose body is forwarded as it arrives.
pub fn streamed(status: StatusCode, headers: HeaderMap, parts: BodyReceiver) -> Answer {
    with_head(status, headers, AnswerBody::Streamed(parts))
}

fn with_head(status: StatusCode, headers: HeaderMap, body: AnswerBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

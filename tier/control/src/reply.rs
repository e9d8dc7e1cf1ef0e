//! Replies on the control address. The status says whether the call may be sent again: after 503 and 507 it
//! may.

use bytes::Bytes;
use http::StatusCode;

/// A reply on the control address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
    /// Whether the body is JSON; else it is text.
    pub is_json: bool,
}

impl Reply {
    /// 200 with a JSON text.
    pub fn json(body: &'static str) -> Self {
        Reply::bytes(Bytes::from_static(body.as_bytes()))
    }

    /// 200 with JSON bytes.
    pub fn bytes(body: Bytes) -> Self {
        Reply { status: StatusCode::OK, body, is_json: true }
    }

    /// A status with a reason.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        Reply { status, body: text.into().into(), is_json: false }
    }

    /// 400: the call can never be accepted.
    pub fn bad_request(text: impl Into<String>) -> Self {
        Reply::text(StatusCode::BAD_REQUEST, text)
    }

    /// 404: there is no such call, store or configuration.
    pub fn not_found(text: impl Into<String>) -> Self {
        Reply::text(StatusCode::NOT_FOUND, text)
    }

    /// 409: the call can't be carried out in the present state.
    pub fn conflict(text: impl Into<String>) -> Self {
        Reply::text(StatusCode::CONFLICT, text)
    }

    /// 412: another version is committed, and the call can never be accepted.
    pub fn precondition_failed(text: impl Into<String>) -> Self {
        Reply::text(StatusCode::PRECONDITION_FAILED, text)
    }

    /// 413: the body is longer than any member accepts.
    pub fn too_large(text: impl Into<String>) -> Self {
        Reply::text(StatusCode::PAYLOAD_TOO_LARGE, text)
    }

    /// 507: this member's disk is too small; another member's may be larger.
    pub fn no_room(text: impl Into<String>) -> Self {
        Reply::text(StatusCode::INSUFFICIENT_STORAGE, text)
    }

    /// 503: the outcome is unknown. The call may be sent again.
    pub fn unavailable(text: impl Into<String>) -> Self {
        Reply::text(StatusCode::SERVICE_UNAVAILABLE, text)
    }
}

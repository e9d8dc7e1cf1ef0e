//! What the head of a server's response proves about the request. Pure.

use crate::upstream::ResponseHead;
use http::{HeaderMap, StatusCode, header};
use pointcross_tier_protocol::headers;
use pointcross_tier_routing::LoadReport;

/// Statuses by which a client concludes that the request has not run. Without the server's `X-Not-Executed`
/// header they prove nothing and are not forwarded.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::PAYMENT_REQUIRED,
];

/// What a response's head proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadVerdict {
    /// Another instance is at this address: the request has not run.
    OtherInstance,
    /// The server states that it has not run the request.
    Rejected,
    /// The response can't be trusted to be the server's: the request may have run.
    Untrusted,
    /// A stream of events that is forwarded as it arrives.
    EventStream,
    /// A response that is forwarded once it is complete.
    Forwardable,
}

impl HeadVerdict {
    /// Judges a response's head.
    pub fn of(head: &ResponseHead) -> Self {
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return HeadVerdict::OtherInstance;
        }
        let is_not_executed = head.headers.contains_key(headers::NOT_EXECUTED);
        // A bad request is bad at every server: the client gets the response, and no other server is tried.
        if is_not_executed && head.status != StatusCode::BAD_REQUEST {
            return HeadVerdict::Rejected;
        }
        if !is_not_executed && !is_trusted(head) {
            return HeadVerdict::Untrusted;
        }
        if head.status.is_success() && is_event_stream(&head.headers) {
            return HeadVerdict::EventStream;
        }
        HeadVerdict::Forwardable
    }
}

/// Whether a client may take a response for the server's: a success carries the server's signature, and a
/// status that promises that the request has not run counts only together with the server's statement.
fn is_trusted(head: &ResponseHead) -> bool {
    let is_signed = head.headers.contains_key(headers::SIGNATURE);
    !NOT_RUN_STATUSES.contains(&head.status) && (is_signed || !head.status.is_success())
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_TYPE).is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

/// The load that a server reports with its response.
pub fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    headers.get(headers::SERVER_LOAD).and_then(|value| value.to_str().ok()).and_then(LoadReport::parse)
}

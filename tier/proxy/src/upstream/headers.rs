//! Headers that concern one connection only and are never forwarded (RFC 9110, 7.6.1).

use http::{HeaderMap, HeaderName, header};
use std::time::Duration;

/// Hop-by-hop headers. `Content-Length` is among them because each hop frames the body anew.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Removes the hop-by-hop headers, and those that `Connection` names.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Whether the server closes the connection after this response.
pub(super) fn closes_connection(headers: &HeaderMap) -> bool {
    headers.get(header::CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// The idle time that the server allows by `Keep-Alive: timeout=SECONDS`, if it states one.
pub(super) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive").and_then(|value| value.to_str().ok())?;
    let parameters = value.split(',').filter_map(|parameter| parameter.trim().split_once('='));
    let seconds = parameters.filter(|(name, _)| name.eq_ignore_ascii_case("timeout")).map(|(_, value)| value);
    seconds.filter_map(|seconds| seconds.parse().ok()).next().map(Duration::from_secs)
}

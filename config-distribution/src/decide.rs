//! The decisions on configuration, at both ends. Pure: no socket, file, clock or task; times are passed in
//! and random numbers come from a seed.

pub mod follower;
pub mod table;

use std::time::Duration;

/// How often a source checks whether its file changed.
pub const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a request stays pending while there is no newer version, where the operator's file sets nothing
/// else.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1400);
/// How long after a request's time-out its reply may still come before the request counts as failed. The
/// reply crosses the link once more, and the process at either end may be scheduled late.
pub const REPLY_SLACK: Duration = Duration::from_millis(400);
/// How long a connection may take to be established. Less than the retransmission time-out of a lost SYN (1
/// s, RFC 6298): the next source is asked sooner.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The backoff after the first failed request is drawn from the upper half of this; it doubles with each
/// further failure in a row ...
pub const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// ... up to this: a link that heals after an hour is used as soon as one that heals at once.
pub const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// How long a request that is answered at once may take on a link that works, with its connection and the
/// text.
pub const IMMEDIATE_REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest time from the change of a source's file until the version is active at a scheduler, where one
/// link (or one source of several) was in any state before and the next one asked works. In the worst case a
/// request is lost at the moment at which it is sent, just before the change:
///
/// | part | at a time-out of 1,400 ms |
/// | --- | --- |
/// | the source checks its file | 200 |
/// | the request times out: time-out and slack | 1,400 + 400 |
/// | the longest backoff | 400 |
/// | the next request: connection, text, application | 500 |
/// | sum | 2,900 |
pub const fn worst_path(poll_timeout: Duration) -> Duration {
    let sum = FILE_CHECK_INTERVAL.as_millis()
        + poll_timeout.as_millis()
        + REPLY_SLACK.as_millis()
        + MAX_BACKOFF.as_millis();
    Duration::from_millis((sum + IMMEDIATE_REPLY_TIMEOUT.as_millis()) as u64)
}

//! Runs a follower: polls sources, applies documents, saves them. No decision is made here: see
//! [`crate::decide::follower`].
//!
//! One follower is one future, one connection and no task of its own, so that many share a process.

mod connection;
mod saved_file;

pub use connection::get;
pub(crate) use saved_file::read_bounded;

use crate::decide::follower::{Action, Event, Follower, FollowerEvent};
use crate::wire::PollRequest;
use crate::{ApplyConfiguration, FollowerSettings, Status};
use connection::Connection;
use saved_file::AppliedDocument;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Follows the fleet's configuration for as long as the program runs, and publishes what is active in
/// `status`. A saved document is applied before the first request.
///
/// Cancellation: dropped, it closes its connection and leaves the active configuration as it is. A document
/// that was applied a moment before may then not be saved; the next start fetches it again.
///
/// # Panics
/// Without a source.
pub async fn follow(
    settings: FollowerSettings,
    apply: Arc<dyn ApplyConfiguration>,
    status: watch::Sender<Status>,
) {
    let (applied, to_save) = watch::channel(None);
    let saved_path = settings.saved_document.clone();
    let follow = run_follower(settings, apply, status, applied);
    match saved_path {
        Some(path) => _ = tokio::join!(follow, saved_file::save_applied(path, to_save)),
        None => follow.await,
    }
}

async fn run_follower(
    settings: FollowerSettings,
    apply: Arc<dyn ApplyConfiguration>,
    status: watch::Sender<Status>,
    applied: watch::Sender<Option<AppliedDocument>>,
) {
    let epoch = Instant::now();
    let max_bytes = settings.max_bytes;
    let mut poller = Poller { sources: settings.sources.clone(), max_bytes, connection: None };
    let mut event = match &settings.saved_document {
        Some(path) => saved_file::load(path, max_bytes).await.map_or(Event::Started, Event::Saved),
        None => Event::Started,
    };
    let mut follower = Follower::new(settings);
    loop {
        let action = follower.handle(epoch.elapsed(), event);
        follower.take_events().iter().for_each(|event| log(event, &poller.sources));
        publish(&status, follower.status());
        event = match action {
            Action::WaitUntil(until) => {
                tokio::time::sleep_until(epoch + until).await;
                Event::WaitOver
            }
            Action::ApplyConfiguration { document, text } => match apply.apply(&document) {
                Ok(()) => {
                    if let Some(text) = text {
                        applied.send_replace(Some(AppliedDocument { version: document.version, text }));
                    }
                    Event::Applied
                }
                Err(reason) => Event::ApplyRejected(reason),
            },
            Action::Poll { source, request, timeout } => poller.poll(source, &request, timeout).await,
        };
    }
}

fn publish(status: &watch::Sender<Status>, current: Status) {
    status.send_if_modified(|published| {
        let changed = *published != current;
        *published = current;
        changed
    });
}

/// Sends the follower's requests, on one connection that is reused while the source stays the same.
struct Poller {
    sources: Vec<SocketAddr>,
    max_bytes: usize,
    connection: Option<(SocketAddr, Connection)>,
}

impl Poller {
    async fn poll(&mut self, source: usize, request: &PollRequest, timeout: Duration) -> Event {
        let address = self.sources[source];
        // Taken out: after a failure or a time-out the next request opens a connection of its own.
        let reusable = self.connection.take().filter(|(to, _)| *to == address);
        let reusable = reusable.map(|(_, connection)| connection);
        let poll = connection::poll(address, reusable, request, self.max_bytes);
        match tokio::time::timeout(timeout, poll).await {
            Ok(Ok((event, connection))) => {
                self.connection = connection.map(|connection| (address, connection));
                event
            }
            Ok(Err(reason)) => Event::PollFailed(reason),
            Err(_) => Event::PollFailed(format!("no answer in {timeout:?}")),
        }
    }
}

fn log(event: &FollowerEvent, sources: &[SocketAddr]) {
    match event {
        FollowerEvent::Activated(version) => tracing::info!(version, "configuration applied"),
        FollowerEvent::Rejected { version, reason } => {
            tracing::warn!(version, reason, "configuration rejected");
        }
        FollowerEvent::SourceFailed { source, reason } => {
            tracing::warn!(source = %sources[*source], reason, "configuration source unavailable");
        }
        FollowerEvent::SourceRecovered { source } => {
            tracing::info!(source = %sources[*source], "configuration source available");
        }
    }
}

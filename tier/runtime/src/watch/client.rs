//! The long-poll client: watches one process at a time and applies its updates to the shared view.

use super::view::ReplicatedView;
use crate::environment::Environment;
use crate::random;
use crate::rpc::{CallError, Peer};
use log::{debug, info};
use pointcross_tier_instances::WatchPosition;
use pointcross_tier_protocol::messages::{ControlCall, ControlReply, WatchUpdate};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long the callee may wait with its answer while nothing is new. A member that stops answering is
/// noticed this and [`REPLY_MARGIN`] later, well within the two seconds in which a configuration has to be
/// active everywhere; another member is watched at the same time.
const MAX_WAIT: Duration = Duration::from_millis(700);
/// What the answer may take beyond [`MAX_WAIT`].
const REPLY_MARGIN: Duration = Duration::from_millis(400);
/// The mean pause after a failed call, in milliseconds; the pause is drawn from half to one and a half of
/// this, so that many clients of a failed member do not call another one at once.
const RETRY_DELAY_MS: u64 = 60;
/// The pause after an answer that came sooner than this without an update, against a busy loop.
const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// Watches one process at a fixed address. Never returns.
pub async fn watch_agent(environment: Environment, shared: Rc<ReplicatedView>, address: SocketAddrV4) {
    watch(environment, shared, move || Some(address)).await;
}

/// Watches one process at a time. `choose` gives the first one's address and the next one's after each
/// failure; `None` where no address is known yet. Never returns.
pub(super) async fn watch(
    environment: Environment,
    shared: Rc<ReplicatedView>,
    mut choose: impl FnMut() -> Option<SocketAddrV4>,
) {
    let mut peer: Option<Rc<Peer>> = None;
    let mut position = WatchPosition::default();
    loop {
        let Some(current) = peer.take().or_else(|| choose().map(|address| Peer::new(&environment, address)))
        else {
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            continue;
        };
        match poll(&current, &shared, position).await {
            Ok(PollOutcome::Update(update)) => {
                if update.source != position.source {
                    log_source(&current, &update);
                }
                position = WatchPosition { source: update.source, revision: update.instances_revision };
                shared.change(|view| view.apply(*update));
                peer = Some(current);
            }
            Ok(PollOutcome::Unchanged { elapsed }) => {
                peer = Some(current);
                if elapsed < MIN_INTERVAL {
                    tokio::time::sleep(MIN_INTERVAL).await;
                }
            }
            Ok(PollOutcome::NoQuorum) => {
                debug!("watch rejected: member={} cause=no quorum", current.address());
                sleep_before_retry().await;
            }
            Err(error) => {
                info!("watch failed: {error}");
                sleep_before_retry().await;
            }
        }
    }
}

/// Tells which process this one learns from, and how much that knows: its first update has all of it.
fn log_source(peer: &Peer, update: &WatchUpdate) {
    let (member, epoch, instances) = (peer.address(), update.members_epoch, update.instances.len());
    info!("watch started: member={member} members_epoch={epoch} instances={instances}");
}

/// How a long poll was answered.
enum PollOutcome {
    /// With what is new.
    Update(Box<WatchUpdate>),
    /// Nothing was new.
    Unchanged {
        /// The time from the call to its answer.
        elapsed: Duration,
    },
    /// The member can't tell what is new, as it is not in contact with a majority of the members.
    NoQuorum,
}

/// Makes one long poll.
async fn poll(
    peer: &Peer,
    shared: &ReplicatedView,
    position: WatchPosition,
) -> Result<PollOutcome, CallError> {
    let request = shared.read(|view| view.watch_request(position, MAX_WAIT.as_millis() as u64));
    let started = Instant::now();
    let reply = peer.call(&ControlCall::Watch(request), MAX_WAIT + REPLY_MARGIN).await?;
    Ok(match reply {
        ControlReply::Update(update) => PollOutcome::Update(update),
        ControlReply::Done => PollOutcome::Unchanged { elapsed: started.elapsed() },
        ControlReply::NoQuorum => PollOutcome::NoQuorum,
    })
}

async fn sleep_before_retry() {
    let delay_ms = RETRY_DELAY_MS / 2 + random::below(RETRY_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
}

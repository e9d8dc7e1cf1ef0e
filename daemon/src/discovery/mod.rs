//! Follows discovery's node list: the known one first, then a watch on its changes.
//!
//! Guards against a scheduler that misses a drain: whatever failed before, a change reaches the core within 6 s. How
//! long to wait after a failure is the decision module's: it is told of the failure and asks for the list again.

mod call;
mod list;

pub use list::{List, ListError};

use call::{Call, CallError, DEFAULT_HOLD, ListClient};
use pointcross_core::Core;
use pointcross_core::decide::ListKind;
use pointcross_membership::call_rate::{Call as CallKind, CallRateLimiter};
use pointcross_membership::guard::MembershipGuard;
use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The rate of calls, where the operator's file limits it (`[list_calls]`).
pub struct WatchPacing {
    /// Decides when each call may go out.
    pub limiter: CallRateLimiter,
    /// How long the service may hold a watch without a change.
    pub hold: Duration,
}

/// Applies lists to the core, through `membership_guard` where that decides on membership.
pub struct ListSink<'a> {
    /// The core.
    pub core: &'a Core,
    /// Decides on membership, where the operator's file turns it on.
    pub membership_guard: Option<&'a MembershipGuard>,
    /// Called with the version of each list, or changes to one, once it has been applied.
    pub on_applied: &'a (dyn Fn(u64) + Sync),
}

impl ListSink<'_> {
    /// Applies a list; returns the revision that the next call starts from, `None` where the list was refused.
    fn apply(&self, list: List) -> Option<u64> {
        let revision = match self.membership_guard {
            Some(membership_guard) => {
                membership_guard.apply_list(self.core.now(), list.complete, list.revision, list.members)?
            }
            None => {
                self.core.list(if list.complete { ListKind::Full } else { ListKind::Changes }, list.members);
                list.revision
            }
        };
        (self.on_applied)(revision);
        Some(revision)
    }
}

/// Follows the list whenever the decision module asks for it; ends only when the core is gone. Dropped, it ends the
/// call in flight.
///
/// When `address` changes, the new service is asked for the complete list (its revisions may be others), and the watch
/// at the old one goes on until that list has come. What the module knows of nodes stays. `zones` are the zones' names
/// by number, `known` the list that the core started with. Where `pacing` is set, each call at the first address waits
/// as long as it says.
pub async fn follow(
    sink: ListSink<'_>,
    zones: &[String],
    known: &List,
    list_requests: &mut watch::Receiver<bool>,
    address: &mut watch::Receiver<SocketAddr>,
    pacing: Option<WatchPacing>,
) {
    let mut watch = ListWatch::new(sink, zones, known, *address.borrow_and_update(), pacing);
    loop {
        let due = watch.due;
        let successor_call = watch.successor.as_mut().and_then(|successor| successor.call.as_mut());
        tokio::select! {
            changed = list_requests.changed() => {
                if changed.is_err() {
                    return;
                }
                if *list_requests.borrow_and_update() {
                    watch.on_list_request();
                }
            }
            () = sleep_until(due), if due.is_some() => watch.on_call_due(),
            Ok(()) = address.changed() => watch.on_address_change(*address.borrow_and_update()),
            answer = answer_of(successor_call) => watch.on_successor_answer(answer),
            answer = answer_of(watch.call.as_mut()) => watch.on_answer(answer),
        }
    }
}

/// A new address of the list service, whose complete list has not come yet.
struct Successor {
    client: ListClient,
    /// In flight; `None` after a failure, until the decision module asks again.
    call: Option<Call>,
}

/// The state of a watch on the list.
struct ListWatch<'a> {
    sink: ListSink<'a>,
    zones: &'a [String],
    hold: Duration,
    pacing: Option<WatchPacing>,
    client: ListClient,
    /// The call in flight at `client`.
    call: Option<Call>,
    /// When the rate limit lets the next call go, where it delays one.
    due: Option<Instant>,
    next_call: CallKind,
    /// The revision that the next call starts from; `None` asks for the complete list.
    revision: Option<u64>,
    successor: Option<Successor>,
}

impl<'a> ListWatch<'a> {
    fn new(
        sink: ListSink<'a>,
        zones: &'a [String],
        known: &List,
        address: SocketAddr,
        pacing: Option<WatchPacing>,
    ) -> Self {
        let hold = pacing.as_ref().map_or(DEFAULT_HOLD, |pacing| pacing.hold);
        // Changes may only be applied to a complete list.
        let revision = known.complete.then_some(known.revision).filter(|_| sink.membership_guard.is_none());
        let client = ListClient::new(zones, address, hold);
        ListWatch {
            sink,
            zones,
            hold,
            pacing,
            client,
            call: None,
            due: None,
            next_call: CallKind::First,
            revision,
            successor: None,
        }
    }

    /// The decision module asks for the list.
    fn on_list_request(&mut self) {
        match &mut self.successor {
            Some(Successor { client, call }) => _ = call.get_or_insert_with(|| client.call(None)),
            None if self.call.is_none() && self.due.is_none() => self.call_when_allowed(self.next_call),
            None => {}
        }
    }

    /// Calls now, or when the rate limit allows it.
    fn call_when_allowed(&mut self, kind: CallKind) {
        let now = self.sink.core.now();
        if let Some(pacing) = &mut self.pacing {
            let earliest = pacing.limiter.earliest_call(now, kind);
            if earliest > now {
                let delay = Duration::from_secs_f64((earliest - now) / 1000.0);
                self.due = Some(Instant::now() + delay);
                return;
            }
            pacing.limiter.record_call(now);
        }
        self.call = Some(self.client.call(self.revision));
    }

    /// A call that the rate limit delayed may go out.
    fn on_call_due(&mut self) {
        self.due = None;
        if let Some(pacing) = &mut self.pacing {
            pacing.limiter.record_call(self.sink.core.now());
        }
        self.call = Some(self.client.call(self.revision));
    }

    fn on_address_change(&mut self, address: SocketAddr) {
        let client = ListClient::new(self.zones, address, self.hold);
        let call = Some(client.call(None));
        self.successor = Some(Successor { client, call });
    }

    fn on_successor_answer(&mut self, answer: Result<List, CallError>) {
        match answer {
            Ok(list) => {
                if let Some(successor) = self.successor.take() {
                    self.switch_to(successor.client);
                }
                self.revision = self.sink.apply(list);
                self.call = self.may_call_on().then(|| self.client.call(self.revision));
            }
            Err(error) => {
                tracing::warn!(%error, "node list call failed at the new address");
                if let Some(Successor { client, call }) = &mut self.successor {
                    // A fresh client, since an idle connection may have died too.
                    (*client, *call) = (ListClient::new(self.zones, client.address, self.hold), None);
                }
                self.sink.core.list(ListKind::Failed, Vec::new());
            }
        }
    }

    fn switch_to(&mut self, client: ListClient) {
        tracing::info!(address = %client.address, "node list address changed");
        self.client = client;
        if let Some(guard) = self.sink.membership_guard {
            guard.set_discovery(self.client.address.to_string());
        }
    }

    /// Whether the watch goes on by itself: a list that was refused is asked for again when the module says so.
    fn may_call_on(&self) -> bool {
        self.revision.is_some() || self.sink.membership_guard.is_none()
    }

    fn on_answer(&mut self, answer: Result<List, CallError>) {
        match answer {
            // Each call follows the last answer at once, well within the 200 ms that keep a watch alive.
            Ok(list) => {
                self.revision = self.sink.apply(list);
                if let Some(pacing) = &mut self.pacing {
                    pacing.limiter.record_success();
                }
                self.next_call = CallKind::Next;
                self.call = None;
                if self.may_call_on() {
                    self.call_when_allowed(CallKind::Next);
                }
            }
            Err(error) => self.on_call_failure(&error),
        }
    }

    fn on_call_failure(&mut self, error: &CallError) {
        self.call = None;
        if let Some(pacing) = &mut self.pacing {
            pacing.limiter.record_failure();
        }
        self.next_call = CallKind::Retry;
        tracing::warn!(%error, "node list call failed");
        // The next call opens a connection of its own: an idle one may have died too.
        self.client = ListClient::new(self.zones, self.client.address, self.hold);
        // A service that lags, or counts anew, is asked for its complete list.
        if matches!(error, CallError::OlderRevision { .. }) {
            self.revision = None;
        }
        self.sink.core.list(ListKind::Failed, Vec::new());
    }
}

/// The answer to a call; never ends where there is none.
async fn answer_of(call: Option<&mut Call>) -> Result<List, CallError> {
    match call {
        Some(call) => call.await,
        None => pending().await,
    }
}

/// Sleeps until `due`; never ends where there is none.
async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due).await,
        None => pending().await,
    }
}

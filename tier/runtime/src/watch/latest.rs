//! Reading the latest directory: before a process concludes something from what it does not find there.
//!
//! A watch brings changes soon after they are committed, and says nothing of a process that stood still or was
//! cut off: its view is old, and looks like a current one. A read is asked for when the conclusion is at hand,
//! and its reply is at least as new as the moment at which it was asked for.

use super::members::{MemberChooser, Seeds};
use super::view::ReplicatedView;
use crate::environment::Environment;
use crate::random;
use crate::rpc::Peer;
use log::debug;
use pointcross_tier_instances::WatchPosition;
use pointcross_tier_protocol::messages::{ControlCall, ControlReply};
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::Instant;

/// How long a control member may take to hear from a majority, before another one is asked.
const MEMBER_WAIT: Duration = Duration::from_millis(500);
/// How long an agent may take: it may ask a second member.
const AGENT_WAIT: Duration = Duration::from_millis(1200);
/// What the reply may take beyond the callee's wait.
const REPLY_MARGIN: Duration = Duration::from_millis(100);
/// The mean pause after a failed read, in milliseconds; the pause is drawn from half to one and a half of this.
const RETRY_DELAY_MS: u64 = 30;

/// Reads the latest directory into a process's view, one call at a time: all who wait for a read that has not
/// been sent yet share it.
pub struct LatestReader {
    environment: Environment,
    shared: Rc<ReplicatedView>,
    choose: Box<dyn Fn() -> Option<SocketAddrV4>>,
    /// The longest wait of one callee.
    callee_wait: Duration,
    /// The process that answered last.
    peer: RefCell<Option<Rc<Peer>>>,
    /// When the last read that succeeded was sent.
    read_at: Cell<Option<Instant>>,
    reading: Mutex<()>,
}

impl LatestReader {
    /// Reads through the agent at this address.
    pub fn through_agent(
        environment: &Environment,
        shared: Rc<ReplicatedView>,
        address: SocketAddrV4,
    ) -> Rc<Self> {
        LatestReader::new(environment, shared, Box::new(move || Some(address)), AGENT_WAIT)
    }

    /// Reads at the control members: those that the view lists, and the seeds.
    pub fn at_members(environment: &Environment, shared: Rc<ReplicatedView>, seeds: Seeds) -> Rc<Self> {
        let chooser = MemberChooser::new(shared.clone(), seeds);
        LatestReader::new(environment, shared, Box::new(move || chooser.choose(0)), MEMBER_WAIT)
    }

    fn new(
        environment: &Environment,
        shared: Rc<ReplicatedView>,
        choose: Box<dyn Fn() -> Option<SocketAddrV4>>,
        callee_wait: Duration,
    ) -> Rc<Self> {
        Rc::new(LatestReader {
            environment: environment.clone(),
            shared,
            choose,
            callee_wait,
            peer: RefCell::default(),
            read_at: Cell::default(),
            reading: Mutex::default(),
        })
    }

    /// Makes the view at least as new as the register was at `since`. Returns whether it is known to be so
    /// before the deadline. Where the future is dropped, the view may be newer, and nothing else has changed.
    pub async fn read_since(&self, since: Instant, deadline: Instant) -> bool {
        let Ok(_reading) = tokio::time::timeout_at(deadline, self.reading.lock()).await else {
            return false;
        };
        while self.read_at.get().is_none_or(|read_at| read_at < since) {
            if Instant::now() >= deadline {
                return false;
            }
            if !self.read_once(deadline).await {
                let delay = Duration::from_millis(RETRY_DELAY_MS / 2 + random::below(RETRY_DELAY_MS));
                tokio::time::sleep_until(deadline.min(Instant::now() + delay)).await;
            }
        }
        true
    }

    /// Asks one process. Returns whether it replied with what is current.
    async fn read_once(&self, deadline: Instant) -> bool {
        let Some(peer) = self.peer() else { return false };
        let sent_at = Instant::now();
        let wait = self.callee_wait.min(deadline.saturating_duration_since(sent_at));
        let request =
            self.shared.read(|view| view.watch_request(WatchPosition::default(), wait.as_millis() as u64));
        let call = ControlCall::ReadLatest(request);
        match peer.call(&call, wait + REPLY_MARGIN).await {
            Ok(ControlReply::Update(update)) => {
                self.shared.change(|view| view.apply(*update));
            }
            Ok(ControlReply::Done) => {}
            Ok(ControlReply::NoQuorum) => return self.read_failed(&peer, "no quorum"),
            Err(error) => return self.read_failed(&peer, &error.to_string()),
        }
        *self.peer.borrow_mut() = Some(peer);
        self.read_at.set(Some(sent_at));
        true
    }

    /// The process that answered last, or another one after a failure.
    fn peer(&self) -> Option<Rc<Peer>> {
        let last = self.peer.borrow_mut().take();
        last.or_else(|| (self.choose)().map(|address| Peer::new(&self.environment, address)))
    }

    fn read_failed(&self, peer: &Peer, cause: &str) -> bool {
        debug!("latest directory not read: callee={} cause={cause}", peer.address());
        false
    }
}

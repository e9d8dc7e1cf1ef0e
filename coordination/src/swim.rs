//! Failure detection among the schedulers: SWIM (Das, Gupta and Motivala 2002) by `foca`, one HTTP call a
//! message over [`crate::wire`].
//!
//! Guarantees that a scheduler that crashes or is partitioned is seen as down within a few seconds, and that
//! one that comes back is seen as alive again. Lost, repeated and foreign messages are tolerated. The
//! verdicts are hints: the safety of the plan does not depend on them, since a scheduler must be down for
//! [`PeerSettings::forget`](crate::settings::PeerSettings::forget) before the plan goes on without its
//! confirmation.
//!
//! A scheduler that restarts under its name has a higher [`Incarnation`], by which the others tell it from
//! its earlier runs.

use crate::settings::PeerSettings;
use crate::wire::Caller;
use bytes::Bytes;
use foca::{AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, PostcardCodec, State, Timer};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::num::NonZeroU32;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Where SWIM messages are sent.
pub(crate) const SWIM_PATH: &str = "/peers/swim";

/// How long the call that carries a message may take; a later message is as good as lost.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);
/// How often this scheduler announces itself to those that it does not know: links may heal at any time.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// How often a member is probed. The links are those of one data centre.
const PROBE_PERIOD: Duration = Duration::from_millis(300);
/// How long the reply to a direct probe may take before others are asked to probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);
/// How long a member is suspected before it is declared down.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a member that is down is remembered, so that old messages do not revive it.
const DOWN_RETENTION: Duration = Duration::from_secs(10);

/// A scheduler in one run of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Incarnation {
    index: u16,
    #[serde(rename = "life")]
    number: u64,
}

impl Incarnation {
    /// The scheduler at this index of the peers, in this incarnation. The number is the Unix time of the
    /// start in milliseconds; 0 stands for a scheduler whose incarnation is not known.
    pub fn new(index: u16, number: u64) -> Self {
        Incarnation { index, number }
    }
}

impl Identity for Incarnation {
    type Addr = u16;

    fn renew(&self) -> Option<Self> {
        Some(Incarnation { number: self.number + 1, ..*self })
    }

    fn addr(&self) -> u16 {
        self.index
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.number > adversary.number
    }
}

/// How a scheduler is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerState {
    /// It replies, or others report that it does.
    Alive,
    /// It has not replied to a probe.
    Suspect,
    /// It is down, or was never reached.
    #[serde(rename = "gone")]
    Down,
}

/// How a scheduler is seen, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Its state.
    pub state: PeerState,
    /// When the state last changed.
    pub since: Instant,
}

/// The status of every scheduler, by its index among the peers. Empty until the first check.
pub type PeerStates = BTreeMap<usize, PeerStatus>;

type Protocol = Foca<Incarnation, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// Takes part in the protocol for as long as the program runs, and publishes what it finds in `states`;
/// `inbound` are the messages of other schedulers.
///
/// Each message sent and each timer is a detached task: it ends by itself, after `MESSAGE_TIMEOUT` or when
/// its timer fires, and changes nothing once this future was dropped.
pub async fn run(
    settings: PeerSettings,
    caller: Caller,
    mut inbound: mpsc::Receiver<Bytes>,
    states: watch::Sender<PeerStates>,
) {
    let mut protocol = new_protocol(&settings);
    let (timer_sender, mut fired_timers) = mpsc::unbounded_channel();
    let mut announce = tokio::time::interval(ANNOUNCE_INTERVAL);
    let mut runtime = AccumulatingRuntime::new();
    loop {
        let handled = tokio::select! {
            Some(message) = inbound.recv() => protocol.handle_data(&message, &mut runtime),
            Some(timer) = fired_timers.recv() => protocol.handle_timer(timer, &mut runtime),
            _ = announce.tick() => {
                announce_to_unknown(&settings, &mut protocol, &mut runtime);
                Ok(())
            }
        };
        if let Err(error) = handled {
            // A message that is noise or of a foreign program, or a timer that is out of date: the protocol
            // goes on.
            tracing::debug!(%error, "SWIM event rejected");
        }
        send_messages(&settings, &caller, &mut runtime);
        start_timers(&timer_sender, &mut runtime);
        while runtime.to_notify().is_some() {}
        let now = Instant::now();
        states.send_if_modified(|states| update_states(states, &settings, &protocol, now));
    }
}

fn new_protocol(settings: &PeerSettings) -> Protocol {
    let size = NonZeroU32::new(settings.peers.len() as u32).unwrap_or(NonZeroU32::MIN);
    let mut config = Config::new_lan(size);
    config.probe_period = PROBE_PERIOD;
    config.probe_rtt = PROBE_TIMEOUT;
    config.suspect_to_down_after = SUSPECT_TIMEOUT;
    config.remove_down_after = Some(DOWN_RETENTION);
    let me = Incarnation::new(settings.me as u16, crate::unix_ms());
    let rng = SmallRng::seed_from_u64(settings.seed ^ me.number);
    Foca::new(me, config, rng, PostcardCodec)
}

fn announce_to_unknown(
    settings: &PeerSettings,
    protocol: &mut Protocol,
    runtime: &mut AccumulatingRuntime<Incarnation>,
) {
    for index in (0..settings.peers.len()).filter(|&index| index != settings.me) {
        let is_known = protocol.iter_members().any(|member| usize::from(member.id().index) == index);
        if !is_known {
            // One that fails is repeated at the next interval.
            let _ = protocol.announce(Incarnation::new(index as u16, 0), &mut *runtime);
        }
    }
}

fn send_messages(settings: &PeerSettings, caller: &Caller, runtime: &mut AccumulatingRuntime<Incarnation>) {
    while let Some((to, data)) = runtime.to_send() {
        // A message may name a scheduler that is none of the peers: nothing is sent there.
        let Some(peer) = settings.peers.get(usize::from(to.index)) else { continue };
        let (caller, address) = (caller.clone(), peer.address);
        tokio::spawn(async move {
            let _ = caller.call("POST", address, SWIM_PATH, data, MESSAGE_TIMEOUT).await;
        });
    }
}

fn start_timers(
    timer_sender: &mpsc::UnboundedSender<Timer<Incarnation>>,
    runtime: &mut AccumulatingRuntime<Incarnation>,
) {
    while let Some((delay, timer)) = runtime.to_schedule() {
        let timer_sender = timer_sender.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = timer_sender.send(timer);
        });
    }
}

/// Whether any state changed.
fn update_states(
    states: &mut PeerStates,
    settings: &PeerSettings,
    protocol: &Protocol,
    now: Instant,
) -> bool {
    let mut changed = false;
    for index in 0..settings.peers.len() {
        let state = if index == settings.me { PeerState::Alive } else { member_state(protocol, index) };
        if states.get(&index).is_none_or(|status| status.state != state) {
            states.insert(index, PeerStatus { state, since: now });
            changed = true;
        }
    }
    changed
}

fn member_state(protocol: &Protocol, index: usize) -> PeerState {
    let member = protocol.iter_members().find(|member| usize::from(member.id().index) == index);
    match member.map(foca::Member::state) {
        Some(State::Alive) => PeerState::Alive,
        Some(State::Suspect) => PeerState::Suspect,
        Some(State::Down) | None => PeerState::Down,
    }
}

//! Who is alive: SWIM by `foca`, one message a call over [`crate::wire`].
//!
//! A scheduler that starts again under its name has a later life, by which the others tell it from the one before.

use crate::settings::PeerSettings;
use crate::wire::Caller;
use bytes::Bytes;
use foca::{AccumulatingRuntime, Config, Foca, Identity, PostcardCodec, State};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::num::NonZeroU32;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// A call that carries a message takes no longer: it is as good as lost then.
const PATIENCE: Duration = Duration::from_millis(400);
/// Those that are not heard of are told of this one so often: links heal at any time.
const ANNOUNCE: Duration = Duration::from_secs(1);

/// A scheduler in one life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Life {
    index: u16,
    life: u64,
}

impl Identity for Life {
    type Addr = u16;

    fn renew(&self) -> Option<Self> {
        Some(Life { life: self.life + 1, ..*self })
    }

    fn addr(&self) -> u16 {
        self.index
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.life > adversary.life
    }
}

/// How a scheduler is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Seen {
    /// It answers, or others say so.
    Alive,
    /// It has not answered a probe.
    Suspect,
    /// It is gone, or was never heard of.
    Gone,
}

/// What is known of every scheduler, by number, and since when.
pub type Known = BTreeMap<usize, (Seen, Instant)>;

/// Keeps `known` for as long as the program runs; `inbound` are the messages that came in.
pub async fn run(
    settings: PeerSettings,
    caller: Caller,
    mut inbound: mpsc::Receiver<Bytes>,
    known: watch::Sender<Known>,
) {
    let count = settings.peers.len();
    let size = NonZeroU32::new(count as u32).unwrap_or(NonZeroU32::MIN);
    let mut config = Config::new_lan(size);
    // Links here are those of one hall: a probe each 300 ms, suspicion for a second and a half.
    config.probe_period = Duration::from_millis(300);
    config.probe_rtt = Duration::from_millis(120);
    config.suspect_to_down_after = Duration::from_millis(1500);
    config.remove_down_after = Some(Duration::from_secs(10));
    let me = Life { index: settings.me as u16, life: crate::unix_ms() };
    let rng = SmallRng::seed_from_u64(settings.seed ^ me.life);
    let mut foca = Foca::new(me, config, rng, PostcardCodec);
    let (timers, mut due) = mpsc::unbounded_channel();
    let mut announce = tokio::time::interval(ANNOUNCE);
    let mut runtime = AccumulatingRuntime::new();
    loop {
        let done = tokio::select! {
            Some(message) = inbound.recv() => foca.handle_data(&message, &mut runtime),
            Some(timer) = due.recv() => foca.handle_timer(timer, &mut runtime),
            _ = announce.tick() => {
                for index in (0..count).filter(|&index| index != settings.me) {
                    let heard = foca.iter_members().any(|member| usize::from(member.id().index) == index);
                    if !heard {
                        let _ = foca.announce(Life { index: index as u16, life: 0 }, &mut runtime);
                    }
                }
                Ok(())
            }
        };
        if let Err(error) = done {
            tracing::debug!(%error, "swim");
        }
        while let Some((to, data)) = runtime.to_send() {
            // A message may name a scheduler that is none of the peers: nothing goes there.
            let Some(peer) = settings.peers.get(usize::from(to.index)) else { continue };
            let (caller, address) = (caller.clone(), peer.address);
            tokio::spawn(async move {
                let _ = caller.call("POST", address, "/peers/swim", data, PATIENCE).await;
            });
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            let timers = timers.clone();
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                let _ = timers.send(timer);
            });
        }
        while runtime.to_notify().is_some() {}
        let now = Instant::now();
        known.send_if_modified(|known| {
            let mut changed = false;
            for index in 0..count {
                let member = foca.iter_members().find(|member| usize::from(member.id().index) == index);
                let seen = match member.map(foca::Member::state) {
                    _ if index == settings.me => Seen::Alive,
                    Some(State::Alive) => Seen::Alive,
                    Some(State::Suspect) => Seen::Suspect,
                    _ => Seen::Gone,
                };
                if known.get(&index).is_none_or(|(before, _)| *before != seen) {
                    known.insert(index, (seen, now));
                    changed = true;
                }
            }
            changed
        });
    }
}

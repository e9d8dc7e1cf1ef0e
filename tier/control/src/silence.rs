//! Instances whose heartbeats stop. The member that heard an instance last watches it.

use crate::member::Member;
use log::info;
use pointcross_tier_protocol::{Instance, InstanceState};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// An instance is silent when so many of its heartbeats are missing, in tenths.
const SILENT_AFTER_BEATS: u32 = 35;
/// It is forgotten after so many heartbeats; one that comes back later is a new one to all.
const GONE_AFTER_BEATS: u32 = 500;
/// The time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(300);
/// A look that comes so late tells that this process stood still: nobody is silent on its word.
const STOOD_STILL: Duration = Duration::from_millis(900);

/// When instances were heard here, and with which call.
#[derive(Debug, Default)]
pub struct Heard {
    instances: BTreeMap<String, (Instant, u64)>,
}

impl Heard {
    /// A heartbeat came. Gives whether this member had not heard the instance before.
    pub fn hear(&mut self, id: &str, call_seq: u64) -> bool {
        self.instances.insert(id.to_owned(), (Instant::now(), call_seq)).is_none()
    }

    /// Another member tells of an instance: where it heard a later call, that one watches it from now on.
    pub fn told(&mut self, instance: &Instance) {
        let watched =
            self.instances.get(&instance.id).is_some_and(|(_, call_seq)| *call_seq < instance.call_seq);
        if watched || instance.state >= InstanceState::Draining {
            self.instances.remove(&instance.id);
        }
    }

    /// All that were watched count as heard now.
    fn forgive(&mut self) {
        let now = Instant::now();
        for (at, _) in self.instances.values_mut() {
            *at = now;
        }
    }

    fn silent_for(&self, time: Duration) -> Vec<(String, u64)> {
        let silent = self.instances.iter().filter(|(_, (at, _))| at.elapsed() > time);
        silent.map(|(id, (_, call_seq))| (id.clone(), *call_seq)).collect()
    }
}

/// Watches for ever.
pub async fn watch(member: Rc<Member>) {
    let beat = Duration::from_millis(member.settings.heartbeat_ms);
    let mut last_look = Instant::now();
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        if last_look.elapsed() > STOOD_STILL || !member.in_touch() {
            member.heard.borrow_mut().forgive();
        }
        last_look = Instant::now();
        let silent = member.heard.borrow().silent_for(beat * SILENT_AFTER_BEATS / 10);
        // Where most fall silent at once, the fault lies on this side.
        if silent.len() > 2 && silent.len() * 2 > member.heard.borrow().instances.len() {
            continue;
        }
        for (id, call_seq) in silent {
            set_state(&member, &id, call_seq, InstanceState::Silent);
        }
        let gone = member.heard.borrow().silent_for(beat * GONE_AFTER_BEATS / 10);
        for (id, call_seq) in gone {
            set_state(&member, &id, call_seq, InstanceState::Gone);
            member.heard.borrow_mut().instances.remove(&id);
        }
    }
}

fn set_state(member: &Member, id: &str, call_seq: u64, state: InstanceState) {
    let changed = member.shared.change(|view| {
        let Some(known) = view.instances().get(id).cloned() else { return false };
        if known.call_seq > call_seq && state == InstanceState::Silent {
            return false;
        }
        let call_seq = known.call_seq;
        view.instances_mut().merge(Instance { state, call_seq, ..known })
    });
    if changed {
        info!("instance {id}: {state:?}");
        member.wake_exchange();
    }
}

//! The order of a node's queue: by value, where a volume's units beyond its reserve count less, and shares by weight
//! (start-time fair queueing, Goyal 1996) decide what counts as the volume's share.

use crate::events::RequestId;
use crate::scheduler::Scheduler;
use crate::units::{Millis, Units, Value};
use std::collections::BTreeMap;

/// The lowest weight of a plan that is reckoned with.
const MIN_WEIGHT: f64 = 1e-3;
/// A request is within the reserve where the reserve holds this part of its units.
const RESERVED_PART: f64 = 0.5;

/// A queued request, as far as its place in the order goes.
#[derive(Clone, Copy)]
struct QueuedRequest {
    id: RequestId,
    value: Value,
    target_at: Millis,
    units: Units,
    volume: u64,
}

/// What is left of a volume's reserve and share while a queue is ordered.
#[derive(Clone, Copy)]
struct VolumeShare {
    reserve: Units,
    /// How far the volume's start tag is ahead of the node's virtual time.
    tag_ahead: f64,
}

/// The most valuable first, then the one due first, then the one that came first.
fn sort(queue: &mut [QueuedRequest]) {
    queue.sort_by(|a, b| {
        b.value.total_cmp(&a.value).then(a.target_at.total_cmp(&b.target_at)).then(a.id.cmp(&b.id))
    });
}

impl Scheduler {
    /// A node's queue in the order in which it is served, each request with its value.
    pub(crate) fn ordered_queue(&mut self, now: Millis, slot: usize) -> Vec<(RequestId, Value)> {
        let mut queue = self.valued_queue(now, slot);
        sort(&mut queue);
        let mut shares: BTreeMap<u64, VolumeShare> = BTreeMap::new();
        for queued in &mut queue {
            let share = match shares.get(&queued.volume) {
                Some(&share) => share,
                None => self.volume_share(now, slot, queued.volume),
            };
            let volume = self.volumes.get(&queued.volume);
            let weight = volume.map_or(1.0, |volume| self.settings.plans[volume.plan].weight.max(MIN_WEIGHT));
            let left = if share.reserve >= queued.units * RESERVED_PART {
                VolumeShare { reserve: share.reserve - queued.units, ..share }
            } else {
                let is_within_share = share.tag_ahead <= self.settings.max_units / weight;
                let settings = &self.settings;
                queued.value *= if is_within_share { settings.share_worth } else { settings.spare_worth };
                VolumeShare { tag_ahead: share.tag_ahead + queued.units / weight, ..share }
            };
            shares.insert(queued.volume, left);
        }
        sort(&mut queue);
        queue.into_iter().map(|queued| (queued.id, queued.value)).collect()
    }

    /// The queue with each request's value as if it were within its reserve.
    fn valued_queue(&self, now: Millis, slot: usize) -> Vec<QueuedRequest> {
        let node = &self.nodes[slot];
        let valued = node.queue.iter().map(|&id| {
            let pending = &self.requests[&id];
            let request = &pending.request;
            let class = &self.settings.classes[pending.class];
            let will_be_late = now + 2.0 * node.base_service_time > pending.target_at;
            let late = if will_be_late { class.late_worth } else { 1.0 };
            let value = class.worth * self.settings.plans[usize::from(request.plan)].price * late;
            QueuedRequest {
                id,
                value,
                target_at: pending.target_at,
                units: request.units,
                volume: request.volume,
            }
        });
        valued.collect()
    }

    fn volume_share(&mut self, now: Millis, slot: usize, volume: u64) -> VolumeShare {
        let known = self.volumes.get_mut(&volume);
        let reserve = known.map_or(0.0, |volume| volume.refill_reserve(now, &self.settings));
        let node = &self.nodes[slot];
        let tag_ahead = node.start_tags.get(&volume).map_or(0.0, |tag| tag - node.virtual_time).max(0.0);
        VolumeShare { reserve, tag_ahead }
    }

    /// Charges a request that is sent to its volume: to the limit once, and to the reserve or the volume's start tag.
    pub(crate) fn charge(&mut self, slot: usize, volume_id: u64, units: Units, charged_before: bool) {
        let node = &mut self.nodes[slot];
        let Some(volume) = self.volumes.get_mut(&volume_id) else { return };
        let plans = &self.settings.plans;
        let weight = plans[volume.plan].weight.max(MIN_WEIGHT);
        if !charged_before {
            volume.limit.level -= units;
        }
        if volume.reserve.level >= units * RESERVED_PART {
            volume.reserve.level -= units;
            return;
        }
        // Beyond the reserve: the volume's tag moves by its weight, the virtual time by all that ask here.
        let others = node.start_tags.keys().filter(|&&other| other != volume_id);
        let weight_of = |other: &u64| self.volumes.get(other).map_or(0.0, |other| plans[other.plan].weight);
        let all = weight + others.map(weight_of).sum::<f64>();
        let tag = node.start_tags.get(&volume_id).copied().unwrap_or(0.0).max(node.virtual_time);
        node.start_tags.insert(volume_id, tag + units / weight);
        node.virtual_time += units / all;
        let virtual_time = node.virtual_time;
        node.start_tags.retain(|_, tag| *tag > virtual_time);
    }
}

//! Slow start of a node: what all hosts together may send to one that has just started.

use crate::scheduler::Scheduler;
use crate::units::{Millis, Units};

/// Hosts, at the least, among which a warming node's units are dealt out, however few shards were requested here yet: of
/// 100 hosts 8 to 29 sent to a node, and it is the volumes on it that make this number, not the fleet.
const MIN_SENDERS: f64 = 25.0;
/// Standard deviations, of requests that come at random, by which what a fleet sends a warming node may pass its mean
/// and still be put down to chance.
const CHANCE_DEVIATIONS: f64 = 2.5;

impl Scheduler {
    /// What a warming node bears from all hosts together within the fall window: the rule's units, growing as its
    /// capacity surely does, reckoned for the start of the window. `None` for a warm node.
    pub(crate) fn warm_up_capacity(&self, now: Millis, slot: usize) -> Option<Units> {
        let rules = &self.settings.rules;
        let started = self.nodes[slot].started;
        if started <= 0.0 || now >= started + rules.cold_for || rules.cold_units <= 0.0 {
            return None;
        }
        let age = (now - rules.fall_window - started).max(0.0) / rules.cold_for.max(1.0);
        Some(rules.cold_units * (1.0 + (1.0 / rules.cold_from.clamp(0.01, 1.0) - 1.0) * age))
    }

    /// How long until this host may send a warming node its next request, with `ahead` units queued before it.
    ///
    /// Where an even part of what the node bears is a request or more, what was sent within the window counts. Where
    /// it is less, each host pays off what it sent, at its part of the fleet's rate, before it sends again; it starts
    /// with a debt, lest hosts send together. A light request counts as a mean one.
    pub(crate) fn warm_up_wait(&mut self, now: Millis, slot: usize, units: Units, ahead: Units) -> Millis {
        let Some(capacity) = self.warm_up_capacity(now, slot) else { return 0.0 };
        let window = self.settings.rules.fall_window;
        let (started_at, tick) = (self.started_at, self.settings.tick);
        let mean = self.settings.mean_units;
        let node = &mut self.nodes[slot];
        // A predecessor of this process may have spent this host's part of the window just before.
        if node.started <= started_at && now <= started_at + window {
            return started_at + window + tick - now;
        }
        node.warm_up_sends.retain(|send| send.at >= now - window - tick);
        let even_part = capacity / f64::from(self.settings.hosts.max(1));
        if even_part >= mean {
            let sent: Units = node.warm_up_sends.iter().map(|send| send.units).sum();
            return if sent + units.max(mean) > even_part { window } else { 0.0 };
        }
        let rate = self.warm_up_rate(capacity);
        let level = self.nodes[slot].warm_up_debt.refill(now, rate, 0.0);
        (ahead - level) / rate * 1000.0
    }

    /// This host's part of the fleet's rate to a warming node, in units a second.
    ///
    /// By chance the sum passes its mean. Over N calls, 2 x root of N and 2 more are put down to that, and the node
    /// falls at 3 x root of N and 3 more in work: so many deviations have to fit into either.
    fn warm_up_rate(&self, capacity: Units) -> f64 {
        let (window, hosts) = (self.settings.rules.fall_window, f64::from(self.settings.hosts.max(1)));
        let (mean, largest) = (self.settings.mean_units, self.settings.max_units);
        // Hosts are alike: as the part of the shards requested here, so the part of the hosts there.
        let part = self.requested_shards.len() as f64 / self.shard_nodes.len().max(1) as f64;
        let senders = (hosts * part).max(MIN_SENDERS).min(hosts);
        let fits = |times: f64, size: f64| {
            let room = capacity + times * ((capacity * mean).sqrt() + mean);
            let chance = CHANCE_DEVIATIONS * size.sqrt();
            ((chance * chance + 4.0 * room).sqrt() - chance).powi(2) / 4.0
        };
        fits(2.0, mean).min(fits(3.0, 0.5 * (mean + largest))) / window * 1000.0 / senders
    }
}

//! The listed nodes and what happens to them: dealt out over zones and racks, drained, killed, moved and started
//! anew by number and seed. No socket: hollow nodes are entries that nobody listens at.

use crate::client::splitmix;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};

/// A node's phase, as the list writes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Takes work.
    Up,
    /// Finishes what it has.
    Draining,
    /// Gone: told among changes only.
    Removed,
}

/// A listed node.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The same for every scheduler.
    pub id: String,
    /// Where it is.
    pub address: SocketAddr,
    /// Its zone, by number.
    pub zone: usize,
    /// The shard it holds.
    pub cell: u32,
    /// Its phase.
    pub phase: Phase,
    /// Its last start, Unix milliseconds; 0 is long ago.
    pub up_since_ms: u64,
}

/// How a cluster is laid out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Regions; zone `z` lies in region `z % regions`.
    pub regions: usize,
    /// Zones; node `n` lies in zone `n % zones`.
    pub zones: usize,
    /// Nodes a rack.
    pub rack: usize,
}

impl Layout {
    /// The zone of node or scheduler `n`.
    pub fn zone(&self, n: usize) -> usize {
        n % self.zones
    }

    /// The region of a zone.
    pub fn region(&self, zone: usize) -> usize {
        zone % self.regions
    }

    /// The rack of node `n` within its zone.
    pub fn rack(&self, n: usize) -> usize {
        n / self.zones / self.rack
    }

    /// The zones' names by number, as the platform's settings give them.
    pub fn names(&self) -> Vec<String> {
        (0..self.zones).map(|zone| format!("r{}-z{zone}", self.region(zone))).collect()
    }
}

/// How many ordinary changes pass before a node that was drained or killed starts anew.
const AWAY: usize = 4;
/// Of a thousand ordinary changes that take a node away, those that are failures: 18 of 848 a day.
const FAILURES: u64 = 21;
/// Of a thousand, those that drain a node to replace it; the rest start it again in place.
const REPLACEMENTS: u64 = 490;

/// A changed entry and its number.
pub type Changed = Vec<(usize, Entry)>;

/// Every node of the list, in its state now.
pub struct World {
    layout: Layout,
    entries: Vec<Entry>,
    /// Nodes that serve traffic: first in number, never touched.
    kept: usize,
    /// Taken away by an ordinary change, and at which number of them; as long as the table of nodes at the most.
    away: VecDeque<(usize, usize)>,
    /// Held down by a lost rack or zone.
    down: Vec<bool>,
    changes: usize,
    seed: u64,
}

/// The address of hollow node `n` after so many moves: nobody listens there.
fn hollow_address(n: usize, moves: u8) -> SocketAddr {
    let (high, low) = ((n >> 8) as u8, (n & 0xff) as u8);
    (Ipv4Addr::new(127, 128 | (moves & 0x7f), high, low), 7000).into()
}

impl World {
    /// Nodes by number, the first of which serve traffic at the addresses given; one shard each.
    pub fn new(layout: Layout, nodes: usize, real: &[SocketAddr], seed: u64) -> Self {
        let entries = (0..nodes).map(|n| Entry {
            id: format!("s-{n:05}"),
            address: real.get(n).copied().unwrap_or_else(|| hollow_address(n, 0)),
            zone: layout.zone(n),
            cell: n as u32,
            phase: Phase::Up,
            up_since_ms: 0,
        });
        let entries = entries.collect();
        let down = vec![false; nodes];
        World { layout, entries, kept: real.len().min(nodes), away: VecDeque::new(), down, changes: 0, seed }
    }

    /// The nodes now.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    fn draw(&mut self) -> u64 {
        self.changes += 1;
        splitmix(self.seed ^ (self.changes as u64) << 24)
    }

    /// A hollow node that is up, drawn; `None` where none is.
    fn pick(&mut self, but: Option<usize>) -> Option<usize> {
        let (drawn, hollow) = (self.draw() as usize, self.entries.len() - self.kept);
        let turns = (0..hollow).map(|turn| self.kept + (drawn % hollow.max(1) + turn) % hollow.max(1));
        turns.into_iter().find(|&n| self.entries[n].phase == Phase::Up && Some(n) != but)
    }

    fn up(&mut self, n: usize, now_ms: u64, moved: bool) -> (usize, Entry) {
        let moves = self.changes as u8;
        let entry = &mut self.entries[n];
        (entry.phase, entry.up_since_ms) = (Phase::Up, now_ms);
        if moved {
            entry.address = hollow_address(n, moves);
        }
        (n, entry.clone())
    }

    fn set(&mut self, n: usize, phase: Phase) -> (usize, Entry) {
        self.entries[n].phase = phase;
        (n, self.entries[n].clone())
    }

    /// The next change of an ordinary day, one node: it is drained, killed, or started again; one that went earlier
    /// starts anew at another address.
    pub fn ordinary(&mut self, now_ms: u64) -> Changed {
        if let Some(&(n, since)) = self.away.front()
            && self.changes >= since + AWAY
        {
            self.changes += 1;
            self.away.pop_front();
            if !self.down[n] {
                return vec![self.up(n, now_ms, true)];
            }
        }
        let Some(n) = self.pick(None) else { return Vec::new() };
        let kind = splitmix(self.seed ^ n as u64 ^ (self.changes as u64) << 40) % 1000;
        if kind >= FAILURES + REPLACEMENTS {
            return vec![self.up(n, now_ms, false)];
        }
        self.away.push_back((n, self.changes));
        vec![self.set(n, if kind < FAILURES { Phase::Removed } else { Phase::Draining })]
    }

    /// A node gives its shard up and another takes it, in one change.
    pub fn primary_change(&mut self) -> Changed {
        let Some(old) = self.pick(None) else { return Vec::new() };
        let Some(new) = self.pick(Some(old)) else { return Vec::new() };
        let (given, taken) = (self.entries[old].cell, self.entries[new].cell);
        self.entries[new].cell = given;
        // The old one comes back for what the other held before.
        let drained = self.set(old, Phase::Draining);
        self.entries[old].cell = taken;
        self.away.push_back((old, self.changes));
        vec![drained, (new, self.entries[new].clone())]
    }

    fn those(&self, zone: usize, rack: Option<usize>) -> Vec<usize> {
        let there =
            |&n: &usize| self.layout.zone(n) == zone && rack.is_none_or(|rack| self.layout.rack(n) == rack);
        (self.kept..self.entries.len()).filter(there).collect()
    }

    /// A zone, or one rack of it, vanishes: its nodes are removed.
    pub fn lose(&mut self, zone: usize, rack: Option<usize>) -> Changed {
        let lost: Vec<usize> =
            self.those(zone, rack).into_iter().filter(|&n| self.entries[n].phase != Phase::Removed).collect();
        let lost = lost.into_iter().map(|n| {
            self.down[n] = true;
            self.set(n, Phase::Removed)
        });
        lost.collect()
    }

    /// A zone or rack is back, cold: every node of it that was lost starts anew.
    pub fn restore(&mut self, zone: usize, rack: Option<usize>, now_ms: u64) -> Changed {
        let back = self.those(zone, rack).into_iter().filter(|&n| self.down[n]).collect::<Vec<_>>();
        let back = back.into_iter().map(|n| {
            self.down[n] = false;
            self.up(n, now_ms, false)
        });
        back.collect()
    }
}

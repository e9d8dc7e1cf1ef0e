//! A scale scenario, in TOML: an ordinary day's rates compressed, and faults of a rack, a zone, a region.

use super::world::Layout;
use crate::client::LoadSettings;
use serde::Deserialize;
use std::fmt::Display;

/// A scale scenario as its file gives it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScaleScenario {
    /// Always `scale`: it tells these files from the others of their folder.
    pub kind: String,
    /// What it rehearses, in a line.
    pub about: String,
    /// How long the day is, in seconds, after the start.
    pub seconds: f64,
    /// Over how long the schedulers' first starts are spread, in seconds.
    #[serde(default = "ten")]
    pub start_s: f64,
    /// Regions.
    #[serde(default = "three")]
    pub regions: usize,
    /// Zones, dealt out over the regions in turn.
    #[serde(default = "eight")]
    pub zones: usize,
    /// Nodes a rack.
    #[serde(default = "twenty")]
    pub rack: usize,
    /// The part of the schedulers that begin with a saved list; the first by number.
    #[serde(default)]
    pub saved: f64,
    /// Changes of the list a second, one node each.
    #[serde(default)]
    pub change_rate: f64,
    /// Changes of the configuration a second.
    #[serde(default)]
    pub configuration_rate: f64,
    /// Traffic on a few of the real schedulers.
    #[serde(default)]
    pub traffic: Traffic,
    /// The schedulers' operator's file, as a table; the rig adds `[configuration]`.
    #[serde(default)]
    pub operator: toml::Table,
    /// What happens besides, in order of time.
    #[serde(default, rename = "event")]
    pub events: Vec<Event>,
}

fn three() -> usize {
    3
}

fn eight() -> usize {
    8
}

fn ten() -> f64 {
    10.0
}

fn twenty() -> usize {
    20
}

/// Light traffic, so that lost requests and doubled writes are counted.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Real schedulers that serve it, the first by number; no figure of control is taken from these.
    pub schedulers: usize,
    /// Stand-in nodes that answer.
    pub nodes: usize,
    /// Requests a second.
    pub rate: f64,
    /// The part of requests that write.
    pub write_share: f64,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic { schedulers: 3, nodes: 12, rate: 60.0, write_share: 0.3 }
    }
}

impl Traffic {
    /// The clients' load.
    pub fn load(&self) -> LoadSettings {
        LoadSettings {
            rate: self.rate,
            write_share: self.write_share,
            deadline_ms: 2000,
            shards: self.nodes as u32,
        }
    }
}

/// One event.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "toml::Table")]
pub struct Event {
    /// When, in seconds from the day's begin.
    pub at: f64,
    /// What.
    pub what: What,
}

/// What an event does.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case", tag = "do", deny_unknown_fields)]
pub enum What {
    /// A rack's nodes vanish from the list.
    RackLost {
        /// Its zone.
        zone: usize,
        /// Its number there.
        rack: usize,
    },
    /// They are back, started anew.
    RackBack {
        /// Its zone.
        zone: usize,
        /// Its number there.
        rack: usize,
    },
    /// A zone's nodes vanish from the list.
    ZoneLost {
        /// Which.
        zone: usize,
    },
    /// They are back, started anew: cold.
    ZoneBack {
        /// Which.
        zone: usize,
    },
    /// Nothing passes between a region's schedulers and the list service and the configuration's sources.
    RegionCut {
        /// Which.
        region: usize,
    },
    /// It passes again.
    RegionBack {
        /// Which.
        region: usize,
    },
    /// A node gives its shard up and another takes it.
    PrimaryChange {},
    /// The configuration changes so many times at this rate.
    Configuration {
        /// How many times.
        changes: u32,
        /// How many a second.
        rate: f64,
    },
    /// Schedulers are stopped and started again, drawn by the seed, none of those that serve traffic.
    Restart {
        /// Real ones.
        #[serde(default)]
        real: usize,
        /// Hollow ones.
        #[serde(default)]
        hollow: usize,
        /// Over how many seconds they are spread; 0 is all at once.
        #[serde(default)]
        over_s: f64,
    },
}

impl TryFrom<toml::Table> for Event {
    type Error = String;

    fn try_from(mut table: toml::Table) -> Result<Self, String> {
        let at = match table.remove("at") {
            Some(toml::Value::Float(at)) => at,
            Some(toml::Value::Integer(at)) => at as f64,
            Some(other) => return Err(format!("at: {other}; wanted seconds")),
            None => return Err("at: missing; wanted seconds".into()),
        };
        let what = What::deserialize(table).map_err(|error| format!("at = {at}: {}", error.message()))?;
        Ok(Event { at, what })
    }
}

/// What is wrong with a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScaleScenarioError {
    /// Not TOML of this form; the message names the key and line.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    /// A figure out of its range.
    #[error("{key}: {found}; wanted {wanted}")]
    Range {
        /// The key.
        key: String,
        /// What was found.
        found: String,
        /// What is wanted.
        wanted: String,
    },
}

fn want(holds: bool, key: &str, found: impl Display, wanted: &str) -> Result<(), ScaleScenarioError> {
    if holds {
        return Ok(());
    }
    Err(ScaleScenarioError::Range {
        key: key.to_owned(),
        found: found.to_string(),
        wanted: wanted.to_owned(),
    })
}

impl ScaleScenario {
    /// Reads and checks a scenario's text.
    ///
    /// # Errors
    /// A text that is no TOML, or the first key with a value that cannot be.
    pub fn parse(text: &str) -> Result<Self, ScaleScenarioError> {
        let scenario: ScaleScenario = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Checks its figures, again after some were set from outside.
    ///
    /// # Errors
    /// The first key with a value that cannot be.
    pub fn check(&self) -> Result<(), ScaleScenarioError> {
        want(self.kind == "scale", "kind", &self.kind, "scale")?;
        want(self.seconds > 0.0 && self.seconds <= 200.0, "seconds", self.seconds, "over 0, to 200")?;
        want((0.0..=60.0).contains(&self.start_s), "start_s", self.start_s, "0 to 60")?;
        want((1..=16).contains(&self.regions), "regions", self.regions, "1 to 16")?;
        want((self.regions..=64).contains(&self.zones), "zones", self.zones, "regions to 64")?;
        want((1..=1000).contains(&self.rack), "rack", self.rack, "1 to 1000")?;
        want((0.0..=1.0).contains(&self.saved), "saved", self.saved, "0 to 1")?;
        want(
            (0.0..=100.0).contains(&self.change_rate),
            "change_rate",
            self.change_rate,
            "0 to 100 a second",
        )?;
        let rate = self.configuration_rate;
        want((0.0..=20.0).contains(&rate), "configuration_rate", rate, "0 to 20 a second")?;
        let traffic = &self.traffic;
        want(traffic.schedulers <= 20, "traffic.schedulers", traffic.schedulers, "0 to 20")?;
        want((1..=100).contains(&traffic.nodes), "traffic.nodes", traffic.nodes, "1 to 100")?;
        let rate = traffic.rate;
        want(rate > 0.0 && rate <= 2000.0, "traffic.rate", rate, "over 0, to 2000 a second")?;
        let share = traffic.write_share;
        want((0.0..=1.0).contains(&share), "traffic.write_share", share, "0 to 1")?;
        let own = !self.operator.contains_key("configuration");
        want(own, "operator.configuration", "given", "none: the rig adds it")?;
        let mut before = 0.0;
        for (n, event) in self.events.iter().enumerate() {
            let key = |key: &str| format!("event[{n}].{key}");
            let at = (before..=self.seconds).contains(&event.at);
            want(at, &key("at"), event.at, "in order, 0 to seconds")?;
            before = event.at;
            match event.what {
                What::RackLost { zone, .. }
                | What::RackBack { zone, .. }
                | What::ZoneLost { zone }
                | What::ZoneBack { zone } => want(zone < self.zones, &key("zone"), zone, "one under zones")?,
                What::RegionCut { region } | What::RegionBack { region } => {
                    want(region < self.regions, &key("region"), region, "one under regions")?;
                }
                What::PrimaryChange {} => {}
                What::Configuration { changes, rate } => {
                    want((1..=1000).contains(&changes), &key("changes"), changes, "1 to 1000")?;
                    want(rate > 0.0 && rate <= 20.0, &key("rate"), rate, "over 0, to 20 a second")?;
                }
                What::Restart { over_s, .. } => {
                    let ends = (0.0..=self.seconds - event.at).contains(&over_s);
                    want(ends, &key("over_s"), over_s, "0 to the day's end")?;
                }
            }
        }
        Ok(())
    }

    /// How the cluster is laid out.
    pub fn layout(&self) -> Layout {
        Layout { regions: self.regions, zones: self.zones, rack: self.rack }
    }
}

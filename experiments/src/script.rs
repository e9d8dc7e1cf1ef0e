//! A rehearsal's script: the site, its plans and classes, and a timeline of troubles that may overlap. TOML; every
//! fault is told at once with its key, and with its line where the file cannot be read at all.

use crate::node::NodeLaws;
use serde::Deserialize;
use std::fmt;

/// A script.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Its name, for reports.
    pub name: String,
    /// The site.
    pub site: Site,
    /// The nodes' laws; what is left out is as in BRIEF.
    #[serde(default)]
    pub node: NodeKeys,
    /// The plans.
    pub plan: Vec<Plan>,
    /// The classes.
    pub class: Vec<Class>,
    /// The troubles.
    #[serde(default)]
    pub trouble: Vec<Trouble>,
}

/// How large it is, and how much is asked of it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Seconds that are played.
    pub seconds: f64,
    /// Storage nodes, a shard each.
    pub nodes: u32,
    /// Schedulers.
    pub schedulers: u32,
    /// Volumes for each node.
    pub volumes_per_node: f64,
    /// What is asked for in the mean, as a part of what all nodes can do.
    pub load: f64,
    /// Milliseconds one way between any two.
    #[serde(default = "one")]
    pub way_ms: f64,
    /// Seconds until discovery tells of what has changed.
    #[serde(default = "two")]
    pub told_late_s: f64,
}

fn one() -> f64 {
    1.0
}

fn two() -> f64 {
    2.0
}

/// Keys of `[node]`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct NodeKeys {
    /// Jobs in work at once.
    pub cores: Option<u32>,
    /// Jobs that wait at the most.
    pub queue: Option<usize>,
    /// Milliseconds of work of one unit.
    pub unit_ms: Option<f64>,
    /// Coefficient of variation of service times.
    pub spread: Option<f64>,
    /// Milliseconds between pauses in the mean; 0 for none.
    pub pause_every_ms: Option<f64>,
    /// Milliseconds until a cold node is warm.
    pub warm_after_ms: Option<f64>,
}

/// A plan, in the terms of BRIEF 4.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Part of the usual traffic.
    pub share: f64,
    /// Part of a volume's usual rate that is reserved.
    #[serde(default = "half")]
    pub reserve: f64,
    /// A volume's limit, as many times its usual rate; none where left out.
    pub limit: Option<f64>,
    /// Weight in what is left.
    #[serde(default = "one")]
    pub weight: f64,
    /// Factor on worth.
    #[serde(default = "one")]
    pub price: f64,
}

fn half() -> f64 {
    0.5
}

/// A class, in the terms of BRIEF 5.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Part of the requests.
    pub share: f64,
    /// Units of a request, from and to.
    pub units: (f64, f64),
    /// Wanted within so many milliseconds.
    pub aim_ms: f64,
    /// Given up after so many.
    pub give_up_ms: f64,
    /// Worth of one.
    #[serde(default = "one")]
    pub worth: f64,
    /// Writes, which must never run twice.
    #[serde(default)]
    pub write: bool,
}

/// Something that goes wrong for a time.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(try_from = "toml::Table")]
pub struct Trouble {
    /// Seconds from the start.
    pub at_s: f64,
    /// Seconds that it lasts.
    pub for_s: f64,
    /// What.
    pub what: What,
}

impl TryFrom<toml::Table> for Trouble {
    type Error = String;

    /// The times stand beside the keys of the kind; whatever no kind knows is a fault.
    fn try_from(mut table: toml::Table) -> Result<Self, String> {
        let mut seconds = |key: &str| match table.remove(key) {
            None => Ok(None),
            Some(toml::Value::Float(seconds)) => Ok(Some(seconds)),
            Some(toml::Value::Integer(seconds)) => Ok(Some(seconds as f64)),
            Some(other) => Err(format!("{key}: {}: wanted a number of seconds", other.type_str())),
        };
        let at_s = seconds("at_s")?.ok_or("trouble: at_s is missing")?;
        let for_s = seconds("for_s")?.unwrap_or(0.0);
        let what = What::deserialize(table).map_err(|error| format!("trouble: {}", error.message()))?;
        Ok(Trouble { at_s, for_s, what })
    }
}

/// What goes wrong.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// Nodes die together and come back cold.
    Die {
        /// Part of all nodes.
        nodes: f64,
    },
    /// Nodes take requests and answer none.
    Silent {
        /// Part of all nodes.
        nodes: f64,
    },
    /// Nodes are so many times slower.
    Slow {
        /// Part of all nodes.
        nodes: f64,
        /// How many times.
        times: f64,
    },
    /// Nodes run requests and then break the connection.
    Reset {
        /// Part of all nodes.
        nodes: f64,
        /// Part of their requests.
        requests: f64,
    },
    /// All volumes of a plan ask for so many times their usual traffic.
    Surge {
        /// The plan.
        plan: String,
        /// How many times.
        times: f64,
    },
    /// Some volumes ask for so many times their usual traffic.
    Hot {
        /// Part of all volumes.
        volumes: f64,
        /// How many times.
        times: f64,
    },
    /// For some volumes another scheduler leads.
    Lead {
        /// Part of all volumes.
        volumes: f64,
    },
    /// Nodes drain, and take work again afterwards.
    Drain {
        /// Part of all nodes.
        nodes: f64,
    },
    /// Discovery tells nothing.
    Discovery,
    /// A scheduler is killed, and starts again with the list that it last held.
    Scheduler {
        /// Its number, from 0.
        number: u32,
    },
}

/// Everything that is wrong with a script, a line each: the key or line, and what.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct ScriptErrors(pub Vec<String>);

impl fmt::Display for ScriptErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

impl Script {
    /// Reads and checks a script.
    ///
    /// # Errors
    /// A text that is no TOML, or every faulty key.
    pub fn parse(text: &str) -> Result<Self, ScriptErrors> {
        let script: Script = toml::from_str(text).map_err(|error| {
            let line = error.span().map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
            let place = line.map_or("file".to_owned(), |line| format!("line {line}"));
            ScriptErrors(vec![format!("{place}: {}", error.message())])
        })?;
        let faults = script.faults();
        if faults.is_empty() { Ok(script) } else { Err(ScriptErrors(faults)) }
    }

    /// Reads and checks a script that is a table already.
    ///
    /// # Errors
    /// Every faulty key.
    pub fn from_table(table: toml::Table) -> Result<Self, ScriptErrors> {
        let script = Script::deserialize(table)
            .map_err(|error| ScriptErrors(vec![format!("script: {}", error.message())]))?;
        let faults = script.faults();
        if faults.is_empty() { Ok(script) } else { Err(ScriptErrors(faults)) }
    }

    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut want = |holds: bool, key: &str, text: String| {
            if !holds {
                faults.push(format!("{key}: {text}"));
            }
        };
        let site = &self.site;
        let range = |from: f64, to: f64| format!("wanted {from} to {to}");
        let mut within = |key: &str, value: f64, from: f64, to: f64| {
            want((from..=to).contains(&value), key, format!("{value}: {}", range(from, to)));
        };
        within("site.seconds", site.seconds, 1.0, 86_400.0);
        within("site.nodes", site.nodes.into(), 1.0, 100_000.0);
        within("site.schedulers", site.schedulers.into(), 1.0, 1000.0);
        within("site.volumes_per_node", site.volumes_per_node, 0.1, 1000.0);
        within("site.load", site.load, 0.0, 20.0);
        within("site.way_ms", site.way_ms, 0.0, 1000.0);
        within("site.told_late_s", site.told_late_s, 0.0, 600.0);
        let laws = self.laws();
        within("node.cores", laws.cores.into(), 1.0, 1024.0);
        within("node.unit_ms", laws.unit_ms, 0.001, 60_000.0);
        within("node.spread", laws.spread, 0.0, 4.0);
        within("node.pause_every_ms", laws.pause_every_ms, 0.0, 1e9);
        within("node.warm_after_ms", laws.warm_after_ms, 0.001, 1e9);
        within("plan.share", self.plan.iter().map(|plan| plan.share).sum(), 1e-9, 1e9);
        for plan in &self.plan {
            let key = |key: &str| format!("plan.{}.{key}", plan.name);
            within(&key("share"), plan.share, 0.0, 1e9);
            within(&key("reserve"), plan.reserve, 0.0, 1.0);
            within(&key("limit"), plan.limit.unwrap_or(1.0), 0.01, 1e6);
            within(&key("weight"), plan.weight, 0.001, 1e6);
            within(&key("price"), plan.price, 0.0, 1e6);
        }
        within("class.share", self.class.iter().map(|class| class.share).sum(), 1e-9, 1e9);
        for class in &self.class {
            let key = |key: &str| format!("class.{}.{key}", class.name);
            within(&key("share"), class.share, 0.0, 1e9);
            within(&key("units"), class.units.0, 0.001, class.units.1);
            within(&key("aim_ms"), class.aim_ms, 1.0, class.give_up_ms);
            within(&key("give_up_ms"), class.give_up_ms, 1.0, 600_000.0);
        }
        for (n, trouble) in self.trouble.iter().enumerate() {
            let key = |key: &str| format!("trouble.{n}.{key}");
            within(&key("at_s"), trouble.at_s, 0.0, site.seconds);
            within(&key("for_s"), trouble.for_s, 0.0, 86_400.0);
            match &trouble.what {
                What::Die { nodes } | What::Silent { nodes } | What::Drain { nodes } => {
                    within(&key("nodes"), *nodes, 0.0, 1.0);
                }
                What::Slow { nodes, times } => {
                    within(&key("nodes"), *nodes, 0.0, 1.0);
                    within(&key("times"), *times, 0.01, 1e4);
                }
                What::Reset { nodes, requests } => {
                    within(&key("nodes"), *nodes, 0.0, 1.0);
                    within(&key("requests"), *requests, 0.0, 1.0);
                }
                What::Hot { volumes, times } => {
                    within(&key("volumes"), *volumes, 0.0, 1.0);
                    within(&key("times"), *times, 0.0, 1e4);
                }
                What::Lead { volumes } => within(&key("volumes"), *volumes, 0.0, 1.0),
                What::Surge { times, .. } => within(&key("times"), *times, 0.0, 1e4),
                What::Scheduler { number } => {
                    within(&key("number"), (*number).into(), 0.0, f64::from(site.schedulers) - 1.0);
                }
                What::Discovery => {}
            }
        }
        for (n, trouble) in self.trouble.iter().enumerate() {
            if let What::Surge { plan, .. } = &trouble.what {
                let known = self.plan.iter().any(|known| known.name == *plan);
                want(known, &format!("trouble.{n}.plan"), format!("{plan:?} is no plan of this script"));
            }
        }
        faults
    }

    /// The nodes' laws.
    pub fn laws(&self) -> NodeLaws {
        let (keys, laws) = (&self.node, NodeLaws::default());
        NodeLaws {
            cores: keys.cores.unwrap_or(laws.cores),
            queue: keys.queue.unwrap_or(laws.queue),
            unit_ms: keys.unit_ms.unwrap_or(laws.unit_ms),
            spread: keys.spread.unwrap_or(laws.spread),
            pause_every_ms: keys.pause_every_ms.unwrap_or(laws.pause_every_ms),
            warm_after_ms: keys.warm_after_ms.unwrap_or(laws.warm_after_ms),
            ..laws
        }
    }

    /// The same at so many times the size: nodes, schedulers and so the load.
    pub fn sized(mut self, size: u32) -> Self {
        self.site.nodes *= size;
        self.site.schedulers *= size;
        self
    }

    /// Units of a request in the mean.
    pub fn mean_units(&self) -> f64 {
        let all: f64 = self.class.iter().map(|class| class.share).sum();
        self.class.iter().map(|class| class.share / all * (class.units.0 + class.units.1) / 2.0).sum()
    }

    /// Units a second that all nodes can do.
    pub fn capacity(&self) -> f64 {
        let laws = self.laws();
        f64::from(self.site.nodes) * f64::from(laws.cores) * 1000.0 / laws.unit_ms
    }
}

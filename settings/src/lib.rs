//! Decodes the platform's settings from JSON into the decision module's settings, and the few figures that a program on
//! sockets needs beside them.
//!
//! Guards against settings that are understood in part: an unknown word is an error with its key. Unknown keys are
//! skipped, since newer platforms add some.
#![warn(missing_docs)]

use pointcross_scheduler::{Budget, Class, Group, Plan, Repeat, ReportSource, Rules, Settings};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(default)]
struct WireSettings {
    me: u32,
    instances: u32,
    locality: u8,
    localities: Vec<String>,
    resolution: f64,
    classes: Vec<WireClass>,
    service_levels: Vec<WirePlan>,
    guarantees: WireRules,
    limits: WireLimits,
    discovery: String,
    family_info: WireFamily,
    report: WireReport,
    charges: WireCharges,
}

impl Default for WireSettings {
    fn default() -> Self {
        WireSettings {
            me: 0,
            instances: 1,
            locality: 0,
            localities: Vec::new(),
            resolution: 1.0,
            classes: Vec::new(),
            service_levels: Vec::new(),
            guarantees: WireRules::default(),
            limits: WireLimits::default(),
            discovery: "pushed".into(),
            family_info: WireFamily::default(),
            report: WireReport::default(),
            charges: WireCharges::default(),
        }
    }
}

#[derive(Deserialize)]
struct WireClass {
    #[serde(default)]
    name: String,
    aim: f64,
    give_up: f64,
    #[serde(default)]
    aim_stretch: f64,
    #[serde(default)]
    importance: f64,
    #[serde(default)]
    late_value: f64,
    repeat: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    repeat_window: f64,
    #[serde(default)]
    fifo_by_key: bool,
}

#[derive(Deserialize)]
#[serde(default)]
struct WirePlan {
    name: String,
    base_rate: f64,
    reservation: f64,
    weight: f64,
    price: f64,
    cap: f64,
    cap_depth: f64,
    cap_slack: f64,
}

impl Default for WirePlan {
    fn default() -> Self {
        WirePlan {
            name: String::new(),
            base_rate: 0.0,
            reservation: 0.0,
            weight: 1.0,
            price: 1.0,
            cap: 0.0,
            cap_depth: 0.0,
            cap_slack: 0.0,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WireRules {
    grace_to_answer: f64,
    drain_grace: f64,
    ask_within: f64,
    cold_from: f64,
    cold: f64,
    fall_multiple: f64,
    tip_after: f64,
    turn_gap: f64,
    min_extra: Option<f64>,
    further_ratio: Option<f64>,
    extra_window: Option<f64>,
}

#[derive(Deserialize)]
#[serde(default)]
struct WireLimits {
    cancelling: bool,
    connect_timeout: f64,
    keepalive: f64,
    max_attempts: u32,
    max_retry_after: f64,
    may_tell: bool,
    probing: bool,
    retry_after: bool,
    second_copies: bool,
}

impl Default for WireLimits {
    fn default() -> Self {
        WireLimits {
            cancelling: false,
            connect_timeout: 0.0,
            keepalive: 0.0,
            max_attempts: 1,
            max_retry_after: 0.0,
            may_tell: false,
            probing: false,
            retry_after: true,
            second_copies: false,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WireFamily {
    idle_worth: f64,
    within_share: f64,
    max_units: f64,
    unit_mean: f64,
    slots_total: u32,
    tells_elsewhere: bool,
    writes: Vec<bool>,
    young_limit: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WireReport {
    how: String,
    names: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WireCharges {
    probe: f64,
}

/// Why a settings text cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsTextError {
    /// Not JSON, or a key with a value of another type.
    #[error("settings are not readable JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A key has a word that is not defined for it.
    #[error("settings give an unknown word for {0}: {1}")]
    Word(&'static str, String),
}

/// The settings, decoded once.
#[derive(Clone, Debug, PartialEq)]
pub struct Parsed {
    /// The decision module's settings.
    pub decide: Settings,
    /// The classes' names, by number.
    pub classes: Vec<String>,
    /// The plans' names, by number.
    pub plans: Vec<String>,
    /// The zones' names, by number.
    pub zones: Vec<String>,
    /// A node closes a connection that was idle for so many milliseconds.
    pub keepalive: f64,
}

/// Reads the settings from their text.
///
/// # Errors
/// A text that is not JSON, or a word that is not known, with its key.
pub fn parse(text: &[u8]) -> Result<Parsed, SettingsTextError> {
    let wire: WireSettings = serde_json::from_slice(text)?;
    let names = wire.classes.iter().map(|class| class.name.clone()).collect();
    let plans = wire.service_levels.iter().map(|plan| plan.name.clone()).collect();
    let family = wire.family_info;
    let classes = classes(wire.classes, &family.writes)?;
    let decide = Settings {
        host: wire.me,
        hosts: wire.instances,
        zone: wire.locality,
        tick: wire.resolution,
        classes,
        plans: wire.service_levels.into_iter().map(WirePlan::into_plan).collect(),
        rules: wire.guarantees.into_rules(family.young_limit),
        ask_for_list: asks_for_list(wire.discovery)?,
        max_attempts: wire.limits.max_attempts,
        second_copies: wire.limits.second_copies,
        may_cancel: wire.limits.cancelling,
        may_probe: wire.limits.probing,
        may_message: wire.limits.may_tell,
        max_retry_after: if wire.limits.retry_after { wire.limits.max_retry_after } else { 0.0 },
        connect_time: wire.limits.connect_timeout,
        report_source: report_source(wire.report.how)?,
        report_names: wire.report.names,
        mean_units: family.unit_mean,
        max_units: family.max_units,
        share_worth: family.within_share,
        spare_worth: family.idle_worth,
        shards: family.slots_total,
        tells_elsewhere: family.tells_elsewhere,
        probe_price: wire.charges.probe,
    };
    Ok(Parsed { decide, classes: names, plans, zones: wire.localities, keepalive: wire.limits.keepalive })
}

/// The classes; `writes` says by number which ones write.
fn classes(classes: Vec<WireClass>, writes: &[bool]) -> Result<Vec<Class>, SettingsTextError> {
    let numbered = classes.into_iter().enumerate();
    numbered.map(|(number, class)| class.into_class(writes.get(number).copied().unwrap_or(false))).collect()
}

impl WireClass {
    fn into_class(self, writes: bool) -> Result<Class, SettingsTextError> {
        Ok(Class {
            aim: self.aim,
            deadline: self.give_up,
            aim_stretch: self.aim_stretch,
            worth: self.importance,
            late_worth: self.late_value,
            repeat: match self.repeat.as_str() {
                "safe" => Repeat::Safe,
                "keyed" => Repeat::Keyed,
                "unsafe" => Repeat::Unsafe,
                _ => return Err(SettingsTextError::Word("repeat", self.repeat)),
            },
            group: match self.group.as_str() {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" | "" => Group::Shard,
                _ => return Err(SettingsTextError::Word("group", self.group)),
            },
            repeat_window: self.repeat_window,
            ordered: self.fifo_by_key,
            writes,
        })
    }
}

impl WirePlan {
    fn into_plan(self) -> Plan {
        Plan {
            rate: self.base_rate,
            reserve: self.reservation,
            weight: self.weight,
            price: self.price,
            limit: self.cap,
            limit_depth: self.cap_depth,
            limit_slack: self.cap_slack,
        }
    }
}

impl WireRules {
    /// The rules; `cold_units` is the limit of a node that is warming up.
    fn into_rules(self, cold_units: f64) -> Rules {
        Rules {
            answer_grace: self.grace_to_answer,
            drain_grace: self.drain_grace,
            ask_within: self.ask_within,
            cold_from: self.cold_from,
            cold_for: self.cold,
            fall_multiple: self.fall_multiple,
            fall_window: self.tip_after,
            cold_units,
            key_rest: self.turn_gap,
            budget: self.retry_budget(),
        }
    }

    /// The retry budget; none where no key of it is given.
    fn retry_budget(&self) -> Option<Budget> {
        match (self.min_extra, self.further_ratio, self.extra_window) {
            (None, None, None) => None,
            (free, share, window) => Some(Budget {
                window: window.unwrap_or(0.0),
                free: free.unwrap_or(0.0),
                share: share.unwrap_or(0.0),
            }),
        }
    }
}

fn asks_for_list(discovery: String) -> Result<bool, SettingsTextError> {
    match discovery.as_str() {
        "pushed" => Ok(false),
        "on_request" => Ok(true),
        _ => Err(SettingsTextError::Word("discovery", discovery)),
    }
}

fn report_source(how: String) -> Result<ReportSource, SettingsTextError> {
    match how.as_str() {
        "inline" => Ok(ReportSource::Answers),
        "on_probe" => Ok(ReportSource::Probes),
        "off" | "" => Ok(ReportSource::Nowhere),
        _ => Err(SettingsTextError::Word("report", how)),
    }
}

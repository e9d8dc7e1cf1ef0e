//! A client's configuration, from code or from a TOML file, checked in one place. Every fault is reported,
//! each with its key. Keys of the file stay as `deploy/client.toml` writes them; fields carry them by
//! `serde(rename)`.

use crate::decide::engine::{ClassRules, Rules, SetRules};
use crate::decide::retry_policy::RetryLimits;
use crate::decide::scheduler::ConnectionLimits;
use pointcross_platform_http::platform::fits_path;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::time::Duration;

/// The schedulers of some volumes.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SetConfig {
    /// Where they listen.
    pub schedulers: Vec<SocketAddr>,
    /// How many of them carry one volume, in turns; all of them where it is not given. Requests state it as
    /// the volume's `host_count`, by which schedulers split a limit.
    pub spread: Option<usize>,
    /// The volumes, in hex; a set that names none takes all that no other set names.
    #[serde(default)]
    pub volumes: Vec<String>,
}

/// A class of calls.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClassConfig {
    /// How long a call waits, in milliseconds.
    pub deadline_ms: f64,
    /// Whether running a request twice does no harm. Where it is not given, reads are safe and writes are
    /// not.
    #[serde(rename = "repeat_safe")]
    pub is_idempotent: Option<bool>,
    /// Whether its calls are writes (`PUT`).
    #[serde(default)]
    pub write: bool,
    /// An attempt is not started with less than this left until the deadline, in milliseconds.
    #[serde(default = "one_ms")]
    #[serde(rename = "least_ms")]
    pub min_remaining_ms: f64,
}

fn one_ms() -> f64 {
    1.0
}

impl ClassConfig {
    /// A class of reads, safe to repeat.
    pub fn read(deadline: Duration) -> Self {
        let deadline_ms = deadline.as_secs_f64() * 1e3;
        ClassConfig { deadline_ms, is_idempotent: None, write: false, min_remaining_ms: one_ms() }
    }

    /// A class of writes, never run twice.
    pub fn write(deadline: Duration) -> Self {
        ClassConfig { write: true, ..ClassConfig::read(deadline) }
    }
}

/// Attempts after the first.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct RetryConfig {
    /// Upper bound of one call's retries; the platform's own clients make one.
    #[serde(rename = "most")]
    pub max_retries: u16,
    /// Retries of all calls together, as a share of the calls that were served.
    #[serde(rename = "share")]
    pub budget_ratio: f64,
    /// Retries that may be saved, and made before the first success.
    #[serde(rename = "burst")]
    pub budget_burst: f64,
    /// The first backoff's upper bound where the refusal had no `Retry-After`, in milliseconds.
    pub backoff_ms: f64,
    /// The longest backoff, in milliseconds.
    #[serde(rename = "most_backoff_ms")]
    pub max_backoff_ms: f64,
    /// Calls return within so much after the `Retry-After` time, at a random time each, in milliseconds.
    #[serde(rename = "return_spread_ms")]
    pub return_jitter_ms: f64,
    /// A refusal pauses its volume for no longer than this, in milliseconds.
    #[serde(rename = "most_hold_ms")]
    pub max_pause_ms: f64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        RetryConfig {
            max_retries: 1,
            budget_ratio: 0.2,
            budget_burst: 10.0,
            backoff_ms: 50.0,
            max_backoff_ms: 1000.0,
            return_jitter_ms: 50.0,
            max_pause_ms: 60_000.0,
        }
    }
}

/// Connections to schedulers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ConnectionConfig {
    /// Upper bound of connections to one scheduler.
    #[serde(rename = "most")]
    pub max_connections: usize,
    /// Upper bound of connections being opened to one scheduler at once.
    #[serde(rename = "most_opening")]
    pub max_opening: usize,
    /// Upper bound of calls queued for one scheduler's connections.
    #[serde(rename = "most_waiting")]
    pub max_queued: usize,
    /// How long one may take to come up, in milliseconds.
    #[serde(rename = "connect_ms")]
    pub connect_timeout_ms: f64,
    /// An idle one is closed after this, in milliseconds; schedulers close theirs after 2000.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: f64,
    /// Upper bound of one response's body, in bytes.
    #[serde(rename = "most_answer")]
    pub max_response_bytes: usize,
    /// Subtracted from the remaining time that a request states, for the response's way back, in
    /// milliseconds.
    #[serde(rename = "answer_way_ms")]
    pub response_latency_ms: f64,
}

impl Default for ConnectionConfig {
    fn default() -> Self {
        let limits = ConnectionLimits::default();
        ConnectionConfig {
            max_connections: limits.max_connections,
            max_opening: limits.max_opening,
            max_queued: limits.max_queued,
            connect_timeout_ms: limits.connect_timeout.as_secs_f64() * 1e3,
            idle_timeout_ms: limits.idle_timeout.as_secs_f64() * 1e3,
            max_response_bytes: 4 << 20,
            response_latency_ms: 5.0,
        }
    }
}

/// Reconnection to schedulers that were lost.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ReconnectConfig {
    /// Connections are opened again within this after one was lost, in milliseconds.
    pub window_ms: f64,
    /// And within so much more for each further one, in milliseconds.
    pub window_per_lost_ms: f64,
    /// Upper bound of that window, in milliseconds.
    #[serde(rename = "most_window_ms")]
    pub max_window_ms: f64,
    /// How long a scheduler is ejected first, in milliseconds; each further ejection in a row is twice as
    /// long.
    #[serde(rename = "aside_ms")]
    pub ejection_ms: f64,
    /// The longest ejection, in milliseconds.
    #[serde(rename = "most_aside_ms")]
    pub max_ejection_ms: f64,
    /// How long a probe may take, in milliseconds.
    #[serde(rename = "trial_ms")]
    pub probe_timeout_ms: f64,
}

impl Default for ReconnectConfig {
    fn default() -> Self {
        let limits = ConnectionLimits::default();
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        ReconnectConfig {
            window_ms: ms(limits.reconnect_window),
            window_per_lost_ms: ms(limits.reconnect_window_per_lost),
            max_window_ms: ms(limits.max_reconnect_window),
            ejection_ms: ms(limits.ejection),
            max_ejection_ms: ms(limits.max_ejection),
            probe_timeout_ms: ms(limits.probe_timeout),
        }
    }
}

/// All of it, as the file gives it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ClientConfig {
    /// The sets of schedulers, by name.
    pub sets: BTreeMap<String, SetConfig>,
    /// The classes, by name.
    pub classes: BTreeMap<String, ClassConfig>,
    /// Attempts after the first.
    pub retry: RetryConfig,
    /// Connections.
    pub connections: ConnectionConfig,
    /// Reconnection to schedulers that were lost.
    pub reconnect: ReconnectConfig,
    /// Seed of all that is drawn; from the system where it is not given. Two clients with one seed draw
    /// alike, so it is for tests.
    pub seed: Option<u64>,
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigError {
    /// The key, as the file writes it.
    pub key: String,
    /// What is wrong with it.
    pub text: String,
}

/// Everything that is wrong, a line each.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, ConfigError { key, text }) in self.0.iter().enumerate() {
            let newline = if number > 0 { "\n" } else { "" };
            write!(f, "{newline}{key}: {text}")?;
        }
        Ok(())
    }
}

/// The configuration in the form that the client works with.
#[derive(Clone, Debug)]
pub(crate) struct Checked {
    pub rules: Rules,
    pub set_names: Vec<String>,
    pub set_of_volume: BTreeMap<u64, u16>,
    /// The set of volumes that no set names.
    pub other_volumes: Option<u16>,
    pub classes: Vec<Class>,
    pub max_response_bytes: usize,
    pub response_latency: Duration,
}

/// A class in that form.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    pub name: String,
    pub write: bool,
    pub idempotent: bool,
    pub deadline: Duration,
}

/// The sets of schedulers in that form.
#[derive(Default)]
struct CheckedSets {
    rules: Vec<SetRules>,
    /// The set's number, by volume.
    set_of_volume: BTreeMap<u64, u16>,
    /// The set of volumes that no set names.
    other_volumes: Option<u16>,
}

/// Collects faults while values are read.
#[derive(Default)]
struct Check(Vec<ConfigError>);

impl Check {
    fn fault(&mut self, key: impl Into<String>, text: impl Into<String>) {
        self.0.push(ConfigError { key: key.into(), text: text.into() });
    }

    /// A time in milliseconds, from `least` up to a day.
    fn time(&mut self, key: impl Into<String>, ms: f64, least: f64) -> Duration {
        const DAY: f64 = 86_400_000.0;
        if (least..=DAY).contains(&ms) {
            return Duration::from_secs_f64(ms / 1e3);
        }
        self.fault(key, format!("{ms}: wanted {least} to {DAY} milliseconds"));
        Duration::ZERO
    }

    fn count(&mut self, key: &str, count: usize, most: usize) -> usize {
        if !(1..=most).contains(&count) {
            self.fault(key, format!("{count}: wanted 1 to {most}"));
        }
        count
    }
}

impl ClientConfig {
    /// Reads a TOML file's text and checks it.
    ///
    /// # Errors
    /// A text that is no TOML, or every faulty key, with what was found and what is wanted.
    pub fn from_toml(text: &str) -> Result<Self, ConfigErrors> {
        let config: ClientConfig = toml::from_str(text).map_err(|error| {
            let line = error.span().map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
            let key = line.map_or("file".to_owned(), |line| format!("line {line}"));
            ConfigErrors(vec![ConfigError { key, text: error.message().to_owned() }])
        })?;
        config.check()?;
        Ok(config)
    }

    /// Checks it; gives every fault at once, in the order of the sections and keys.
    pub(crate) fn check(&self) -> Result<Checked, ConfigErrors> {
        let mut check = Check::default();
        let sets = self.check_sets(&mut check);
        let (classes, class_rules) = self.check_classes(&mut check);
        self.check_retry_budget(&mut check);
        let limits = self.check_connection_limits(&mut check);
        let (retry, connections) = (&self.retry, &self.connections);
        let rules = Rules {
            classes: class_rules,
            sets: sets.rules,
            retry_budget_ratio: retry.budget_ratio,
            retry_budget_burst: retry.budget_burst,
            backoff: check.time("retry.backoff_ms", retry.backoff_ms, 0.0),
            max_backoff: check.time("retry.most_backoff_ms", retry.max_backoff_ms, 0.0),
            return_jitter: check.time("retry.return_spread_ms", retry.return_jitter_ms, 0.0),
            max_pause: check.time("retry.most_hold_ms", retry.max_pause_ms, 0.0),
            connections: limits,
            seed: self.seed.unwrap_or_else(|| RandomState::new().hash_one(std::process::id())),
        };
        let checked = Checked {
            rules,
            set_names: self.sets.keys().cloned().collect(),
            set_of_volume: sets.set_of_volume,
            other_volumes: sets.other_volumes,
            classes,
            max_response_bytes: check.count(
                "connections.most_answer",
                connections.max_response_bytes,
                1 << 30,
            ),
            response_latency: check.time("connections.answer_way_ms", connections.response_latency_ms, 0.0),
        };
        if check.0.is_empty() { Ok(checked) } else { Err(ConfigErrors(check.0)) }
    }

    fn check_sets(&self, check: &mut Check) -> CheckedSets {
        if self.sets.is_empty() {
            check.fault("sets", "none is named");
        }
        let mut checked = CheckedSets::default();
        for (number, (name, set)) in self.sets.iter().enumerate() {
            let key = |key: &str| format!("sets.{name}.{key}");
            if set.schedulers.is_empty() {
                check.fault(key("schedulers"), "none is named");
            }
            for (n, address) in set.schedulers.iter().enumerate() {
                if set.schedulers[..n].contains(address) {
                    check.fault(key("schedulers"), format!("{address} stands twice"));
                }
            }
            let spread = set.spread.unwrap_or(set.schedulers.len());
            if spread == 0 || spread > set.schedulers.len().max(1) {
                check.fault(key("spread"), format!("{spread}: wanted 1 to the number of schedulers"));
            }
            if set.volumes.is_empty() && checked.other_volumes.replace(number as u16).is_some() {
                check.fault(key("volumes"), "another set names none either");
            }
            for volume in &set.volumes {
                match u64::from_str_radix(volume, 16) {
                    Err(error) => check.fault(key("volumes"), format!("{volume:?}: {error}")),
                    Ok(id) => {
                        if checked.set_of_volume.insert(id, number as u16).is_some() {
                            check.fault(key("volumes"), format!("{volume:?} stands twice"));
                        }
                    }
                }
            }
            checked.rules.push(SetRules { schedulers: set.schedulers.clone(), spread });
        }
        checked
    }

    fn check_classes(&self, check: &mut Check) -> (Vec<Class>, Vec<ClassRules>) {
        if self.classes.is_empty() {
            check.fault("classes", "none is named");
        }
        let (mut classes, mut class_rules) = (Vec::new(), Vec::new());
        for (name, class) in &self.classes {
            let key = |key: &str| format!("classes.{name}.{key}");
            if !fits_path(name) {
                check.fault(format!("classes.{name}"), "does not fit into a path");
            }
            let deadline = check.time(key("deadline_ms"), class.deadline_ms, 1.0);
            let least = check.time(key("least_ms"), class.min_remaining_ms, 0.0);
            if least >= deadline && !deadline.is_zero() {
                check.fault(key("least_ms"), "not under the deadline");
            }
            let idempotent = class.is_idempotent.unwrap_or(!class.write);
            classes.push(Class { name: name.clone(), write: class.write, idempotent, deadline });
            class_rules.push(ClassRules {
                retry: RetryLimits { idempotent, max_retries: self.retry.max_retries },
                min_remaining: least,
            });
        }
        (classes, class_rules)
    }

    fn check_retry_budget(&self, check: &mut Check) {
        let retry = &self.retry;
        if !(0.0..=1.0).contains(&retry.budget_ratio) {
            check.fault("retry.share", format!("{}: wanted 0 to 1", retry.budget_ratio));
        }
        if !(0.0..=1e6).contains(&retry.budget_burst) {
            check.fault("retry.burst", format!("{}: wanted 0 to 1000000", retry.budget_burst));
        }
    }

    fn check_connection_limits(&self, check: &mut Check) -> ConnectionLimits {
        let (connections, reconnect) = (&self.connections, &self.reconnect);
        ConnectionLimits {
            max_connections: check.count("connections.most", connections.max_connections, 1 << 16),
            max_opening: check.count("connections.most_opening", connections.max_opening, 1 << 16),
            max_queued: check.count("connections.most_waiting", connections.max_queued, 1 << 20),
            connect_timeout: check.time("connections.connect_ms", connections.connect_timeout_ms, 1.0),
            idle_timeout: check.time("connections.idle_ms", connections.idle_timeout_ms, 1.0),
            reconnect_window: check.time("reconnect.window_ms", reconnect.window_ms, 0.0),
            reconnect_window_per_lost: check.time(
                "reconnect.window_per_lost_ms",
                reconnect.window_per_lost_ms,
                0.0,
            ),
            max_reconnect_window: check.time("reconnect.most_window_ms", reconnect.max_window_ms, 0.0),
            ejection: check.time("reconnect.aside_ms", reconnect.ejection_ms, 1.0),
            max_ejection: check.time("reconnect.most_aside_ms", reconnect.max_ejection_ms, 1.0),
            probe_timeout: check.time("reconnect.trial_ms", reconnect.probe_timeout_ms, 1.0),
        }
    }
}

// In a file of its own under tests/: it checks state that is private here.
#[cfg(test)]
#[path = "../tests/unit/config.rs"]
mod tests;

//! What is known of one server.

use crate::health::{FAILURES_BEFORE_EJECTION, Health};
use pointcross_scheduler::LearnedRate;
use pointcross_tier_protocol::{Instance, InstanceState};
use std::collections::{HashSet, VecDeque};

/// Parts of prompts remembered for one server; its prefix cache holds some hundred.
const MAX_CACHED_PARTS: usize = 512;
/// Weight of the newest answer in a server's latency factor, where the latency is expected from the prompt.
const ENGINE_LATENCY_WEIGHT: f64 = 0.25;
/// The same where nothing is generated: such latencies vary by as much as their mean.
const PLAIN_LATENCY_WEIGHT: f64 = 0.1;
/// A rejection says less of a server's health than a failure, which counts 1.
const REJECTION_WEIGHT: f64 = 0.5;

/// How an attempt at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete answer came.
    Served,
    /// The server said that it did not run the request, for want of room.
    Rejected,
    /// Another instance answers at this address.
    OtherInstance,
    /// No connection came up.
    NoConnection,
    /// The answer broke off, was malformed, or did not come in time.
    Failed,
    /// The server's own error.
    ServerError,
    /// The client left.
    Abandoned,
}

/// A server's report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
}

impl LoadReport {
    /// Reads `running,waiting,slots`.
    pub fn parse(header: &str) -> Option<Self> {
        let mut numbers = header.split(',').map(|number| number.trim().parse::<u32>().ok());
        Some(LoadReport { running: numbers.next()??, waiting: numbers.next()??, slots: numbers.next()?? })
    }
}

/// A load report with what it has to be read against.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedReport {
    /// When it came, in milliseconds.
    pub at: f64,
    pub report: LoadReport,
    /// This proxy's own attempts in flight at that moment.
    pub own: u32,
}

/// One server, as this proxy sees it.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub instance: Instance,
    /// Attempts in flight, and their units.
    pub in_flight: u32,
    pub in_flight_units: f64,
    pub service_rate: LearnedRate,
    /// Since when work is in flight without an answer, in milliseconds.
    pub gap_start: f64,
    /// The mean latency, or time to a stream's first event, over the expected one.
    pub latency_factor: f64,
    pub health: Health,
    /// The address belongs to another instance by now.
    pub replaced: bool,
    pub report: Option<ReceivedReport>,
    cached_parts: HashSet<u64>,
    cached_parts_by_age: VecDeque<u64>,
}

impl Server {
    pub fn new(instance: Instance) -> Self {
        Server {
            instance,
            in_flight: 0,
            in_flight_units: 0.0,
            service_rate: LearnedRate::default(),
            gap_start: 0.0,
            latency_factor: 1.0,
            health: Health::default(),
            replaced: false,
            report: None,
            cached_parts: HashSet::new(),
            cached_parts_by_age: VecDeque::new(),
        }
    }

    /// Whether it accepts new requests.
    pub fn accepts_requests(&self) -> bool {
        let state = self.instance.state;
        !self.replaced && matches!(state, InstanceState::Ready | InstanceState::Unresponsive)
    }

    /// Its last report, while that is not older than `ttl`.
    pub fn fresh_report(&self, now: f64, ttl: f64) -> Option<&ReceivedReport> {
        self.report.as_ref().filter(|received| now - received.at < ttl)
    }

    /// Requests of other proxies there, by its last report while that is fresh.
    pub fn load_of_others(&self, now: f64, report_ttl: f64) -> f64 {
        self.fresh_report(now, report_ttl).map_or(0.0, |received| {
            let reported = received.report.running + received.report.waiting;
            f64::from(reported.saturating_sub(received.own))
        })
    }

    /// Whether it has ever reported its load.
    pub fn reports_load(&self) -> bool {
        self.report.is_some()
    }

    /// Requests in its own queue, by its last report while that is fresh.
    pub fn waiting(&self, now: f64, report_ttl: f64) -> f64 {
        self.fresh_report(now, report_ttl).map_or(0.0, |received| f64::from(received.report.waiting))
    }

    /// Tokens of this prompt in its prefix cache, as far as this proxy filled it.
    pub fn cached_tokens(&self, parts: &[(u64, u64)]) -> u64 {
        let cached = parts.iter().take_while(|(key, _)| self.cached_parts.contains(key));
        cached.map(|(_, tokens)| tokens).sum()
    }

    /// Records a prompt that it prefills.
    pub fn record_prompt(&mut self, parts: &[(u64, u64)]) {
        for (key, _) in parts {
            if self.cached_parts.insert(*key) {
                self.cached_parts_by_age.push_back(*key);
            }
        }
        while self.cached_parts_by_age.len() > MAX_CACHED_PARTS {
            if let Some(oldest) = self.cached_parts_by_age.pop_front() {
                self.cached_parts.remove(&oldest);
            }
        }
    }

    /// Records an answer's latency, against the expected one.
    pub fn record_latency(&mut self, took: f64, expected_ms: f64, is_plain: bool) {
        let weight = if is_plain { PLAIN_LATENCY_WEIGHT } else { ENGINE_LATENCY_WEIGHT };
        let factor = (took / expected_ms.max(1.0)).clamp(0.2, 10.0);
        self.latency_factor += weight * (factor - self.latency_factor);
    }

    /// Records how an attempt ended.
    pub fn record_end(&mut self, now: f64, units: f64, end: AttemptEnd) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_units =
            if self.in_flight == 0 { 0.0 } else { (self.in_flight_units - units).max(0.0) };
        match end {
            AttemptEnd::Served => {
                self.service_rate.learn(units, (now - self.gap_start).max(1.0));
                self.gap_start = now;
                self.health.record_success(now);
            }
            AttemptEnd::OtherInstance => self.replaced = true,
            AttemptEnd::NoConnection => self.health.record_failure(now, 1),
            AttemptEnd::Failed | AttemptEnd::ServerError => {
                self.health.record_failure(now, FAILURES_BEFORE_EJECTION);
            }
            AttemptEnd::Rejected => self.health.record(now, REJECTION_WEIGHT),
            AttemptEnd::Abandoned => {}
        }
    }
}

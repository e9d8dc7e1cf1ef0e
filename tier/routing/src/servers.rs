//! The servers of all services: which one a request is sent to, or whether it is held or refused.

use crate::admission;
use crate::prefix::PromptParts;
use crate::server::{AttemptEnd, LoadReport, Server};
use pointcross_decide::LearnedRate;
use pointcross_tier_protocol::{Instance, InstanceState};
use std::collections::HashMap;

/// Prompt tokens that an engine reads in a millisecond, before anything was learned of it.
const READ_PER_MS: f64 = 40.0;
/// What a request costs at an idle server beside its tokens, in milliseconds.
const BASE_MS: f64 = 25.0;
/// What each request that is there already adds to the time of another, in milliseconds, at an engine: it runs in the
/// same batch, and reads a part of its prompt in between.
const ENGINE_LOAD_MS: f64 = 3.0;
/// What each request that waits for a place there adds.
const ENGINE_WAITING_MS: f64 = 30.0;
/// Reading a prompt holds up all that run there: its time counts by this part more for each of them. Under load this
/// keeps sessions where their prompts are kept; moving them makes more to read, and more load.
const READ_HOLDS_UP: f64 = 0.3;
/// The price of another zone: the way there and back, and the bytes, in milliseconds.
const OTHER_ZONE_MS: f64 = 10.0;
/// The advantage of the server that a session hashes to: proxies that know nothing of it, as after a restart, choose the
/// same one.
const HOME_MS: f64 = 20.0;
/// How long a server's own report of its load is believed, in milliseconds.
const REPORT_LASTS: f64 = 1000.0;
/// What a certain failure costs, in milliseconds: the request is made again, or is lost.
const FAILURE_MS: f64 = 400.0;
/// What a server costs that the control plane has not heard for long: as a rest.
const SILENT_MS: f64 = 50_000.0;
/// A server that rests is chosen only where no other is left.
const REST_MS: f64 = 100_000.0;

/// What a request asks of a server.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a str,
    /// Units of work: tokens where it generates, else 1.
    pub units: f64,
    /// The prompt, where it generates.
    pub prompt: Option<&'a PromptParts>,
    /// Milliseconds until the answer is due.
    pub time_left: f64,
    /// Milliseconds in which an answer is worth most.
    pub target: f64,
    /// Units that wait here for the same service.
    pub held_units: f64,
    /// Instances tried already.
    pub tried: &'a [String],
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send it to this instance; the second number is what its answer is foreseen to take, in milliseconds.
    Send(Instance, f64),
    /// Hold it until a server has room.
    Hold,
    /// It would come too late, by so many milliseconds.
    Refuse(f64),
    /// No server is there, or all have been tried.
    NoServer,
}

/// All servers known to a proxy.
#[derive(Debug, Default)]
pub struct Servers {
    zone: String,
    servers: HashMap<String, Server>,
    typical: HashMap<String, LearnedRate>,
}

impl Servers {
    /// No servers yet; `zone` is the proxy's own.
    pub fn new(zone: &str) -> Self {
        Servers { zone: zone.to_owned(), ..Servers::default() }
    }

    /// Takes in what is known of an instance.
    pub fn update(&mut self, instance: &Instance) {
        if instance.state == InstanceState::Gone {
            self.servers.remove(&instance.id);
            return;
        }
        match self.servers.get_mut(&instance.id) {
            Some(server) => server.instance = instance.clone(),
            None => {
                self.servers.insert(instance.id.clone(), Server::new(instance.clone()));
            }
        }
    }

    /// Whether any server of a service takes requests.
    pub fn serves(&self, service: &str) -> bool {
        self.servers.values().any(|server| server.instance.service == service && server.takes_requests())
    }

    /// Chooses a server.
    pub fn choose(&self, now: f64, demand: &Demand) -> Choice {
        let typical = self.typical.get(demand.service).cloned().unwrap_or_default();
        let candidates = || {
            self.servers.values().filter(|server| {
                let instance = &server.instance;
                instance.service == demand.service
                    && server.takes_requests()
                    && !demand.tried.contains(&instance.id)
            })
        };
        let with_room = candidates()
            .filter(|server| admission::fits(server, &typical, demand.units, demand.target))
            .map(|server| (self.cost(now, server, demand), server))
            .min_by(|(one, a), (other, b)| one.total_cmp(other).then(a.instance.id.cmp(&b.instance.id)));
        if let Some((_, server)) = with_room {
            let foreseen = self.foreseen(server, demand);
            return Choice::Send(server.instance.clone(), foreseen);
        }
        let least_wait = candidates()
            .map(|server| admission::wait(server, &typical, demand.held_units))
            .min_by(f64::total_cmp);
        match least_wait {
            None => Choice::NoServer,
            Some(wait) if wait > demand.time_left => Choice::Refuse(wait - demand.time_left),
            Some(_) => Choice::Hold,
        }
    }

    /// What an answer is foreseen to take at an idle server of usual speed.
    fn foreseen(&self, server: &Server, demand: &Demand) -> f64 {
        let unread = demand
            .prompt
            .map_or(0, |prompt| prompt.tokens().saturating_sub(server.cached_tokens(&prompt.parts)));
        BASE_MS + unread as f64 / READ_PER_MS
    }

    fn cost(&self, now: f64, server: &Server, demand: &Demand) -> f64 {
        let there = f64::from(server.out) + server.others(now, REPORT_LASTS);
        let own_time = self.foreseen(server, demand) * server.time_factor;
        let load = if demand.prompt.is_some() {
            let held_up = (self.foreseen(server, demand) - BASE_MS) * READ_HOLDS_UP * there;
            let waiting = server.waiting(now, REPORT_LASTS) * ENGINE_WAITING_MS;
            there * ENGINE_LOAD_MS * server.time_factor + held_up + waiting
        } else {
            own_time * there / f64::from(server.instance.capacity)
        };
        let zone = if server.instance.zone == self.zone { 0.0 } else { OTHER_ZONE_MS };
        let rest = if server.rests(now) { REST_MS } else { 0.0 };
        let silent = if server.instance.state == InstanceState::Silent { SILENT_MS } else { 0.0 };
        let trouble = server.trouble(now) * FAILURE_MS;
        own_time + load + zone + rest + silent + trouble - self.home_advantage(server, demand)
    }

    fn home_advantage(&self, server: &Server, demand: &Demand) -> f64 {
        let Some(key) = demand.prompt.and_then(PromptParts::session_key) else {
            return 0.0;
        };
        let mut value = key;
        for byte in server.instance.id.bytes() {
            value = (value ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        value ^= value >> 32;
        HOME_MS * (value % 1024) as f64 / 1024.0
    }

    /// A request was sent.
    pub fn sent(&mut self, now: f64, id: &str, units: f64, prompt: Option<&PromptParts>) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if server.out == 0 {
            server.gap_from = now;
        }
        server.out += 1;
        server.out_units += units;
        if let Some(prompt) = prompt {
            server.remember_parts(&prompt.parts);
        }
    }

    /// A server's answer began: what it took against what was foreseen, and what it says of its load.
    pub fn answered(&mut self, now: f64, id: &str, took: f64, foreseen: f64, report: Option<LoadReport>) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.learn_time(took, foreseen);
        if let Some(report) = report {
            server.report = Some((now, report, server.out));
        }
    }

    /// An attempt ended.
    pub fn ended(&mut self, now: f64, id: &str, units: f64, end: AttemptEnd) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let gap = (now - server.gap_from).max(1.0);
        server.learn_end(now, units, end);
        if end == AttemptEnd::Served {
            self.typical.entry(server.instance.service.clone()).or_default().learn(units, gap);
        }
    }
}

//! The servers of all services: which one a request is sent to, or whether it is queued or refused.

use crate::admission;
use crate::cost::Costs;
use crate::demand::Demand;
use crate::overload::{Overload, ProgramDemand};
use crate::policy::Policy;
use crate::prefix::PromptParts;
use crate::rendezvous;
use crate::route_latency::RouteLatencies;
use crate::server::{AttemptEnd, LoadReport, ReceivedReport, Server};
use pointcross_scheduler::LearnedRate;
use pointcross_tier_protocol::{Instance, InstanceState};
use std::collections::HashMap;

/// The beginning of an answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerBegin<'a> {
    /// The route, where nothing is generated: its mean latency is learned.
    pub plain_route: Option<&'a str>,
    /// Its latency, in milliseconds.
    pub took: f64,
    /// The expected latency, in milliseconds.
    pub expected_ms: f64,
    /// The server's report of its load, where it came with one.
    pub report: Option<LoadReport>,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send it to this instance.
    Send {
        /// The instance.
        instance: Instance,
        /// Its expected latency, in milliseconds.
        expected_ms: f64,
    },
    /// Queue it until a server has room.
    Queue,
    /// It would come too late, by so many milliseconds.
    Refuse(f64),
    /// No server is ready, or all have been tried.
    NoServer,
}

/// All servers known to a proxy.
#[derive(Debug, Default)]
pub struct Servers {
    policy: Policy,
    zone: String,
    proxy_key: u64,
    route_latencies: RouteLatencies,
    servers: HashMap<String, Server>,
    /// By service: the rate of a server not heard from yet.
    typical_rates: HashMap<String, LearnedRate>,
    /// By service where tokens are generated: how slow its servers are together.
    overloads: HashMap<String, Overload>,
}

impl Servers {
    /// No servers yet, for the proxy of this machine and zone.
    pub fn new(machine: &str, zone: &str) -> Self {
        Servers { zone: zone.to_owned(), proxy_key: rendezvous::key(machine), ..Servers::default() }
    }

    /// The same with other mechanisms of choice.
    pub fn with_policy(self, policy: Policy) -> Self {
        Servers { policy, ..self }
    }

    /// Applies what is known of an instance.
    pub fn update(&mut self, instance: &Instance) {
        if matches!(instance.state, InstanceState::Terminated | InstanceState::Expired) {
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

    /// Whether any server of a service accepts requests.
    pub fn serves(&self, service: &str) -> bool {
        self.servers.values().any(|server| server.instance.service == service && server.accepts_requests())
    }

    /// When a program may return that the service has no capacity for now, in milliseconds; `None` where it is
    /// admitted.
    pub fn refuse_program(&self, now: f64, service: &str, demand: &ProgramDemand) -> Option<f64> {
        let overload = self.overloads.get(service).filter(|_| self.policy.program_shedding)?;
        overload.refuse(now, demand)
    }

    /// Chooses a server.
    pub fn choose(&self, now: f64, demand: &Demand) -> Choice {
        let typical = self.typical_rates.get(demand.service).cloned().unwrap_or_default();
        let candidates = || {
            self.servers.values().filter(|server| {
                let instance = &server.instance;
                instance.service == demand.service
                    && server.accepts_requests()
                    && !demand.tried.contains(&instance.id)
            })
        };
        let affine = demand.object.filter(|_| self.policy.affinity).and_then(|object| {
            let preference = |server: &&Server| rendezvous::preference(object, &server.instance.id);
            let chosen = candidates().max_by(|one, other| preference(one).total_cmp(&preference(other)));
            chosen.map(|server| server.instance.id.as_str())
        });
        let costs = Costs {
            policy: self.policy,
            now,
            zone: &self.zone,
            proxy_key: self.proxy_key,
            usual_ms: self.route_latencies.of(demand.route),
            demand,
            affine,
        };
        let is_ejected = |server: &Server| self.policy.health && server.health.is_ejected(now);
        let spares_ejected =
            self.policy.ejection_before_room && candidates().any(|server| !is_ejected(server));
        let eligible = || candidates().filter(|server| !(spares_ejected && is_ejected(server)));
        let reported_slots = self.policy.reported_slots;
        let with_room = eligible()
            .filter(|server| {
                !self.policy.admission || admission::fits(server, &typical, now, demand, reported_slots)
            })
            .map(|server| (costs.of(server), server))
            .min_by(|(one, a), (other, b)| one.total_cmp(other).then(a.instance.id.cmp(&b.instance.id)));
        if let Some((_, server)) = with_room {
            let expected_ms = costs.expected_ms(server);
            return Choice::Send { instance: server.instance.clone(), expected_ms };
        }
        let queued = demand.queued_units;
        let total_rate = admission::total_rate(eligible(), &typical);
        let shortest_wait = eligible()
            .map(|server| match self.policy.shared_queue {
                true => admission::wait_in_shared_queue(server, &typical, queued, total_rate),
                false => admission::wait(server, &typical, queued),
            })
            .min_by(f64::total_cmp);
        match shortest_wait {
            None => Choice::NoServer,
            Some(wait) if wait > demand.time_left => Choice::Refuse(wait - demand.time_left),
            Some(_) => Choice::Queue,
        }
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, now: f64, id: &str, units: f64, prompt: Option<&PromptParts>) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if server.in_flight == 0 {
            server.gap_start = now;
        }
        server.in_flight += 1;
        server.in_flight_units += units;
        if let Some(prompt) = prompt {
            server.record_prompt(&prompt.parts);
        }
    }

    /// Records that a server's answer began.
    pub fn answered(&mut self, now: f64, id: &str, begin: AnswerBegin) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.record_latency(begin.took, begin.expected_ms, begin.plain_route.is_some());
        if let Some(report) = begin.report {
            server.report = Some(ReceivedReport { at: now, report, own: server.in_flight });
        }
        match begin.plain_route {
            Some(route) => self.route_latencies.learn(route, begin.took),
            None => {
                let overload = self.overloads.entry(server.instance.service.clone()).or_default();
                overload.record(now, begin.took, begin.expected_ms);
            }
        }
    }

    /// Records that an attempt ended.
    pub fn ended(&mut self, now: f64, id: &str, units: f64, end: AttemptEnd) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let gap = (now - server.gap_start).max(1.0);
        server.record_end(now, units, end);
        if end == AttemptEnd::Served {
            self.typical_rates.entry(server.instance.service.clone()).or_default().learn(units, gap);
        }
    }
}

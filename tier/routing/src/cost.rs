//! The cost of sending a request to a server, in milliseconds: its expected latency there, the load before it, the
//! server's health, less what speaks for the choice. The lowest cost is chosen.

use crate::demand::Demand;
use crate::policy::Policy;
use crate::rendezvous;
use crate::server::Server;
use pointcross_tier_protocol::InstanceState;

/// Prompt tokens that an engine reads in a millisecond, before anything was learned of it.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;
/// What a request costs at an idle server beside its tokens, in milliseconds, before anything was learned of it.
const BASE_MS: f64 = 25.0;
/// What each request in flight adds to the latency of another at an engine: it runs in the same batch, and prefills a
/// part of its prompt in between.
const ENGINE_LOAD_MS: f64 = 3.0;
/// What each request in the engine's own queue adds.
const ENGINE_WAITING_MS: f64 = 30.0;
/// A prefill delays all that run there: its time counts by this part more for each of them. Under load this keeps
/// sessions where their prompts are cached; moving them makes more prefill, and more load.
const PREFILL_INTERFERENCE: f64 = 0.3;
/// The cost of another zone: the round trip and the bytes, in milliseconds.
const OTHER_ZONE_MS: f64 = 10.0;
/// What speaks for the server that a session hashes to: proxies that know nothing of it, as after a restart, choose
/// the same one.
const SESSION_PREFERENCE_MS: f64 = 20.0;
/// What speaks for the servers that a prompt's shared prefix hashes to: an engine that serves few shared prefixes uses
/// each often and keeps it cached, one that serves all of them evicts them for the sessions' own parts. Only where
/// servers report their load: else all proxies crowd at the same few engines, and none sees the others there.
const SHARED_PREFIX_PREFERENCE_MS: f64 = 20.0;
/// Where nothing is generated it is the proxy that hashes: each prefers few servers, to which connections stay open.
/// Less than [`OTHER_ZONE_MS`], so that these are servers of its zone.
const PROXY_PREFERENCE_MS: f64 = 8.0;
/// What an idle connection saves: a round trip, the server's work for a new one, and the share of its connections that
/// each one takes from other callers.
const IDLE_CONNECTION_MS: f64 = 15.0;
/// Part of a request's expected latency that speaks for the server which its object hashes to: it has probably seen
/// the object and works faster.
const AFFINITY_PART: f64 = 0.3;
/// How long a server's own report of its load is believed, in milliseconds.
const REPORT_TTL_MS: f64 = 1000.0;
/// What a certain failure costs, in milliseconds: the request is made again, or is lost.
const FAILURE_MS: f64 = 400.0;
/// The cost of a server whose heartbeats stopped: about as that of an ejected one.
const UNRESPONSIVE_MS: f64 = 50_000.0;
/// An ejected server is chosen only where no other is left.
const EJECTED_MS: f64 = 100_000.0;
/// Latencies vary by as much as their mean where nothing is generated: a server counts as slow only from this factor on.
const MIN_SLOWNESS: f64 = 1.5;

/// What the choice knows beside the server itself.
pub(crate) struct Costs<'a> {
    pub policy: Policy,
    pub now: f64,
    pub zone: &'a str,
    /// What this proxy hashes by.
    pub proxy_key: u64,
    /// The mean latency of the route where nothing is generated, in milliseconds.
    pub usual_ms: Option<f64>,
    pub demand: &'a Demand<'a>,
    /// The server that the request's object hashes to.
    pub affine: Option<&'a str>,
}

impl Costs<'_> {
    /// The expected latency at an idle server of usual speed, in milliseconds.
    pub fn expected_ms(&self, server: &Server) -> f64 {
        let Some(prompt) = self.demand.prompt else {
            return self.usual_ms.unwrap_or(BASE_MS);
        };
        let cached = if self.policy.prefix_cache { server.cached_tokens(&prompt.parts) } else { 0 };
        BASE_MS + prompt.tokens().saturating_sub(cached) as f64 / PREFILL_TOKENS_PER_MS
    }

    /// The whole cost.
    pub fn of(&self, server: &Server) -> f64 {
        let own_time = self.expected_ms(server) * self.slowness_factor(server);
        own_time + self.load(server, own_time) + self.zone_cost(server) + self.health(server)
            - self.advantages(server)
    }

    fn slowness_factor(&self, server: &Server) -> f64 {
        let is_plain = self.demand.prompt.is_none();
        if !self.policy.latency || (is_plain && server.latency_factor < MIN_SLOWNESS) {
            return 1.0;
        }
        server.latency_factor
    }

    /// The cost of the requests that are there already.
    fn load(&self, server: &Server, own_time: f64) -> f64 {
        let present = f64::from(server.in_flight) + server.load_of_others(self.now, REPORT_TTL_MS);
        if self.demand.prompt.is_none() {
            // Nothing queues before the slots are taken; what others send is partly unseen, so it counts before that.
            let part = present / f64::from(server.instance.capacity);
            return own_time * part * part;
        }
        let prefill_delay = (self.expected_ms(server) - BASE_MS) * PREFILL_INTERFERENCE * present;
        let waiting = server.waiting(self.now, REPORT_TTL_MS) * ENGINE_WAITING_MS;
        present * ENGINE_LOAD_MS * server.latency_factor + prefill_delay + waiting
    }

    fn zone_cost(&self, server: &Server) -> f64 {
        let elsewhere = self.policy.zones && server.instance.zone != self.zone;
        if elsewhere { OTHER_ZONE_MS } else { 0.0 }
    }

    fn health(&self, server: &Server) -> f64 {
        let unresponsive =
            if server.instance.state == InstanceState::Unresponsive { UNRESPONSIVE_MS } else { 0.0 };
        if !self.policy.health {
            return unresponsive;
        }
        let ejected = if server.health.is_ejected(self.now) { EJECTED_MS } else { 0.0 };
        unresponsive + ejected + server.health.failure_rate(self.now) * FAILURE_MS
    }

    fn advantages(&self, server: &Server) -> f64 {
        let id = server.instance.id.as_str();
        let mut advantages = 0.0;
        if self.policy.idle_connections && (self.demand.has_idle_connection)(id) {
            advantages += IDLE_CONNECTION_MS;
        }
        if self.policy.preferred_servers {
            advantages += self.preference_advantage(server);
        }
        if self.affine == Some(id) {
            advantages += AFFINITY_PART * self.expected_ms(server);
        }
        advantages
    }

    fn preference_advantage(&self, server: &Server) -> f64 {
        let id = server.instance.id.as_str();
        let Some(prompt) = self.demand.prompt else {
            return PROXY_PREFERENCE_MS * rendezvous::preference(self.proxy_key, id);
        };
        let advantage =
            |key: Option<u64>, weight: f64| key.map_or(0.0, |key| weight * rendezvous::preference(key, id));
        let shared = prompt.shared_key().filter(|_| self.policy.shared_prefixes && server.reports_load());
        advantage(prompt.session_key(), SESSION_PREFERENCE_MS)
            + advantage(shared, SHARED_PREFIX_PREFERENCE_MS)
    }
}

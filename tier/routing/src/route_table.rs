//! Which route a request takes.

use pointcross_tier_protocol::configuration::{ClientLimits, Configuration, Engine, Route};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The routes of one configuration. It is replaced whole; requests keep the one they began with.
#[derive(Debug)]
pub struct RouteTable {
    version: u64,
    limits: ClientLimits,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    engines: HashMap<String, Engine>,
    longest_retention: Duration,
}

/// A request's route.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// The route.
    pub route: Arc<Route>,
    /// The service that was drawn.
    pub service: String,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut hosts: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let of_host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            of_host.insert(route.path_prefix.clone(), Arc::new(route.clone()));
        }
        let engines = configuration
            .services
            .iter()
            .filter_map(|service| service.engine.clone().map(|engine| (service.name.clone(), engine)))
            .collect();
        let retentions = configuration.routes.iter().map(|route| route.retention_s);
        RouteTable {
            version: configuration.version,
            limits: configuration.limits.clone(),
            hosts,
            engines,
            longest_retention: Duration::try_from_secs_f64(retentions.fold(0.0, f64::max))
                .unwrap_or(Duration::MAX),
        }
    }

    /// The configuration's number.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What clients may send.
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// The longest time for which any route keeps turns.
    pub fn longest_retention(&self) -> Duration {
        self.longest_retention
    }

    /// What is known of a service's engine, where its servers generate tokens.
    pub fn engine(&self, service: &str) -> Option<&Engine> {
        self.engines.get(service)
    }

    /// The route with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let of_host = self.hosts.get(&name.to_ascii_lowercase())?;
        let ends = path.char_indices().rev().filter(|(_, letter)| *letter == '/');
        ends.filter_map(|(at, _)| of_host.get(&path[..=at])).next()
    }

    /// The route of a request, with a service drawn by weight; `draw` is a random number.
    pub fn route(&self, host: &str, path: &str, draw: u64) -> Option<RoutedRequest> {
        let route = self.find(host, path)?.clone();
        let service = draw_service(&route, draw)?;
        Some(RoutedRequest { route, service })
    }
}

fn draw_service(route: &Route, draw: u64) -> Option<String> {
    let weights: u64 = route.backends.iter().map(|backend| u64::from(backend.weight)).sum();
    if weights == 0 {
        return route.service.clone();
    }
    let mut left = draw % weights;
    for backend in &route.backends {
        let weight = u64::from(backend.weight);
        if left < weight {
            return Some(backend.service.clone());
        }
        left -= weight;
    }
    None
}

//! The mean latency of each route where nothing is generated: learned over all servers, so that a slow server can be
//! told from a slow route.

use std::collections::HashMap;

/// Routes remembered; a configuration that renames more of them makes the proxy learn anew.
const MAX_ROUTES: usize = 4096;
/// Weight of the newest answer, once [`FIRST_ANSWERS`] have come. Before, all answers weigh the same.
const WEIGHT: f64 = 0.02;
const FIRST_ANSWERS: f64 = 1.0 / WEIGHT;

#[derive(Clone, Copy, Debug, Default)]
struct MeanLatency {
    answers: f64,
    mean_ms: f64,
}

/// The mean latencies of all routes.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteLatencies {
    routes: HashMap<String, MeanLatency>,
}

impl RouteLatencies {
    /// The mean latency of a route, in milliseconds; none before its first answer.
    pub fn of(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|mean| mean.mean_ms)
    }

    /// Records an answer.
    pub fn learn(&mut self, route: &str, took_ms: f64) {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                self.routes.clear();
            }
            self.routes.insert(route.to_owned(), MeanLatency::default());
        }
        if let Some(mean) = self.routes.get_mut(route) {
            mean.answers = (mean.answers + 1.0).min(FIRST_ANSWERS);
            mean.mean_ms += (took_ms - mean.mean_ms) / mean.answers;
        }
    }
}

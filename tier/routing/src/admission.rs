//! Admission by forecast, and the bound on units in flight: a request waits behind the units ahead of it over the
//! server's learned rate; one that would come too late is refused at once.

use crate::demand::Demand;
use crate::server::Server;
use pointcross_scheduler::{LearnedRate, forecast};

/// Part of the latency target that work may wait at a server instead of here: only what waits here keeps its order.
const SERVER_WAIT_PART: f64 = 0.5;
/// How long a server's report of its load counts as one of free slots, in milliseconds.
const FREE_SLOTS_TTL_MS: f64 = 500.0;
/// Part of a server's slots that may be taken by its report: other proxies send there too before the next report.
const USABLE_SLOTS_PART: f64 = 0.75;
/// Requests that may be in flight at a server whatever its learned rate.
const MIN_IN_FLIGHT: u32 = 4;

/// Units a second that a server works off; one not heard from yet has the others' mean.
pub(crate) fn rate(server: &Server, typical: &LearnedRate) -> Option<f64> {
    server.service_rate.rate(0.0).or(typical.rate(0.0))
}

/// How long a request waits at this server behind the units in flight and those queued, in milliseconds, where the
/// whole queue is its own.
pub(crate) fn wait(server: &Server, typical: &LearnedRate, queued_units: f64) -> f64 {
    forecast(server.in_flight_units + queued_units, rate(server, typical))
}

/// The same where all servers of the service take from the queue: it shrinks by the sum of their rates.
pub(crate) fn wait_in_shared_queue(
    server: &Server,
    typical: &LearnedRate,
    queued_units: f64,
    total_rate: Option<f64>,
) -> f64 {
    forecast(queued_units, total_rate) + forecast(server.in_flight_units, rate(server, typical))
}

/// The sum of the servers' rates; `None` while none is known. Added in the order of the rates: the servers come in no order,
/// and a sum of floating-point numbers depends on theirs.
pub(crate) fn total_rate<'a>(
    servers: impl Iterator<Item = &'a Server>,
    typical: &LearnedRate,
) -> Option<f64> {
    let mut rates: Vec<f64> = servers.filter_map(|server| rate(server, typical)).collect();
    rates.sort_by(f64::total_cmp);
    rates.into_iter().reduce(|sum, rate| sum + rate)
}

/// Whether another request may be sent there now.
pub(crate) fn fits(
    server: &Server,
    typical: &LearnedRate,
    now: f64,
    demand: &Demand,
    reported_slots: bool,
) -> bool {
    let (units, target_ms) = (demand.units, demand.target);
    let capacity = server.instance.capacity;
    if server.in_flight >= capacity {
        return false;
    }
    if server.in_flight < MIN_IN_FLIGHT.min(capacity) {
        return true;
    }
    if reported_slots && has_reported_slot(server, now) {
        return true;
    }
    let rate = rate(server, typical).unwrap_or(0.0);
    server.in_flight_units + units <= rate * SERVER_WAIT_PART * target_ms / 1000.0
}

/// Whether a server has told lately that nothing waits there and that slots are free, less what was sent since.
fn has_reported_slot(server: &Server, now: f64) -> bool {
    let Some(received) = server.fresh_report(now, FREE_SLOTS_TTL_MS) else { return false };
    let sent_since = server.in_flight.saturating_sub(received.own);
    let taken = received.report.running + sent_since;
    received.report.waiting == 0 && f64::from(taken) < USABLE_SLOTS_PART * f64::from(received.report.slots)
}

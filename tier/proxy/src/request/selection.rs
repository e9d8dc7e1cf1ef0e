//! Chooses a server for an attempt, or queues the request until one has capacity.
//!
//! Guarantees that a request is refused at once where its forecast passes its deadline, and that a queued one
//! doesn't overtake a more urgent one of its service. The choice itself is the routing package's
//! ([`pointcross_tier_routing::Servers::choose`]).

use super::context::RequestContext;
use crate::answer::{self, Answer};
use crate::proxy::Proxy;
use crate::queue::QueueEntry;
use pointcross_tier_protocol::Instance;
use pointcross_tier_routing::{Choice, Demand};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a request waits where no server is known: a release may have replaced the last one, and the
/// instances that follow it are not listed yet.
const NO_SERVER_TIMEOUT: Duration = Duration::from_millis(250);
/// When a client may retry where no server is known, in milliseconds.
const NO_SERVER_RETRY_AFTER_MS: f64 = 200.0;
/// The shortest time to retry after a refusal by the forecast, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 20.0;
/// When a client may retry whose request was queued to its deadline, in milliseconds.
const QUEUE_TIMEOUT_RETRY_AFTER_MS: f64 = 100.0;
/// The interval at which a queued request chooses anew, also without a notification: an ejection ends by time
/// alone.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The server that was chosen for an attempt.
pub struct ChosenServer {
    /// The instance.
    pub instance: Instance,
    /// The time that its response is expected to take, in milliseconds.
    pub expected_ms: f64,
}

/// Chooses a server that was not tried yet; queues the request where waiting for capacity pays.
///
/// # Errors
///
/// The refusal for the client.
pub async fn choose(
    proxy: &Rc<Proxy>,
    context: &RequestContext,
    tried: &[String],
) -> Result<ChosenServer, Answer> {
    let service = &context.routed.service;
    let mut entry: Option<QueueEntry> = None;
    let search_deadline = Instant::now() + NO_SERVER_TIMEOUT;
    loop {
        let may_send = match &entry {
            Some(entry) => entry.is_first(),
            None => proxy.queues.is_empty(service),
        };
        let capacity_changed = proxy.queues.capacity_changed();
        let until = match choose_now(proxy, context, tried) {
            Choice::Send { instance, expected_ms } if may_send => {
                return Ok(ChosenServer { instance, expected_ms });
            }
            Choice::Refuse(excess) if entry.is_none() => {
                let retry_after_ms = excess.max(MIN_RETRY_AFTER_MS);
                return Err(answer::refusal("too late behind what waits", retry_after_ms));
            }
            Choice::NoServer if !tried.is_empty() || Instant::now() >= search_deadline => {
                return Err(answer::refusal("no server is there", NO_SERVER_RETRY_AFTER_MS));
            }
            Choice::NoServer => search_deadline.min(context.deadline),
            // A queued request stays queued until its deadline, also where its forecast has become too late.
            Choice::Send { .. } | Choice::Queue | Choice::Refuse(_) => {
                entry.get_or_insert_with(|| proxy.queues.enqueue(service, context.rank, context.units()));
                context.deadline.min(Instant::now() + RECHECK_INTERVAL)
            }
        };
        let _ = tokio::time::timeout_at(until, capacity_changed).await;
        if Instant::now() >= context.deadline {
            return Err(answer::refusal("no server had room in time", QUEUE_TIMEOUT_RETRY_AFTER_MS));
        }
    }
}

/// The routing decision by what is known now.
fn choose_now(proxy: &Proxy, context: &RequestContext, tried: &[String]) -> Choice {
    let service = &context.routed.service;
    let demand = Demand {
        service,
        route: &context.routed.route.name,
        units: context.units(),
        prompt: context.prompt.as_ref(),
        time_left: context.remaining_ms(),
        target: context.routed.route.target_ms,
        queued_units: proxy.queues.queued_units(service),
        tried,
        object: context.object,
        has_idle_connection: &|id| proxy.pool.has_idle(id),
    };
    proxy.servers.borrow().choose(proxy.now_ms(), &demand)
}

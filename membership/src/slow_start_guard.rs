//! The driver of slow start: an admission guard of the core, alone or round another guard. Nothing is decided here.

use crate::slow_start::{AttemptSignal, SlowStart};
use pointcross_core::decide::{ListKind, NodeState, Outcome};
use pointcross_core::{Admission, AdmissionGuard, Member, NewRequest, Target};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

struct State {
    slow_start: SlowStart,
    /// The shard of each listed node, by its id: attempts are told by node. As long as the list.
    shards: HashMap<String, u32>,
}

/// A guard that bounds the first requests to each node.
pub struct SlowStartGuard {
    state: Mutex<State>,
    /// Asked first, where there is one.
    inner_guard: Option<Arc<dyn AdmissionGuard>>,
}

impl SlowStartGuard {
    /// Slow start behind `inner_guard`, which is asked first.
    pub fn new(slow_start: SlowStart, inner_guard: Option<Arc<dyn AdmissionGuard>>) -> Arc<Self> {
        Arc::new(SlowStartGuard {
            state: Mutex::new(State { slow_start, shards: HashMap::new() }),
            inner_guard,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AdmissionGuard for SlowStartGuard {
    fn listed(&self, now: f64, kind: ListKind, members: &[Member]) {
        let mut state = self.lock();
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            state.shards.clear();
        }
        for member in members {
            match member.state {
                NodeState::Gone => {
                    state.shards.remove(&member.name);
                }
                _ => {
                    state.shards.insert(member.name.clone(), member.shard);
                    state.slow_start.listed(now, member.shard, member.started);
                }
            }
        }
    }

    fn admit(&self, now: f64, request: &NewRequest) -> Admission {
        let admission = match &self.inner_guard {
            Some(inner_guard) => inner_guard.admit(now, request),
            None => Admission::Unrestricted,
        };
        // A new object goes where the module's forecast is least; it is not ramped.
        let Some(shard) = request.shard else { return admission };
        if let Admission::Refused { .. } = admission {
            return admission;
        }
        match self.lock().slow_start.admit(now, shard) {
            Ok(()) => admission,
            Err(wait) => {
                if let (Some(inner_guard), Admission::Counted { node, .. }) = (&self.inner_guard, &admission)
                {
                    inner_guard.released(now, node);
                }
                Admission::Refused { retry_after: Duration::from_secs_f64(wait.min(6e4) / 1000.0) }
            }
        }
    }

    fn released(&self, now: f64, node: &str) {
        if let Some(inner_guard) = &self.inner_guard {
            inner_guard.released(now, node);
        }
    }

    fn attempt_ended(
        &self,
        now: f64,
        target: &Target,
        outcome: Outcome,
        units: f64,
        elapsed: f64,
    ) -> Option<Duration> {
        let shown = match outcome {
            Outcome::Served | Outcome::Error => Some(AttemptSignal::Answered),
            Outcome::Full => Some(AttemptSignal::Rejected),
            Outcome::NoConnection | Outcome::TimedOut | Outcome::Reset => Some(AttemptSignal::NoAnswer),
            Outcome::Cancelled | Outcome::NotSent => None,
        };
        if let Some(shown) = shown {
            let mut state = self.lock();
            if let Some(&shard) = state.shards.get(&target.name) {
                state.slow_start.attempt_ended(now, shard, shown, elapsed);
            }
        }
        self.inner_guard
            .as_ref()
            .and_then(|inner_guard| inner_guard.attempt_ended(now, target, outcome, units, elapsed))
    }
}

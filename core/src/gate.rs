//! What may have changed between the decision to send and the first byte.
//!
//! Guards against an attempt whose connection comes up late: meanwhile its node may have been told to drain, be
//! gone or have started anew, and the time in which nodes drop a keyed request's repeat may be over.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::time::Instant;

/// Whether an attempt may still begin.
#[derive(Clone, Debug)]
pub struct AttemptGate {
    /// True for as long as its node takes work in the life that the decision was made for.
    listed: Arc<AtomicBool>,
    begin_by: Option<Instant>,
}

impl AttemptGate {
    pub(crate) fn new(listed: Arc<AtomicBool>, begin_by: Option<Instant>) -> Self {
        AttemptGate { listed, begin_by }
    }

    /// A gate that never closes, for transports that are tried without a core.
    pub fn always() -> Self {
        AttemptGate { listed: Arc::new(AtomicBool::new(true)), begin_by: None }
    }

    /// Whether the first byte may be written now. A transport asks with the connection in hand, and ends the
    /// attempt as not sent where it may not.
    pub fn is_open(&self) -> bool {
        self.listed.load(Ordering::Relaxed) && self.begin_by.is_none_or(|by| Instant::now() <= by)
    }
}

//! A counter of operations in flight.
//!
//! Guarantees that an operation is counted until its guard is dropped, also where its task is cancelled, so
//! that "none in flight" is never said too early.

use std::cell::Cell;
use std::rc::Rc;

/// Counts operations that have begun and not ended.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Rc<Cell<usize>>);

impl InFlight {
    /// Counts an operation until the returned guard is dropped.
    pub fn begin(&self) -> InFlightGuard {
        self.0.set(self.0.get() + 1);
        InFlightGuard(self.0.clone())
    }

    /// Whether no operation is in flight.
    pub fn is_idle(&self) -> bool {
        self.0.get() == 0
    }
}

/// One operation in flight; it ends when this is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Rc<Cell<usize>>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

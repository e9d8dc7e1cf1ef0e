//! Calls counted over sliding seconds.

use pointcross_cluster_harness::ledger::Slots;
use std::time::Duration;

/// Guards against a peak that splits a burst over two fixed seconds and so halves it.
#[test]
fn the_peak_is_taken_over_sliding_seconds() {
    let mut slots = Slots::default();
    for ms in 900..1100 {
        slots.note(Duration::from_millis(ms));
    }
    assert_eq!(slots.per_second(Duration::ZERO), vec![100, 100]);
    assert_eq!(slots.per_second(Duration::from_secs(1)), vec![100]);
    assert_eq!(slots.peak_per_second(), 200);
    slots.note(Duration::from_secs(3600));
    assert_eq!(slots.total(), 201);
}

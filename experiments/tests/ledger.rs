//! Each rule's breach is found in the ledger of a rehearsal.

use pointcross_experiments::ledger::{Broken, Ledger, Limit};

const LIMIT: Limit = Limit { rate: 10.0, depth: 10.0, slack: 4.0 };

/// Each rule's breach is reported as that one, and what keeps it as none.
#[test]
fn each_breach_is_proved() {
    let mut ledger = Ledger::default();
    ledger.taken(0, 1, true, 7, 1.0, None);
    ledger.taken(5, 2, false, 7, 1.0, None);
    ledger.taken(6, 2, false, 7, 1.0, None);
    assert_eq!(ledger.broken(), &Broken::default(), "a read may run twice");
    ledger.taken(9, 1, true, 7, 1.0, None);
    assert_eq!(ledger.broken().doubled_writes, 1);

    let mut ledger = Ledger::default();
    ledger.told(1_000_000, 0, 3, false);
    ledger.sent(1_300_000, 0, 3, 1);
    ledger.sent(9_000_000, 1, 3, 2);
    assert_eq!(ledger.broken().total(), 0, "in time, or not told");
    ledger.sent(1_300_001, 0, 3, 3);
    assert_eq!(ledger.broken(), &Broken { drained_sends: 1, ..Broken::default() });
    ledger.told(9_000_000, 0, 3, true);
    ledger.sent(9_900_000, 0, 3, 4);
    assert_eq!(ledger.broken().total(), 1);

    let mut ledger = Ledger::default();
    for n in 0..15 {
        ledger.taken(0, n, false, 7, 1.0, Some(LIMIT));
    }
    assert_eq!(ledger.broken().total(), 0, "depth, slack and 150 ms");
    ledger.taken(0, 99, false, 7, 1.0, Some(LIMIT));
    assert_eq!(ledger.broken(), &Broken { over_limit: 1, ..Broken::default() });
}

#[test]
fn the_hash_tells_orders_apart() {
    let play = |swap: bool| {
        let mut ledger = Ledger::default();
        let mut sends = [(1, 2), (2, 1)];
        if swap {
            sends.swap(0, 1);
        }
        sends.iter().for_each(|&(node, request)| ledger.sent(5, 0, node, request));
        ledger.hash()
    };
    assert_eq!(play(false), play(false));
    assert_ne!(play(false), play(true));
}

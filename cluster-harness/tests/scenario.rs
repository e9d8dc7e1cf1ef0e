//! Scenarios as they are read: picks by seed, and errors that name their keys.

use pointcross_cluster_harness::scenario::{Scenario, picked};

/// Guards against a scenario that plays other faults for the same seed, or a bad figure taken silently.
#[test]
fn a_pick_is_the_same_for_a_seed_and_bad_figures_are_named() {
    assert_eq!(picked(0.3, 50, 7, 2), picked(0.3, 50, 7, 2));
    assert_ne!(picked(0.3, 50, 7, 2), picked(0.3, 50, 8, 2));
    assert_eq!(picked(1.0, 5, 7, 0), vec![0, 1, 2, 3, 4]);
    let text =
        "kind = \"fleet\"\nabout = \"x\"\nseconds = 5.0\nnodes = 2\n[[event]]\nat = 9.0\ndo = \"kill\"\n";
    let error = Scenario::parse(text).unwrap_err().to_string();
    assert!(error.starts_with("event[0].at: 9"), "{error}");
    let error = Scenario::parse("kind = \"fleet\"\nabout = \"x\"\nseconds = 5.0\nnodes = 2\nnodse = 3\n")
        .unwrap_err();
    assert!(error.to_string().contains("nodse"), "{error}");
}

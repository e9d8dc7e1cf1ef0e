//! Four schedulers restart together while discovery is silent, from lists of every age and from none.

mod blind;

use blind::{Arguments, Start, play};

fn arguments(age_s: u64) -> Arguments {
    // Half as many nodes and a shorter silence than the measured run, for a build that is not the fast one.
    Arguments { schedulers: 4, nodes: 12, silent_s: 60, age_s, seed: 7 }
}

/// Guards against flooding dead, foreign and cold nodes from an old list, and against not using it at all.
#[test]
fn lists_of_a_minute_an_hour_and_a_day_serve_without_flooding_what_is_no_good() {
    let (told, trusting) = (play(&arguments(0), Start::Told), play(&arguments(0), Start::Blind));
    for age_s in [60, 3600, 86_400] {
        let ours = play(&arguments(age_s), Start::Weighed);
        assert!(ours.share() > 0.8 * told.share(), "{age_s}: {} of {}", ours.share(), told.share());
        assert!(
            ours.misrouted * 5 < trusting.misrouted,
            "{age_s}: {} of {}",
            ours.misrouted,
            trusting.misrouted
        );
        assert!(ours.misrouted < ours.attempts && ours.aside_p99_ms <= 500);
        assert_eq!((ours.fallen, ours.doubled), (0, 0));
    }
}

#[test]
fn without_a_list_nothing_is_served_before_discovery_speaks_and_all_is_after() {
    let nothing = play(&arguments(0), Start::Nothing);
    // Silent for 60 s of 120.
    assert!((0.3..0.5).contains(&nothing.share()), "{}", nothing.share());
    assert_eq!((nothing.fallen, nothing.doubled), (0, 0));
}

//! Comparisons over seeds, and variants of a script.

use pointcross_experiments::experiment::{Verdict, bisect, compare, experiment, variant};
use pointcross_experiments::script::ScriptErrors;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const RAINS: &str = include_str!("../../deploy/rehearsals/first-rains.toml");

/// The interval covers the truth about as often as it says, and decides where there is something to decide.
#[test]
fn the_bootstrap_decides_what_there_is_to_decide() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut noise = |count: usize| -> Vec<f64> { (0..count).map(|_| rng.random_range(-0.1..0.1)).collect() };
    let mut covered = 0;
    for _ in 0..200 {
        let (base, wobble) = (noise(20), noise(20));
        let variant: Vec<f64> = base.iter().zip(&wobble).map(|(base, wobble)| base + 0.02 + wobble).collect();
        let (low, high) = compare(&base, &variant, 1).interval;
        covered += u32::from((low..=high).contains(&0.02));
    }
    assert!((175..=199).contains(&covered), "{covered} of 200");
    let base = noise(20);
    let more: Vec<f64> = base.iter().map(|value| value + 0.01).collect();
    assert_eq!(compare(&base, &more, 1).verdict, Verdict::Better);
    assert_eq!(compare(&more, &base, 1).verdict, Verdict::Worse);
    assert_eq!(compare(&base, &base, 1).verdict, Verdict::Undecided);
    assert_eq!(compare(&base[..1], &more[..1], 1).verdict, Verdict::Undecided);
}

#[test]
fn a_variant_sets_keys_and_names_what_is_wrong() {
    let loaded = variant(RAINS, &["site.load=0.3".into(), "node.cores = 4".into()]).unwrap();
    assert_eq!((loaded.site.load, loaded.node.cores), (0.3, Some(4)));
    for (change, key) in [
        ("site.load", "\"site.load\""),
        ("site.load=x", "site.load"),
        ("site.load=-1", "site.load"),
        ("name.x=1", "name.x"),
    ] {
        let ScriptErrors(faults) = variant(RAINS, &[change.into()]).unwrap_err();
        assert!(faults[0].starts_with(key), "{faults:?}");
    }
}

/// Half the load serves more; and the largest load that keeps an objective lies where both sides say.
#[test]
fn an_experiment_and_a_bisection_find_what_is_there() {
    let calm = "seconds = 60";
    let text = RAINS.replace(calm, "seconds = 8");
    let text = &text[..text.find("[[trouble]]").unwrap()];
    let base = variant(text, &["site.load=1.2".into()]).unwrap();
    let light = variant(text, &["site.load=0.4".into()]).unwrap();
    let comparison = experiment(&base, &light, &[1, 2, 3, 4], 1, 4);
    let all = &comparison.served_worth_share["all"];
    assert_eq!((all.verdict, comparison.rules_broken), (Verdict::Better, (0, 0)), "{all:?}");
    assert_eq!(comparison.served_worth_share.len(), 4);
    let found = bisect(&base, &[1, 2], 0.9, 2.0, 4, 2);
    assert!(found.load > 0.2 && found.load < found.fails_at && found.fails_at < 2.0, "{found:?}");
    assert!(found.tried.iter().all(|(load, share)| (*share >= 0.9) == (*load <= found.load)), "{found:?}");
}

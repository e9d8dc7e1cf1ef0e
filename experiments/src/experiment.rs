//! Experiments: two scripts over the same seeds, paired, with a bootstrap interval of the difference that says
//! better, worse or undecided; and the largest load that keeps an objective.

use crate::script::{Script, ScriptErrors};
use crate::virtual_time::{Outcome, play};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Resamples of a bootstrap: enough for the second digit of a 95% interval's ends.
const RESAMPLES: usize = 4000;

/// Plays all of these, on so many threads; what comes out does not depend on how many.
pub fn play_all(runs: &[(Script, u64, u32)], threads: usize) -> Vec<Outcome> {
    let next = AtomicUsize::new(0);
    let done: Mutex<BTreeMap<usize, Outcome>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, runs.len().max(1)) {
            scope.spawn(|| {
                loop {
                    let place = next.fetch_add(1, Ordering::Relaxed);
                    let Some((script, seed, size)) = runs.get(place) else { return };
                    let outcome = play(script, *seed, *size);
                    done.lock().expect("no panic before").insert(place, outcome);
                }
            });
        }
    });
    done.into_inner().expect("no panic before").into_values().collect()
}

/// What a comparison comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The variant has more, beyond chance.
    Better,
    /// It has less, beyond chance.
    Worse,
    /// The seeds do not tell.
    Undecided,
}

/// One figure of two variants, paired by seed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Compared {
    /// Mean of the base.
    pub base: f64,
    /// Mean of the variant.
    pub variant: f64,
    /// Mean difference, variant less base.
    pub difference: f64,
    /// The difference's 95% interval.
    pub interval: (f64, f64),
    /// What that says.
    pub verdict: Verdict,
}

/// Compares two series, the same seed at the same place. The interval is the percentile bootstrap's over pairs
/// (Efron, 1979), from a seed of its own.
pub fn compare(base: &[f64], variant: &[f64], seed: u64) -> Compared {
    let differences: Vec<f64> = base.iter().zip(variant).map(|(base, variant)| variant - base).collect();
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            let draws = (0..differences.len()).map(|_| differences[rng.random_range(0..differences.len())]);
            draws.sum::<f64>() / differences.len().max(1) as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |part: f64| means[((means.len() - 1) as f64 * part).round() as usize];
    let interval = (at(0.025), at(0.975));
    let verdict = match interval {
        // One pair has no spread to judge by.
        _ if differences.len() < 2 => Verdict::Undecided,
        (low, _) if low > 0.0 => Verdict::Better,
        (_, high) if high < 0.0 => Verdict::Worse,
        _ => Verdict::Undecided,
    };
    Compared { base: mean(base), variant: mean(variant), difference: mean(&differences), interval, verdict }
}

/// A whole comparison.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Seeds that were played.
    pub seeds: Vec<u64>,
    /// Worth served, over all and by plan; higher is better.
    pub served_worth_share: BTreeMap<String, Compared>,
    /// Rules broken by base and variant, over all seeds.
    pub rules_broken: (u64, u64),
}

/// Plays base and variant over these seeds and compares them.
pub fn experiment(base: &Script, variant: &Script, seeds: &[u64], size: u32, threads: usize) -> Comparison {
    let runs: Vec<(Script, u64, u32)> = [base, variant]
        .into_iter()
        .flat_map(|script| seeds.iter().map(|&seed| (script.clone(), seed, size)))
        .collect();
    let outcomes = play_all(&runs, threads);
    let (ours, theirs) = outcomes.split_at(seeds.len());
    let series = |outcomes: &[Outcome], plan: Option<&str>| -> Vec<f64> {
        let share = |outcome: &Outcome| match plan {
            None => outcome.served_worth_share,
            Some(plan) => outcome.plans.get(plan).map_or(0.0, |plan| plan.served_worth_share),
        };
        outcomes.iter().map(share).collect()
    };
    let mut compared = BTreeMap::new();
    compared.insert("all".to_owned(), compare(&series(ours, None), &series(theirs, None), 1));
    for plan in &base.plan {
        let (ours, theirs) = (series(ours, Some(&plan.name)), series(theirs, Some(&plan.name)));
        compared.insert(plan.name.clone(), compare(&ours, &theirs, 1));
    }
    let broken = |outcomes: &[Outcome]| outcomes.iter().map(|outcome| outcome.rules_broken).sum();
    Comparison {
        seeds: seeds.to_vec(),
        served_worth_share: compared,
        rules_broken: (broken(ours), broken(theirs)),
    }
}

/// The largest load that keeps an objective.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Bisected {
    /// The largest load found that keeps it, as a part of the capacity; 0 where none does.
    pub load: f64,
    /// The smallest found that does not.
    pub fails_at: f64,
    /// Every load that was tried, with the mean worth served.
    pub tried: Vec<(f64, f64)>,
}

/// Looks between 0 and `most` for the largest load at which the mean of worth served over these seeds is at least
/// `objective`, in so many halvings.
pub fn bisect(
    script: &Script,
    seeds: &[u64],
    objective: f64,
    most: f64,
    halvings: u32,
    threads: usize,
) -> Bisected {
    let (mut low, mut high, mut tried) = (0.0, most, Vec::new());
    for _ in 0..halvings {
        let load = (low + high) / 2.0;
        let mut loaded = script.clone();
        loaded.site.load = load;
        let runs: Vec<_> = seeds.iter().map(|&seed| (loaded.clone(), seed, 1)).collect();
        let shares: Vec<f64> =
            play_all(&runs, threads).iter().map(|outcome| outcome.served_worth_share).collect();
        let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
        tried.push((load, mean));
        if mean >= objective { low = load } else { high = load }
    }
    Bisected { load: low, fails_at: high, tried }
}

/// A script with some keys set anew, each as `KEY=VALUE` with a dotted key and a TOML value.
///
/// # Errors
/// A change that names no key of the script, or a script that is faulty with it.
pub fn variant(text: &str, changes: &[String]) -> Result<Script, ScriptErrors> {
    let fault = |text: String| ScriptErrors(vec![text]);
    let mut table: toml::Table =
        text.parse().map_err(|error: toml::de::Error| fault(error.message().to_owned()))?;
    for change in changes {
        let (key, value) =
            change.split_once('=').ok_or_else(|| fault(format!("{change:?}: wanted KEY=VALUE")))?;
        let parsed: toml::Table = format!("value = {value}")
            .parse()
            .map_err(|error: toml::de::Error| fault(format!("{key}: {}", error.message())))?;
        let mut parts: Vec<&str> = key.trim().split('.').collect();
        let last = parts.pop().unwrap_or_default();
        let mut place = &mut table;
        for part in parts {
            let next = place.entry(part).or_insert_with(|| toml::Value::Table(toml::Table::new()));
            place = next.as_table_mut().ok_or_else(|| fault(format!("{key}: {part} is no table")))?;
        }
        place.insert(last.to_owned(), parsed["value"].clone());
    }
    Script::from_table(table)
}

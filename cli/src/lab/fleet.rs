//! Plays a scenario of faults against a cluster of real scheduler processes, or in virtual time. A naive run
//! beside it has the same seed and faults, but not the protections that the scenario is about.

use super::RULE_BROKEN;
use super::files::{read_text, with_path};
use super::machine::peak_memory_mib;
use clap::Args;
use pointcross_cluster_harness::ledger::Series;
use pointcross_cluster_harness::plan::PlanVerdict;
use pointcross_cluster_harness::scenario::{self, Scenario, rehearse};
use pointcross_cluster_harness::{ClusterSettings, Verdict, virtual_time};
use pointcross_experiments::report::{Lived, fleet_html};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::time::{Duration, Instant};

#[derive(Args)]
pub struct FleetRun {
    /// The scenario (TOML)
    scenario: PathBuf,
    /// Scheduler processes
    #[arg(long, default_value_t = 8)]
    schedulers: usize,
    /// Seed of the faults' picks and the load
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The schedulers' operator's file, where they have one
    #[arg(long)]
    operator: Option<PathBuf>,
    /// Where the schedulers' folders and logs go; a fresh one under the system's temporary folder if left out
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Write a report, one HTML page, to this file
    #[arg(long)]
    report: Option<PathBuf>,
    /// Play it in virtual time: no processes, any number of schedulers, no faults on links
    #[arg(long = "virtual")]
    virtual_time: bool,
    /// Play the scenario alone, without the naive run beside it (no saved list, no operator's file)
    #[arg(long)]
    no_naive: bool,
    /// One line of JSON
    #[arg(long)]
    json: bool,
}

impl FleetRun {
    #[tokio::main(flavor = "multi_thread", worker_threads = 4)]
    pub async fn run(self) -> Result<u8, String> {
        let scenario = Scenario::parse(&read_text(&self.scenario)?)
            .map_err(|fault| with_path(&self.scenario, &fault))?;
        if self.schedulers == 0 {
            return Err("--schedulers: 0: wanted 1 or more".into());
        }
        if self.virtual_time {
            return self.in_virtual_time(&scenario);
        }
        let settings = self.cluster_settings(&scenario)?;
        let started = Instant::now();
        let (verdict, series) = rehearse(&scenario, &settings).await.map_err(|error| error.to_string())?;
        let mut document = serde_json::to_value(&verdict).map_err(|error| error.to_string())?;
        let mut holds = verdict.rules_hold();
        if let Some(plan) = &series.plan {
            holds &= maintenance_rules_hold(plan);
            add_figures(&mut document, plan)?;
        }
        // There is no naive form of a maintenance plan to compare with.
        if !self.no_naive && scenario.maintenance.is_none() {
            let naive = naive_run(&scenario, &settings).await?;
            holds &= naive.rules_hold();
            add_naive_figures(&mut document, &naive)?;
        }
        document["wall_s"] = json!(started.elapsed().as_secs_f64());
        document["answers_by_second"] = json!(series.answers);
        if let Some(file) = &self.report {
            let page = fleet_page(&scenario.about, &document, &series);
            let page = page.map_err(|error| format!("--report: {error}"))?;
            std::fs::write(file, page).map_err(|error| format!("--report: {}: {error}", file.display()))?;
        }
        self.print(&document);
        Ok(if holds { 0 } else { RULE_BROKEN })
    }

    fn cluster_settings(&self, scenario: &Scenario) -> Result<ClusterSettings, String> {
        let operator = self.operator.as_deref().map(read_text).transpose()?;
        let temporary = || std::env::temp_dir().join(format!("pointcross-fleet-{}", std::process::id()));
        Ok(ClusterSettings {
            program: std::env::current_exe().map_err(|error| error.to_string())?,
            folder: self.folder.clone().unwrap_or_else(temporary),
            schedulers: self.schedulers,
            nodes: scenario.nodes,
            node: scenario.node.clone(),
            operator,
            known_list: scenario.known_list,
            seed: self.seed,
            shards: scenario.shards,
            maintenance: scenario.maintenance.clone(),
            plan_timeout: Duration::ZERO,
        })
    }

    fn print(&self, document: &Value) {
        if self.json {
            println!("{document}");
            return;
        }
        for (key, value) in document.as_object().into_iter().flatten() {
            println!("{key:>16}  {value}");
        }
    }

    fn in_virtual_time(&self, scenario: &Scenario) -> Result<u8, String> {
        let started = Instant::now();
        let play = |scenario: &_| {
            let verdict = virtual_time::play(scenario, self.schedulers, self.seed);
            verdict.map_err(|fault| with_path(&self.scenario, &fault))
        };
        let verdict = play(scenario)?;
        let mut document = serde_json::to_value(&verdict).map_err(|error| error.to_string())?;
        let mut holds = verdict.rules_hold();
        if !self.no_naive {
            let naive = play(&scenario::naive(scenario))?;
            holds &= naive.rules_hold();
            add_naive_figures(&mut document, &naive)?;
        }
        document["wall_s"] = json!(started.elapsed().as_secs_f64());
        document["peak_mb"] = json!(peak_memory_mib());
        println!("{document}");
        Ok(if holds { 0 } else { RULE_BROKEN })
    }
}

/// Whether every machine was drained, within the limits and under one lease at a time.
fn maintenance_rules_hold(plan: &PlanVerdict) -> bool {
    plan.taken_out == plan.asked
        && plan.max_out_at_once <= plan.limit_out
        && plan.holders_at_once <= 1
        && plan.reserve_breaks == 0
}

/// Plays the scenario with the same seed and faults, but without the saved node list and the operator's file.
async fn naive_run(scenario: &Scenario, settings: &ClusterSettings) -> Result<Verdict, String> {
    let naive_settings = ClusterSettings {
        folder: settings.folder.join("naive"),
        operator: None,
        known_list: false,
        ..settings.clone()
    };
    let played = rehearse(&scenario::naive(scenario), &naive_settings).await;
    let (verdict, _) = played.map_err(|error| error.to_string())?;
    Ok(verdict)
}

/// Adds the keys of `figures` to the document.
fn add_figures(document: &mut Value, figures: &PlanVerdict) -> Result<(), String> {
    let figures = serde_json::to_value(figures).map_err(|error| error.to_string())?;
    for (key, value) in figures.as_object().into_iter().flatten() {
        document[key] = value.clone();
    }
    Ok(())
}

/// Adds a naive run's figures to those of the run that it is compared with, as `naive_KEY`.
fn add_naive_figures(document: &mut Value, naive: &Verdict) -> Result<(), String> {
    let naive = serde_json::to_value(naive).map_err(|error| error.to_string())?;
    for (key, value) in naive.as_object().into_iter().flatten().filter(|(key, _)| *key != "schedulers") {
        document[format!("naive_{key}")] = value.clone();
    }
    Ok(())
}

fn fleet_page(about: &str, document: &Value, series: &Series) -> Result<String, String> {
    let figures: Vec<(String, String)> = document
        .as_object()
        .into_iter()
        .flatten()
        .map(|(key, value)| (key.clone(), value.to_string()))
        .collect();
    let lived = Lived { list_calls: &series.list_calls, answers: &series.answers, held: &series.held };
    fleet_html(about, &figures, &lived).map_err(|error| error.to_string())
}

//! Walks every state of small models of the agreement protocols and checks their invariants in each.
//!
//! `--unfenced` removes a protection on purpose: then a walk without a violation is the failure, since the
//! check would not notice a protocol that lacks it.

use super::RULE_BROKEN;
use clap::Args;
use pointcross_coordination::maintenance::{decide::Fencing, model};
use serde_json::json;
use std::time::{Duration, Instant};

/// The models that can be checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum WhichModel {
    /// Machines taken out for work in one agreed order
    Maintenance,
}

#[derive(Args)]
pub struct CheckModel {
    /// Which model
    model: WhichModel,
    /// Leave the fencing of old leases out, to see what it is for; finding nothing then ends with 1
    #[arg(long)]
    unfenced: bool,
    /// Seconds of each walk at the most
    #[arg(long, default_value_t = 600)]
    seconds: u64,
    /// One line of JSON
    #[arg(long)]
    json: bool,
}

impl CheckModel {
    pub fn run(self) -> Result<u8, String> {
        let WhichModel::Maintenance = self.model;
        let fencing = if self.unfenced { Fencing::Unfenced } else { Fencing::Fenced };
        let started = Instant::now();
        let max_duration = Duration::from_secs(self.seconds);
        let walks: Vec<model::CheckReport> = model::Size::standard()
            .into_iter()
            .map(|size| model::check(size, fencing, max_duration))
            .collect();
        let states: usize = walks.iter().map(|walk| walk.states).sum();
        let violations: usize = walks.iter().map(|walk| walk.violations).sum();
        let complete = walks.iter().all(|walk| walk.complete);
        let found: Vec<_> = walks.iter().flat_map(|walk| walk.found.clone()).collect();
        if self.json {
            let document = json!({
                "model": "maintenance",
                "fenced": !self.unfenced,
                "states": states,
                "violations": violations,
                "whole": complete,
                "found": found,
                "wall_s": started.elapsed().as_secs_f64(),
            });
            println!("{document}");
        } else {
            println!(
                "{states} states, {violations} rules that do not hold{}",
                if complete { "" } else { ", not all walked" }
            );
            for (rule, steps) in &found {
                println!("{rule}:");
                steps.iter().for_each(|step| println!("  {step}"));
            }
        }
        let expected = if self.unfenced { violations > 0 } else { violations == 0 && complete };
        Ok(if expected { 0 } else { RULE_BROKEN })
    }
}

//! The platform's settings that a script leads to.

use crate::ledger::Limit;
use crate::script::Script;

/// What an answer after its aim still earns (BRIEF 5.1: 10 to 30%).
pub(super) const LATE_WORTH: f64 = 0.2;

/// The longest time to stay away that schedulers tell, in milliseconds.
pub(super) const MAX_RETRY_AFTER: f64 = 2000.0;

/// The platform's settings, as JSON, that a script leads to for the scheduler of this number.
pub fn settings(script: &Script, me: u32) -> String {
    let laws = script.laws();
    let classes: Vec<serde_json::Value> = script
        .class
        .iter()
        .map(|class| {
            serde_json::json!({
                "name": class.name, "aim": class.aim_ms, "give_up": class.give_up_ms,
                "importance": class.worth, "late_value": LATE_WORTH,
                "repeat": if class.write { "unsafe" } else { "safe" },
            })
        })
        .collect();
    let plans: Vec<serde_json::Value> = (0..script.plan.len())
        .map(|n| {
            let plan = &script.plan[n];
            let rate = usual_rate(script, n);
            let mut told = serde_json::json!({
                "name": plan.name, "base_rate": rate, "reservation": rate * plan.reserve,
                "weight": plan.weight, "price": plan.price,
            });
            if let Some(limit) = limit_of(script, n) {
                told["cap"] = limit.rate.into();
                told["cap_depth"] = limit.depth.into();
                told["cap_slack"] = limit.slack.into();
            }
            told
        })
        .collect();
    let writes: Vec<bool> = script.class.iter().map(|class| class.write).collect();
    serde_json::json!({
        "me": me, "instances": script.site.schedulers, "resolution": 2.0, "discovery": "on_request",
        "classes": classes, "service_levels": plans,
        "guarantees": {"grace_to_answer": 50, "drain_grace": 250, "ask_within": 1e9, "cold_from": laws.cold_from,
            "cold": laws.warm_after_ms, "fall_multiple": laws.fall_multiple, "tip_after": 1000},
        "limits": {"cancelling": true, "connect_timeout": 250, "keepalive": 15000, "max_attempts": 3,
            "max_retry_after": MAX_RETRY_AFTER},
        "family_info": {"max_units": max_units(script), "unit_mean": script.mean_units(),
            "slots_total": script.site.nodes, "writes": writes, "tells_elsewhere": true,
            "within_share": 0.35, "idle_worth": 0.05, "young_limit": laws.always_bears},
        "report": {"how": "inline", "names": ["inflight"]},
    })
    .to_string()
}

pub(super) fn max_units(script: &Script) -> f64 {
    script.class.iter().map(|class| class.units.1).fold(0.0, f64::max)
}

pub(super) fn volumes_in(script: &Script) -> usize {
    (f64::from(script.site.nodes) * script.site.volumes_per_node).ceil() as usize
}

/// Units a second that a volume of this plan usually asks for.
pub(super) fn usual_rate(script: &Script, plan: usize) -> f64 {
    let all: f64 = script.plan.iter().map(|plan| plan.share).sum();
    let volumes = volumes_in(script).div_ceil(script.plan.len()).max(1) as f64;
    script.capacity() * script.site.load * script.plan[plan].share / all / volumes
}

pub(super) fn limit_of(script: &Script, plan: usize) -> Option<Limit> {
    let times = script.plan[plan].limit?;
    let rate = usual_rate(script, plan) * times;
    let depth = rate.max(2.0 * max_units(script));
    Some(Limit { rate, depth, slack: (depth * 0.1).max(max_units(script)) })
}

//! The keys of fleet and scale scenarios against golden files: what a misspelt, missing or wrongly typed key
//! of a whole example comes to. Missing keys that are taken are told with the value that stands in.

#[path = "../../test-support/golden/golden_file.rs"]
mod golden_file;
#[path = "../../test-support/golden/key_changes.rs"]
mod key_changes;
#[path = "../../test-support/golden/toml_changes.rs"]
mod toml_changes;

use golden_file::assert_golden;
use key_changes::{Outcome, report};
use pointcross_cluster_harness::scale::ScaleScenario;
use pointcross_cluster_harness::scale::scenario::What as ScaleEvent;
use pointcross_cluster_harness::scenario::{Pick, Scenario, What};
use std::fmt::Display;
use std::path::Path;
use toml_changes::toml_changes;

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");
const SCENARIO: &str = include_str!("golden/scenario.toml");
const SCALE: &str = include_str!("golden/scale.toml");
/// What reads a scenario's text.
type Reader = fn(&str) -> Outcome;
const DEPLOYED: [(&str, Reader); 6] = [
    ("cold-hall-list-down.toml", read_scenario),
    ("cold-hall-restart.toml", read_scenario),
    ("cold-hall.toml", read_scenario),
    ("maintenance.toml", read_scenario),
    ("scale-steady.toml", read_scale),
    ("scale.toml", read_scale),
];

fn optional(value: Option<impl Display>) -> String {
    value.map_or("none".to_owned(), |value| value.to_string())
}

fn listed(values: &[impl Display]) -> String {
    values.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
}

fn table(value: &toml::Table) -> String {
    value.iter().map(|(key, value)| format!("{key} = {value}")).collect::<Vec<_>>().join(", ")
}

fn pick(given: &Pick) -> String {
    format!("share {}, which {}", given.share, listed(&given.which))
}

/// An event's kind as the file writes it, and which it touches; faults and moods are told by their refusals
/// only.
fn event(what: &What) -> String {
    match what {
        What::Kill(of) => format!("kill, {}", pick(of)),
        What::Restart(of) => format!("restart, {}", pick(of)),
        What::Terminate(of) => format!("terminate, {}", pick(of)),
        What::NodeLinks { pick: of, .. } => format!("node_links, {}", pick(of)),
        What::ListLinks { pick: of, .. } => format!("list_links, {}", pick(of)),
        What::Nodes { pick: of, .. } => format!("nodes, {}", pick(of)),
        What::RestartNodes(of) => format!("restart_nodes, {}", pick(of)),
        What::PeerLinks { pick: of, .. } => format!("peer_links, {}", pick(of)),
        What::KillHolder => "kill_holder".to_owned(),
        What::Ask { scheduler, machines } => {
            format!("ask, scheduler {scheduler}, machines {}", listed(machines))
        }
        What::List { .. } => "list".to_owned(),
    }
}

fn read_scenario(text: &str) -> Outcome {
    let read = Scenario::parse(text).map_err(|fault| fault.to_string())?;
    let Scenario { node, load, .. } = &read;
    let mut lines = vec![
        format!("kind: {}", read.kind),
        format!("about: {}", read.about),
        format!("seconds: {}", read.seconds),
        format!("nodes: {}", read.nodes),
        format!("known_list: {}", read.known_list),
        format!("shards: {}", optional(read.shards)),
        format!("operator: {}", optional(read.operator.as_ref().map(table))),
        format!("node.queue_limit: {}", node.queue_limit),
        format!("node.workers: {}", node.workers),
        format!("node.unit_ms: {}", node.unit_ms),
        format!("node.cold_factor: {}", node.cold_factor),
        format!("node.warm_ms: {}", node.warm_ms),
        format!("load.rate: {}", load.rate),
        format!("load.write_share: {}", load.write_share),
        format!("load.deadline_ms: {}", load.deadline_ms),
        format!("load.shards: {}", load.shards),
    ];
    match &read.maintenance {
        None => lines.push("maintenance: none".to_owned()),
        Some(plan) => lines.extend([
            format!("maintenance.limit: {}", plan.limit),
            format!("maintenance.lease_ms: {}", plan.lease_ms),
            format!("maintenance.work_ms: {}", plan.work_ms),
            format!("maintenance.nodes_left: {}", plan.nodes_left),
            format!("maintenance.schedulers_left: {}", plan.schedulers_left),
            format!("maintenance.forget_ms: {}", plan.forget_ms),
        ]),
    }
    lines.extend(
        read.events.iter().map(|event_read| format!("at {}: {}", event_read.at, event(&event_read.what))),
    );
    Ok(lines)
}

fn scale_event(what: &ScaleEvent) -> String {
    match what {
        ScaleEvent::RackLost { zone, rack } => format!("rack_lost, zone {zone}, rack {rack}"),
        ScaleEvent::RackBack { zone, rack } => format!("rack_back, zone {zone}, rack {rack}"),
        ScaleEvent::ZoneLost { zone } => format!("zone_lost, zone {zone}"),
        ScaleEvent::ZoneBack { zone } => format!("zone_back, zone {zone}"),
        ScaleEvent::RegionCut { region } => format!("region_cut, region {region}"),
        ScaleEvent::RegionBack { region } => format!("region_back, region {region}"),
        ScaleEvent::PrimaryChange {} => "primary_change".to_owned(),
        ScaleEvent::Configuration { changes, rate } => {
            format!("configuration, changes {changes}, rate {rate}")
        }
        ScaleEvent::Restart { real, hollow, over_s } => {
            format!("restart, real {real}, hollow {hollow}, over_s {over_s}")
        }
    }
}

fn read_scale(text: &str) -> Outcome {
    let read = ScaleScenario::parse(text).map_err(|fault| fault.to_string())?;
    let traffic = &read.traffic;
    let mut lines = vec![
        format!("kind: {}", read.kind),
        format!("about: {}", read.about),
        format!("seconds: {}", read.seconds),
        format!("start_s: {}", read.start_s),
        format!("regions: {}", read.regions),
        format!("zones: {}", read.zones),
        format!("rack: {}", read.rack),
        format!("saved: {}", read.saved),
        format!("change_rate: {}", read.change_rate),
        format!("configuration_rate: {}", read.configuration_rate),
        format!("traffic.schedulers: {}", traffic.schedulers),
        format!("traffic.nodes: {}", traffic.nodes),
        format!("traffic.rate: {}", traffic.rate),
        format!("traffic.write_share: {}", traffic.write_share),
        format!("operator: {}", table(&read.operator)),
    ];
    lines.extend(read.events.iter().map(|event| format!("at {}: {}", event.at, scale_event(&event.what))));
    Ok(lines)
}

#[test]
fn keys_of_fleet_scenarios_stay() {
    assert_golden("scenario-keys.txt", &report(SCENARIO, &toml_changes(SCENARIO), read_scenario));
}

#[test]
fn keys_of_scale_scenarios_stay() {
    assert_golden("scale-keys.txt", &report(SCALE, &toml_changes(SCALE), read_scale));
}

/// The scenarios in `deploy/` are read as they stand.
#[test]
fn scenarios_in_deploy_stay() {
    let folder = Path::new(PACKAGE).join("../deploy/rehearsals");
    let mut text = String::new();
    for (name, read) in DEPLOYED {
        let file = std::fs::read_to_string(folder.join(name)).expect(name);
        let lines = read(&file).unwrap_or_else(|fault| panic!("{name}: {fault}"));
        text.push_str(&format!("===== {name}\n{}\n", lines.join("\n")));
    }
    assert_golden("deploy.txt", &text);
}

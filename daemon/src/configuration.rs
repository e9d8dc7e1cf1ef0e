//! What a carried configuration changes in this scheduler.
//!
//! Guards against a document that is applied in part or that builds on the one before: it is checked
//! completely, laid over the figures of this scheduler's own files, and then applied or refused by its first
//! faulty key.

use crate::discovery_address::DiscoveryAddress;
use pointcross_config_distribution::{ApplyConfiguration, Document};
use pointcross_core::Core;
use pointcross_core::decide::{Plan, Settings};
use pointcross_settings::Parsed;
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::sync::Arc;

/// The values of a document: every plan's figures, and the address of discovery where it names one.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationOverlay {
    /// The plans, by number.
    pub plans: Vec<Plan>,
    /// Where discovery answers.
    pub discovery: Option<SocketAddr>,
}

/// Lays a document's keys over the settings of this scheduler's own files.
///
/// # Errors
/// The first key that cannot be taken, what was found there and what is wanted.
pub fn overlay(base: &Parsed, keys: &Map<String, Value>) -> Result<ConfigurationOverlay, String> {
    let mut overlay = ConfigurationOverlay { plans: base.decide.plans.clone(), discovery: None };
    for (key, value) in keys {
        match key.as_str() {
            "service_levels" => overlay_plans(base, value, &mut overlay.plans)?,
            "discovery" => {
                let address = value.as_str().and_then(|text| text.parse().ok());
                let wrong = || format!("discovery: found {value}; wanted an address with a port");
                overlay.discovery = Some(address.ok_or_else(wrong)?);
            }
            _ => return Err(format!("{key}: takes a restart; a document sets service_levels and discovery")),
        }
    }
    Ok(overlay)
}

fn overlay_plans(base: &Parsed, levels: &Value, plans: &mut [Plan]) -> Result<(), String> {
    let levels = levels.as_array();
    let levels = levels.ok_or("service_levels: wanted an array of objects, each with the name of a plan")?;
    let mut named = vec![false; plans.len()];
    for (index, level) in levels.iter().enumerate() {
        let at = |key: &str| format!("service_levels[{index}].{key}");
        let level = level.as_object();
        let level = level.ok_or_else(|| format!("service_levels[{index}]: wanted an object"))?;
        let name = level.get("name").and_then(Value::as_str);
        let name = name.ok_or_else(|| format!("{}: wanted the name of a plan", at("name")))?;
        let number = base.plans.iter().position(|plan| plan == name);
        let number = number.ok_or_else(|| format!("{}: the settings know no plan {name:?}", at("name")))?;
        if std::mem::replace(&mut named[number], true) {
            return Err(format!("{}: plan {name:?} stands twice", at("name")));
        }
        for (key, value) in level.iter().filter(|(key, _)| *key != "name") {
            let plan = &mut plans[number];
            let figure = match key.as_str() {
                "base_rate" => &mut plan.rate,
                "reservation" => &mut plan.reserve,
                "weight" => &mut plan.weight,
                "price" => &mut plan.price,
                "cap" => &mut plan.limit,
                "cap_depth" => &mut plan.limit_depth,
                "cap_slack" => &mut plan.limit_slack,
                _ => return Err(format!("{}: no figure of a plan", at(key))),
            };
            let number = value.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
            *figure =
                number.ok_or_else(|| format!("{}: found {value}; wanted a number of 0 or more", at(key)))?;
        }
    }
    // The decision module checks the figures in combination.
    let combined = Settings { plans: plans.to_vec(), ..base.decide.clone() };
    combined.check().map_err(|error| format!("service_levels: {error}"))
}

/// Applies carried documents to one scheduler.
pub(crate) struct ConfigurationApplier {
    pub(crate) base: Parsed,
    pub(crate) core: Arc<Core>,
    pub(crate) discovery_address: Arc<DiscoveryAddress>,
    /// Called with the version once all of it has been applied.
    pub(crate) on_applied: Box<dyn Fn(u64) + Send + Sync>,
}

impl ApplyConfiguration for ConfigurationApplier {
    fn apply(&self, document: &Document) -> Result<(), String> {
        let overlay = overlay(&self.base, &document.keys)?;
        self.core.reconfigure(overlay.plans).map_err(|error| format!("service_levels: {error}"))?;
        self.discovery_address.set_from_document(overlay.discovery);
        (self.on_applied)(document.version);
        Ok(())
    }
}

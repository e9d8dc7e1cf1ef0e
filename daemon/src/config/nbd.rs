//! `[nbd]` of the operator's file: the second front and its exports.

use super::error::{ConfigErrors, address, bad};
use crate::nbd::{Export, ExportClass, NbdConfig};
use crate::store::MAX_BODY;
use pointcross_platform_http::platform::fits_path;
use pointcross_settings::Parsed;
use serde::Deserialize;
use std::time::Duration;

/// The section as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct NbdSection {
    listen: String,
    #[serde(default = "ten_seconds")]
    negotiation_ms: u64,
    #[serde(default = "eight")]
    #[serde(rename = "most_sessions")]
    max_sessions: usize,
    export: Vec<ExportSection>,
}

fn ten_seconds() -> u64 {
    10_000
}

fn eight() -> usize {
    8
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ExportSection {
    name: String,
    volume: String,
    plan: String,
    hosts: u32,
    shard: u32,
    size: u64,
    block_size: u32,
    #[serde(default = "one")]
    units: f64,
    read_class: String,
    write_class: Option<String>,
}

impl NbdSection {
    pub(super) fn check(self, parsed: &Parsed, errors: &mut ConfigErrors) -> Option<NbdConfig> {
        let before = errors.0.len();
        errors.require(self.negotiation_ms > 0, "nbd.negotiation_ms", "no time at all");
        errors.require(self.max_sessions > 0, "nbd.most_sessions", "no session at all");
        errors.require(!self.export.is_empty(), "nbd.export", "none is named");
        let listen = errors.accept(address("nbd.listen", &self.listen));
        let mut names: Vec<String> = Vec::new();
        let mut exports: Vec<Export> = Vec::new();
        for export in self.export {
            let known = names.contains(&export.name);
            errors.require(!known, "nbd.export.name", format!("{:?} stands twice", export.name));
            names.push(export.name.clone());
            exports.extend(export.check(parsed, errors));
        }
        let sound = errors.0.len() == before;
        listen.filter(|_| sound).map(|listen| NbdConfig {
            listen,
            negotiation_timeout: Duration::from_millis(self.negotiation_ms),
            max_sessions: self.max_sessions,
            exports,
        })
    }
}

impl ExportSection {
    pub(super) fn check(self, parsed: &Parsed, errors: &mut ConfigErrors) -> Option<Export> {
        let key = |key: &str| format!("nbd.export.{key}");
        let text = |text: &str| format!("{:?}: {text}", self.name);
        let fault = |name: &str, why: String| bad(&key(name), text(&why));
        errors.require(self.name.len() <= 255, &key("name"), text("over 255 bytes"));
        let volume = u64::from_str_radix(&self.volume, 16).map_err(|e| fault("volume", e.to_string()));
        let volume = errors.accept(volume);
        let plan = parsed.plans.iter().position(|plan| *plan == self.plan);
        let plan = plan.ok_or_else(|| fault("plan", format!("the settings know no {:?}", self.plan)));
        let plan = errors.accept(plan);
        let class = |key: &str, name: &str, writes: bool| {
            let number = parsed.classes.iter().position(|class| class == name);
            let number = number.ok_or_else(|| fault(key, format!("the settings know no {name:?}")))?;
            let class = &parsed.decide.classes[number];
            if !fits_path(name) || class.writes != writes {
                return Err(fault(key, format!("{name:?} does not serve here")));
            }
            let deadline = Duration::try_from_secs_f64(class.deadline / 1000.0);
            let deadline = deadline.map_err(|e| fault(key, e.to_string()))?;
            Ok(ExportClass { number: number as u16, name: name.to_owned(), deadline })
        };
        let block = self.block_size.is_power_of_two() && (512..=MAX_BODY as u32).contains(&self.block_size);
        errors.require(block, &key("block_size"), text("not a power of two from 512 to 65536"));
        let whole_blocks = self.size > 0 && self.size.is_multiple_of(u64::from(self.block_size.max(1)));
        errors.require(whole_blocks, &key("size"), text("not a whole number of blocks"));
        errors.require(self.hosts > 0, &key("hosts"), text("none at all"));
        let units = self.units > 0.0 && self.units <= parsed.decide.max_units.max(1.0);
        errors.require(units, &key("units"), text("not within the settings' largest request"));
        let read = errors.accept(class("read_class", &self.read_class, false));
        let write = self.write_class.as_deref().map(|name| class("write_class", name, true)).transpose();
        let write = errors.accept(write);
        Some(Export {
            volume: volume?,
            plan: plan? as u16,
            hosts: self.hosts.into(),
            shard: self.shard,
            size: self.size,
            block: self.block_size,
            units: self.units,
            read: read?,
            write: write?,
            name: self.name,
        })
    }
}

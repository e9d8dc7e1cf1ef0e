//! Configurations for a scheduler under test: the platform's JSON and the operator's TOML.

use crate::discovery::list_entry;
use pointcross::config::{Config, Wins};
use std::net::SocketAddr;

/// Settings of the platform with one store and deadlines that no sound run meets.
pub const SETTINGS: &str = r#"{"me":0,"instances":1,"resolution":2.0,"discovery":"on_request",
 "classes":[{"name":"reading-get","aim":2000,"give_up":8000,"importance":2,"repeat":"safe","group":"all"},
  {"name":"reading-put","aim":2000,"give_up":8000,"importance":2,"repeat":"unsafe","group":"all"}],
 "service_levels":[{"name":"basic","base_rate":20,"reservation":10,"cap":40,"cap_depth":20,"cap_slack":4},
  {"name":"standard","base_rate":2000,"reservation":1000}],
 "guarantees":{"grace_to_answer":8,"drain_grace":250,"ask_within":10000},
 "limits":{"cancelling":true,"connect_timeout":250,"keepalive":15000,"max_attempts":3,"max_retry_after":1000},
 "family_info":{"max_units":6,"unit_mean":2,"slots_total":2,"writes":[false,true],"tells_elsewhere":true},
 "report":{"how":"inline","names":["inflight"]}}"#;

/// An operator's file (TOML) with one export: 16 blocks of 512 bytes on the volume 7 of this plan.
pub fn operator(plan: &str, more: &str) -> String {
    format!(
        "[nbd]\nlisten = \"127.0.0.1:0\"\n{more}\n[[nbd.export]]\nname = \"grid\"\nvolume = \"7\"\n\
         plan = \"{plan}\"\nhosts = 1\nshard = 1\nsize = 8192\nblock_size = 512\nread_class = \"reading-get\"\n\
         write_class = \"reading-put\"\n"
    )
}

/// The configuration of a scheduler with this storage node.
pub fn config(store: SocketAddr, discovery: SocketAddr, operator: &str) -> Config {
    let entry = list_entry(store);
    let platform = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"0badcafe",
            "known":{{"revision":1,"complete":true,"members":[{entry}]}},"settings":{SETTINGS}}}"#
    );
    Config::from_texts(|_| None, &platform, operator, Wins::Variable).unwrap()
}

//! The cases of this review that are scripts: `stand-ins CASE FOLDER RECORD`; see each case's `claim.txt`.
//!
//! Runs at the repository's root. Exits with 1 where the rule was broken, 0 where it held, 2 where the case could
//! not run. With TROUBLE=0 in the environment the disruption is left out.

mod case4;
mod case5;
mod case6;
mod case7;
mod case8;
mod client;
mod http;
mod load;
mod record;
mod relay;
mod server;
mod tier;

use record::Record;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;
use tier::{Class, Tier};

/// One model service with one route, whose turns are kept.
pub const CONFIGURATION: &str = r#"{"Version":1,"Routes":[
 {"Name":"session","Host":"tier.example","PathPrefix":"/session/","RouteType":"streaming","TimeoutMs":5000,
  "TargetMs":250,"Priority":0,"Service":"llm","MaxAttempts":2,"Retained":true,"RetentionS":60.0,"Sticky":true,
  "Resumable":false,"gap_aim_ms":400}],
 "Services":[{"Name":"llm","HealthPath":"/health","MaxConns":230,"Protocol":"h1","Tls":false,
  "Engine":{"Capacity":32,"KvTokens":90000,"Stride":3,"Models":[{"Name":"m"}]}}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

fn main() {
    let given: Vec<String> = std::env::args().collect();
    let [_, case, folder, file] = &given[..] else {
        eprintln!("usage: stand-ins CASE FOLDER RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new(file));
    record.note(format!("case {case}, disruption: {has_trouble}"));
    let mut tier = Tier::new(Path::new(folder), record.clone());
    let is_broken = match case.as_str() {
        "4" => case4::run(&mut tier, has_trouble),
        "5" => case5::run(&mut tier, has_trouble),
        "6" => case6::run(&mut tier, has_trouble),
        "7" => case7::run(&mut tier, has_trouble),
        "8" => case8::run(&mut tier, has_trouble),
        _ => {
            eprintln!("no case {case}");
            std::process::exit(2);
        }
    };
    let ended = tier.ended();
    record.note(format!("processes that ended by themselves: {ended:?}"));
    drop(tier);
    record.note(if is_broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(i32::from(is_broken));
}

/// Three control members and the stores and proxies of a small deployment, on their first start.
fn start_small(tier: &mut Tier, stores: u8, fronts: u8) {
    let zones = ["zone-a", "zone-b", "zone-c"];
    let zone = |number: u8| zones[usize::from(number - 1) % zones.len()];
    for number in 1..=3 {
        tier.add(&format!("core-{number}"), Class::Core, number, zone(number), true);
    }
    for number in 1..=stores {
        tier.add(&format!("storage-{number}"), Class::Storage, 10 + number, zone(number), true);
    }
    for number in 1..=fronts {
        tier.add(&format!("front-{number}"), Class::Front, 20 + number, zone(number), true);
    }
}

/// Waits until both proxies are ready and a turn was served. Gives their addresses.
fn wait_until_served(tier: &Tier) -> [SocketAddrV4; 2] {
    tier.wait_ready(&["front-1", "front-2"]);
    let fronts = [tier.front("front-1"), tier.front("front-2")];
    let record = &tier.record;
    for front in fronts {
        let is_serving = http::wait_for(Duration::from_secs(10), || {
            let id = format!("w{}", (record.seconds() * 1000.0) as u64);
            client::turn(record, front, load::PATH, &id, &id, None, "hi\n").status == 200
        });
        tier.require(is_serving, "no turn is served");
    }
    fronts
}

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
mod record;
mod relay;
mod server;
mod tier;

use record::Record;
use std::path::Path;
use tier::{Class, Tier};

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

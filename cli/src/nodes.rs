//! Prints a saved node list: its nodes, its age, and the faults of the file.

use clap::Args;
use pointcross_membership::snapshot::{now_stamp, read_file};
use pointcross_membership::staleness::{StalenessLimits, age, assess_staleness};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub struct Nodes {
    /// The snapshot, as the operator's file names it
    #[arg(long)]
    snapshot: PathBuf,
    /// One line of JSON
    #[arg(long)]
    json: bool,
    /// Bytes that are read at the most
    #[arg(long, default_value_t = 8 << 20)]
    most_bytes: u64,
}

/// The exit code for a file that is damaged or cannot be read.
const DAMAGED: u8 = 2;

impl Nodes {
    pub fn run(self) -> ExitCode {
        let loaded = match read_file(&self.snapshot, self.most_bytes) {
            Ok(loaded) => loaded,
            Err(error) => {
                eprintln!("pointcross: --snapshot: cannot read {}: {error}", self.snapshot.display());
                return ExitCode::from(DAMAGED);
            }
        };
        let now = now_stamp();
        let list = loaded.list.as_ref();
        let age_s = list.and_then(|list| age(&list.confirmed, &now)).map(|ms| ms / 1e3);
        let weight = format!(
            "{:?}",
            assess_staleness(list.map(|list| &list.confirmed), &now, &StalenessLimits::default())
        );
        let weight = weight.to_lowercase();
        let faults: Vec<String> = loaded.errors.iter().map(ToString::to_string).collect();
        if self.json {
            let document = json!({
                "revision": list.map(|list| list.revision),
                "discovery": list.map(|list| list.discovery.as_str()),
                "age_s": age_s,
                "weight": weight,
                "records": loaded.records,
                "faults": faults,
                "nodes": loaded.nodes,
            });
            println!("{document}");
        } else {
            match list {
                None => println!("no list that discovery confirmed"),
                Some(list) => {
                    let age =
                        age_s.map_or("of unknown age".to_owned(), |age| format!("confirmed {age:.0} s ago"));
                    println!("version {} from {}, {age}: {weight}", list.revision, list.discovery);
                }
            }
            for node in &loaded.nodes {
                let draining = if node.draining { " draining" } else { "" };
                let (name, shard, address, rate) = (&node.name, node.shard, node.address, node.rate);
                println!("{name}  shard {shard}  {address}  {rate:.1} units/s{draining}");
            }
            for fault in &faults {
                println!("fault: {fault}");
            }
        }
        if faults.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(DAMAGED) }
    }
}

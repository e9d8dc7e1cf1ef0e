//! A restart in which discovery is silent and the saved list is old: a quarter of its nodes is gone, some of their
//! addresses now belong to nodes of other shards, and the rest come back cold, one by one. Four ways to start on
//! the same script, in virtual time, round the real core and decision module. Prints one line of JSON.
//!
//!     cargo run --release -p pointcross-membership --example blind_start -- \
//!         --schedulers 4 --nodes 24 --silent-s 120 --age-s 3600 --seed 7

use blind::Start;
use clap::Parser;

#[path = "../tests/blind/mod.rs"]
mod blind;

#[derive(Parser)]
struct Arguments {
    /// Schedulers that start together
    #[arg(long, default_value_t = 4)]
    schedulers: u32,
    /// Nodes on the saved list, a shard each
    #[arg(long, default_value_t = 24)]
    nodes: usize,
    /// For how long discovery is silent
    #[arg(long, default_value_t = 120)]
    silent_s: u64,
    /// How old the saved list is
    #[arg(long, default_value_t = 3600)]
    age_s: u64,
    /// Seed of the script
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

fn main() {
    let Arguments { schedulers, nodes, silent_s, age_s, seed } = Arguments::parse();
    let arguments = blind::Arguments { schedulers, nodes, silent_s, age_s, seed };
    let of = |start| blind::play(&arguments, start);
    let (ours, nothing, trusting, told) =
        (of(Start::Weighed), of(Start::Nothing), of(Start::Blind), of(Start::Told));
    let figures = serde_json::json!({
        "requests": ours.requests,
        "served_share": ours.share(),
        "misrouted": ours.misrouted,
        "misrouted_share": ours.misrouted as f64 / ours.attempts.max(1) as f64,
        "cold_nodes_fallen": ours.fallen,
        "doubled_writes": ours.doubled,
        "time_to_set_aside_p99_ms": ours.aside_p99_ms,
        "served_share_without_snapshot": nothing.share(),
        "served_share_trusting_blindly": trusting.share(),
        "misrouted_trusting_blindly": trusting.misrouted,
        "cold_nodes_fallen_trusting_blindly": trusting.fallen,
        "served_share_fresh_list": told.share(),
        "served_share_of_fresh": ours.share() / told.share(),
    });
    println!("{figures}");
}

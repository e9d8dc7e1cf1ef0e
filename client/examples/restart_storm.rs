//! Every scheduler killed and back together under many clients. Prints one line of JSON.
//!
//!     cargo run --release -p pointcross-client --example restart_storm -- --clients 2000 --schedulers 4 --seed 7

use clap::Parser;
use std::time::Duration;

#[path = "../tests/storm/mod.rs"]
mod storm;

#[derive(Parser)]
struct Arguments {
    /// Clients, each a library of its own
    #[arg(long, default_value_t = 2000)]
    clients: usize,
    /// Schedulers, all of which are killed
    #[arg(long, default_value_t = 4)]
    schedulers: usize,
    /// Seed of all that is drawn
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

fn main() {
    let Arguments { clients, schedulers, seed } = Arguments::parse();
    let storm = storm::Storm {
        clients,
        schedulers,
        seed,
        before: Duration::from_secs(5),
        down: Duration::from_secs(2),
        after: Duration::from_secs(14),
        pause: Duration::from_millis(500),
    };
    println!("{}", serde_json::to_string(&storm.play()).expect("plain figures"));
}

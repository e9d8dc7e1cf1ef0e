//! Puts load on a scheduler over real connections and measures rate, latency and CPU time.

use clap::Args;
use pointcross_experiments::load::{Load, Measured, Scheduler, instant_nodes, load};
use std::net::SocketAddr;

#[derive(Args)]
pub struct LoadTool {
    /// The scheduler; one is started, before nodes that answer at once, where this is left out
    #[arg(long)]
    address: Option<SocketAddr>,
    /// Connections, one measurement each
    #[arg(long, value_delimiter = ',', default_value = "1,2,8,64,256")]
    connections: Vec<usize>,
    /// Requests a second over all connections; as fast as they are answered where left out
    #[arg(long)]
    rate: Option<f64>,
    /// Seconds of each measurement
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Nodes that are started, or shards that are asked for
    #[arg(long, default_value_t = 12)]
    nodes: u32,
    /// Descriptors of the scheduler that is started
    #[arg(long, default_value_t = 1024)]
    sockets: u32,
    /// One line of JSON
    #[arg(long)]
    json: bool,
}

impl LoadTool {
    #[tokio::main(flavor = "multi_thread", worker_threads = 4)]
    pub async fn run(self) -> Result<u8, String> {
        let mut rows: Vec<Measured> = Vec::new();
        for &connections in &self.connections {
            rows.push(self.measure(connections).await?);
        }
        if self.json {
            println!("{}", serde_json::to_string(&rows).map_err(|error| error.to_string())?);
        } else {
            print_table(&rows);
        }
        Ok(0)
    }

    async fn measure(&self, connections: usize) -> Result<Measured, String> {
        // Each measurement has a scheduler of its own: none starts with the connections of the last.
        let scheduler = match self.address {
            Some(_) => None,
            None => {
                let nodes = instant_nodes(self.nodes).await.map_err(|error| error.to_string())?;
                let program = std::env::current_exe().map_err(|error| error.to_string())?;
                let started = Scheduler::start(&program, &nodes, self.sockets).await;
                Some(started.map_err(|error| error.to_string())?)
            }
        };
        let address = self.address.or(scheduler.as_ref().map(|scheduler| scheduler.address));
        let Some(address) = address else { return Err("--address: none".into()) };
        let spec = Load { connections, rate: self.rate, seconds: self.seconds, shards: self.nodes };
        let before = scheduler.as_ref().and_then(Scheduler::cpu);
        let mut measured = load(address, spec).await;
        let used = scheduler.as_ref().and_then(Scheduler::cpu).zip(before);
        let answers = (measured.per_second * self.seconds).max(1.0);
        measured.cpu_us = used.map(|(after, before)| (after - before).as_secs_f64() * 1e6 / answers);
        Ok(measured)
    }
}

fn print_table(rows: &[Measured]) {
    println!("connections  answers/s  served   p50 ms   p99 ms  CPU us each  broken");
    for row in rows {
        let cpu = row.cpu_us.map_or("-".to_owned(), |us| format!("{us:.0}"));
        println!(
            "{:>11} {:>10.0} {:>6.1}% {:>8.2} {:>8.2} {cpu:>12} {:>7}",
            row.connections,
            row.per_second,
            row.served_share * 100.0,
            row.p50_ms,
            row.p99_ms,
            row.broken
        );
    }
}

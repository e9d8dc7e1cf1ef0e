//! Measures what clients' connections and requests cost one scheduler.

use clap::{Args, Subcommand};
use pointcross_experiments::traffic::peers::{self, PeersPoint};
use pointcross_experiments::traffic::{Kind, Point, Spec, measure};
use serde_json::Value;

/// Both ends of every connection are here, and one process has so many descriptors.
const MAX_CONNECTIONS: usize = 8000;
const MAX_NODES: u32 = 4000;

#[derive(Args)]
pub struct Traffic {
    #[command(subcommand)]
    what: What,
    /// Seeds, a run of each point for every one
    #[arg(long, value_delimiter = ',', default_value = "1", global = true)]
    seed: Vec<u64>,
    /// Seconds of each window
    #[arg(long, default_value_t = 5.0, global = true)]
    seconds: f64,
    /// `limits.sockets` of the scheduler's platform file
    #[arg(long, value_delimiter = ',', default_value = "16384", global = true)]
    sockets: Vec<u32>,
    /// One line of JSON for each point
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum What {
    /// Connections that ask once and rest
    Idle {
        /// Clients' connections
        #[arg(long, value_delimiter = ',', default_value = "0,500,1000,2000,4000")]
        connections: Vec<usize>,
        /// Storage nodes
        #[arg(long, default_value_t = 12)]
        nodes: u32,
    },
    /// Connections that each ask every 2.17 s
    Paced {
        /// Clients' connections
        #[arg(long, value_delimiter = ',', default_value = "250,500,1000,2000,4000")]
        connections: Vec<usize>,
        /// Storage nodes
        #[arg(long, default_value_t = 400)]
        nodes: u32,
        /// Even gaps; exponential ones where left out
        #[arg(long)]
        regular: bool,
    },
    /// Requests at a rate over a few connections, before many nodes
    Rate {
        /// Clients' connections
        #[arg(long, default_value_t = 64)]
        connections: usize,
        /// Requests a second
        #[arg(long, value_delimiter = ',', default_value = "250,500,1000,2000,4000")]
        rate: Vec<f64>,
        /// Storage nodes, each with a shard of its own
        #[arg(long, value_delimiter = ',', default_value = "12,100,400,1000")]
        nodes: Vec<u32>,
    },
    /// Members of the maintenance agreement in quiet, by a relay that counts
    Peers {
        /// Members
        #[arg(long, value_delimiter = ',', default_value = "4,8,16,32,48")]
        members: Vec<usize>,
    },
}

fn check_range<T: PartialOrd + std::fmt::Display>(
    key: &str,
    values: &[T],
    min: T,
    max: T,
) -> Result<(), String> {
    match values.iter().find(|value| !(min <= **value && **value <= max)) {
        Some(value) => Err(format!("--{key}: {value}: wanted {min} to {max}")),
        None => Ok(()),
    }
}

/// The command as it was typed, without where the program lies.
fn command_line() -> String {
    std::iter::once("pointcross".to_owned()).chain(std::env::args().skip(1)).collect::<Vec<_>>().join(" ")
}

fn print_point(
    json: bool,
    point: serde_json::Result<Value>,
    line: impl FnOnce() -> String,
) -> Result<(), String> {
    if json {
        let mut document = point.map_err(|error| error.to_string())?;
        document["command"] = command_line().into();
        println!("{document}");
    } else {
        println!("{}", line());
    }
    Ok(())
}

fn line(point: &Point) -> String {
    let connections = point.connections_idle + point.connections_active;
    let at_rest = point.rest.as_ref().map_or(String::new(), |rest| {
        format!(", held {} then {} after 1 s, {} after 2.5 s", rest.held, rest.held_1s, rest.held_2500ms)
    });
    let limited = if point.tool_limited { ", THE TOOL WAS LATE" } else { "" };
    format!(
        "{} {connections} connections, {} nodes, sockets {}, seed {}: {:.0} answers/s, served {:.1} %, p99 {:.1} ms, CPU \
         {:.1} % ({:.0} us each), {:.0} MB, {} descriptors, {:.1} reconnects/s, {} at nodes{at_rest}{limited}",
        point.kind,
        point.nodes,
        point.sockets,
        point.seed,
        point.per_second,
        point.served_share * 100.0,
        point.p99_ms,
        point.cpu_pct,
        point.cpu_us_each.unwrap_or(0.0),
        point.rss_mb,
        point.descriptors,
        point.reconnects_per_s,
        point.node_connections
    )
}

fn peers_line(point: &PeersPoint) -> String {
    format!(
        "peers {} members, seed {}: CPU {:.2} % each, leader {:.2} %, {:.1} messages/s and {:.0} bytes/s come to each, \
         {:.1} appends/s and {:.0} bytes/s leave the leader",
        point.members,
        point.seed,
        point.cpu_pct,
        point.cpu_pct_leader,
        point.messages_per_s,
        point.bytes_per_s,
        point.leader_appends_per_s,
        point.leader_append_bytes_per_s
    )
}

impl Traffic {
    pub fn run(self) -> Result<u8, String> {
        check_range("seconds", &[self.seconds], 0.5, 60.0)?;
        check_range("sockets", &self.sockets, 64, 1 << 20)?;
        match &self.what {
            What::Idle { connections, nodes } => {
                let each = connections.iter().map(|&connections| (Kind::Idle, connections, *nodes));
                self.points(each.collect())
            }
            What::Paced { connections, nodes, regular } => {
                check_range("connections", connections, 1, MAX_CONNECTIONS)?;
                let kind = Kind::Paced { regular: *regular };
                let each = connections.iter().map(|&connections| (kind, connections, *nodes));
                self.points(each.collect())
            }
            What::Rate { connections, rate, nodes } => {
                check_range("connections", &[*connections], 1, MAX_CONNECTIONS)?;
                check_range("rate", rate, 1.0, 20_000.0)?;
                let each = nodes
                    .iter()
                    .flat_map(|&nodes| rate.iter().map(move |&rate| (Kind::Rate(rate), *connections, nodes)));
                self.points(each.collect())
            }
            What::Peers { members } => {
                check_range("members", members, 2, peers::MAX_MEMBERS)?;
                let folder = std::env::temp_dir().join(format!("pointcross-peers-{}", std::process::id()));
                let measured = self.peers(members, &folder);
                let _ = std::fs::remove_dir_all(&folder);
                measured
            }
        }
    }

    #[tokio::main(flavor = "multi_thread", worker_threads = 4)]
    async fn points(&self, wanted: Vec<(Kind, usize, u32)>) -> Result<u8, String> {
        for &(_, connections, nodes) in &wanted {
            check_range("connections", &[connections], 0, MAX_CONNECTIONS)?;
            check_range("nodes", &[nodes], 1, MAX_NODES)?;
        }
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        for &sockets in &self.sockets {
            for &(kind, connections, nodes) in &wanted {
                for &seed in &self.seed {
                    let spec = Spec { kind, connections, nodes, sockets, seed, seconds: self.seconds };
                    let point = measure(&program, spec).await.map_err(|error| error.to_string())?;
                    print_point(self.json, serde_json::to_value(&point), || line(&point))?;
                }
            }
        }
        Ok(0)
    }

    fn peers(&self, members: &[usize], folder: &std::path::Path) -> Result<u8, String> {
        for &members in members {
            for &seed in &self.seed {
                let point = peers::measure(members, seed, self.seconds, folder);
                let point = point.map_err(|error| error.to_string())?;
                print_point(self.json, serde_json::to_value(&point), || peers_line(&point))?;
            }
        }
        Ok(0)
    }
}

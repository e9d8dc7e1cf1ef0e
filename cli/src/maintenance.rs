//! Operators' calls on the maintenance plan, at any scheduler.

use clap::{Args, Subcommand};
use pointcross_coordination::driver::PlanReport;
use pointcross_coordination::maintenance::decide::Machine;
use pointcross_coordination::wire::Caller;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Subcommand)]
pub enum Maintenance {
    /// Have machines taken out for work, in this order where it is safe
    Ask(Named),
    /// Say that the work on machines is done, or that they are not wanted any more
    Done(Named),
    /// Show the plan as a scheduler knows it
    Plan(At),
}

#[derive(Args)]
pub struct At {
    /// A scheduler's `maintenance.listen`; any will do
    #[arg(long)]
    at: SocketAddr,
    /// One line of JSON
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct Named {
    #[command(flatten)]
    at: At,
    /// node/ID or scheduler/NAME
    #[arg(required = true, value_parser = machine)]
    machines: Vec<Machine>,
}

fn machine(text: &str) -> Result<Machine, String> {
    Machine::try_from(text.to_owned()).map_err(|error| error.to_string())
}

impl Maintenance {
    #[tokio::main(flavor = "current_thread")]
    pub async fn run(self) -> ExitCode {
        let done = match self {
            Maintenance::Ask(named) => named.send("/maintenance/ask").await,
            Maintenance::Done(named) => named.send("/maintenance/done").await,
            Maintenance::Plan(at) => at.plan().await,
        };
        match done {
            Ok(()) => ExitCode::SUCCESS,
            Err(text) => {
                eprintln!("pointcross: {text}");
                ExitCode::FAILURE
            }
        }
    }
}

/// How long a scheduler may take to reply; longer than it waits for a commit itself.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

impl Named {
    async fn send(self, path: &str) -> Result<(), String> {
        let body = serde_json::json!({ "machines": self.machines }).to_string();
        let answer = Caller::default().call("POST", self.at.at, path, body, REPLY_TIMEOUT).await;
        answer.map_err(|error| format!("{}: {error}", self.at.at))?;
        if self.at.json {
            println!("{{\"agreed\":true}}");
        } else {
            println!("agreed");
        }
        Ok(())
    }
}

impl At {
    async fn plan(self) -> Result<(), String> {
        let answer = Caller::default().call("GET", self.at, "/maintenance/plan", "", REPLY_TIMEOUT).await;
        let answer = answer.map_err(|error| format!("{}: {error}", self.at))?;
        if self.json {
            println!("{}", String::from_utf8_lossy(&answer));
            return Ok(());
        }
        let report: PlanReport = serde_json::from_slice(&answer).map_err(|error| error.to_string())?;
        println!("{} says; leader {}", report.me, report.leader.as_deref().unwrap_or("none"));
        if let Some(lease) = &report.plan.lease {
            let state = if report.now < lease.until { "holds" } else { "held" };
            println!("{} {state} the lease of epoch {}", lease.holder, lease.epoch);
        }
        for (machine, entry) in &report.plan.machines {
            let phase = format!("{:?}", entry.phase).to_lowercase();
            let confirmed: Vec<&str> = entry.confirmed.iter().map(String::as_str).collect();
            println!("{machine:<32} {phase:<10} {}", confirmed.join(" "));
        }
        for (name, seen) in report.seen.iter().filter(|(_, seen)| *seen != "alive") {
            println!("{name} is {seen}");
        }
        Ok(())
    }
}

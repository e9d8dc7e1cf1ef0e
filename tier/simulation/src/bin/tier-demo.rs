//! A whole tier on loopback, in one process: `tier-demo`. Ends at Ctrl-C, and leaves nothing behind.

use bytes::Bytes;
use http::Request;
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::network::Network;
use pointcross_tier_runtime::process;
use pointcross_tier_simulation::machine::{CONTROL_PORT, FRONT_PORT, MachinePlace, Process, start_roles};
use pointcross_tier_simulation::{Engine, ROUTES, SERVICE, Turn, client};
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Machines of each class: name, third byte of their addresses, how many.
const CLASSES: [(&str, u8, u8); 3] = [("core", 1, 3), ("storage", 2, 3), ("front", 3, 2)];
const ENGINES: u8 = 4;
const PROGRAMS: usize = 4;
const CALL_WITHIN: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Counts {
    served: Cell<u64>,
    refused: Cell<u64>,
    failed: Cell<u64>,
    slowest_ms: Cell<u128>,
}

fn host(class: u8, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, class, number)
}

fn main() -> std::io::Result<()> {
    let folder = tempfile::tempdir()?;
    process::run(async {
        let environment = Environment::system();
        let control: Vec<SocketAddrV4> =
            (1..=3).map(|number| SocketAddrV4::new(host(1, number), CONTROL_PORT)).collect();
        let mut processes: Vec<Process> = Vec::new();
        for (class, net, machines) in CLASSES {
            for number in 1..=machines {
                let name = format!("{class}-{number}");
                let data = folder.path().join(&name);
                let place = MachinePlace {
                    name: &name,
                    host: host(net, number),
                    folder: &data,
                    tolerated: 1,
                    disk_mb: 64,
                };
                processes.extend(start_roles(class, place.settings(&control, true), environment.clone()));
                println!("{name:10} {}", place.host);
            }
        }
        let network = environment.network.clone();
        let engines: Vec<Engine> = (1..=ENGINES)
            .map(|number| {
                let id = format!("i-{number}");
                Engine::start_on(network.clone(), &id, SERVICE, host(4, number), control.clone())
            })
            .collect();
        println!("clients:   http://{}:{FRONT_PORT}/kept/  Host: tier.example", host(3, 1));
        println!("operator:  http://{}:{CONTROL_PORT}/pointcross/Configuration.Get", host(1, 1));
        println!("{} emulated model schedulers; Ctrl-C ends", engines.len());
        configure(&network, control[0]).await;
        let counts = Rc::new(Counts::default());
        for program in 0..PROGRAMS {
            spawn_local(run_programs(network.clone(), counts.clone(), program));
        }
        spawn_local(report(counts));
        let stopped = process::stop_requested().await;
        for process in &mut processes {
            process.terminate();
        }
        println!("stopping");
        tokio::time::sleep(Duration::from_millis(500)).await;
        processes.into_iter().for_each(Process::kill);
        stopped
    })?
}

/// Sends the sample configuration until it is taken.
async fn configure(network: &Rc<dyn Network>, control: SocketAddrV4) {
    loop {
        let request = Request::post("/pointcross/Configuration.Replace")
            .header("x-base-version", 0)
            .body(Bytes::from(format!("{{\"Version\":1,{ROUTES}}}")))
            .expect("a valid request");
        let reply = client::call(network, control, request, CALL_WITHIN).await;
        if reply.is_some_and(|reply| reply.status == 200) {
            println!("configuration 1 is taken");
            return;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Runs one program of four turns after the other.
async fn run_programs(network: Rc<dyn Network>, counts: Rc<Counts>, lane: usize) {
    let run = std::process::id();
    for number in 0_u64.. {
        let program = format!("p{run}.{lane}.{number}");
        let mut previous: Option<String> = None;
        for turn in 0..4 {
            let id = format!("{program}.{turn}");
            let front = SocketAddrV4::new(host(3, 1 + (turn % 2) as u8), FRONT_PORT);
            let turn = Turn {
                id: &id,
                program: &program,
                previous: previous.as_deref(),
                input: "hello;",
                budget: Some(100),
                max_tokens: 3,
                stored: true,
            };
            let begun = Instant::now();
            let reply = client::call(&network, front, turn.request(), CALL_WITHIN).await;
            counts.slowest_ms.set(counts.slowest_ms.get().max(begun.elapsed().as_millis()));
            let count = match reply.map(|reply| (reply.status.as_u16(), reply.complete)) {
                Some((200, true)) => &counts.served,
                Some((402 | 429 | 503, _)) => &counts.refused,
                _ => &counts.failed,
            };
            count.set(count.get() + 1);
            previous = Some(id);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn report(counts: Rc<Counts>) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        println!(
            "turns served {:4}  refused {:3}  failed {:3}  slowest {} ms",
            counts.served.take(),
            counts.refused.take(),
            counts.failed.take(),
            counts.slowest_ms.take()
        );
    }
}

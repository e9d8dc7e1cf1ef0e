//! Case 7: after 16,384 starts of schedulers no new one is taken, though nearly all of them have ended in good order.

use crate::http::Call;
use crate::load::{final_fault, is_unrecovered, programs};
use crate::record::Record;
use crate::server::Server;
use crate::tier::Tier;
use crate::{CONFIGURATION, start_small, wait_until_served};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Plain services whose schedulers are replaced again and again.
const SERVICES: usize = 10;
/// So many at a time, and the pause between two such steps: `release` with x = 23 and gap_s = 1.0.
const AT_A_TIME: usize = 23;
const GAP: Duration = Duration::from_secs(1);
/// Starts of schedulers.
const STARTS: u64 = 16_400;

fn configuration() -> String {
    let plain = r#""Host":"tier.example","RouteType":"idempotent","TimeoutMs":1200,"TargetMs":150,"Priority":2,"MaxAttempts":2"#;
    let (mut routes, mut services) = (String::new(), String::new());
    for number in 0..SERVICES {
        routes.push_str(&format!(r#"{{"Name":"r{number}","PathPrefix":"/s{number}/","Service":"api-{number}",{plain}}},"#));
        services.push_str(&format!(
            r#"{{"Name":"api-{number}","HealthPath":"/health","MaxConns":96,"Protocol":"h1","Tls":false}},"#
        ));
    }
    let with_routes = CONFIGURATION.replace("\"Routes\":[", &format!("\"Routes\":[{routes}"));
    with_routes.replace("\"Services\":[", &format!("\"Services\":[{services}"))
}

pub fn run(tier: &mut Tier, has_trouble: bool) -> bool {
    start_small(tier, 3, 2);
    let record = tier.record.clone();
    let control: Vec<SocketAddrV4> = ["core-1", "core-2", "core-3"].map(|name| tier.control(name)).to_vec();
    tier.configure(0, &configuration());
    let start = |tier: &Tier, id: &str, service: &str, number: u8| {
        let mut list = control.clone();
        list.rotate_left(usize::from(number) % 3);
        Server::start(&record, id, service, SocketAddrV4::new(tier.host(number), tier.first_port + 14), list)
    };
    let old: Vec<Server> = (0..3).map(|number: u8| start(tier, &format!("i-a{number}"), "llm", 60 + number)).collect();
    let fronts = wait_until_served(tier);
    if has_trouble {
        release_again_and_again(&record, &control);
    }
    let before = programs(&record, fronts, "before", 20, Duration::from_millis(20));
    // A release of the model service: the new schedulers start first, then the old ones drain and end.
    let new: Vec<Server> = (0..3).map(|number: u8| start(tier, &format!("i-n{number}"), "llm", 80 + number)).collect();
    sleep(Duration::from_secs(2));
    for server in &old {
        server.drain();
    }
    sleep(Duration::from_millis(2500));
    for (number, server) in old.iter().enumerate() {
        server.deregister(control[number]);
        server.end();
    }
    let after = final_fault(tier, fronts, &configuration());
    for server in &new {
        let taken = server.acknowledged.load(Ordering::SeqCst);
        record.note(format!("{}: {taken} heartbeats acknowledged", server.id));
    }
    is_unrecovered(&record, before, after)
}

/// Releases of all plain services until so many schedulers have started. At most some 1,400 live at a time; each sends heartbeats,
/// says `draining`, goes on for `DrainMs` and a little longer, sends its Deregister and ends.
fn release_again_and_again(record: &Record, control: &[SocketAddrV4]) {
    record.note(format!("releases of {SERVICES} services begin: {AT_A_TIME} schedulers at a time, each {GAP:?}"));
    let started = Arc::new(AtomicU64::new(0));
    let refused = Arc::new(AtomicU64::new(0));
    let lanes: Vec<_> = (0..SERVICES * AT_A_TIME)
        .map(|lane| {
            let (control, started, refused) = (control.to_vec(), started.clone(), refused.clone());
            std::thread::spawn(move || run_lane(lane, &control, &started, &refused))
        })
        .collect();
    for lane in lanes {
        let _ = lane.join();
    }
    record.note(format!(
        "releases end: {} schedulers started, {} calls of theirs not acknowledged; all of them have ended",
        started.load(Ordering::SeqCst),
        refused.load(Ordering::SeqCst)
    ));
}

/// One scheduler after the other, in steps of a second: starts, beats, drains, beats, beats, ends.
fn run_lane(lane: usize, control: &[SocketAddrV4], started: &AtomicU64, refused: &AtomicU64) {
    let at = control[lane % control.len()];
    let service = format!("api-{}", lane % SERVICES);
    // Of each scheduler that lives: its number and its age in steps.
    let mut living: Vec<(u64, u32)> = Vec::new();
    // Lanes don't all call at the same moment.
    sleep(Duration::from_millis((lane * 1000 / (SERVICES * AT_A_TIME)) as u64));
    loop {
        let begun = Instant::now();
        if started.load(Ordering::SeqCst) < STARTS {
            living.push((started.fetch_add(1, Ordering::SeqCst), 0));
        }
        if living.is_empty() {
            return;
        }
        for (number, age) in &living {
            let id = format!("i-{number:08x}");
            let state = if *age < 2 { "ready" } else { "draining" };
            let call = match age {
                5 => Call::new("POST", format!("/pointcross/Instances.Deregister/{id}")),
                _ => Call::new("POST", format!("/pointcross/Instances.Heartbeat/{id}")).body(format!(
                    "{{\"Service\":\"{service}\",\"Address\":\"127.{}.{}.{}:9\",\"Zone\":\"zone-b\",\"Version\":\"v{number}\",\
                     \"Capacity\":6,\"State\":\"{state}\",\"ColdLeftMs\":0,\"CallSeq\":{}}}",
                    number >> 16 & 255,
                    number >> 8 & 255,
                    number & 255,
                    age + 1
                )),
            };
            let status = call.patience(Duration::from_secs(1)).send(at).map_or(0, |reply| reply.status());
            if !(200..300).contains(&status) {
                refused.fetch_add(1, Ordering::SeqCst);
            }
        }
        living.retain(|(_, age)| *age < 5);
        for (_, age) in &mut living {
            *age += 1;
        }
        sleep(GAP.saturating_sub(begun.elapsed()));
    }
}

//! Case 5: heartbeats that come seconds late; a minute later healthy schedulers are taken for ended.

use crate::load::{Count, final_fault, is_unrecovered, programs};
use crate::server::Server;
use crate::tier::{HEARTBEAT_MS, Tier};
use crate::{CONFIGURATION, relay, start_small, wait_until_served};
use std::net::SocketAddrV4;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How late the heartbeats come.
const LATE: Duration = Duration::from_millis(2500);
/// The schedulers' expiry, 50 heartbeats, and some checks more.
const LATER: Duration = Duration::from_millis(50 * HEARTBEAT_MS + 3000);

pub fn run(tier: &mut Tier, has_trouble: bool) -> bool {
    start_small(tier, 3, 2);
    let record = tier.record.clone();
    let control: Vec<SocketAddrV4> = ["core-1", "core-2", "core-3"].map(|name| tier.control(name)).to_vec();
    // The way of the schedulers to the control process that they call.
    let way = SocketAddrV4::new(tier.host(50), tier.first_port + 15);
    let stall = relay::Stall::default();
    relay::start(way, control[0], stall.clone());
    tier.configure(0, CONFIGURATION);
    let servers: Vec<Server> = (1..=2)
        .map(|number| {
            let address = SocketAddrV4::new(tier.host(60 + number), tier.first_port + 14);
            Server::start(&record, &format!("i-{number}"), "llm", address, vec![way, control[1], control[2]])
        })
        .collect();
    let fronts = wait_until_served(tier);
    sleep(Duration::from_millis(2 * HEARTBEAT_MS));
    if has_trouble {
        let began = Instant::now();
        stall.set(true);
        record.note("the way from the schedulers to core-1 stalls");
        sleep(LATE);
        stall.set(false);
        record.note(format!("the way is free again after {:.1} s; what it held up is delivered", began.elapsed().as_secs_f64()));
        tier.require(stall.has_held(), "no heartbeat was held up");
    } else {
        sleep(LATE);
    }
    let mut before = Count::default();
    let end = Instant::now() + LATER;
    let mut minute = 0;
    while Instant::now() < end {
        minute += 1;
        before = before.plus(programs(&record, fronts, &format!("before{minute}."), 4, Duration::from_millis(500)));
    }
    let acknowledged: Vec<u64> = servers.iter().map(|server| server.acknowledged.load(Ordering::SeqCst)).collect();
    let after = final_fault(tier, fronts, CONFIGURATION);
    for (server, earlier) in servers.iter().zip(acknowledged) {
        let since = server.acknowledged.load(Ordering::SeqCst) - earlier;
        record.note(format!("{}: {since} heartbeats acknowledged from the final fault on", server.id));
    }
    for name in ["core-1", "core-2", "core-3"] {
        for line in tier.log(name).lines().filter(|line| line.contains("heartbeat timeout")) {
            record.note(format!("log of {name}: {line}"));
        }
    }
    is_unrecovered(&record, before, after)
}

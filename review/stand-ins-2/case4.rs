//! Case 4: proxies that start with the addresses of added control machines never learn of the schedulers.

use crate::http::Call;
use crate::load::{final_fault, is_unrecovered, programs};
use crate::server::Server;
use crate::tier::{Class, Tier};
use crate::{CONFIGURATION, start_small, wait_until_served};
use std::net::SocketAddrV4;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

/// The machines are added so long before anything else: well over TouchMs and CatchUpS.
const SETTLED: Duration = Duration::from_secs(6);

pub fn run(tier: &mut Tier, has_trouble: bool) -> bool {
    start_small(tier, 3, 2);
    let record = tier.record.clone();
    let control: Vec<SocketAddrV4> = ["core-1", "core-2", "core-3"].map(|name| tier.control(name)).to_vec();
    tier.configure(0, CONFIGURATION);
    let servers: Vec<Server> = (0..3)
        .map(|number: u8| {
            let mut list = control.clone();
            list.rotate_left(usize::from(number));
            let address = SocketAddrV4::new(tier.host(60 + number), tier.first_port + 14);
            Server::start(&record, &format!("i-{number}"), "llm", address, list)
        })
        .collect();
    let fronts = wait_until_served(tier);
    // Three machines are added to the core: one more in each zone.
    for (number, zone) in [(4, "zone-a"), (5, "zone-b"), (6, "zone-c")] {
        tier.add(&format!("core-{number}"), Class::Core, number, zone, false);
    }
    sleep(SETTLED);
    let before = programs(&record, fronts, "before", 60, Duration::from_millis(50));
    // The proxies are restarted in turn; without the disruption the settings name the same seeds as before.
    if has_trouble {
        tier.set_seeds(["core-4", "core-5", "core-6"].map(|name| tier.control(name)).to_vec());
        record.note("the settings name the added machines as seeds");
    }
    for name in ["front-1", "front-2"] {
        tier.restart(name);
        sleep(Duration::from_millis(1300));
    }
    sleep(Duration::from_secs(3));
    let between = programs(&record, fronts, "between", 20, Duration::from_millis(50));
    let after = final_fault(tier, fronts, CONFIGURATION);
    for name in ["front-1", "front-2"] {
        let status = Call::new("GET", "/pointcross/ready").send(tier.ready(name)).map_or(0, |reply| reply.status());
        record.note(format!("{name}: its ready address answers {status}"));
    }
    for server in &servers {
        let beats = server.acknowledged.load(Ordering::SeqCst);
        record.note(format!("{}: {beats} heartbeats acknowledged in {:.0} s", server.id, record.seconds()));
    }
    is_unrecovered(&record, before.plus(between), after)
}

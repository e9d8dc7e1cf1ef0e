//! Case 6: a proxy that stood still while stores were added denies turns that were answered whole.

use crate::http::wait_for;
use crate::server::Server;
use crate::tier::{Class, RETENTION_S, SIGCONT, SIGSTOP, Tier};
use crate::{CONFIGURATION, client, start_small};
use std::net::SocketAddrV4;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long the proxy stands still.
const FROZEN: Duration = Duration::from_millis(4000);
const PROGRAMS: usize = 60;

pub fn run(tier: &mut Tier, has_trouble: bool) -> bool {
    start_small(tier, 3, 2);
    let record = tier.record.clone();
    let control: Vec<SocketAddrV4> = ["core-1", "core-2", "core-3"].map(|name| tier.control(name)).to_vec();
    tier.configure(0, CONFIGURATION);
    let _servers: Vec<Server> = (1..=4)
        .map(|number| {
            let address = SocketAddrV4::new(tier.host(60 + number), tier.first_port + 14);
            Server::start(&record, &format!("i-{number}"), "llm", address, control.clone())
        })
        .collect();
    tier.wait_ready(&["front-1", "front-2"]);
    let (first, second) = (tier.front("front-1"), tier.front("front-2"));
    for (name, front) in [("f", first), ("s", second)] {
        let is_serving = wait_for(Duration::from_secs(10), || {
            let number = (record.seconds() * 1000.0) as u64;
            let (one, two) = (format!("{name}{number}a"), format!("{name}{number}b"));
            client::turn(&record, front, "/session/t", &one, &one, None, "hi\n").status == 200
                && client::turn(&record, front, "/session/t", &one, &two, Some(&one), "hi\n").status == 200
        });
        tier.require(is_serving, "no turn is served");
    }
    sleep(Duration::from_secs(4));
    let thaw = Instant::now() + FROZEN;
    if has_trouble {
        tier.signal("front-1", SIGSTOP);
    }
    // Two store machines are added.
    tier.add("storage-4", Class::Storage, 14, "zone-b", false);
    tier.add("storage-5", Class::Storage, 15, "zone-c", false);
    let is_taken = wait_for(Duration::from_secs(10), || {
        ["storage-4", "storage-5"].iter().all(|name| tier.log(name).contains("budgets complete"))
    });
    tier.require(is_taken, "the added stores do not take part");
    record.note("the added stores take part");
    sleep(Duration::from_millis(500));
    // First turns of programs, at the other proxy.
    let first_turns: Vec<_> = (0..PROGRAMS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || {
                let id = format!("p{number}");
                let seen = client::turn(&record, second, "/session/t", &id, &format!("{id}.1"), None, "one\n");
                (seen.status == 200 && seen.whole).then(|| (id, Instant::now()))
            })
        })
        .collect();
    let answered: Vec<(String, Instant)> = first_turns.into_iter().filter_map(|turn| turn.join().ok().flatten()).collect();
    record.note(format!("first turns answered whole: {} of {PROGRAMS}", answered.len()));
    tier.require(answered.len() * 2 > PROGRAMS, "too few first turns are served");
    if has_trouble {
        tier.require(Instant::now() + Duration::from_millis(300) < thaw, "the machine is too slow for the freeze");
    }
    // The next turn of each comes in through another zone: at the proxy that stands still.
    let next_turns: Vec<_> = answered
        .into_iter()
        .map(|(id, at)| {
            let record = record.clone();
            std::thread::spawn(move || {
                let (one, two) = (format!("{id}.1"), format!("{id}.2"));
                let seen = client::turn(&record, first, "/session/t", &id, &two, Some(&one), "two\n");
                (two, seen.status, at.elapsed())
            })
        })
        .collect();
    if has_trouble {
        sleep(thaw.saturating_duration_since(Instant::now()));
        tier.signal("front-1", SIGCONT);
    }
    let mut denied = 0;
    let mut served = 0;
    let mut others = 0;
    for turn in next_turns {
        let Ok((_, status, age)) = turn.join() else { continue };
        match status {
            404 | 410 if age < Duration::from_secs(RETENTION_S) => denied += 1,
            200 => served += 1,
            _ => others += 1,
        }
    }
    record.note(format!(
        "next turns: {served} served, {others} refused or failed, {denied} denied by 404 though the turn before was \
         answered whole seconds ago"
    ));
    denied > 0
}

//! Case 8: `FaultTolerance` allows the loss of a zone, and a final fault takes the disks of one.

use crate::http::wait_for;
use crate::server::Server;
use crate::tier::{RECOVER_S, RETENTION_S, Tier};
use crate::{client, start_small};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const CONFIGURATION: &str = r#"{"Version":1,"Routes":[
 {"Name":"session","Host":"tier.example","PathPrefix":"/session/","RouteType":"streaming","TimeoutMs":5000,
  "TargetMs":250,"Priority":0,"Service":"llm","MaxAttempts":2,"Retained":true,"RetentionS":60.0,"Sticky":true,
  "Resumable":false,"gap_aim_ms":400}],
 "Services":[{"Name":"llm","HealthPath":"/health","MaxConns":230,"Protocol":"h1","Tls":false,
  "Engine":{"Capacity":32,"KvTokens":90000,"Stride":3,"Models":[{"Name":"m"}]}}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;
const SESSIONS: usize = 60;
/// How long the machines are down.
const DOWN: Duration = Duration::from_millis(930);

pub fn run(tier: &mut Tier, has_trouble: bool) -> bool {
    tier.tolerated_zones = 1;
    // Two stores in each of three zones, and one control member.
    start_small(tier, 6, 2);
    let record = tier.record.clone();
    let control: Vec<SocketAddrV4> = ["core-2", "core-3", "core-1"].map(|name| tier.control(name)).to_vec();
    tier.configure(0, CONFIGURATION);
    let servers: Vec<Server> = (1..=4)
        .map(|number| {
            let address = SocketAddrV4::new(tier.host(60 + number), tier.first_port + 14);
            Server::start(&record, &format!("i-{number}"), "llm", address, control.clone())
        })
        .collect();
    tier.wait_ready(&["front-1", "front-2"]);
    let fronts = [tier.front("front-1"), tier.front("front-2")];
    let is_serving = wait_for(Duration::from_secs(10), || {
        let id = format!("w{}", (record.seconds() * 1000.0) as u64);
        client::turn(&record, fronts[0], "/session/t", &id, &id, None, "hi\n").status == 200
    });
    tier.require(is_serving, "no turn is served");
    sleep(Duration::from_secs(4));
    // First turns of sessions, at the proxy of the zone.
    let sessions: Vec<(String, Instant)> = (0..SESSIONS)
        .filter_map(|number| {
            let id = format!("p{number}");
            let seen = client::turn(&record, fronts[0], "/session/t", &id, &format!("{id}.1"), None, "one\n");
            (seen.status == 200 && seen.whole).then(|| (id, Instant::now()))
        })
        .collect();
    record.note(format!("first turns answered whole: {} of {SESSIONS}", sessions.len()));
    tier.require(sessions.len() == SESSIONS, "the first turns are not all served");
    // Time for whatever copies are still on their way.
    sleep(Duration::from_secs(6));
    if has_trouble {
        // All machines of the zone; the proxy has no disk.
        let lost: Vec<String> = tier.of_zone("zone-a").into_iter().map(|machine| machine.name).collect();
        record.note(format!("zone-a is lost with its disks: {lost:?}"));
        for name in &lost {
            tier.kill(name);
            if name.starts_with("core") || name.starts_with("storage") {
                tier.wipe(name);
            }
        }
        sleep(DOWN);
        for name in &lost {
            tier.start(name, false);
        }
    }
    let back = Instant::now();
    let recovered = back + Duration::from_secs(RECOVER_S);
    // The sessions go on; each keeps asking until RecoverS has passed.
    let asking: Vec<_> = sessions
        .into_iter()
        .enumerate()
        .map(|(number, (id, at))| {
            let record = record.clone();
            std::thread::spawn(move || {
                let mut tries = 0;
                while Instant::now() < recovered {
                    tries += 1;
                    let attempt = format!("{id}.2.{tries}");
                    let previous = format!("{id}.1");
                    let front = fronts[(number + tries) % 2];
                    let seen = client::turn(&record, front, "/session/t", &id, &attempt, Some(&previous), "two\n");
                    if seen.status == 200 {
                        break;
                    }
                    sleep(Duration::from_millis(400));
                }
                (id, at)
            })
        })
        .collect();
    // Other turns meanwhile: first turns of other programs. Those of the last 4 s count.
    let others = Arc::new(Mutex::new((0_u32, 0_u32)));
    let mut number = 0;
    while Instant::now() < recovered {
        number += 1;
        let id = format!("o{number}");
        let is_last = recovered.saturating_duration_since(Instant::now()) < Duration::from_secs(4);
        let seen = client::turn(&record, fronts[number % 2], "/session/t", &id, &id, None, "other\n");
        if is_last {
            let mut others = others.lock().unwrap();
            others.0 += 1;
            others.1 += u32::from(seen.status == 200);
        }
        sleep(Duration::from_millis(50));
    }
    let asked: Vec<(String, Instant)> = asking.into_iter().filter_map(|asking| asking.join().ok()).collect();
    let has_reached = |id: &str| {
        let prefix = format!("{id}.2.");
        servers.iter().any(|server| server.ran.lock().unwrap().iter().any(|ran| ran.attempt.starts_with(&prefix)))
    };
    let mut lost = 0;
    for (id, at) in &asked {
        if !has_reached(id) && at.elapsed() < Duration::from_secs(RETENTION_S) {
            lost += 1;
            record.note(format!("{id}: no next turn reached a scheduler by RecoverS, {:.1} s after its first turn was answered whole", at.elapsed().as_secs_f64()));
        }
    }
    let (sent, served) = *others.lock().unwrap();
    record.note(format!("sessions that were lost: {lost} of {}; other turns in the last 4 s: {served} of {sent} served", asked.len()));
    lost > 0 && sent > 0 && served * 5 >= sent * 4
}

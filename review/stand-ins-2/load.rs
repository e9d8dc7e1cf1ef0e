//! A load of programs, and the final fault that the rule RECOVER speaks of.

use crate::client;
use crate::record::Record;
use crate::tier::{RECOVER_S, Tier};
use std::net::SocketAddrV4;
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const PATH: &str = "/session/t";
/// How long the machine of the final fault is down.
const DOWN: Duration = Duration::from_millis(930);

/// Requests that were sent, and those of them that were served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    pub sent: u32,
    pub served: u32,
}

impl Count {
    pub fn plus(self, other: Count) -> Count {
        Count { sent: self.sent + other.sent, served: self.served + other.served }
    }
}

/// Takes two turns of so many programs, by turns at both proxies. A program ends with its first turn that fails.
pub fn programs(record: &Record, fronts: [SocketAddrV4; 2], name: &str, programs: u32, pause: Duration) -> Count {
    let mut count = Count::default();
    for number in 0..programs {
        let id = format!("{name}{number}");
        let mut previous: Option<String> = None;
        for turn in 1..=2 {
            let attempt = format!("{id}.{turn}");
            let front = fronts[((number + turn) % 2) as usize];
            let seen = client::turn(record, front, PATH, &id, &attempt, previous.as_deref(), "hi\n");
            count.sent += 1;
            if seen.status != 200 || !seen.whole {
                break;
            }
            count.served += 1;
            previous = Some(attempt);
        }
        sleep(pause);
    }
    record.note(format!("requests '{name}': {} of {} served", count.served, count.sent));
    count
}

/// The final fault: right after a configuration was acknowledged, a store loses its disk. Gives what is served of the
/// requests that are sent more than RecoverS after the machine is back.
pub fn final_fault(tier: &mut Tier, fronts: [SocketAddrV4; 2], configuration: &str) -> Count {
    let next = configuration.replace("\"Version\":1,", "\"Version\":3,").replace("\"TargetMs\":250", "\"TargetMs\":260");
    tier.configure(1, &next);
    tier.kill("storage-1");
    tier.wipe("storage-1");
    sleep(DOWN);
    tier.start("storage-1", false);
    let back = Instant::now();
    sleep(Duration::from_secs(RECOVER_S).saturating_sub(back.elapsed()));
    let record = tier.record.clone();
    programs(&record, fronts, "after", 16, Duration::from_millis(50))
}

/// Whether RECOVER is broken.
pub fn is_unrecovered(record: &Record, before: Count, after: Count) -> bool {
    record.note(format!(
        "before the final fault {} of {} requests were served; of those sent more than RecoverS after the return {} of {}",
        before.served, before.sent, after.served, after.sent
    ));
    before.served * 4 >= before.sent && after.served * 4 < after.sent
}

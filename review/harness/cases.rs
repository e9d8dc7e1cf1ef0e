//! The cases: what is played, and the check of the rule.

use crate::client::{self, Answer};
use crate::engine;
use crate::platform::{Platform, Record, SIGCONT, SIGSTOP, Sheet};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

pub const RECOVER_S: f64 = 12.0;
/// A client gives a stream up after a silence of two seconds, four objectives or eight pauses (PROTOCOL).
const SILENCE: Duration = Duration::from_millis(3200);
const HOST: &str = "ficu95.example";
const PATH: &str = "/pufi791/2f";
/// The largest request of `record-reconcile` on the sheet, in bytes.
const LARGEST_REQUEST: usize = 31_000;
/// Its mean request on the sheet, in bytes.
const MEAN_REQUEST: usize = 5_100;
/// Turns a second while the rings are filled.
const FILL_RATE: u64 = 450;
/// What an attempt's reservation takes in a store's ring, about.
const RESERVATION_BYTES: u64 = 95;

pub fn run(case: &str, program: &str, folder: &str, record: &str, trouble: bool) -> i32 {
    let record = match Record::new(record) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{error}");
            return 2;
        }
    };
    record.line(format!("case {case} TROUBLE={}", u8::from(trouble)));
    let outcome = match case {
        "memory" => memory(program, folder, &record, trouble),
        "ring" => ring(program, folder, &record, trouble),
        "beat" => beat(program, folder, &record, trouble),
        "retention" => retention(program, folder, &record, trouble),
        "stale" => stale(program, folder, &record, trouble),
        "chain" => chain(program, folder, &record, trouble),
        _ => Err("no such case".to_owned()),
    };
    let code = match &outcome {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    let verdict = match outcome {
        Ok(true) => "the rule was broken".to_owned(),
        Ok(false) => "the rule held".to_owned(),
        Err(error) => format!("the case could not run: {error}"),
    };
    record.line(format!("verdict exit={code}: {verdict}"));
    println!("{verdict}");
    code
}

fn configuration(version: u64, retention_s: f64) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-reconcile\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/pufi791/\",\
         \"RouteType\":\"streaming\",\"TimeoutMs\":5000,\"TargetMs\":250,\"Priority\":0,\"Service\":\"{}\",\
         \"MaxAttempts\":2,\"Retained\":true,\"RetentionS\":{retention_s:.1},\"Sticky\":true,\"Resumable\":false,\
         \"gap_aim_ms\":400}}],\"Services\":[{{\"Name\":\"{}\",\"HealthPath\":\"/health\",\"MaxConns\":230,\
         \"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Capacity\":32,\"KvTokens\":233991,\"KvBytes\":131072,\
         \"LinkMbps\":260000.0,\"Stride\":3,\"Models\":[{{\"Name\":\"m\"}}]}}}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        engine::SERVICE,
        engine::SERVICE
    )
}

/// Starts the system and its schedulers, and has the operator's configuration taken.
fn boot(
    platform: &Arc<Platform>,
    retention_s: f64,
    schedulers: usize,
    one_control: bool,
) -> Result<engine::Schedulers, String> {
    platform.start_all().map_err(|error| error.to_string())?;
    // The schedulers come when the control machines listen.
    let begun = Instant::now();
    for control in platform.control_addresses() {
        while std::net::TcpStream::connect(&control).is_err() && begun.elapsed() < Duration::from_secs(10) {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    let started = engine::start(platform, schedulers, one_control).map_err(|error| error.to_string())?;
    let give_up = Instant::now() + Duration::from_secs(10);
    replace_configuration(platform, 1, retention_s, give_up)?;
    for ready in platform.ready_addresses() {
        let get = || client::request(&ready, "GET", "/pointcross/ready", &[], b"", Duration::from_secs(1));
        while !get().is_ok_and(|answer| answer.status == 200) {
            if Instant::now() > give_up {
                return Err("a front machine is not ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    // Stores register within moments of the first configuration.
    std::thread::sleep(Duration::from_millis(1500));
    Ok(started)
}

/// The operator sends a configuration until it is acknowledged.
fn replace_configuration(
    platform: &Platform,
    version: u64,
    retention_s: f64,
    give_up: Instant,
) -> Result<(), String> {
    let body = configuration(version, retention_s);
    let headers =
        [("X-Base-Version", (version - 1).to_string()), ("Content-Type", "application/json".to_owned())];
    let controls = platform.control_addresses();
    for at in 0.. {
        let path = "/pointcross/Configuration.Replace";
        let control = &controls[at % controls.len()];
        let answer =
            client::request(control, "POST", path, &headers, body.as_bytes(), Duration::from_secs(1));
        if answer.is_ok_and(|answer| answer.status == 200) {
            break;
        }
        if Instant::now() > give_up {
            return Err("a configuration was not taken".to_owned());
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    platform.record.line(format!("operator Configuration.Replace Version={version} acknowledged"));
    Ok(())
}

/// One request of a client.
pub struct Turn {
    /// The second at which it was sent.
    pub sent: f64,
    /// It was answered 200, whole.
    pub served: bool,
}

/// One try of a turn. Returns the answer.
fn try_turn(
    platform: &Platform,
    front: &str,
    program: &str,
    id: &str,
    previous: Option<&str>,
    body: &[u8],
) -> std::io::Result<Answer> {
    let mut headers = vec![
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("Program", program.to_owned()),
        ("Session", program.to_owned()),
        ("Finish-Ms", "20000".to_owned()),
        ("Budget", "1080".to_owned()),
        ("X-Model", "m".to_owned()),
        ("X-Token-Usage", "3074,45".to_owned()),
        ("X-Prompt-Prefix", format!("5c1e07a2:2560,{id}:514")),
        ("X-Request-Deadline", "5000".to_owned()),
    ];
    headers.extend(previous.map(|previous| ("Previous", previous.to_owned())));
    let answer = client::request(front, "POST", PATH, &headers, body, SILENCE);
    let text = match &answer {
        Ok(answer) => format!("{} whole={}", answer.status, answer.complete),
        Err(error) => format!("no answer ({error})"),
    };
    let (length, previous) = (body.len(), previous.unwrap_or("-"));
    platform.record.line(format!(
        "turn {id} program={program} previous={previous} front={front} body={length} -> {text}"
    ));
    answer
}

/// Sends one turn; a client tries once more after a promise (503), on a front machine of its choice.
fn send_turn(platform: &Platform, front: usize, program: &str, sequence: u64, body: &[u8]) -> Turn {
    let sent = platform.record.seconds();
    let fronts = platform.front_addresses();
    for attempt in 0..2 {
        let id = format!("{sequence:012x}{attempt:04x}");
        let address = &fronts[(front + attempt) % fronts.len()];
        let answer = try_turn(platform, address, program, &id, None, body);
        match answer {
            Ok(Answer { status: 200, complete: true, .. }) => return Turn { sent, served: true },
            Ok(Answer { status: 503, retry_after, .. }) => {
                std::thread::sleep(Duration::from_secs_f64(retry_after.unwrap_or(0.2).min(1.5)));
            }
            _ => break,
        }
    }
    Turn { sent, served: false }
}

/// Clients that send turns, each the only one of its program, at a rate that can be changed.
struct Load {
    per_second: AtomicU64,
    stopped: AtomicBool,
    next: AtomicU64,
    turns: Mutex<Vec<Turn>>,
    body: Vec<u8>,
    /// Which programs are sent, by their number; the front machine for each.
    program: fn(u64) -> (String, usize),
}

impl Load {
    fn start(platform: &Arc<Platform>, program: fn(u64) -> (String, usize), bytes: usize) -> Arc<Self> {
        let body: Vec<u8> = (0..bytes).map(|at| b'a' + (at % 23) as u8).collect();
        let load = Arc::new(Load {
            per_second: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            next: AtomicU64::new(0),
            turns: Mutex::default(),
            body,
            program,
        });
        let (pacer, platform) = (load.clone(), platform.clone());
        std::thread::spawn(move || {
            let mut due = Instant::now();
            while !pacer.stopped.load(Ordering::SeqCst) {
                let rate = pacer.per_second.load(Ordering::SeqCst);
                if rate == 0 {
                    std::thread::sleep(Duration::from_millis(5));
                    due = Instant::now();
                    continue;
                }
                due += Duration::from_micros(1_000_000 / rate);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                let (load, platform) = (pacer.clone(), platform.clone());
                std::thread::spawn(move || load.send(&platform));
            }
        });
        load
    }

    fn send(&self, platform: &Platform) {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let (program, front) = (self.program)(number);
        let turn = send_turn(platform, front, &program, number, &self.body);
        self.turns.lock().unwrap().push(turn);
    }

    fn set_rate(&self, per_second: u64) {
        self.per_second.store(per_second, Ordering::SeqCst);
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        std::thread::sleep(SILENCE * 2 + Duration::from_secs(2));
    }

    /// The share that was served of the turns sent between two seconds, and their number.
    fn served(&self, from: f64, until: f64) -> (f64, usize) {
        let turns = self.turns.lock().unwrap();
        let sent: Vec<&Turn> = turns.iter().filter(|turn| turn.sent >= from && turn.sent < until).collect();
        let served = sent.iter().filter(|turn| turn.served).count();
        (served as f64 / sent.len().max(1) as f64, sent.len())
    }
}

fn any_program(number: u64) -> (String, usize) {
    (format!("p{number:06x}"), number as usize % 3)
}

/// RECOVER: before the final fault a quarter or more was served, and under a quarter of those sent more than
/// `RecoverS` after the machines return.
fn check_recover(platform: &Platform, load: &Load, fault_at: f64, back_at: f64, end: f64) -> bool {
    let (before, sent_before) = load.served(0.0, fault_at);
    let (after, sent_after) = load.served(back_at + RECOVER_S, end);
    platform.record.line(format!(
        "RECOVER before the final fault: served {before:.3} of {sent_before}; sent later than {RECOVER_S} s after the \
         machines returned: served {after:.3} of {sent_after}"
    ));
    before >= 0.25 && after < 0.25
}

/// Stores that have written for a while are killed, with all other processes, and started again.
fn memory(program: &str, folder: &str, record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let sheet = Sheet { store_memory_mb: 260, store_disk_mb: 300, heartbeat_ms: 1200 };
    let platform = Platform::new(program, folder, record.clone(), sheet)?;
    boot(&platform, 20.0, 3, false)?;
    let load = Load::start(&platform, any_program, LARGEST_REQUEST);
    load.set_rate(150);
    std::thread::sleep(Duration::from_secs(52));
    load.set_rate(20);
    std::thread::sleep(Duration::from_secs(2));
    let fault_at = record.seconds();
    if trouble {
        platform.kill_all();
    }
    let back_at = record.seconds() + 0.6;
    std::thread::sleep(Duration::from_secs(24));
    let end = record.seconds();
    load.stop();
    for store in platform.of_class("storage") {
        let inspected = platform.inspect_store(store);
        record.line(format!("inspect {}\n{inspected}", store.name));
    }
    platform.end();
    Ok(check_recover(&platform, &load, fault_at, back_at, end))
}

/// Bytes that the newest file of a store's ring has left, once all of its files have been used.
fn bytes_left(inspected: &str) -> Option<u64> {
    let mut newest: Option<(u64, u64)> = None;
    for line in inspected.lines() {
        let (_, rest) = line.split_once(": generation ")?;
        let generation: u64 = rest.split(',').next()?.parse().ok()?;
        let (end, length) = rest.rsplit_once("whole up to ")?.1.split_once(" of ")?;
        let length = length.split(|letter: char| !letter.is_ascii_digit()).next()?;
        let left = length.parse::<u64>().ok()? - end.parse::<u64>().ok()?;
        newest = newest.max(Some((generation, left)));
    }
    newest.map(|(_, left)| left)
}

/// Stores whose ring has gone round are killed, with all other processes, while the file that they write has less
/// room than the budgets take.
fn ring(program: &str, folder: &str, record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let sheet = Sheet { store_memory_mb: 260, store_disk_mb: 120, heartbeat_ms: 1200 };
    let platform = Platform::new(program, folder, record.clone(), sheet)?;
    boot(&platform, 20.0, 3, false)?;
    let load = Load::start(&platform, any_program, MEAN_REQUEST);
    load.set_rate(FILL_RATE);
    let give_up = record.seconds() + 75.0;
    std::thread::sleep(Duration::from_secs(30));
    loop {
        if record.seconds() > give_up {
            platform.end();
            return Err("the rings were not filled in time".to_owned());
        }
        let budgets = load.next.load(Ordering::SeqCst) * RESERVATION_BYTES;
        let left: Vec<_> =
            platform.of_class("storage").map(|store| bytes_left(&platform.inspect_store(store))).collect();
        record
            .line(format!("bytes left in the stores' newest files: {left:?}; budgets take about {budgets}"));
        let nearly_full = left.iter().flatten().filter(|left| **left < budgets / 2).count();
        if nearly_full >= 2 {
            break;
        }
        let nearest = left.iter().flatten().map(|left| left.saturating_sub(budgets / 3)).min().unwrap_or(0);
        load.set_rate(if nearest < 2_000_000 && nearest > 0 { FILL_RATE / 4 } else { FILL_RATE });
        std::thread::sleep(Duration::from_millis(200));
    }
    let fault_at = record.seconds();
    if trouble {
        platform.kill_all();
    }
    load.set_rate(20);
    let back_at = record.seconds() + 0.6;
    std::thread::sleep(Duration::from_secs(22));
    let end = record.seconds();
    load.stop();
    for store in platform.of_class("storage") {
        record.line(format!("inspect {}\n{}", store.name, platform.inspect_store(store)));
    }
    platform.end();
    Ok(check_recover(&platform, &load, fault_at, back_at, end))
}

/// One heartbeat of each scheduler comes late, after the next one; later all processes are killed.
fn beat(program: &str, folder: &str, record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let sheet = Sheet { store_memory_mb: 260, store_disk_mb: 300, heartbeat_ms: 1200 };
    let platform = Platform::new(program, folder, record.clone(), sheet)?;
    let schedulers = boot(&platform, 60.0, 2, true)?;
    let load = Load::start(&platform, any_program, MEAN_REQUEST);
    load.set_rate(10);
    std::thread::sleep(Duration::from_secs(2));
    if trouble {
        let give_up = Instant::now() + Duration::from_secs(5);
        let have_just_beaten = || {
            let beats = schedulers.beats.lock().unwrap();
            beats.values().all(|(at, _)| at.elapsed() < Duration::from_millis(250))
        };
        while !have_just_beaten() && Instant::now() < give_up {
            std::thread::sleep(Duration::from_millis(2));
        }
        record.line("fault: the next heartbeat of each scheduler comes late");
        schedulers.hold_up.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(1700));
        schedulers.hold_up.store(false, Ordering::SeqCst);
    }
    std::thread::sleep(Duration::from_secs(64));
    let fault_at = record.seconds();
    if trouble {
        platform.kill_all();
    }
    let back_at = record.seconds() + 0.6;
    std::thread::sleep(Duration::from_secs(22));
    let end = record.seconds();
    load.stop();
    platform.end();
    Ok(check_recover(&platform, &load, fault_at, back_at, end))
}

/// Sessions whose second turns come at once; there is one such wave for each kill.
const WAVE: usize = 60;
/// After so many answers of a wave the storage machine is killed.
const ANSWERS_BEFORE_KILL: [u64; 4] = [25, 20, 30, 25];
const SESSIONS: usize = WAVE * ANSWERS_BEFORE_KILL.len();

/// Sends one turn of each session of a wave at once; returns the id of each that was answered whole.
fn session_turns(
    platform: &Arc<Platform>,
    front: &str,
    number: usize,
    wave: usize,
    previous: &[Option<String>],
    answered: &Arc<AtomicU64>,
) -> Vec<Option<String>> {
    let mut sent = Vec::new();
    for (index, before) in previous.iter().enumerate() {
        let session = wave * WAVE + index;
        let (platform, front, before) = (platform.clone(), front.to_owned(), before.clone());
        let answered = answered.clone();
        sent.push(std::thread::spawn(move || {
            let body: Vec<u8> =
                (0..MEAN_REQUEST).map(|at| b'a' + ((at + session + number) % 23) as u8).collect();
            for attempt in 0..3 {
                let id = format!("5e55{session:06x}{number:04x}{attempt:02x}");
                let program = format!("s{session:05x}");
                let answer = try_turn(&platform, &front, &program, &id, before.as_deref(), &body);
                if answer.is_ok_and(|answer| answer.status == 200 && answer.complete) {
                    answered.fetch_add(1, Ordering::SeqCst);
                    return Some(id);
                }
                std::thread::sleep(Duration::from_millis(200));
            }
            None
        }));
    }
    sent.into_iter().map(|turn| turn.join().unwrap_or(None)).collect()
}

/// A storage machine that was added is killed right after it acknowledged turns; much later another one loses its disk.
fn chain(program: &str, folder: &str, record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let sheet = Sheet { store_memory_mb: 260, store_disk_mb: 300, heartbeat_ms: 1200 };
    let platform = Platform::new(program, folder, record.clone(), sheet)?;
    boot(&platform, 60.0, 3, false)?;
    let started = Instant::now();
    let until = |second: u64| {
        std::thread::sleep((started + Duration::from_secs(second)).saturating_duration_since(Instant::now()))
    };
    let load = Load::start(&platform, any_program, MEAN_REQUEST);
    load.set_rate(5);
    let fronts = platform.front_addresses();
    let answered = Arc::new(AtomicU64::new(0));
    let mut first = Vec::new();
    for wave in 0..ANSWERS_BEFORE_KILL.len() {
        first.extend(session_turns(&platform, &fronts[0], 1, wave, &vec![None; WAVE], &answered));
    }
    until(4);
    let added = platform.add_store().map_err(|error| error.to_string())?;
    let mut second = Vec::new();
    for (wave, answers) in ANSWERS_BEFORE_KILL.into_iter().enumerate() {
        until(14 + 10 * wave as u64);
        answered.store(0, Ordering::SeqCst);
        let previous = &first[wave * WAVE..][..WAVE];
        let turns = std::thread::scope(|scope| {
            let (platform, answered, front) = (&platform, &answered, &fronts[0]);
            let turns = scope.spawn(move || session_turns(platform, front, 2, wave, previous, answered));
            if trouble {
                while answered.load(Ordering::SeqCst) < answers && !turns.is_finished() {
                    std::hint::spin_loop();
                }
                platform.kill(added);
            }
            turns.join().unwrap_or_default()
        });
        second.extend(turns);
    }
    until(55);
    let mut third = Vec::new();
    for wave in 0..ANSWERS_BEFORE_KILL.len() {
        let previous = &second[wave * WAVE..][..WAVE];
        third.extend(session_turns(&platform, &fronts[0], 3, wave, previous, &answered));
    }
    let third_at = record.seconds();
    until(63);
    let front = platform.of_class("front").next().ok_or("no front machine")?;
    let store = platform.of_class("storage").next().ok_or("no storage machine")?;
    if trouble {
        platform.kill(front);
        until(66);
        replace_configuration(&platform, 2, 60.0, Instant::now() + Duration::from_secs(5))?;
        platform.wipe(store);
    }
    let back_at = record.seconds() + 0.6;
    // New programs continue from the sessions' last turns, and keep asking until RecoverS has elapsed.
    load.set_rate(10);
    let mut lost: Vec<usize> = (0..SESSIONS).filter(|session| third[*session].is_some()).collect();
    record.line(format!("{} sessions have three turns that were answered whole", lost.len()));
    let mut number = 10;
    while record.seconds() < back_at + RECOVER_S {
        let asked: Vec<Option<String>> = third
            .iter()
            .enumerate()
            .map(|(session, id)| id.clone().filter(|_| lost.contains(&session)))
            .collect();
        let continued = continue_sessions(&platform, &fronts[number % 3], number, &asked);
        lost.retain(|session| !continued.contains(session));
        number += 1;
        if lost.is_empty() {
            break;
        }
        std::thread::sleep(Duration::from_millis(700));
    }
    let end = record.seconds();
    load.stop();
    let (others, sent) = load.served(end - 4.0, end);
    platform.end();
    record.line(format!(
        "LOST {} sessions whose last turn was answered whole {:.1} s before reached no scheduler by RecoverS: {lost:?}; \
         in the last 4 s {others:.3} of {sent} other turns were served",
        lost.len(),
        end - third_at
    ));
    Ok(!lost.is_empty() && others >= 0.8)
}

/// One try of a further turn for each session; returns the sessions that were answered.
fn continue_sessions(
    platform: &Arc<Platform>,
    front: &str,
    number: usize,
    previous: &[Option<String>],
) -> Vec<usize> {
    let mut sent = Vec::new();
    for (session, before) in previous.iter().enumerate() {
        let Some(before) = before.clone() else { continue };
        let (platform, front) = (platform.clone(), front.to_owned());
        sent.push(std::thread::spawn(move || {
            let id = format!("c047{session:06x}{number:06x}");
            let program = format!("n{session:05x}");
            let answer = try_turn(&platform, &front, &program, &id, Some(&before), b"and what followed?");
            answer.is_ok_and(|answer| answer.status == 200 && answer.complete).then_some(session)
        }));
    }
    sent.into_iter().filter_map(|turn| turn.join().unwrap_or(None)).collect()
}

/// Turns that a front machine is about to end as it freezes.
const FREEZES: usize = 4;
const FREEZE: Duration = Duration::from_millis(950);
/// The next turn is sent so long after the end of the one that it continues from; RetentionS is 60.
const ASKED_AFTER: Duration = Duration::from_millis(59_800);

/// A front machine freezes for a moment while turns end; their programs go on shortly before RetentionS is over.
fn retention(program: &str, folder: &str, record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let sheet = Sheet { store_memory_mb: 260, store_disk_mb: 300, heartbeat_ms: 1200 };
    let platform = Platform::new(program, folder, record.clone(), sheet)?;
    boot(&platform, 60.0, 3, false)?;
    let fronts = platform.front_addresses();
    let front = platform.of_class("front").next().ok_or("no front machine")?;
    let mut ended: Vec<(String, Instant)> = Vec::new();
    for wave in 0..FREEZES {
        let (count, ends) = (Arc::new(AtomicU64::new(0)), Arc::new(Mutex::new(Vec::new())));
        let turns: Vec<_> = (0..WAVE)
            .map(|index| {
                let (platform, front) = (platform.clone(), fronts[0].clone());
                let (count, ends) = (count.clone(), ends.clone());
                std::thread::spawn(move || {
                    let (id, program) = (format!("4e7e{wave:06x}{index:06x}"), format!("r{wave}{index:04}"));
                    let answer = try_turn(&platform, &front, &program, &id, None, b"what is known?");
                    if answer.is_ok_and(|answer| answer.status == 200 && answer.complete) {
                        ends.lock().unwrap().push((id, Instant::now()));
                        count.fetch_add(1, Ordering::SeqCst);
                    }
                })
            })
            .collect();
        if trouble {
            while count.load(Ordering::SeqCst) < WAVE as u64 / 3 {
                std::hint::spin_loop();
            }
            platform.signal(front, SIGSTOP);
            record.line(format!("fault node_freeze: {} stands still", front.name));
            std::thread::sleep(FREEZE);
            platform.signal(front, SIGCONT);
            record.line(format!("fault node_freeze: {} goes on", front.name));
        }
        turns.into_iter().for_each(|turn| drop(turn.join()));
        ended.append(&mut ends.lock().unwrap());
        std::thread::sleep(Duration::from_millis(1500));
    }
    let mut lost = 0;
    for (id, end) in &ended {
        std::thread::sleep((*end + ASKED_AFTER).saturating_duration_since(Instant::now()));
        let answer =
            try_turn(&platform, &fronts[1], &format!("q{id}"), &format!("9{}", &id[1..]), Some(id), b"and?");
        let ago = end.elapsed().as_secs_f64();
        if answer.is_ok_and(|answer| matches!(answer.status, 404 | 410)) && ago < 60.0 {
            record.line(format!("LOST {id}: 404, answered whole {ago:.3} s before"));
            lost += 1;
        }
    }
    platform.end();
    record
        .line(format!("LOST {lost} of {} turns that were answered whole less than 60 s before", ended.len()));
    Ok(lost > 0)
}

/// A front machine freezes while two storage machines are added, and wakes to a turn that continues from one which only
/// the added machines have. Without the disruption the machines are added, and nothing freezes.
fn stale(program: &str, folder: &str, record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let sheet = Sheet { store_memory_mb: 260, store_disk_mb: 300, heartbeat_ms: 1200 };
    let platform = Platform::new(program, folder, record.clone(), sheet)?;
    boot(&platform, 60.0, 3, false)?;
    let fronts = platform.front_addresses();
    let front = platform.of_class("front").next().ok_or("no front machine")?;
    if trouble {
        record.line(format!("fault node_freeze: {} stands still", front.name));
        platform.signal(front, SIGSTOP);
    }
    for _ in 0..2 {
        platform.add_store().map_err(|error| error.to_string())?;
    }
    std::thread::sleep(Duration::from_millis(1000));
    let first = session_turns(&platform, &fronts[1], 1, 0, &vec![None; WAVE], &Arc::default());
    let known = first.iter().flatten().count();
    let next = std::thread::scope(|scope| {
        let turns: Vec<_> =
            first.iter().enumerate().filter_map(|(session, id)| Some((session, id.clone()?))).collect();
        let (platform, front_address) = (&platform, &fronts[0]);
        let next = scope.spawn(move || {
            std::thread::scope(|scope| {
                let sent: Vec<_> = turns
                    .into_iter()
                    .map(|(session, previous)| {
                        scope.spawn(move || {
                            let (id, program) = (format!("77{session:010x}"), format!("s{session:05x}"));
                            let body = b"and what followed?";
                            try_turn(platform, front_address, &program, &id, Some(&previous), body)
                        })
                    })
                    .collect();
                let answers = sent.into_iter().filter_map(|turn| turn.join().ok()?.ok());
                answers.filter(|answer| matches!(answer.status, 404 | 410)).count()
            })
        });
        std::thread::sleep(Duration::from_millis(900));
        if trouble {
            platform.signal(front, SIGCONT);
            platform.record.line(format!("fault node_freeze: {} goes on", front.name));
        }
        next.join().unwrap_or(0)
    });
    platform.end();
    record.line(format!("LOST {next} of {known} turns that were answered whole within the last 3 s: 404"));
    Ok(next > 0)
}

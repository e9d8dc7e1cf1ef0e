//! Data folders of control members and stores as golden files: a deployment in virtual time with a fixed seed
//! writes the same bytes each time, and processes that are started on the old folders know what they held.

#[allow(dead_code, reason = "this test file uses a part of the shared deployment")]
mod golden_deployment;
#[path = "../../../test-support/golden/golden_file.rs"]
mod golden_file;

use bytes::Bytes;
use golden_deployment::{
    Deployment, FOLLOW_PORT, RegisterRecord, STORE_PORT, StoreRecord, get, host, pass_ms, post, replace,
};
use golden_file::assert_golden;
use pointcross_tier_protocol::messages::{ControlCall, ControlReply, StoreCall, StoreReply, WatchRequest};
use pointcross_tier_protocol::turns::{Reservation, TurnRecord};
use pointcross_tier_protocol::{Digest, Directory, Instance, InstanceState, StoreId, StoreState};
use pointcross_tier_register::{Ballot, DurableRecord, Group, Value};
use pointcross_tier_runtime::rpc::{self, Peer};
use pointcross_tier_simulation::{Order, run};
use pointcross_tier_storage::{Ring, RingLayout, SystemDevice, inspect};
use std::fmt::Write as _;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;

const SEED: u64 = 2026;
/// What the day's clock shows when the folders are written, and an hour later, when they are opened again.
const WRITTEN_MS: u64 = 1_700_000_000_000;
const OPENED_MS: u64 = WRITTEN_MS + 3_600_000;
const WITHIN: Duration = Duration::from_secs(3);
/// Longer texts are told by their length.
const MAX_TEXT: usize = 200;
/// Bytes behind a configuration, so that a file of the register holds two of them.
const PADDING: usize = 1_500_000;
/// Bytes of a turn, so that a file of the store holds one of them.
const LONG_TURN: usize = 1_000_000;
/// Long turns: as many as it takes for the store's ring to go round.
const LONG_TURNS: u8 = 11;
/// How long the turns are kept: a day.
const KEEP_MS: u64 = 86_400_000;
const NUMBERS: [u8; 3] = [1, 2, 3];

/// The rings below a data folder: their folders, and the shape that processes with the smallest disks give
/// them.
const REGISTER: (&str, RingLayout) = ("register", RingLayout { files: 3, file_length: 4 * 1024 * 1024 });
const ENDINGS: (&str, RingLayout) = ("endings", RingLayout { files: 3, file_length: 1024 * 1024 });
const STORE: (&str, RingLayout) =
    ("store", RingLayout { files: 8, file_length: 16 * 1024 * 1024 / 100 * 75 / 8 });

struct Machine {
    class: &'static str,
    number: u8,
    folder: TempDir,
}

impl Machine {
    fn rings(&self) -> Vec<(String, PathBuf, RingLayout)> {
        let rings: &[(&str, RingLayout)] = if self.class == "core" { &[REGISTER, ENDINGS] } else { &[STORE] };
        let name = |ring: &str| format!("{}-{}.{ring}", self.class, self.number);
        rings.iter().map(|(ring, layout)| (name(ring), self.ring_folder(ring), *layout)).collect()
    }

    fn ring_folder(&self, ring: &str) -> PathBuf {
        self.folder.path().join(ring)
    }
}

fn machines() -> Vec<Machine> {
    let places = ["core", "storage"].into_iter().flat_map(|class| NUMBERS.map(|number| (class, number)));
    places
        .map(|(class, number)| Machine { class, number, folder: tempfile::tempdir().expect("a folder") })
        .collect()
}

fn order(base: u64, version: u64) -> Order {
    Order { base, version, author: 0 }
}

fn heartbeat(number: u8, state: &str, call: u64) -> String {
    format!(
        "{{\"Service\":\"engine\",\"Address\":\"10.4.0.{number}:8000\",\"Zone\":\"zone-{number}\",\
         \"Capacity\":8,\"State\":\"{state}\",\"CallSeq\":{call}}}"
    )
}

fn turn(number: u8, previous: Option<&str>, replicas: &[StoreId]) -> TurnRecord {
    TurnRecord {
        id: format!("turn-{number}"),
        previous: previous.map(str::to_owned),
        placement: "turn-1".to_owned(),
        text: Bytes::from(format!("input {number};\u{e9}\nanswer {number}\n")),
        retention_ms: KEEP_MS,
        replicas: replicas.to_vec(),
    }
}

fn reservation(attempt: u8, tokens: u64, settled: bool) -> Reservation {
    Reservation { attempt: format!("attempt-{attempt}"), tokens, settled }
}

async fn directory(deployment: &Deployment, member: u8) -> (Directory, Vec<Instance>) {
    let address = SocketAddrV4::new(host("core", member), FOLLOW_PORT);
    let call = ControlCall::Watch(WatchRequest::default());
    match Peer::new(&deployment.caller(), address).call(&call, WITHIN).await {
        Ok(ControlReply::Update(news)) => (news.directory.expect("a directory"), news.instances),
        _ => panic!("control member {member} tells nothing"),
    }
}

async fn ask_store(deployment: &Deployment, number: u8, call: StoreCall) -> StoreReply {
    let address = SocketAddrV4::new(host("storage", number), STORE_PORT);
    Peer::new(&deployment.caller(), address).call(&call, WITHIN).await.expect("the store answers")
}

/// Writes folders: two configurations, ends of instances, a chain of turns, budgets that run and are settled.
async fn write_folders(machines: &[Machine]) {
    let deployment = Deployment::new(WRITTEN_MS);
    let processes: Vec<_> = machines
        .iter()
        .flat_map(|machine| deployment.start(machine.class, machine.number, machine.folder.path(), true))
        .collect();
    pass_ms(3000).await;
    for (base, version) in [(0, 5), (5, 6)] {
        let reply = deployment.control(1, replace(base, &order(base, version).body())).await;
        assert_eq!(reply.status, 200, "version {version} is taken");
    }
    for (number, state, call) in [(1, "ready", 1), (2, "ready", 1), (3, "ready", 1), (2, "draining", 2)] {
        let path = format!("Instances.Heartbeat/i-{number}");
        assert_eq!(deployment.control(2, post(&path, heartbeat(number, state, call))).await.status, 200);
    }
    assert_eq!(deployment.control(3, post("Instances.Deregister/i-3", "")).await.status, 200);
    let (directory, _) = directory(&deployment, 1).await;
    let replicas: Vec<StoreId> = directory.active_stores().map(|store| store.id.clone()).collect();
    assert_eq!(replicas.len(), 3, "all stores are active");
    let epoch = directory.store_epoch;
    for turns in [vec![turn(1, None, &replicas)], vec![turn(2, Some("turn-1"), &replicas)]] {
        for number in NUMBERS {
            let call = StoreCall::PutTurns { epoch, turns: turns.clone() };
            assert!(matches!(ask_store(&deployment, number, call).await, StoreReply::Done), "turns are kept");
        }
    }
    for (attempt, tokens) in [(1, 1000), (2, 70_000)] {
        let reservation = Some(reservation(attempt, tokens, false));
        let call = StoreCall::Reserve { epoch, program: "program-1".to_owned(), reservation };
        let reply = ask_store(&deployment, 1, call).await;
        assert!(matches!(reply, StoreReply::Reservations(_)), "tokens are held");
    }
    let settled = reservation(1, 321, true);
    let call = StoreCall::Settle { program: "program-1".to_owned(), reservation: settled };
    assert!(matches!(ask_store(&deployment, 1, call).await, StoreReply::Done), "an attempt is settled");
    pass_ms(2500).await;
    processes.into_iter().for_each(pointcross_tier_simulation::machine::Process::kill);
    pass_ms(100).await;
}

/// The used parts of a ring's files, by name; files that were never used are left out.
fn used_parts(folder: &Path, layout: RingLayout) -> Vec<(String, Vec<u8>)> {
    let mut parts = Vec::new();
    for report in inspect(folder).expect("a ring") {
        assert_eq!(report.length, layout.file_length, "a file's length");
        assert!(!report.has_trailing_bytes, "nothing stands behind the last record");
        if report.generation.is_some() {
            let mut bytes = std::fs::read(&report.path).expect("a file of the ring");
            bytes.truncate(report.end as usize);
            let name = report.path.file_name().expect("a file has a name").to_string_lossy().into_owned();
            parts.push((name, bytes));
        }
    }
    parts
}

/// Lays the golden files of a ring out. Those that were never used are left to the process that opens the
/// ring.
fn lay_out(name: &str, folder: &Path, layout: RingLayout) {
    std::fs::create_dir_all(folder).expect("a folder");
    let golden = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let mut found = 0;
    for index in 0..layout.files {
        let file = format!("ring-{index:03}");
        let Ok(bytes) = std::fs::read(golden.join(format!("{name}.{file}.bin"))) else { continue };
        std::fs::write(folder.join(&file), bytes).expect("the file is written");
        let file = std::fs::OpenOptions::new().write(true).open(folder.join(&file)).expect("the file opens");
        file.set_len(layout.file_length).expect("the file is as long as before");
        found += 1;
    }
    assert!(found > 0, "no golden file of {name}");
}

fn ballot_words(ballot: Ballot) -> String {
    format!("{}/{:x}", ballot.counter, ballot.proposer)
}

fn group_words(group: &Group) -> String {
    let members = group.members.iter().map(|member| format!("{}@{:x}", member.address, member.disk));
    format!("epoch {} [{}]", group.epoch, members.collect::<Vec<_>>().join(" "))
}

fn state_word(state: StoreState) -> &'static str {
    match state {
        StoreState::Active => "active",
        StoreState::Retiring => "retiring",
        StoreState::Retired => "retired",
        StoreState::Unavailable => "away",
    }
}

fn store_words(stores: &[StoreId]) -> String {
    let words = stores.iter().map(|store| format!("{}@{:x}", store.node, store.disk));
    format!("[{}]", words.collect::<Vec<_>>().join(" "))
}

fn directory_words(directory: &Directory) -> String {
    let stores = directory.stores.iter().map(|store| {
        let id = store_words(std::slice::from_ref(&store.id));
        format!("{id} {} {} {}", store.address, store.zone, state_word(store.state))
    });
    let taken = directory.committed_configurations.iter().map(|taken| taken.version.to_string());
    let earlier = directory
        .earlier_store_epochs
        .iter()
        .map(|earlier| format!("{}: {}", earlier.epoch, store_words(&earlier.active)));
    format!(
        "revision {} store epoch {} stores ({}) version {} configuration {} bytes taken ({}) forgotten {} \
         earlier ({})",
        directory.revision,
        directory.store_epoch,
        stores.collect::<Vec<_>>().join("; "),
        directory.configuration_version,
        directory.configuration.len(),
        taken.collect::<Vec<_>>().join(" "),
        directory.forgotten_through,
        earlier.collect::<Vec<_>>().join("; ")
    )
}

fn value_words(value: &Value<Directory>) -> String {
    let (group, previous) = (group_words(&value.group), group_words(&value.previous_group));
    format!("members {group} before {previous} {}", directory_words(&value.state))
}

fn reservation_words(reservation: &Reservation) -> String {
    let settled = if reservation.settled { "settled" } else { "running" };
    format!("{} {} tokens {settled}", reservation.attempt, reservation.tokens)
}

fn turn_words(turn: &TurnRecord) -> String {
    let previous = turn.previous.as_deref().unwrap_or("none");
    let replicas = store_words(&turn.replicas);
    let text = match turn.text.len() {
        length if length > MAX_TEXT => format!("{length} bytes"),
        _ => format!("\"{}\"", turn.text.escape_ascii()),
    };
    format!("{} after {previous} by {} keep {} {text} {replicas}", turn.id, turn.placement, turn.retention_ms)
}

fn instance_words(instance: &Instance) -> String {
    let state = match instance.state {
        InstanceState::Ready => "ready",
        InstanceState::Unresponsive => "silent",
        InstanceState::Expired => "expired",
        InstanceState::Draining => "draining",
        InstanceState::Terminated => "gone",
    };
    let Instance { id, service, address, zone, capacity, call_seq, .. } = instance;
    format!("{id} of {service} at {address} in {zone} capacity {capacity} {state} call {call_seq}")
}

fn register_words(body: &[u8]) -> String {
    match rpc::decode(body).expect("a record of the register") {
        RegisterRecord::Disk(number) => format!("disk {number:x}"),
        RegisterRecord::Vote(DurableRecord::Promise(ballot)) => format!("promise {}", ballot_words(ballot)),
        RegisterRecord::Vote(DurableRecord::Accept(ballot, value)) => {
            format!("accept {} {}", ballot_words(ballot), value_words(&value))
        }
    }
}

fn store_record_words(body: &[u8]) -> String {
    match rpc::decode(body).expect("a record of the store") {
        StoreRecord::Disk { number, first, made_ms } => {
            format!("disk {number:x} {} made {made_ms}", if first { "first" } else { "later" })
        }
        StoreRecord::Turn { turn, written_ms } => format!("turn {} written {written_ms}", turn_words(&turn)),
        StoreRecord::Budget { program, reservation } => {
            format!("budget {program} {}", reservation_words(&reservation))
        }
        StoreRecord::Fence { epoch } => format!("fence {epoch}"),
        StoreRecord::Epoch { epoch, active } => format!("epoch {epoch} {}", store_words(&active)),
    }
}

fn record_words(ring: &str, body: &[u8]) -> String {
    if ring.ends_with(REGISTER.0) {
        register_words(body)
    } else if ring.ends_with(ENDINGS.0) {
        instance_words(&rpc::decode(body).expect("an instance's end"))
    } else {
        store_record_words(body)
    }
}

/// Every record of the folders, in words.
fn records_of(machines: &[Machine]) -> String {
    let mut text = String::new();
    for (name, folder, layout) in machines.iter().flat_map(Machine::rings) {
        for record in Ring::open(&SystemDevice, &folder, layout).expect("the ring opens").records {
            let (generation, words) = (record.location.generation, record_words(&name, &record.body));
            writeln!(text, "{name} {generation}: {words}").expect("a string takes any text");
        }
    }
    text
}

#[test]
fn the_same_folders_are_written() {
    run(SEED, async {
        let machines = machines();
        write_folders(&machines).await;
        for (name, folder, layout) in machines.iter().flat_map(Machine::rings) {
            for (file, bytes) in used_parts(&folder, layout) {
                assert_golden(&format!("{name}.{file}.bin"), &bytes);
            }
        }
        let records = records_of(&machines);
        for kind in [
            "register 1: disk ",
            "register 1: promise ",
            "register 1: accept ",
            "endings 1: i-2 ",
            "endings 1: i-3 ",
            "store 1: disk ",
            "store 1: turn ",
            "store 1: budget ",
            "store 1: fence ",
            "store 1: epoch ",
        ] {
            assert!(records.contains(kind), "no record of the kind \"{kind}\"");
        }
        assert_golden("records.txt", records.as_bytes());
    });
}

/// Starts the processes on the golden folders and tells what they know.
async fn known_from_old_folders() -> String {
    let machines = machines();
    for (name, folder, layout) in machines.iter().flat_map(Machine::rings) {
        lay_out(&name, &folder, layout);
    }
    let deployment = Deployment::new(OPENED_MS);
    for machine in &machines {
        deployment.start(machine.class, machine.number, machine.folder.path(), false);
    }
    pass_ms(3000).await;
    let mut text = String::new();
    let mut store_epoch = 0;
    for member in NUMBERS {
        let reply = deployment.control(member, get("Configuration.Get")).await;
        assert_eq!(reply.body, order(5, 6).body(), "the configuration of member {member}");
        let (directory, instances) = directory(&deployment, member).await;
        store_epoch = directory.store_epoch;
        writeln!(text, "core-{member} {}", directory_words(&directory)).expect("a string takes any text");
        for instance in instances {
            writeln!(text, "core-{member} {}", instance_words(&instance)).expect("a string takes any text");
        }
    }
    for number in NUMBERS {
        write_store_knowledge(&mut text, &deployment, number, store_epoch).await;
    }
    text
}

async fn write_store_knowledge(text: &mut String, deployment: &Deployment, number: u8, epoch: u64) {
    let program = "program-1".to_owned();
    let calls = [
        StoreCall::FetchChain { id: "turn-2".to_owned() },
        StoreCall::FetchChain { id: "turn-9".to_owned() },
        StoreCall::Reserve { epoch, program, reservation: None },
    ];
    for call in calls {
        let words = match ask_store(deployment, number, call).await {
            StoreReply::Chain(chain) => chain.iter().map(turn_words).collect::<Vec<_>>().join("\n  "),
            StoreReply::TurnNotFound { certain: true } => "certainly no turn".to_owned(),
            StoreReply::TurnNotFound { certain: false } => "perhaps no turn".to_owned(),
            StoreReply::Reservations(held) => {
                held.iter().map(reservation_words).collect::<Vec<_>>().join("\n  ")
            }
            _ => "another reply".to_owned(),
        };
        writeln!(text, "storage-{number}\n  {words}").expect("a string takes any text");
    }
}

#[test]
fn old_folders_are_opened() {
    run(SEED, async {
        let known = known_from_old_folders().await;
        for expected in [
            "i-2 of engine at 10.4.0.2:8000 in zone-2 capacity 8 gone call 2",
            "i-3 of engine at 10.4.0.3:8000 in zone-3 capacity 8 gone call 1",
            "turn-2 after turn-1 by turn-1 keep",
            "turn-1 after none by turn-1 keep",
            "certainly no turn",
            "attempt-1 321 tokens settled",
            "attempt-2 70000 tokens running",
        ] {
            assert!(known.contains(expected), "nothing is known of \"{expected}\"");
        }
        assert_golden("recovered.txt", known.as_bytes());
    });
}

/// Writes folders until the register's members have moved on to their next files, and the first store's ring
/// has gone round: what is still needed is written again there.
async fn write_until_rings_move_on(machines: &[Machine]) {
    let deployment = Deployment::new(WRITTEN_MS);
    for machine in machines {
        deployment.start(machine.class, machine.number, machine.folder.path(), true);
    }
    pass_ms(3000).await;
    for (base, version) in [(0, 5), (5, 6), (6, 7)] {
        let body = order(base, version).body() + &" ".repeat(PADDING);
        let reply = deployment.control(1, replace(base, &body)).await;
        assert_eq!(reply.status, 200, "version {version} is taken");
        pass_ms(500).await;
    }
    let (directory, _) = directory(&deployment, 1).await;
    let epoch = directory.store_epoch;
    let replicas: Vec<StoreId> = directory.active_stores().map(|store| store.id.clone()).collect();
    let held = Some(reservation(1, 1000, false));
    let call = StoreCall::Reserve { epoch, program: "program-1".to_owned(), reservation: held };
    assert!(matches!(ask_store(&deployment, 1, call).await, StoreReply::Reservations(_)), "tokens are held");
    for number in 1..=LONG_TURNS {
        // Those of the beginning have ended when their files are overwritten.
        let retention_ms = if number < LONG_TURNS / 2 { 1 } else { KEEP_MS };
        let text = Bytes::from(vec![number; LONG_TURN]);
        let turn = TurnRecord { text, retention_ms, ..turn(number, None, &replicas[..1]) };
        let reply = ask_store(&deployment, 1, StoreCall::PutTurns { epoch, turns: vec![turn] }).await;
        assert!(matches!(reply, StoreReply::Done), "turn {number} is kept");
        pass_ms(1000).await;
    }
}

/// The digest of each file's used part.
fn digests_of(machines: &[Machine]) -> String {
    let mut text = String::new();
    for (name, folder, layout) in machines.iter().flat_map(Machine::rings) {
        for report in inspect(&folder).expect("a ring") {
            let Some(generation) = report.generation else { continue };
            let bytes = std::fs::read(&report.path).expect("a file of the ring");
            assert_eq!(bytes.len() as u64, layout.file_length, "a file's length");
            let Digest(digest) = Digest::of(&bytes[..report.end as usize]);
            let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
            let (records, end) = (report.records, report.end);
            writeln!(text, "{name} generation {generation} records {records} end {end} sha256 {digest}")
                .expect("a string takes any text");
        }
    }
    text
}

/// Files of megabytes are compared by their digests, and by their records in words.
#[test]
fn rings_that_move_on_are_written_in_the_same_way() {
    run(SEED, async {
        let machines = machines();
        write_until_rings_move_on(&machines).await;
        let records = records_of(&machines);
        for kind in ["core-1.register 2: disk ", "core-1.register 2: accept ", "core-1.register 2: promise "]
        {
            assert!(records.contains(kind), "no record of the kind \"{kind}\"");
        }
        for kind in ["disk ", "turn ", "budget ", "epoch ", "fence "] {
            let later = records.lines().filter_map(|line| line.strip_prefix("storage-1.store "));
            let is_of_kind = |line: &str| {
                line.split_once(": ")
                    .is_some_and(|(generation, words)| generation != "1" && words.starts_with(kind))
            };
            assert!(later.into_iter().any(is_of_kind), "no later record of the kind \"{kind}\"");
        }
        assert_golden("moved_on.txt", (digests_of(&machines) + &records).as_bytes());
    });
}

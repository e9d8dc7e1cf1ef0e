//! What deployments in virtual time answer, and when, against golden files: to operators and model schedulers
//! at the control address, and to programs at the proxies.

#[path = "../../../test-support/golden/seeded.rs"]
mod seeded;
#[path = "../../../test-support/golden/transcript.rs"]
mod transcript;

use bytes::Bytes;
use http::{Method, Request};
use pointcross_tier_simulation::client::Reply;
use pointcross_tier_simulation::{Cluster, Engine, EngineFault, Order, SERVICE, Size, Turn, run};
use seeded::Seeded;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::time::Instant;
use transcript::Transcript;

/// Headers that tell the time of day.
const DATE: &str = "date";
/// The longest part of a body that is written out.
const MAX_BODY: usize = 300;

fn reply_words(reply: Option<&Reply>) -> String {
    let Some(reply) = reply else { return "no answer".to_owned() };
    let mut headers: Vec<String> = reply
        .headers
        .iter()
        .filter(|(name, _)| *name != DATE)
        .map(|(name, value)| format!("{name}={}", String::from_utf8_lossy(value.as_bytes())))
        .collect();
    headers.sort();
    let body = String::from_utf8_lossy(&reply.body).replace('\n', "|");
    let begin: String = body.chars().take(MAX_BODY).collect();
    let end = if reply.complete { "whole" } else { "cut short" };
    format!("{} [{}] {end} {} bytes {begin}", reply.status.as_u16(), headers.join(" "), reply.body.len())
}

/// A deployment that is played with, and what it answered.
struct Play {
    cluster: Cluster,
    begun: Instant,
    transcript: Transcript,
    steps: Vec<String>,
    requests: u64,
}

impl Play {
    fn start(size: Size) -> Self {
        Play {
            cluster: Cluster::start_sized(size),
            begun: Instant::now(),
            transcript: Transcript::new(usize::MAX),
            steps: Vec::new(),
            requests: 0,
        }
    }

    fn note(&mut self, line: &str) {
        self.step(format!("{:>6} {line}", self.begun.elapsed().as_millis()));
    }

    fn step(&mut self, step: String) {
        self.transcript.step(&step);
        self.steps.push(step);
    }

    fn engine(&self, number: u8) -> Engine {
        let host = Ipv4Addr::new(10, 4, 0, number);
        let control = self.cluster.control_addresses();
        Engine::start(&self.cluster.world, &format!("i-{number}"), SERVICE, host, control)
    }

    async fn pass(&mut self, milliseconds: u64) {
        self.cluster.pass(Duration::from_millis(milliseconds)).await;
    }

    /// Compares the first steps with the recorded ones as they are, all others without their times.
    fn check_but_for_times(&self, recorded: &str, exact_steps: usize) {
        let recorded: Vec<&str> = recorded.lines().collect();
        let (_hash, recorded) = recorded.split_last().expect("recorded steps");
        assert_eq!(self.steps[..exact_steps], recorded[..exact_steps]);
        let steps = without_times(self.steps.iter().map(String::as_str));
        assert_eq!(steps, without_times(recorded.iter().copied()));
    }

    /// Asks a member at its control address.
    async fn ask(&mut self, member: &str, method: Method, path: &str, base: Option<&str>, body: &str) {
        let mut request = Request::builder().method(method.clone()).uri(format!("/pointcross/{path}"));
        if let Some(base) = base {
            request = request.header("x-base-version", base);
        }
        let request = request.body(Bytes::copy_from_slice(body.as_bytes())).expect("a valid request");
        let reply = self.cluster.control(member, request).await;
        let asked: String = body.chars().take(60).collect::<String>().replace('\n', "|");
        let base = base.unwrap_or("none");
        let words = reply_words(reply.as_ref());
        self.note(&format!("{member} {method} {path} base {base} {asked}: {words}"));
    }

    async fn replace(&mut self, member: &str, base: u64, version: u64) {
        let body = Order { base, version, author: 1 }.body();
        self.ask(member, Method::POST, "Configuration.Replace", Some(&base.to_string()), &body).await;
    }

    async fn post(&mut self, member: &str, path: &str, body: &str) {
        self.ask(member, Method::POST, path, None, body).await;
    }

    async fn get(&mut self, member: &str, path: &str) {
        self.ask(member, Method::GET, path, None, "").await;
    }

    async fn send(&mut self, front: &str, what: &str, request: Request<Bytes>) -> Option<Reply> {
        let reply = self.cluster.request(front, request).await;
        let words = reply_words(reply.as_ref());
        self.note(&format!("{front} {what}: {words}"));
        reply
    }

    /// Takes a turn. Gives its id where it was answered whole.
    async fn turn(&mut self, front: &str, turn: &Turn<'_>) -> Option<String> {
        let previous = turn.previous.unwrap_or("none");
        let budget = turn.budget.map_or("none".to_owned(), |budget| budget.to_string());
        let what = format!("turn {} after {previous} budget {budget} most {}", turn.id, turn.max_tokens);
        let reply = self.send(front, &what, turn.request()).await?;
        (reply.complete && reply.status.as_u16() == 200).then(|| turn.id.to_owned())
    }

    /// Takes a turn of no program's with the next id.
    async fn plain_turn(&mut self, front: &str, stored: bool, previous: Option<&str>) -> Option<String> {
        self.requests += 1;
        let id = format!("r{}", self.requests);
        let input = format!("input of {id};");
        let turn =
            Turn { id: &id, program: "plain", previous, input: &input, budget: None, max_tokens: 3, stored };
        self.turn(front, &turn).await
    }

    fn note_what_ran(&mut self, engines: &[Engine]) {
        for engine in engines {
            for ran in engine.ran() {
                let body: String = ran.body.replace('\n', "|").chars().take(MAX_BODY).collect();
                let at = ran.at.duration_since(self.begun).as_millis();
                self.step(format!("{} ran {} at {at}: {body}", engine.id, ran.attempt));
            }
        }
    }
}

const HEARTBEAT: &str =
    r#"{"Service":"other","Address":"10.4.0.99:8000","Zone":"z","State":"ready","CallSeq":1}"#;

/// Steps in `control_members.txt` before the first Deregister of an instance that the member does not know.
/// The program that was recorded there answered it at once and did nothing; this one writes a tombstone and
/// waits for a majority. From there on the recorded steps come at other times, and are else the same.
const STEPS_BEFORE_AN_UNKNOWN_ONE: usize = 38;

#[test]
fn control_members_answer_as_recorded() {
    run(71, async {
        let mut play = Play::start(Size::TWO_MORE_STORES);
        play.pass(2000).await;
        play.get("core-1", "Configuration.Get").await;
        play.get("core-1", "No.Such").await;
        play.get("core-1", "Configuration.Replace").await;
        play.post("core-1", "Configuration.Get", "").await;
        let body = Order { base: 0, version: 5, author: 1 }.body();
        for base in [None, Some(""), Some("x"), Some("-1"), Some("7"), Some(" 0 "), Some("0")] {
            play.ask("core-1", Method::POST, "Configuration.Replace", base, &body).await;
        }
        play.ask("core-2", Method::POST, "Configuration.Replace", Some("5"), "{").await;
        play.ask("core-2", Method::POST, "Configuration.Replace", Some("5"), &" ".repeat(5_000_000)).await;
        for (base, version) in [(0, 6), (5, 4), (5, 5), (9, 10), (5, 8), (5, 8), (5, 9), (8, 9), (0, 5)] {
            play.replace("core-2", base, version).await;
        }
        for member in ["core-1", "core-2", "core-3"] {
            play.get(member, "Configuration.Get").await;
            let version = play.cluster.caller().served_version(member).await;
            let version = version.map_or("nothing".to_owned(), |version| version.to_string());
            play.note(&format!("{member} hands out {version}"));
        }
        heartbeats(&mut play).await;
        retirement(&mut play).await;
        play.check_but_for_times(include_str!("golden/control_members.txt"), STEPS_BEFORE_AN_UNKNOWN_ONE);
        play.transcript.check("control_members_unknown_deregister.txt");
    });
}

async fn heartbeats(play: &mut Play) {
    play.post("core-1", "Instances.Heartbeat/i-9", HEARTBEAT).await;
    let changes = [
        ("\"Service\":\"other\",", ""),
        ("10.4.0.99:8000", "nowhere"),
        ("\"ready\"", "\"asleep\""),
        ("\"ready\"", "\"draining\""),
        ("\"CallSeq\":1", "\"CallSeq\":-1"),
        ("\"CallSeq\":1", "\"CallSeq\":2,\"New\":3"),
        ("}", ""),
    ];
    for (from, to) in changes {
        play.post("core-2", "Instances.Heartbeat/i-9", &HEARTBEAT.replacen(from, to, 1)).await;
    }
    play.post("core-1", "Instances.Deregister/i-9", "").await;
    play.post("core-1", "Instances.Deregister/i-9", "").await;
    play.post("core-1", "Instances.Deregister/unknown", "").await;
}

async fn retirement(play: &mut Play) {
    play.post("core-1", "Retire.Start/storage-9", "").await;
    play.get("core-1", "Retire.Get/storage-9").await;
    play.get("core-1", "Retire.Get/storage-1").await;
    play.post("core-1", "Retire.Start/storage-1", "{\"DeadlineS\":10}").await;
    play.post("core-2", "Retire.Start/storage-1", "{\"DeadlineS\":10}").await;
    play.post("core-2", "Retire.Start/storage-2", "{\"DeadlineS\":10}").await;
    play.post("core-3", "Retire.Start/storage-3", "{\"DeadlineS\":10}").await;
    for _ in 0..20 {
        play.get("core-3", "Retire.Get/storage-1").await;
        play.get("core-3", "Retire.Get/storage-2").await;
        play.pass(500).await;
    }
    play.post("core-1", "Retire.Start/storage-1", "").await;
}

#[test]
fn members_out_of_touch_answer_as_recorded() {
    run(72, async {
        let mut play = Play::start(Size::SMALL);
        play.pass(2000).await;
        play.replace("core-1", 0, 5).await;
        play.cluster.cut_off("core-3", true);
        play.replace("core-3", 5, 6).await;
        play.get("core-3", "Configuration.Get").await;
        play.get("core-3", "Retire.Get/storage-1").await;
        play.post("core-3", "Instances.Heartbeat/i-9", &HEARTBEAT.replace("ready", "draining")).await;
        play.replace("core-1", 5, 7).await;
        play.cluster.heal();
        for _ in 0..5 {
            play.pass(500).await;
            play.get("core-3", "Configuration.Get").await;
        }
        play.cluster.power_off("core-1");
        play.cluster.power_off("core-2");
        play.replace("core-3", 7, 8).await;
        play.get("core-1", "Configuration.Get").await;
        play.cluster.restart("core-2");
        for _ in 0..5 {
            play.pass(500).await;
            play.replace("core-3", 7, 8).await;
        }
        play.cluster.restart("core-1");
        play.pass(4000).await;
        play.get("core-1", "Configuration.Get").await;
        play.transcript.check("control_members_out_of_touch.txt");
    });
}

fn odd_requests() -> Vec<(&'static str, Request<Bytes>)> {
    let request = |path: &str, host: &str| {
        Request::post(path).header("host", host).header("x-request-deadline", "1000")
    };
    let body = Bytes::from_static(b"input;");
    vec![
        ("no such host", request("/plain/a", "other.example").body(body.clone())),
        ("no such path", request("/other/a", "tier.example").body(body.clone())),
        (
            "an id of its own",
            request("/plain/a", "tier.example").header("x-attempt-id", "odd-1").body(body.clone()),
        ),
        ("no id", request("/plain/a", "TIER.example:80").body(body.clone())),
        (
            "no time left",
            Request::post("/plain/a")
                .header("host", "tier.example")
                .header("x-attempt-id", "odd-2")
                .header("x-request-deadline", "0")
                .body(body.clone()),
        ),
        (
            "a deadline that is none",
            Request::post("/plain/a?b=c")
                .header("host", "tier.example")
                .header("x-attempt-id", "odd-3")
                .header("x-request-deadline", "soon")
                .body(body.clone()),
        ),
        (
            "a long body",
            request("/plain/a", "tier.example").body(Bytes::from(vec![b'a'; 4 * 1024 * 1024 + 1])),
        ),
        ("a method of its own", Request::put("/plain/a").header("host", "tier.example").body(body.clone())),
        (
            "headers of the tier's own",
            request("/plain/a", "tier.example")
                .header("x-attempt-id", "odd-4")
                .header("x-expected-instance", "i-7")
                .header("x-prompt-prefix", "aa:10,bb:20")
                .header("x-token-usage", "30,3")
                .header("finish-ms", "500")
                .body(body),
        ),
    ]
    .into_iter()
    .map(|(what, request)| (what, request.expect("a valid request")))
    .collect()
}

/// Steps in `proxies.txt` before the first turn that is denied. The program that was recorded there denied it
/// by whatever directory the proxy had; this one reads the latest directory first, which takes 5 ms. From
/// there on the recorded steps come at other times, and are else the same.
const STEPS_BEFORE_A_DENIAL: usize = 72;

/// Steps without the times at which they were made, and at which servers ran requests.
fn without_times<'a>(steps: impl Iterator<Item = &'a str>) -> Vec<String> {
    let is_time = |word: &str| word.chars().all(|character| character.is_ascii_digit());
    steps
        .map(|step| {
            let step = step.trim_start();
            let step = step.split_once(' ').filter(|(time, _)| is_time(time)).map_or(step, |(_, rest)| rest);
            match step.split_once(" ran ").and_then(|(server, rest)| Some((server, rest.split_once(": ")?))) {
                Some((server, (ran, input))) => {
                    let attempt = ran.split_once(" at ").map_or(ran, |(attempt, _)| attempt);
                    format!("{server} ran {attempt}: {input}")
                }
                None => step.to_owned(),
            }
        })
        .collect()
}

#[test]
fn proxies_answer_as_recorded() {
    run(73, async {
        let mut play = Play::start(Size::SMALL);
        play.pass(2000).await;
        play.plain_turn("front-1", false, None).await;
        play.replace("core-1", 0, 5).await;
        play.pass(1000).await;
        play.plain_turn("front-1", false, None).await;
        let engines = [play.engine(1), play.engine(2)];
        play.pass(1500).await;
        for (what, request) in odd_requests() {
            play.send("front-1", what, request).await;
        }
        programs(&mut play).await;
        engine_faults(&mut play, &engines).await;
        faults(&mut play, &engines).await;
        play.note_what_ran(&engines);
        play.check_but_for_times(include_str!("golden/proxies.txt"), STEPS_BEFORE_A_DENIAL);
        play.transcript.check("proxies_latest_directory.txt");
    });
}

/// Turns of a few programs, some of which run out of their budgets.
async fn programs(play: &mut Play) {
    let mut random = Seeded::new(74);
    let mut previous: Vec<Option<String>> = vec![None; 4];
    for number in 0..60 {
        let lane = random.below(4) as usize;
        let front = if random.percent(50) { "front-1" } else { "front-2" };
        let id = format!("t{number}");
        let (program, input) = (format!("p{lane}"), format!("input {number};"));
        let before = previous[lane].clone().filter(|_| random.percent(85));
        let turn = Turn {
            id: &id,
            program: &program,
            previous: before.as_deref(),
            input: &input,
            budget: (lane > 1).then_some(30),
            max_tokens: 3 + random.below(3),
            stored: random.percent(90),
        };
        let answered = play.turn(front, &turn).await;
        if turn.stored {
            previous[lane] = answered.or(previous[lane].clone());
        }
        play.pass(random.below(300)).await;
    }
    play.plain_turn("front-1", true, Some("never-there")).await;
    play.plain_turn("front-2", false, Some("t0")).await;
}

async fn engine_faults(play: &mut Play, engines: &[Engine]) {
    for (number, fault) in EngineFault::ALL.into_iter().enumerate() {
        play.note(&format!("mishap {number}"));
        engines.iter().for_each(|engine| engine.misbehave(100, &[fault]));
        play.plain_turn("front-1", false, None).await;
        play.plain_turn("front-2", true, None).await;
        engines.iter().for_each(|engine| engine.misbehave(0, &[]));
        play.pass(1000).await;
        play.plain_turn("front-1", false, None).await;
    }
}

/// Stores that are away, servers that end, drain and are silent.
async fn faults(play: &mut Play, engines: &[Engine]) {
    play.cluster.power_off("storage-1");
    let first = play.plain_turn("front-1", true, None).await;
    let second = play.plain_turn("front-2", true, first.as_deref()).await;
    play.cluster.power_off("storage-2");
    play.plain_turn("front-2", true, second.as_deref()).await;
    play.cluster.restart("storage-1");
    play.cluster.restart("storage-2");
    play.pass(5000).await;
    play.plain_turn("front-1", true, second.as_deref()).await;
    engines[0].drain().await;
    play.plain_turn("front-1", false, None).await;
    play.pass(2000).await;
    play.plain_turn("front-2", false, None).await;
    engines[1].stop_heartbeats();
    play.pass(8000).await;
    play.plain_turn("front-2", false, None).await;
    engines[1].end();
    play.plain_turn("front-2", false, None).await;
    play.plain_turn("front-1", true, second.as_deref()).await;
    play.cluster.terminate("front-1");
    play.pass(50).await;
    play.plain_turn("front-1", false, None).await;
    play.pass(10_000).await;
    play.plain_turn("front-1", false, None).await;
}

//! Where requests are sent, and what is held and refused, against golden files: seeded days of requests,
//! answers, failures, retries and changes of the servers, each number written in full.

#[path = "../../../test-support/golden/seeded.rs"]
mod seeded;
#[path = "../../../test-support/golden/transcript.rs"]
mod transcript;

use pointcross_tier_protocol::{Configuration, Instance, InstanceState};
use pointcross_tier_routing::{
    AnswerBegin, AttemptEnd, Choice, Demand, LoadReport, Policy, PromptParts, RequestTime, RouteTable,
    Servers, object_key, parse_prefix, priority,
};
use seeded::Seeded;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use transcript::Transcript;

const ENGINES: u64 = 7;
const TOOLS: u64 = 5;
/// The mechanisms that were there when the files were recorded. Later ones are pinned by files of their own.
const RECORDED: Policy = Policy {
    idle_connections: true,
    preferred_servers: true,
    shared_prefixes: true,
    zones: true,
    prefix_cache: true,
    affinity: false,
    latency: true,
    health: true,
    admission: true,
    ejection_before_room: false,
    shared_queue: false,
    reported_slots: false,
    program_shedding: false,
};
/// Requests that are held here at the same time.
const MAX_HELD: usize = 12;

fn end_words(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Served => "served",
        AttemptEnd::Rejected => "rejected",
        AttemptEnd::OtherInstance => "other instance",
        AttemptEnd::NoConnection => "no connection",
        AttemptEnd::Failed => "failed",
        AttemptEnd::ServerError => "server error",
        AttemptEnd::Abandoned => "abandoned",
    }
}

fn state_words(state: InstanceState) -> &'static str {
    match state {
        InstanceState::Ready => "ready",
        InstanceState::Unresponsive => "silent",
        InstanceState::Expired => "expired",
        InstanceState::Draining => "draining",
        InstanceState::Terminated => "gone",
    }
}

fn choice_words(choice: &Choice) -> String {
    match choice {
        Choice::Send { instance, expected_ms } => {
            format!("send to {}, foreseen {expected_ms:?}", instance.id)
        }
        Choice::Queue => "hold".to_owned(),
        Choice::Refuse(excess) => format!("refuse, late by {excess:?}"),
        Choice::NoServer => "no server".to_owned(),
    }
}

fn choice_kind(choice: &Choice) -> &'static str {
    match choice {
        Choice::Send { .. } => "sent",
        Choice::Queue => "held",
        Choice::Refuse(_) => "refused",
        Choice::NoServer => "without a server",
    }
}

fn report_words(report: Option<LoadReport>) -> String {
    report
        .map_or("none".to_owned(), |report| format!("{},{},{}", report.running, report.waiting, report.slots))
}

fn instance(service: &str, number: u64, life: u64) -> Instance {
    let capacity = if service == "engine" { 8 } else { 3 };
    Instance {
        id: format!("{service}-{number}-{life}"),
        service: service.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 4, 0, number as u8), 80),
        zone: format!("zone-{}", number % 2),
        capacity: capacity + number as u32 % 3,
        state: InstanceState::Ready,
        call_seq: 1,
    }
}

/// A request that waits here or is at a server.
#[derive(Clone)]
struct Request {
    number: u64,
    service: &'static str,
    route: &'static str,
    units: f64,
    prompt: Option<PromptParts>,
    due: f64,
    target: f64,
    object: Option<u64>,
    tried: Vec<String>,
}

/// An attempt at a server, and when its answer begins and ends.
struct Attempt {
    request: Request,
    server: String,
    sent: f64,
    expected_ms: f64,
    begins: f64,
    ends: f64,
    has_begun: bool,
    end: AttemptEnd,
}

struct Day {
    random: Seeded,
    transcript: Transcript,
    servers: Servers,
    instances: Vec<Instance>,
    now: f64,
    requests: u64,
    held: Vec<Request>,
    attempts: Vec<Attempt>,
    idle: BTreeSet<String>,
    lives: u64,
    /// How often each kind of choice was made.
    choices: BTreeMap<&'static str, usize>,
    /// Attempts of a hundred that fail.
    failing: u64,
    step_ms: u64,
}

/// How a day goes.
struct Weather {
    policy: Policy,
    /// Attempts of a hundred that fail.
    failing: u64,
    /// The mean time between two events is half of this, in milliseconds.
    step_ms: u64,
    /// Steps that are written out; of the others there is a hash only.
    written_out: usize,
}

impl Day {
    fn new(seed: u64, weather: &Weather) -> Self {
        let mut day = Day {
            random: Seeded::new(seed),
            transcript: Transcript::new(weather.written_out),
            servers: Servers::new("front-1", "zone-0").with_policy(weather.policy),
            instances: Vec::new(),
            now: 0.0,
            requests: 0,
            held: Vec::new(),
            attempts: Vec::new(),
            idle: BTreeSet::new(),
            lives: 0,
            choices: BTreeMap::new(),
            failing: weather.failing,
            step_ms: weather.step_ms,
        };
        for number in 0..ENGINES {
            day.enter(instance("engine", number, 0));
        }
        for number in 0..TOOLS {
            day.enter(instance("tool", number, 0));
        }
        day
    }

    fn step(&mut self, line: &str) {
        self.transcript.step(&format!("{:?} {line}", self.now));
    }

    fn enter(&mut self, instance: Instance) {
        self.servers.update(&instance);
        self.step(&format!("{} is {}", instance.id, state_words(instance.state)));
        match self.instances.iter_mut().find(|known| known.id == instance.id) {
            Some(known) => *known = instance,
            None => self.instances.push(instance),
        }
    }

    fn act(&mut self) {
        self.now += self.random.below(self.step_ms * 8) as f64 / 8.0;
        self.end_attempts();
        self.try_held();
        match self.random.below(200) {
            0 => self.change_state(),
            1 => self.start_server(),
            2 => self.ask_service(),
            3 => self.idle.clear(),
            _ => self.arrive(),
        }
    }

    fn change_state(&mut self) {
        let number = self.random.below(self.instances.len() as u64) as usize;
        let state = match self.random.below(10) {
            0..4 => InstanceState::Ready,
            4..7 => InstanceState::Unresponsive,
            7 => InstanceState::Draining,
            _ => InstanceState::Terminated,
        };
        let known = self.instances[number].clone();
        let is_over = known.state >= InstanceState::Draining;
        if !is_over || state > known.state {
            self.enter(Instance { state, ..known });
        }
    }

    fn start_server(&mut self) {
        self.lives += 1;
        let (service, most) = if self.random.percent(60) { ("engine", ENGINES) } else { ("tool", TOOLS) };
        let number = self.random.below(most);
        self.enter(instance(service, number, self.lives));
    }

    fn ask_service(&mut self) {
        let words =
            ["engine", "tool", "other"].map(|service| format!("{service} {}", self.servers.serves(service)));
        self.step(&format!("serves {}", words.join(", ")));
    }

    fn arrive(&mut self) {
        self.requests += 1;
        let request = if self.random.percent(50) { self.engine_request() } else { self.tool_request() };
        let prompt = request.prompt.as_ref().map_or("none".to_owned(), |prompt| {
            format!("{} tokens in {} parts", prompt.tokens(), prompt.parts.len())
        });
        self.step(&format!(
            "request {} of {} on {}: {:?} units, prompt {prompt}, due {:?}",
            request.number, request.service, request.route, request.units, request.due
        ));
        self.place(request);
    }

    /// A turn of one of forty sessions; four share their first part with ten each.
    fn engine_request(&mut self) -> Request {
        let session = self.random.below(40);
        let turns = self.random.below(6);
        let mut prefix =
            format!("shared{}:{},s{session}:{}", session % 4, 500 * (1 + session % 4), 40 * session);
        (0..turns).for_each(|turn| prefix += &format!(",s{session}t{turn}:{}", 30 + turn));
        let prompt = parse_prefix(&prefix);
        let units = prompt.tokens() as f64 / 10.0 + self.random.below(200) as f64;
        let object = self.random.percent(30).then(|| object_key(&format!("object-{session}")));
        self.request("engine", "turns", units, Some(prompt), object)
    }

    fn tool_request(&mut self) -> Request {
        let route = if self.random.percent(70) { "fast" } else { "slow" };
        let object = self.random.percent(50).then(|| self.random.below(20));
        let object = object.map(|number| object_key(&format!("object-{number}")));
        self.request("tool", route, 1.0, None, object)
    }

    fn request(
        &mut self,
        service: &'static str,
        route: &'static str,
        units: f64,
        prompt: Option<PromptParts>,
        object: Option<u64>,
    ) -> Request {
        let due = self.now + 200.0 + self.random.below(2000) as f64;
        let target = 100.0 + self.random.below(400) as f64;
        Request {
            number: self.requests,
            service,
            route,
            units,
            prompt,
            due,
            target,
            object,
            tried: Vec::new(),
        }
    }

    fn place(&mut self, request: Request) {
        let held = self.held.iter().filter(|held| held.service == request.service);
        let queued_units = held.fold(0.0, |units, held| units + held.units);
        let has_idle = |id: &str| self.idle.contains(id);
        let demand = Demand {
            service: request.service,
            route: request.route,
            units: request.units,
            prompt: request.prompt.as_ref(),
            time_left: request.due - self.now,
            target: request.target,
            queued_units,
            tried: &request.tried,
            object: request.object,
            has_idle_connection: &has_idle,
        };
        let choice = self.servers.choose(self.now, &demand);
        self.step(&format!(
            "request {} behind {queued_units:?}, tried {}: {}",
            request.number,
            request.tried.len(),
            choice_words(&choice)
        ));
        *self.choices.entry(choice_kind(&choice)).or_default() += 1;
        match choice {
            Choice::Send { instance, expected_ms } => self.send(request, &instance.id, expected_ms),
            Choice::Queue if self.held.len() < MAX_HELD => self.held.push(request),
            _ => {}
        }
    }

    fn send(&mut self, request: Request, server: &str, expected_ms: f64) {
        self.servers.sent(self.now, server, request.units, request.prompt.as_ref());
        self.idle.remove(server);
        let end = self.draw_end(server);
        // Some servers are slow, and all vary.
        let slowness = if server.contains("-3-") { 3.0 } else { 1.0 };
        let takes = expected_ms * slowness * (0.5 + self.random.below(100) as f64 / 100.0);
        let generates = if request.service == "engine" { request.units } else { 0.0 };
        self.attempts.push(Attempt {
            request,
            server: server.to_owned(),
            sent: self.now,
            expected_ms,
            begins: self.now + takes,
            ends: self.now + takes + generates,
            has_begun: false,
            end,
        });
    }

    /// One server fails more than all others, another one rejects.
    fn draw_end(&mut self, server: &str) -> AttemptEnd {
        let failing = if server.contains("-2-") { self.failing * 5 } else { self.failing };
        if self.random.percent(failing) {
            return match self.random.below(12) {
                0..3 => AttemptEnd::NoConnection,
                3..6 => AttemptEnd::Failed,
                6..9 => AttemptEnd::ServerError,
                9 => AttemptEnd::Abandoned,
                10 => AttemptEnd::Rejected,
                _ if self.random.percent(10) => AttemptEnd::OtherInstance,
                _ => AttemptEnd::Failed,
            };
        }
        if server.contains("-4-") && self.random.percent(20) {
            AttemptEnd::Rejected
        } else {
            AttemptEnd::Served
        }
    }

    /// Begins and ends all answers whose time has come, the earliest first.
    fn end_attempts(&mut self) {
        let until = self.now;
        loop {
            let time = |attempt: &Attempt| if attempt.has_begun { attempt.ends } else { attempt.begins };
            let next = (0..self.attempts.len())
                .min_by(|one, other| time(&self.attempts[*one]).total_cmp(&time(&self.attempts[*other])));
            let Some(next) = next.filter(|next| time(&self.attempts[*next]) <= until) else { break };
            self.now = time(&self.attempts[next]);
            if self.attempts[next].has_begun || self.attempts[next].end != AttemptEnd::Served {
                let attempt = self.attempts.swap_remove(next);
                self.end_attempt(attempt);
            } else {
                self.begin_answer(next);
            }
        }
        self.now = until;
    }

    fn begin_answer(&mut self, number: usize) {
        let server = self.attempts[number].server.clone();
        let there = self.attempts.iter().filter(|attempt| attempt.server == server).count() as u32;
        let report = self.random.percent(60).then(|| LoadReport {
            running: there + self.random.below(4) as u32,
            waiting: self.random.below(12) as u32 / 10,
            slots: 8,
        });
        let attempt = &mut self.attempts[number];
        attempt.has_begun = true;
        let took = self.now - attempt.sent;
        let plain_route = attempt.request.prompt.is_none().then_some(attempt.request.route);
        let begin = AnswerBegin { plain_route, took, expected_ms: attempt.expected_ms, report };
        let line = format!(
            "request {} is answered by {server} after {took:?}, load {}",
            attempt.request.number,
            report_words(report)
        );
        self.servers.answered(self.now, &server, begin);
        self.step(&line);
    }

    fn end_attempt(&mut self, attempt: Attempt) {
        let Attempt { mut request, server, end, .. } = attempt;
        self.servers.ended(self.now, &server, request.units, end);
        self.step(&format!("request {} at {server}: {}", request.number, end_words(end)));
        if end == AttemptEnd::Served {
            self.idle.insert(server);
            return;
        }
        if end != AttemptEnd::Abandoned && request.tried.len() < 3 && request.due > self.now {
            request.tried.push(server);
            self.place(request);
        }
    }

    fn try_held(&mut self) {
        for request in std::mem::take(&mut self.held) {
            if request.due > self.now {
                self.place(request);
            } else {
                self.step(&format!("request {} waited in vain", request.number));
            }
        }
    }
}

fn play(file: &str, seed: u64, weather: &Weather) {
    let mut day = Day::new(seed, weather);
    for _ in 0..4000 {
        day.act();
    }
    let choices: Vec<String> = day.choices.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
    day.transcript.step(&choices.join(", "));
    day.transcript.check(file);
}

#[test]
fn calm_days_go_as_recorded() {
    for seed in [51, 52] {
        let weather = Weather { policy: RECORDED, failing: 1, step_ms: 60, written_out: 350 };
        play(&format!("routing_calm_{seed}.txt"), seed, &weather);
    }
}

#[test]
fn busy_days_go_as_recorded() {
    for seed in [53, 54, 55] {
        let weather = Weather { policy: RECORDED, failing: 3, step_ms: 16, written_out: 700 };
        play(&format!("routing_busy_{seed}.txt"), seed, &weather);
    }
}

/// Far more comes than the servers work off.
#[test]
fn crowded_days_go_as_recorded() {
    for seed in [60, 61] {
        let weather = Weather { policy: RECORDED, failing: 3, step_ms: 5, written_out: 1200 };
        play(&format!("routing_crowded_{seed}.txt"), seed, &weather);
    }
}

#[test]
fn days_of_failures_go_as_recorded() {
    for seed in [56, 57] {
        let weather = Weather { policy: RECORDED, failing: 15, step_ms: 40, written_out: 700 };
        play(&format!("routing_failures_{seed}.txt"), seed, &weather);
    }
}

/// Each mechanism of choice switched the other way, one at a time.
#[test]
fn days_with_a_mechanism_switched_go_as_recorded() {
    let all = RECORDED;
    let policies = [
        ("kept_connections", Policy { idle_connections: false, ..all }),
        ("homes", Policy { preferred_servers: false, ..all }),
        ("shared_homes", Policy { shared_prefixes: false, ..all }),
        ("zones", Policy { zones: false, ..all }),
        ("prefixes", Policy { prefix_cache: false, ..all }),
        ("affinity", Policy { affinity: true, ..all }),
        ("speeds", Policy { latency: false, ..all }),
        ("health", Policy { health: false, ..all }),
        ("admission", Policy { admission: false, ..all }),
    ];
    for (name, policy) in policies {
        let weather = Weather { policy, failing: 5, step_ms: 16, written_out: 350 };
        play(&format!("routing_switched_{name}.txt"), 58, &weather);
    }
}

/// The mechanisms in service. Days in which some servers fail while the others are full.
#[test]
fn days_of_the_policy_in_service_go_as_recorded() {
    for (name, failing, step_ms) in [("crowded", 3, 5), ("failing", 15, 10)] {
        let weather = Weather { policy: Policy::default(), failing, step_ms, written_out: 900 };
        play(&format!("routing_in_service_{name}.txt"), 70, &weather);
    }
}

fn only_server() -> Servers {
    let mut servers = Servers::new("front-1", "zone-0");
    servers.update(&Instance { capacity: 1000, ..instance("engine", 0, 0) });
    servers
}

fn foreseen_words(servers: &Servers, route: &str, prompt: Option<&PromptParts>) -> String {
    let demand = Demand {
        service: "engine",
        route,
        units: 1.0,
        prompt,
        time_left: 1000.0,
        target: 1000.0,
        queued_units: 0.0,
        tried: &[],
        object: None,
        has_idle_connection: &|_| false,
    };
    choice_words(&servers.choose(0.0, &demand))
}

#[test]
fn parts_of_prompts_are_remembered_as_recorded() {
    let mut servers = only_server();
    let mut transcript = Transcript::new(usize::MAX);
    let prompt = |number: usize| parse_prefix(&format!("p{number}:1000,q{number}:400"));
    for number in 0..300 {
        servers.sent(0.0, "engine-0-0", 1.0, Some(&prompt(number)));
        servers.ended(0.0, "engine-0-0", 1.0, AttemptEnd::Abandoned);
    }
    for number in 0..301 {
        let words = foreseen_words(&servers, "turns", Some(&prompt(number)));
        transcript.step(&format!("prompt {number}: {words}"));
    }
    transcript.check("routing_parts.txt");
}

/// The usual time of a route over its first answers, and once more routes were seen than are remembered.
#[test]
fn usual_times_are_learned_as_recorded() {
    let mut random = Seeded::new(59);
    let mut servers = only_server();
    let mut transcript = Transcript::new(usize::MAX);
    let mut learn = |servers: &mut Servers, route: &str| {
        let took = random.below(10_000) as f64 / 16.0;
        let begin = AnswerBegin { plain_route: Some(route), took, expected_ms: took, report: None };
        servers.answered(0.0, "engine-0-0", begin);
        took
    };
    transcript.step(&format!("before: {}", foreseen_words(&servers, "first", None)));
    for number in 0..200 {
        let took = learn(&mut servers, "first");
        transcript.step(&format!("{number} took {took:?}: {}", foreseen_words(&servers, "first", None)));
    }
    for number in 1..4100 {
        learn(&mut servers, &format!("other-{number}"));
        if number > 4090 {
            let words = foreseen_words(&servers, "first", None);
            transcript.step(&format!("{number} other routes: {words}"));
        }
    }
    transcript.check("routing_usual_times.txt");
}

#[test]
fn priorities_are_as_recorded() {
    let mut transcript = Transcript::new(usize::MAX);
    for timeout in [0.0, 1.0, 100.0, 5000.0] {
        for part in [-0.1, 0.0, 0.1, 0.29, 0.3, 0.31, 0.5, 0.69, 0.7, 0.71, 1.0, 2.0] {
            for program_left in [None, Some(-5.0), Some(0.0), Some(0.5), Some(1000.0)] {
                let left = part * timeout;
                let given = priority(RequestTime { left, timeout, program_left });
                let program = program_left.map_or("none".to_owned(), |left| format!("{left:?}"));
                transcript.step(&format!("left {left:?} of {timeout:?}, program {program}: {given}"));
            }
        }
    }
    transcript.check("routing_priorities.txt");
}

const ROUTES: &str = r#"{"Version":9,"Routes":[
{"Name":"all","Host":"a.example","PathPrefix":"/","RouteType":"idempotent","TimeoutMs":1,"Service":"s"},
{"Name":"x","Host":"A.example","PathPrefix":"/x/","RouteType":"streaming","TimeoutMs":1,"Service":"t",
"RetentionS":60.5},
{"Name":"xy","Host":"a.example","PathPrefix":"/x/y/","RouteType":"idempotent","TimeoutMs":1,
"Backends":[{"Service":"s","Weight":0},{"Service":"t","Weight":3},{"Service":"u","Weight":2}]},
{"Name":"b","Host":"b.example","PathPrefix":"/b/","RouteType":"idempotent","TimeoutMs":1,"Service":"u"}],
"Services":[{"Name":"s"},{"Name":"t","Engine":{"Capacity":8,"KvTokens":9,"Stride":2}},{"Name":"u"}],
"Limits":{"MaxHeaderBytes":100}}"#;

#[test]
fn routes_are_found_as_recorded() {
    let table = RouteTable::new(&Configuration::parse(ROUTES.as_bytes()).expect("valid"));
    let mut transcript = Transcript::new(usize::MAX);
    let paths =
        ["/", "/x", "/x/", "/x/a", "/x/y", "/x/y/", "/x/y/z/w", "//x/y/", "/X/", "/b/", "/b/é/", "x/y/", ""];
    for host in ["a.example", "A.EXAMPLE:80", "b.example", "b.example:", "c.example", ""] {
        for path in paths {
            let found = table.find(host, path).map_or("none", |route| route.name.as_str());
            let drawn: Vec<String> = (0..7)
                .map(|draw| table.route(host, path, draw).map_or("none".to_owned(), |routed| routed.service))
                .collect();
            transcript.step(&format!("{host} {path}: {found}, services {}", drawn.join(" ")));
        }
    }
    for service in ["s", "t", "u", "v"] {
        let engine = table.engine(service).map_or("none".to_owned(), |engine| {
            format!("capacity {} tokens {} stride {}", engine.capacity, engine.kv_tokens, engine.stride)
        });
        transcript.step(&format!("engine of {service}: {engine}"));
    }
    let retention = table.longest_retention().as_millis();
    let head = table.limits().max_header_bytes;
    transcript.step(&format!("version {} retention {retention} head {head}", table.version()));
    transcript.check("routing_routes.txt");
}

#[test]
fn headers_are_read_as_recorded() {
    let mut transcript = Transcript::new(usize::MAX);
    let key_words = |key: Option<u64>| key.map_or("none".to_owned(), |key| format!("{key:016x}"));
    for header in [
        "",
        "aa:100",
        "aa:100,bb:20",
        "cc:100,bb:20",
        " aa:100 , bb:20 ",
        "aa:x",
        "aa:1,bb",
        "aa:1,:5",
        "aa:-1",
        "a:1:2",
    ] {
        let prompt = parse_prefix(header);
        let parts: Vec<String> =
            prompt.parts.iter().map(|(key, tokens)| format!("{key:016x} {tokens}")).collect();
        transcript.step(&format!(
            "prompt '{header}': [{}] {} tokens, session {}, shared {}",
            parts.join(", "),
            prompt.tokens(),
            key_words(prompt.session_key()),
            key_words(prompt.shared_key())
        ));
    }
    for header in ["", "1,2,3", " 1 , 2 , 3 ", "1,2", "1,2,3,4", "1,2,x", "-1,2,3", "4294967296,0,0", "1,,3"]
    {
        transcript.step(&format!("load '{header}': {}", report_words(LoadReport::parse(header))));
    }
    for text in ["", "a", "b", "object-1", "object-2", "front-1"] {
        transcript.step(&format!("object '{text}': {:016x}", object_key(text)));
    }
    transcript.check("routing_headers.txt");
}

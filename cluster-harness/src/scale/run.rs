//! A scale run: the stand-ins, the links, the schedulers and the day, set up together and ended together.

use super::hollow::{HollowFile, HollowScheduler, Host, Told, host};
use super::list::{ListService, Side};
use super::meter::{Taken, process_cpu_ns, resident_mb};
use super::result::{ScaleResult, Spread};
use super::scenario::{ScaleScenario, What};
use super::source::{FLEET, Published, Source};
use super::told::{Change, Follower, Life, Times, percentile_ms, times, worst_ms};
use super::unix_us;
use super::world::{Changed, World};
use crate::client::{Clients, Fleet, splitmix};
use crate::cluster::platform_settings;
use crate::link::{Fault, Link};
use crate::node::{Node, NodeSettings};
use crate::process::{Launch, Scheduler, StartError};
use std::collections::BTreeSet;
use std::future::pending;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Processes at the most, the rig among them.
const MAX_PROCESSES: usize = 300;
/// Resident memory of all processes at the most, MiB: half of the machine that the rig is made for.
const MAX_MB: f64 = 12.0 * 1024.0;
/// A run ends by itself after this, whatever happens.
const HARD_STOP: Duration = Duration::from_secs(290);
/// How long past their spread first starts may take.
const MAX_START: Duration = Duration::from_secs(60);
/// How long after the day the last changes may take to be told: longer than any that follows from the design.
const SETTLE: Duration = Duration::from_secs(12);
/// What real schedulers log: their starts, and what comes into force.
const LOG: &str = "info,pointcross::in_force=debug";

/// What a run is made of, beside its scenario.
#[derive(Clone, Debug)]
pub struct ScaleSettings {
    /// The program to start.
    pub program: PathBuf,
    /// Where the processes' folders go.
    pub folder: PathBuf,
    /// The scenario's name, for the result.
    pub scenario: String,
    /// Real schedulers.
    pub real: usize,
    /// Hollow schedulers.
    pub hollow: usize,
    /// Hollow schedulers a process at the most.
    pub per_process: usize,
    /// Listed nodes.
    pub nodes: usize,
    /// Whether the configuration is carried.
    pub configuration: bool,
    /// Seeds every draw of the rig.
    pub seed: u64,
}

/// Why a run came to no result.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// A figure out of its range.
    #[error("{key}: {found}; wanted {wanted}")]
    Range {
        /// The option.
        key: &'static str,
        /// What was found.
        found: usize,
        /// What is wanted.
        wanted: String,
    },
    /// A process did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A socket, a file or a thread of the rig.
    #[error("the rig: {0}")]
    Rig(#[from] std::io::Error),
    /// First starts that never had the list.
    #[error("{missing} of {all} schedulers had not all that is in force {seconds} s after the last start")]
    Starts {
        /// How many.
        missing: usize,
        /// Of how many.
        all: usize,
        /// After how long.
        seconds: u64,
    },
    /// Too much memory.
    #[error("{mb:.0} MiB resident in all processes, over {MAX_MB}: the run was ended")]
    Memory {
        /// How much.
        mb: f64,
    },
    /// Too long.
    #[error("the run took over {} s and was ended", HARD_STOP.as_secs())]
    Long,
}

/// What the schedulers reported: each one's list and configuration.
#[derive(Clone, Default)]
struct Heard(Arc<Mutex<Vec<[Follower; 2]>>>);

/// What a report is of: its place in [`Heard`].
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    List,
    Configuration,
}

impl Heard {
    fn new(schedulers: usize) -> Self {
        Heard(Arc::new(Mutex::new(vec![Default::default(); schedulers])))
    }

    fn started(&self, i: usize, at: u64) {
        let mut all = self.0.lock().unwrap();
        for follower in all.get_mut(i).into_iter().flatten() {
            if let Some(life) = follower.lives.last_mut() {
                life.end.get_or_insert(at);
            }
            follower.lives.push(Life { start: at, ..Life::default() });
        }
    }

    fn ended(&self, i: usize, at: u64) {
        for follower in &mut self.0.lock().unwrap()[i] {
            if let Some(life) = follower.lives.last_mut() {
                life.end = Some(at);
            }
        }
    }

    /// Notes a report of the life with this number, or of the last one.
    fn report(&self, i: usize, life: Option<usize>, kind: Kind, number: u64, at: u64) {
        let mut all = self.0.lock().unwrap();
        let Some(follower) = all.get_mut(i).map(|both| &mut both[kind as usize]) else { return };
        let last = follower.lives.len().saturating_sub(1);
        // 0 is nothing yet.
        if let Some(life) = follower.lives.get_mut(life.unwrap_or(last)).filter(|_| number > 0) {
            life.reports.push((number, at));
        }
    }

    /// What a hollow host tells.
    fn told(&self, told: Told) {
        for (i, at) in told.started {
            self.started(i, at);
        }
        for (kind, reports) in [(Kind::List, told.list), (Kind::Configuration, told.configuration)] {
            for (i, number, at) in reports {
                // A report from before a start that the same line tells is of the life before.
                let life = self.0.lock().unwrap().get(i).map(|both| {
                    let lives = &both[kind as usize].lives;
                    lives.iter().rposition(|life| life.start <= at).unwrap_or(0)
                });
                self.report(i, life, kind, number, at);
            }
        }
    }

    /// A line of a real scheduler's log.
    fn line(&self, i: usize, start: u64, line: &str) {
        let Some((_, what)) = line.split_once("pointcross::in_force: ") else { return };
        let at = unix_us();
        for (kind, word) in [(Kind::List, "list revision="), (Kind::Configuration, "configuration version=")]
        {
            if let Some(number) = what.trim().strip_prefix(word).and_then(|number| number.parse().ok()) {
                self.report(i, Some(start as usize - 1), kind, number, at);
            }
        }
    }

    fn cut(&self, i: usize, from: u64) {
        for follower in &mut self.0.lock().unwrap()[i] {
            follower.cuts.push((from, u64::MAX));
        }
    }

    fn healed(&self, i: usize, at: u64) {
        for follower in &mut self.0.lock().unwrap()[i] {
            if let Some(cut) = follower.cuts.last_mut() {
                cut.1 = cut.1.min(at);
            }
        }
    }

    /// How many schedulers' last starts have not reported this number or a later one.
    fn missing(&self, kind: Kind, number: u64) -> usize {
        let all = self.0.lock().unwrap();
        let has = |both: &[Follower; 2]| {
            let life = both[kind as usize].lives.last();
            life.is_some_and(|life| life.reports.last().is_some_and(|(reported, _)| *reported >= number))
        };
        all.iter().filter(|both| !has(both)).count()
    }
}

/// Everything that runs, shared between the day's parts.
struct Rig {
    scenario: ScaleScenario,
    settings: ScaleSettings,
    world: Mutex<World>,
    list: ListService,
    /// Each real scheduler's way to the list service and the sources.
    real_links: Vec<Vec<Link>>,
    /// The same for the hollow ones of each region.
    hollow_links: Vec<Vec<Link>>,
    schedulers: Vec<tokio::sync::Mutex<Scheduler>>,
    /// The hollow hosts; the last is empty.
    hosts: Vec<tokio::sync::Mutex<Option<Host>>>,
    sources: tokio::sync::Mutex<Vec<Source>>,
    published: Mutex<Option<Published>>,
    nodes: Vec<Node>,
    heard: Heard,
    changes: Mutex<Vec<Change>>,
    versions: Mutex<Vec<Change>>,
    primaries: Mutex<BTreeSet<u64>>,
    crashed: AtomicU64,
    real_restarts: AtomicU64,
    hollow_restarts: AtomicU64,
}

/// The schedulers that serve traffic.
struct Doors(Vec<SocketAddr>);

impl Fleet for Doors {
    fn address(&self, i: usize) -> Option<SocketAddr> {
        self.0.get(i).copied()
    }
    fn count(&self) -> usize {
        self.0.len()
    }
    fn kills(&self, _: usize) -> u64 {
        0
    }
}

/// The counts at one end of the window.
struct Counts {
    at: Instant,
    real: Vec<Option<(u32, u64)>>,
    real_rss: Vec<Option<f64>>,
    real_taken: Vec<Taken>,
    hosts: Vec<Option<(u64, f64)>>,
    hollow_sources: Taken,
    list: [Taken; 2],
    list_cpu: u64,
    sources: Taken,
    sources_cpu: u64,
    changes: u64,
    versions: u64,
}

fn unix_ms() -> u64 {
    unix_us() / 1000
}

/// Plays a scenario and gives its figures; every process that it started has ended when this returns, also where it
/// is dropped halfway.
///
/// # Errors
/// Something could not be set up, or the run outgrew its limits.
pub async fn rehearse(scenario: &ScaleScenario, settings: &ScaleSettings) -> Result<ScaleResult, ScaleError> {
    let begun = Instant::now();
    let traffic = &scenario.traffic;
    let range = |holds, key, found, wanted: String| {
        if holds { Ok(()) } else { Err(ScaleError::Range { key, found, wanted }) }
    };
    let wanted = format!("over {}, those that serve traffic, or 0", traffic.schedulers);
    range(settings.real == 0 || settings.real > traffic.schedulers, "--real", settings.real, wanted)?;
    range(settings.real + settings.hollow > 0, "--hollow", 0, "some scheduler".into())?;
    range(settings.per_process > 0, "--per-process", 0, "1 or more".into())?;
    let wanted = format!("{} to 30000", traffic.nodes + 2);
    range((traffic.nodes + 2..=30_000).contains(&settings.nodes), "--nodes", settings.nodes, wanted)?;
    let hosts = settings.hollow.div_ceil(settings.per_process);
    let processes = 1 + settings.real + hosts + 1 + if settings.configuration { 2 } else { 0 };
    let wanted = format!("at most {MAX_PROCESSES} processes in all");
    range(processes <= MAX_PROCESSES, "--real, --hollow", processes, wanted)?;
    let played = play(scenario, settings, begun);
    let mut result = tokio::time::timeout(HARD_STOP, played).await.map_err(|_| ScaleError::Long)??;
    result.processes = processes;
    result.wall_s = begun.elapsed().as_secs_f64();
    Ok(result)
}

async fn play(
    scenario: &ScaleScenario,
    settings: &ScaleSettings,
    epoch: Instant,
) -> Result<ScaleResult, ScaleError> {
    let rig = Rig::build(scenario, settings, epoch).await?;
    let (peak, over) = (Mutex::new((0.0, 0.0)), rig.watch_memory());
    let memory = async {
        tokio::pin!(over);
        loop {
            let (all, own) = over.as_mut().await;
            {
                let mut peak = peak.lock().unwrap();
                *peak = (f64::max(peak.0, all), f64::max(peak.1, own));
            }
            if all > MAX_MB {
                return all;
            }
            over.set(rig.watch_memory());
        }
    };
    let played = tokio::select! {
        played = rig.day() => played,
        mb = memory => Err(ScaleError::Memory { mb }),
    };
    rig.shut().await;
    let mut result = played?;
    (result.peak_rss_mb, result.rig_rss_mb) = *peak.lock().unwrap();
    Ok(result)
}

impl Rig {
    /// Sets up stand-ins, links and sources; starts no scheduler.
    async fn build(
        scenario: &ScaleScenario,
        settings: &ScaleSettings,
        epoch: Instant,
    ) -> Result<Rig, ScaleError> {
        let (layout, seed) = (scenario.layout(), settings.seed);
        let node = NodeSettings { cold_factor: 1.0, ..NodeSettings::default() };
        let mut nodes = Vec::new();
        if settings.real > 0 {
            for n in 0..scenario.traffic.nodes {
                nodes.push(Node::start(n as u32, node.clone(), epoch).await?);
            }
        }
        let real: Vec<SocketAddr> = nodes.iter().map(|node| node.address).collect();
        let world = World::new(layout, settings.nodes, &real, seed);
        let list = ListService::start(world.entries().to_vec(), layout.names(), epoch)?;
        let (mut sources, mut published) = (Vec::new(), None);
        if settings.configuration {
            let first = Published::begin(&settings.folder)?;
            for name in ["source0", "source1"] {
                let source = Source::start(&settings.program, &settings.folder, name, first.path()).await?;
                sources.push(source);
            }
            published = Some(first);
        }
        let ways = |side: Side| {
            let mut peers = vec![list.sides[side as usize].0];
            peers.extend(sources.iter().map(|source| source.address));
            peers
        };
        let (mut real_links, mut hollow_links) = (Vec::new(), Vec::new());
        for i in 0..settings.real {
            real_links.push(open(&ways(Side::Real), seed ^ (i as u64) << 32).await?);
        }
        for region in 0..layout.regions {
            hollow_links.push(open(&ways(Side::Hollow), seed ^ (region as u64) << 48).await?);
        }
        let heard = Heard::new(settings.real + settings.hollow);
        let mut schedulers = Vec::new();
        for (i, links) in real_links.iter().enumerate() {
            let mut platform = platform(settings, &layout.names());
            platform["settings"]["me"] = i.into();
            platform["settings"]["locality"] = layout.zone(i).into();
            platform["discovery"] = links[0].address.to_string().into();
            if saved(scenario, settings, i) {
                platform["known"] = known(&list)?;
            }
            let folder = settings.folder.join(format!("n{i}"));
            let operator = operator(scenario, links, i, &folder);
            let operator = (!operator.is_empty()).then_some(operator);
            let launch = Launch {
                program: settings.program.clone(),
                name: format!("n{i}"),
                folder,
                platform,
                operator,
            };
            let mut scheduler = Scheduler::new(launch);
            let hears = heard.clone();
            scheduler.hear(LOG, Arc::new(move |start, line| hears.line(i, start, line)));
            schedulers.push(tokio::sync::Mutex::new(scheduler));
        }
        let first = Change { number: 1, at: 0 };
        let rig = Rig {
            scenario: scenario.clone(),
            settings: settings.clone(),
            world: Mutex::new(world),
            list,
            real_links,
            hollow_links,
            schedulers,
            hosts: Vec::new(),
            sources: sources.into(),
            published: published.into(),
            nodes,
            heard,
            changes: vec![first].into(),
            versions: vec![first].into(),
            primaries: Mutex::default(),
            crashed: AtomicU64::new(0),
            real_restarts: AtomicU64::new(0),
            hollow_restarts: AtomicU64::new(0),
        };
        rig.with_hosts().await
    }

    /// Starts the hollow hosts and one without a scheduler, which tells what a host takes by itself.
    async fn with_hosts(mut self) -> Result<Rig, ScaleError> {
        let (scenario, settings, layout) = (&self.scenario, &self.settings, self.scenario.layout());
        let schedulers: Vec<HollowScheduler> = (settings.real..settings.real + settings.hollow)
            .map(|number| {
                let zone = layout.zone(number);
                let links = &self.hollow_links[layout.region(zone)];
                HollowScheduler {
                    number,
                    name: format!("h{number}"),
                    seed: splitmix(settings.seed ^ (number as u64) << 32),
                    zone,
                    discovery: links[0].address,
                    saved: saved(scenario, settings, number),
                    operator: operator(scenario, links, number, &settings.folder.join("hollow")),
                }
            })
            .collect();
        let known = if scenario.saved > 0.0 { Some(known(&self.list)?) } else { None };
        std::fs::create_dir_all(settings.folder.join("hollow"))?;
        let mut parts: Vec<&[HollowScheduler]> = schedulers.chunks(settings.per_process).collect();
        parts.push(&[]);
        let mut hosts = Vec::new();
        for (number, part) in parts.into_iter().enumerate() {
            let file = HollowFile {
                platform: platform(settings, &layout.names()),
                known: known.clone().filter(|_| part.iter().any(|scheduler| scheduler.saved)),
                start_over_ms: (scenario.start_s * 1000.0) as u64,
                schedulers: part.to_vec(),
            };
            let folder = settings.folder.join(format!("hollow{number}"));
            let heard = self.heard.clone();
            let hears = move |told: Told| {
                told.ended.iter().for_each(|i| eprintln!("pointcross: hollow scheduler {i} ended untold"));
                heard.told(told);
            };
            hosts.push(tokio::sync::Mutex::new(Some(host(&settings.program, &folder, &file, hears).await?)));
        }
        self.hosts = hosts;
        Ok(self)
    }

    /// Starts every scheduler, waits until all have what is in force, plays the day and gives the figures.
    async fn day(&self) -> Result<ScaleResult, ScaleError> {
        let spread = Duration::from_secs_f64(self.scenario.start_s);
        let starts = (0..self.settings.real).map(|i| async move {
            tokio::time::sleep(spread.mul_f64(i as f64 / self.settings.real as f64)).await;
            self.start(i).await
        });
        for started in futures_util::future::join_all(starts).await {
            started?;
        }
        self.ready(spread).await?;
        let start_bytes = self.list.sides.iter().map(|(_, meter)| meter.taken().bytes).sum();
        self.list.take_most_watches();

        let length = Duration::from_secs_f64(self.scenario.seconds);
        let before = self.counts().await;
        let clients = Clients::new(self.scenario.traffic.load());
        let mut doors = Vec::new();
        for scheduler in self.schedulers.iter().take(self.scenario.traffic.schedulers) {
            doors.extend(scheduler.lock().await.address);
        }
        let mut sending = JoinSet::new();
        if !doors.is_empty() {
            let (clients, seed) = (clients.clone(), self.settings.seed);
            sending.spawn(async move { clients.run(Arc::new(Doors(doors)), length, seed).await });
        }
        let end = before.at + length;
        let rates = async {
            tokio::select! {
                _ = async { tokio::join!(self.ordinary(), self.configurations(), pending::<()>()) } => {}
                () = tokio::time::sleep_until(end) => {}
            }
        };
        let window = async {
            tokio::time::sleep_until(end).await;
            (self.counts().await, self.list.take_most_watches())
        };
        // A restart that began late ends after the window.
        let events = tokio::time::timeout_at(end + SETTLE, self.events());
        let ((after, watches), (), _) = tokio::join!(window, rates, events);
        while sending.join_next().await.is_some() {}
        self.settle().await;
        let mut result = self.figures(&before, &after, &clients).await;
        (result.start_bytes, result.list_watches) = (start_bytes, watches);
        Ok(result)
    }

    async fn start(&self, i: usize) -> Result<SocketAddr, StartError> {
        let mut scheduler = self.schedulers[i].lock().await;
        self.heard.started(i, unix_us());
        scheduler.start().await
    }

    async fn ready(&self, spread: Duration) -> Result<(), ScaleError> {
        let until = Instant::now() + spread + MAX_START;
        loop {
            let mut missing = self.heard.missing(Kind::List, 1);
            if self.settings.configuration {
                missing = missing.max(self.heard.missing(Kind::Configuration, 1));
            }
            if missing == 0 {
                return Ok(());
            }
            if Instant::now() > until {
                let all = self.settings.real + self.settings.hollow;
                return Err(ScaleError::Starts { missing, all, seconds: MAX_START.as_secs() });
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until every scheduler has the last change, and no longer than that may take.
    async fn settle(&self) {
        for region in 0..self.scenario.regions {
            self.heal(region);
        }
        let until = Instant::now() + SETTLE;
        while Instant::now() < until {
            let mut missing = self.heard.missing(Kind::List, self.list.revision());
            if self.settings.configuration {
                let version = self.versions.lock().unwrap().last().map_or(1, |change| change.number);
                missing = missing.max(self.heard.missing(Kind::Configuration, version));
            }
            if missing == 0 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Makes a change of the list, where there is one; gives its revision.
    fn change(&self, make: impl FnOnce(&mut World) -> Changed) -> Option<u64> {
        let mut world = self.world.lock().unwrap();
        let changed = make(&mut world);
        if changed.is_empty() {
            return None;
        }
        let (number, at) = self.list.publish(changed);
        self.changes.lock().unwrap().push(Change { number, at });
        Some(number)
    }

    /// Publishes the next version of the configuration.
    fn publish(&self) {
        let mut published = self.published.lock().unwrap();
        let Some(published) = &mut *published else { return };
        match published.advance() {
            Ok((number, at)) => self.versions.lock().unwrap().push(Change { number, at }),
            Err(error) => eprintln!("pointcross: the configuration's file: {error}"),
        }
    }

    /// Ordinary changes at their rate, one node each; gaps vary by half.
    async fn ordinary(&self) {
        self.at_rate(self.scenario.change_rate, u32::MAX, 17, || {
            self.change(|world| world.ordinary(unix_ms()));
        })
        .await;
    }

    async fn configurations(&self) {
        self.at_rate(self.scenario.configuration_rate, u32::MAX, 18, || self.publish()).await;
    }

    async fn at_rate(&self, rate: f64, times: u32, salt: u64, mut each: impl FnMut()) {
        if rate <= 0.0 {
            return;
        }
        let mut due = Instant::now();
        for turn in 0..times {
            let drawn = splitmix(self.settings.seed ^ salt << 56 ^ u64::from(turn)) % 1000;
            due += Duration::from_secs_f64((0.5 + drawn as f64 / 1000.0) / rate);
            tokio::time::sleep_until(due).await;
            each();
        }
    }

    async fn events(&self) {
        let begun = Instant::now();
        let played = self.scenario.events.iter().enumerate().map(|(n, event)| async move {
            tokio::time::sleep_until(begun + Duration::from_secs_f64(event.at)).await;
            self.event(n, &event.what).await;
        });
        futures_util::future::join_all(played).await;
    }

    async fn event(&self, n: usize, what: &What) {
        match *what {
            What::RackLost { zone, rack } => _ = self.change(|world| world.lose(zone, Some(rack))),
            What::RackBack { zone, rack } => {
                _ = self.change(|world| world.restore(zone, Some(rack), unix_ms()));
            }
            What::ZoneLost { zone } => _ = self.change(|world| world.lose(zone, None)),
            What::ZoneBack { zone } => _ = self.change(|world| world.restore(zone, None, unix_ms())),
            What::RegionCut { region } => {
                let at = unix_us();
                self.in_region(region).for_each(|i| self.heard.cut(i, at));
                self.links(region).for_each(|link| link.set(Fault::Dropped));
            }
            What::RegionBack { region } => self.heal(region),
            What::PrimaryChange {} => {
                if let Some(revision) = self.change(World::primary_change) {
                    self.primaries.lock().unwrap().insert(revision);
                }
            }
            What::Configuration { changes, rate } => {
                self.at_rate(rate, changes, 19 + n as u64, || self.publish()).await;
            }
            What::Restart { real, hollow, over_s } => self.restart(n, real, hollow, over_s).await,
        }
    }

    fn in_region(&self, region: usize) -> impl Iterator<Item = usize> {
        let layout = self.scenario.layout();
        let all = self.settings.real + self.settings.hollow;
        (0..all).filter(move |&i| layout.region(layout.zone(i)) == region)
    }

    fn links(&self, region: usize) -> impl Iterator<Item = &Link> {
        let layout = self.scenario.layout();
        let real = self.real_links.iter().enumerate();
        let real =
            real.filter(move |(i, _)| layout.region(layout.zone(*i)) == region).map(|(_, links)| links);
        real.chain(self.hollow_links.get(region)).flatten()
    }

    fn heal(&self, region: usize) {
        self.links(region).for_each(|link| link.set(Fault::Up));
        let at = unix_us();
        self.in_region(region).for_each(|i| self.heard.healed(i, at));
    }

    /// Restarts schedulers drawn by the seed, each once, at even gaps.
    async fn restart(&self, n: usize, real: usize, hollow: usize, over_s: f64) {
        let seed = self.settings.seed ^ (n as u64) << 40;
        let drawn = |from: usize, to: usize, count: usize| {
            let mut all: Vec<usize> = (from..to.max(from)).collect();
            all.sort_by_key(|&i| splitmix(seed ^ i as u64));
            all.truncate(count);
            all
        };
        let first = self.settings.real;
        let both = [
            drawn(self.scenario.traffic.schedulers, first, real),
            drawn(first, first + self.settings.hollow, hollow),
        ];
        let restarts = both.iter().flat_map(|drawn| {
            let gap = over_s / drawn.len().max(1) as f64;
            drawn.iter().enumerate().map(move |(turn, &i)| async move {
                tokio::time::sleep(Duration::from_secs_f64(gap * turn as f64)).await;
                if i < first { self.restart_real(i).await } else { self.restart_hollow(i).await }
            })
        });
        futures_util::future::join_all(restarts).await;
    }

    async fn restart_real(&self, i: usize) {
        {
            let mut scheduler = self.schedulers[i].lock().await;
            scheduler.check();
            self.heard.ended(i, unix_us());
            scheduler.terminate();
            if tokio::time::timeout(Duration::from_secs(6), scheduler.reap()).await.is_err() {
                scheduler.kill().await;
            }
        }
        self.real_restarts.fetch_add(1, Ordering::Relaxed);
        if let Err(error) = self.start(i).await {
            eprintln!("pointcross: {error}");
            self.crashed.fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn restart_hollow(&self, i: usize) {
        self.hollow_restarts.fetch_add(1, Ordering::Relaxed);
        let number = (i - self.settings.real) / self.settings.per_process;
        if let Some(host) = &*self.hosts[number].lock().await {
            host.restart(i).await;
        }
    }

    async fn counts(&self) -> Counts {
        let (mut real, mut real_rss) = (Vec::new(), Vec::new());
        for scheduler in &self.schedulers {
            let id = scheduler.try_lock().ok().and_then(|scheduler| scheduler.id());
            real.push(id.and_then(|id| Some((id, process_cpu_ns(id)?))));
            real_rss.push(id.and_then(resident_mb));
        }
        let mut hosts = Vec::new();
        for host in &self.hosts {
            let id = host.lock().await.as_ref().and_then(Host::id);
            hosts.push(id.and_then(|id| Some((process_cpu_ns(id)?, resident_mb(id)?))));
        }
        let sources = self.sources.lock().await;
        let sources_cpu = sources.iter().filter_map(Source::id).filter_map(process_cpu_ns).sum();
        let taken = |links: &[Link]| links.iter().map(Link::taken).fold(Taken::default(), Taken::and);
        let from_sources =
            |all: &[Vec<Link>]| all.iter().map(|links| taken(&links[1..])).fold(Taken::default(), Taken::and);
        let hollow_sources = from_sources(&self.hollow_links);
        Counts {
            at: Instant::now(),
            real,
            real_rss,
            real_taken: self.real_links.iter().map(|links| taken(links)).collect(),
            hosts,
            hollow_sources,
            list: [self.list.sides[0].1.taken(), self.list.sides[1].1.taken()],
            list_cpu: self.list.cpu_ns(),
            sources: from_sources(&self.real_links).and(hollow_sources),
            sources_cpu,
            changes: self.changes.lock().unwrap().len() as u64,
            versions: self.versions.lock().unwrap().len() as u64,
        }
    }

    /// The resident memory of all processes and of this one, a second from now.
    async fn watch_memory(&self) -> (f64, f64) {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let mut ids: Vec<u32> = Vec::new();
        for scheduler in &self.schedulers {
            ids.extend(scheduler.try_lock().ok().and_then(|scheduler| scheduler.id()));
        }
        for host in &self.hosts {
            ids.extend(host.try_lock().ok().and_then(|host| host.as_ref().and_then(Host::id)));
        }
        ids.extend(self.sources.try_lock().iter().flat_map(|all| all.iter().filter_map(Source::id)));
        let own = resident_mb(std::process::id()).unwrap_or(0.0);
        (own + ids.into_iter().filter_map(resident_mb).sum::<f64>(), own)
    }

    /// The figures of the window between the two, after everything was told that will be.
    #[expect(clippy::too_many_lines, reason = "scale runs were withdrawn and are left as they were")]
    async fn figures(&self, before: &Counts, after: &Counts, clients: &Clients) -> ScaleResult {
        let seconds = (after.at - before.at).as_secs_f64();
        let settings = &self.settings;
        let percent = |ns: f64| ns / (seconds * 1e9) * 100.0;

        // Real schedulers without traffic, the same process at both ends.
        let lasting = (self.scenario.traffic.schedulers..settings.real).filter_map(|i| {
            let ((id, ran), (id_after, ran_after)) = (before.real[i]?, after.real[i]?);
            (id == id_after).then(|| (i, (ran_after - ran) as f64))
        });
        let (mut cpu, mut rss, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
        for (i, ran) in lasting {
            cpu.push(percent(ran));
            rss.extend(after.real_rss[i]);
            bytes.push(after.real_taken[i].since(before.real_taken[i]).bytes as f64 / seconds);
        }
        let (cpu, rss, bytes) = (Spread::of(&cpu), Spread::of(&rss), Spread::of(&bytes));

        // Hollow ones: each host less the empty one, by its schedulers.
        let ran = |host: usize| {
            let ((ran, _), (ran_after, mb)) = (before.hosts[host]?, after.hosts[host]?);
            Some((percent((ran_after - ran) as f64), mb))
        };
        let hosts = settings.hollow.div_ceil(settings.per_process);
        let (mut hollow_cpu, mut hollow_rss) = (Vec::new(), Vec::new());
        if let Some((empty_cpu, empty_mb)) = ran(hosts) {
            for (host, (cpu, mb)) in (0..hosts).filter_map(|host| Some((host, ran(host)?))) {
                let its = settings.per_process.min(settings.hollow - host * settings.per_process) as f64;
                hollow_cpu.push((cpu - empty_cpu) / its);
                hollow_rss.push((mb - empty_mb) / its);
            }
        }
        let (hollow_cpu, hollow_rss) = (Spread::of(&hollow_cpu), Spread::of(&hollow_rss));
        let list: Vec<Taken> = (0..2).map(|side| after.list[side].since(before.list[side])).collect();
        let hollow_sources = after.hollow_sources.since(before.hollow_sources);
        let hollow_bytes = (list[1].bytes + hollow_sources.bytes) as f64 / seconds;
        let each = |all: f64, of: usize| (of > 0).then(|| all / of as f64);
        let sources = after.sources.since(before.sources);
        let carried = |value: f64| settings.configuration.then_some(value);

        let end = unix_us();
        let changes = self.changes.lock().unwrap().clone();
        let versions = self.versions.lock().unwrap().clone();
        let primaries = self.primaries.lock().unwrap().clone();
        let heard = self.heard.0.lock().unwrap().clone();
        let (mut sides, mut configuration) = ([Times::default(), Times::default()], Times::default());
        let mut last = BTreeSet::new();
        for (i, [list, carried]) in heard.iter().enumerate() {
            sides[usize::from(i >= settings.real)].add(times(list, &changes, end));
            if settings.configuration {
                configuration.add(times(carried, &versions, end));
            }
            let reports = list.lives.last().map(|life| life.reports.as_slice()).unwrap_or_default();
            last.insert(reports.last().map(|(number, _)| *number));
        }
        let sorted = |told: &[(u64, u64)]| {
            let mut told: Vec<u64> = told.iter().map(|(_, us)| *us).collect();
            told.sort_unstable();
            told
        };
        let [real_told, hollow_told] = [sorted(&sides[0].told), sorted(&sides[1].told)];
        let [real_times, mut all] = sides;
        all.add(real_times);
        let told = sorted(&all.told);
        let primary: Vec<u64> =
            all.told.iter().filter(|(number, _)| primaries.contains(number)).map(|(_, us)| *us).collect();
        let in_force = sorted(&configuration.told);

        let mut crashed = self.crashed.load(Ordering::Relaxed);
        for scheduler in &self.schedulers {
            let mut scheduler = scheduler.lock().await;
            scheduler.check();
            crashed += scheduler.crashes();
        }
        for host in &self.hosts {
            crashed += host.lock().await.as_mut().map_or(1, |host| u64::from(host.crashed()));
        }
        for source in &mut *self.sources.lock().await {
            crashed += u64::from(source.crashed());
        }
        let doubled =
            |node: &Node| node.log(|log| log.writes.values().filter(|&&runs| runs > 1).count() as u64);
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let mut peak = self.list.sides[0].1.slots().0;
        peak.add(&self.list.sides[1].1.slots().0);
        let list_both = list[0].and(list[1]);
        ScaleResult {
            scenario: settings.scenario.clone(),
            seed: settings.seed,
            seconds,
            real: settings.real,
            hollow: settings.hollow,
            nodes: settings.nodes,
            configuration: settings.configuration,
            changes: after.changes - before.changes,
            change_rate: (after.changes - before.changes) as f64 / seconds,
            configuration_changes: after.versions - before.versions,
            told_p50_ms: percentile_ms(&told, 0.5),
            told_p99_ms: percentile_ms(&told, 0.99),
            told_worst_ms: percentile_ms(&told, 1.0),
            real_told_p50_ms: percentile_ms(&real_told, 0.5),
            real_told_p99_ms: percentile_ms(&real_told, 0.99),
            real_told_worst_ms: percentile_ms(&real_told, 1.0),
            hollow_told_p50_ms: percentile_ms(&hollow_told, 0.5),
            hollow_told_p99_ms: percentile_ms(&hollow_told, 0.99),
            hollow_told_worst_ms: percentile_ms(&hollow_told, 1.0),
            told_after_cut_worst_ms: worst_ms(&all.after_cut),
            told_after_cut: all.after_cut.len() as u64,
            primary_change_worst_ms: worst_ms(&primary),
            primary_changes: primaries.len() as u64,
            config_in_force_p99_ms: percentile_ms(&in_force, 0.99),
            config_in_force_worst_ms: percentile_ms(&in_force, 1.0),
            config_after_cut_worst_ms: worst_ms(&configuration.after_cut),
            never_told: all.never + configuration.never,
            last_revision_everywhere: last.first().copied().flatten().filter(|_| last.len() == 1),
            start_ready_worst_ms: worst_ms(&all.ready),
            restart_ready_worst_ms: worst_ms(&all.ready_again),
            real_restarts: read(&self.real_restarts),
            hollow_restarts: read(&self.hollow_restarts),
            control_cpu_pct: cpu.mean,
            control_cpu_worst_pct: cpu.worst,
            control_rss_mb: rss.mean,
            control_rss_worst_mb: rss.worst,
            control_bytes_per_s: bytes.mean,
            control_bytes_worst_per_s: bytes.worst,
            hollow_cpu_pct: hollow_cpu.mean,
            hollow_cpu_worst_pct: hollow_cpu.worst,
            hollow_rss_mb: hollow_rss.mean,
            hollow_rss_worst_mb: hollow_rss.worst,
            hollow_bytes_per_s: each(hollow_bytes, settings.hollow),
            list_calls_per_s: list_both.calls as f64 / seconds,
            list_peak_calls_per_s: peak.peak_per_second(),
            list_calls_per_real_per_s: each(list[0].calls as f64 / seconds, settings.real),
            list_calls_per_hollow_per_s: each(list[1].calls as f64 / seconds, settings.hollow),
            list_bytes_per_s: list_both.bytes as f64 / seconds,
            list_cpu_pct: percent((after.list_cpu - before.list_cpu) as f64),
            source_calls_per_s: carried(sources.calls as f64 / seconds),
            source_bytes_per_s: carried(sources.bytes as f64 / seconds),
            source_cpu_pct: carried(percent((after.sources_cpu - before.sources_cpu) as f64)),
            sent: read(&clients.outcomes.sent),
            served: read(&clients.outcomes.served),
            refused: read(&clients.outcomes.refused),
            failed: read(&clients.outcomes.failed),
            unanswered: read(&clients.outcomes.unanswered),
            doubled_writes: self.nodes.iter().map(doubled).sum(),
            crashed,
            ..ScaleResult::default()
        }
    }

    /// Ends every process by its id.
    async fn shut(&self) {
        for scheduler in &self.schedulers {
            scheduler.lock().await.terminate();
        }
        let hosts = self.hosts.iter().map(|host| async move {
            if let Some(host) = host.lock().await.take() {
                host.end().await;
            }
        });
        futures_util::future::join_all(hosts).await;
        for source in &mut *self.sources.lock().await {
            source.end().await;
        }
        let schedulers = self.schedulers.iter().map(|scheduler| async move {
            let mut scheduler = scheduler.lock().await;
            if tokio::time::timeout(Duration::from_secs(6), scheduler.reap()).await.is_err() {
                scheduler.kill().await;
            }
        });
        futures_util::future::join_all(schedulers).await;
    }
}

async fn open(peers: &[SocketAddr], seed: u64) -> std::io::Result<Vec<Link>> {
    let mut links = Vec::new();
    for (n, &peer) in peers.iter().enumerate() {
        links.push(Link::open(peer, seed ^ n as u64).await?);
    }
    Ok(links)
}

/// The platform's file of every scheduler, but for what differs between them.
fn platform(settings: &ScaleSettings, zones: &[String]) -> serde_json::Value {
    let mut own = platform_settings();
    own["instances"] = (settings.real + settings.hollow).into();
    own["localities"] = zones.into();
    serde_json::json!({ "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": own })
}

/// Whether scheduler `i` begins with a saved list: spread evenly over the numbers.
fn saved(scenario: &ScaleScenario, settings: &ScaleSettings, i: usize) -> bool {
    let drawn = splitmix(settings.seed ^ 0x5a ^ (i as u64) << 16) % 1000;
    (drawn as f64) < scenario.saved * 1000.0
}

fn known(list: &ListService) -> std::io::Result<serde_json::Value> {
    Ok(serde_json::from_slice(&list.whole())?)
}

/// The operator's file of scheduler `i` with these links; what it saves goes into this folder. Half of the schedulers
/// prefer the second source.
fn operator(scenario: &ScaleScenario, links: &[Link], i: usize, folder: &Path) -> String {
    let mut table = scenario.operator.clone();
    if links.len() > 1 {
        let mut sources: Vec<toml::Value> =
            links[1..].iter().map(|link| link.address.to_string().into()).collect();
        let turn = i % sources.len();
        sources.rotate_left(turn);
        let saved = folder.join(format!("configuration-{i}.json")).display().to_string();
        let mut section = toml::Table::new();
        section.insert("fleet".into(), FLEET.into());
        section.insert("sources".into(), toml::Value::Array(sources));
        section.insert("saved".into(), saved.into());
        table.insert("configuration".into(), section.into());
    }
    table.to_string()
}

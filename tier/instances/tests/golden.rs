//! What the table of instances merges and how watches are answered, against golden files.

#[path = "../../../test-support/golden/seeded.rs"]
mod seeded;
#[path = "../../../test-support/golden/transcript.rs"]
mod transcript;

use bytes::Bytes;
use pointcross_tier_instances::{ClusterView, InstanceTable, MAX_INSTANCES, WatchPosition};
use pointcross_tier_protocol::messages::{WatchRequest, WatchUpdate};
use pointcross_tier_protocol::{Directory, Instance, InstanceState, StoreEntry, StoreId, StoreState};
use seeded::Seeded;
use std::net::{Ipv4Addr, SocketAddrV4};
use transcript::Transcript;

fn state_words(state: InstanceState) -> &'static str {
    match state {
        InstanceState::Ready => "ready",
        InstanceState::Unresponsive => "silent",
        InstanceState::Expired => "expired",
        InstanceState::Draining => "draining",
        InstanceState::Terminated => "gone",
    }
}

fn instance_words(instance: &Instance) -> String {
    format!(
        "{} of {} at {} in {} capacity {} {} call {}",
        instance.id,
        instance.service,
        instance.address,
        instance.zone,
        instance.capacity,
        state_words(instance.state),
        instance.call_seq
    )
}

fn instances_words<'a>(instances: impl IntoIterator<Item = &'a Instance>) -> String {
    let words: Vec<String> = instances.into_iter().map(instance_words).collect();
    format!("[{}]", words.join(", "))
}

fn instance(random: &mut Seeded, step: u64) -> Instance {
    let number = random.below(8);
    let state = match random.below(100) {
        0..70 => InstanceState::Ready,
        70..90 => InstanceState::Unresponsive,
        90..97 => InstanceState::Draining,
        _ => InstanceState::Terminated,
    };
    // An id belongs to one incarnation: later steps have other ids.
    let incarnation = step / 60;
    Instance {
        id: format!("i-{number}-{incarnation}"),
        service: if number < 5 { "engine".to_owned() } else { "tool".to_owned() },
        address: SocketAddrV4::new(Ipv4Addr::new(10, 4, 0, number as u8), 80 + random.below(20) as u16 / 19),
        zone: if number.is_multiple_of(2) { "a".to_owned() } else { "b".to_owned() },
        capacity: 8 + random.below(20) as u32 / 19,
        state,
        call_seq: random.below(12),
    }
}

fn change_table(table: &mut InstanceTable, random: &mut Seeded, step: u64) -> String {
    let reported = instance(random, step);
    match random.below(10) {
        0..7 => format!("merge {}: {}", instance_words(&reported), table.merge(reported)),
        7 => format!("deregister {}: {}", reported.id, table.deregister(&reported.id)),
        8 => format!("tell again {}: {}", reported.id, table.mark_changed(&reported.id)),
        _ => {
            let revision = table.revision().saturating_sub(random.below(5));
            let changed = table.changed_since(revision);
            format!("changed since {revision}: {}", instances_words(&changed))
        }
    }
}

#[test]
fn instances_are_merged_as_recorded() {
    for seed in [31, 32] {
        let mut random = Seeded::new(seed);
        let mut table = InstanceTable::default();
        let mut transcript = Transcript::new(700);
        for step in 0..3000 {
            let line = change_table(&mut table, &mut random, step);
            transcript.step(&format!("{line}; revision {} room {}", table.revision(), table.has_capacity()));
            if random.percent(1) {
                transcript.step(&format!("all: {}", instances_words(table.all())));
            }
        }
        let known = table.get("i-0-0").map_or("none".to_owned(), instance_words);
        transcript.step(&format!("one of them: {known}"));
        transcript.check(&format!("instance_table_{seed}.txt"));
    }
}

/// Which instances are evicted once there are more than the table may have.
#[test]
fn terminated_instances_are_evicted_as_recorded() {
    let mut random = Seeded::new(33);
    let mut table = InstanceTable::default();
    let mut transcript = Transcript::new(100);
    let entry = |number: usize, state| Instance {
        id: format!("i-{number}"),
        service: "engine".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80),
        zone: "a".to_owned(),
        capacity: 1,
        state,
        call_seq: 1,
    };
    for number in 0..MAX_INSTANCES + 500 {
        // At the start none is terminated; only few can be evicted.
        table.merge(entry(number, InstanceState::Ready));
        if number > 300 && random.percent(2) {
            let other = random.below(number as u64);
            table.deregister(&format!("i-{other}"));
        }
    }
    let evicted: Vec<String> = (0..MAX_INSTANCES + 500)
        .map(|number| format!("i-{number}"))
        .filter(|id| table.get(id).is_none())
        .collect();
    transcript.step(&format!("{} instances, room {}", table.all().count(), table.has_capacity()));
    transcript.step(&format!("{} forgotten: {}", evicted.len(), evicted.join(" ")));
    transcript.step(&format!("revision {}", table.revision()));
    transcript.check("instance_table_full.txt");
}

fn addresses_words(addresses: &[SocketAddrV4]) -> String {
    let words: Vec<String> = addresses.iter().map(SocketAddrV4::to_string).collect();
    format!("[{}]", words.join(" "))
}

fn directory_words(directory: &Directory) -> String {
    format!(
        "revision {} configuration {} of {} bytes epoch {} stores {} taken {} forgotten {} earlier {}",
        directory.revision,
        directory.configuration_version,
        directory.configuration.len(),
        directory.store_epoch,
        directory.stores.len(),
        directory.committed_configurations.len(),
        directory.forgotten_through,
        directory.earlier_store_epochs.len()
    )
}

fn request_words(request: &WatchRequest) -> String {
    let epoch = request.members_epoch.map_or("none".to_owned(), |epoch| epoch.to_string());
    format!(
        "follows with directory {} configuration {} members {epoch} source {} instances {} hold {}",
        request.directory_revision,
        request.configuration_version,
        request.source,
        request.instances_revision,
        request.max_wait_ms
    )
}

fn reply_words(reply: &WatchUpdate) -> String {
    format!(
        "directory {{{}}} members {} {} source {} instances {} {}",
        reply.directory.as_ref().map_or("none".to_owned(), directory_words),
        reply.members_epoch,
        addresses_words(&reply.members),
        reply.source,
        reply.instances_revision,
        instances_words(&reply.instances)
    )
}

fn view_words(view: &ClusterView) -> String {
    format!(
        "directory {{{}}} members {} instances at {}",
        directory_words(view.directory()),
        addresses_words(view.members()),
        view.instances().revision()
    )
}

/// Changes the committed directory: a configuration, or a store.
fn change_directory(directory: &mut Directory, random: &mut Seeded) {
    if random.percent(60) {
        let current = directory.configuration_version;
        let body = Bytes::from("x".repeat(1 + random.below(50) as usize));
        directory.replace_configuration(current, current + 1, &body);
    } else {
        let number = random.below(5);
        let entry = StoreEntry {
            id: StoreId { node: format!("store-{number}"), disk: random.below(3) },
            address: SocketAddrV4::new(Ipv4Addr::new(10, 2, 0, number as u8), 1),
            zone: "a".to_owned(),
            state: StoreState::Active,
        };
        directory.register_store(&entry, &[]);
    }
}

fn members(epoch: u64) -> Vec<SocketAddrV4> {
    (epoch..epoch + 3).map(|number| SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number as u8), 1)).collect()
}

/// Three processes that watch each other, one of which restarts at times; updates come late or never.
struct Processes {
    random: Seeded,
    transcript: Transcript,
    views: Vec<ClusterView>,
    positions: Vec<[WatchPosition; 3]>,
    committed: Directory,
    epoch: u64,
    restarts: u64,
    late_update: Option<(usize, WatchUpdate)>,
}

impl Processes {
    fn new(seed: u64) -> Self {
        Processes {
            random: Seeded::new(seed),
            transcript: Transcript::new(400),
            views: (0..3).map(|number| ClusterView::new(100 + number)).collect(),
            positions: vec![[WatchPosition::default(); 3]; 3],
            committed: Directory::default(),
            epoch: 0,
            restarts: 0,
            late_update: None,
        }
    }

    fn act(&mut self, step: u64) {
        let number = self.random.below(3) as usize;
        match self.random.below(100) {
            0..8 => self.commit_directory(number),
            8..12 => self.adopt_members_of_group(number),
            12..40 => {
                let line = change_table(self.views[number].instances_mut(), &mut self.random, step);
                self.transcript.step(&format!("process {number}: {line}"));
            }
            40..96 => self.watch(number),
            96..98 => self.apply_late_update(),
            _ => self.restart(number),
        }
    }

    fn commit_directory(&mut self, number: usize) {
        let old = self.committed.clone();
        change_directory(&mut self.committed, &mut self.random);
        let newer = self.views[number].adopt_directory(self.committed.clone());
        let older = self.views[number].adopt_directory(old);
        let words = view_words(&self.views[number]);
        self.transcript.step(&format!("process {number} learns: newer {newer}, older {older}: {words}"));
    }

    fn adopt_members_of_group(&mut self, number: usize) {
        self.epoch += self.random.below(2);
        let epoch = self.epoch.saturating_sub(self.random.below(3));
        let reported = if self.random.percent(10) { Vec::new() } else { members(epoch) };
        let words = addresses_words(&reported);
        let newer = self.views[number].adopt_members(epoch, reported);
        self.transcript.step(&format!("process {number} learns members {epoch} {words}: newer {newer}"));
    }

    fn watch(&mut self, number: usize) {
        let source = (number + 1 + self.random.below(2) as usize) % 3;
        let request = self.views[number].watch_request(self.positions[number][source], 250);
        let words = request_words(&request);
        let Some(reply) = self.views[source].update_for(&request) else {
            self.transcript.step(&format!("process {number} {words} {source}: nothing new"));
            return;
        };
        let reply_text = reply_words(&reply);
        self.transcript.step(&format!("process {number} {words} {source}: {reply_text}"));
        if self.random.percent(10) {
            self.late_update = Some((number, reply));
            return;
        }
        self.positions[number][source] =
            WatchPosition { source: reply.source, revision: reply.instances_revision };
        self.apply_update(number, reply);
    }

    fn apply_update(&mut self, number: usize, reply: WatchUpdate) {
        let changed = self.views[number].apply(reply);
        let words = view_words(&self.views[number]);
        self.transcript.step(&format!("process {number} changed {changed}: {words}"));
    }

    fn apply_late_update(&mut self) {
        if let Some((number, reply)) = self.late_update.take() {
            self.apply_update(number, reply);
        }
    }

    fn restart(&mut self, number: usize) {
        self.restarts += 1;
        self.views[number] = ClusterView::new(1000 + self.restarts);
        self.positions[number] = [WatchPosition::default(); 3];
        self.transcript.step(&format!("process {number} starts anew"));
    }
}

#[test]
fn watches_are_answered_as_recorded() {
    for seed in [34, 35] {
        let mut processes = Processes::new(seed);
        for step in 0..3000 {
            processes.act(step);
        }
        for number in 0..3 {
            let all = instances_words(processes.views[number].instances().all());
            processes.transcript.step(&format!("at the end process {number} knows {all}"));
        }
        processes.transcript.check(&format!("instance_view_{seed}.txt"));
    }
}

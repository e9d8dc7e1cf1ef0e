//! The client's decisions as one machine: an event and the time in, actions out. It holds every call that is
//! open, every connection and every timer; `advance` carries out what has come due.
//!
//! Of each call it gives exactly one `Finish`, unless the call is dropped first. Between a `Send` and the end
//! of that try nothing else is sent for the call, so a try that may still run is never doubled.

use super::again::{self, Doubt, End, Next, Past, Proof, Repeats, When};
use super::budget::RetryBudget;
use super::line::Line;
use super::scheduler::{Cause, Health, LinkLimits, Scheduler, Tier};
use super::volumes::{self, Ranked, Volumes};
use super::wheel::{TimerKey, Wheel};
use super::{CallId, LinkId, Moment};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// What a class allows, and how long its calls take at the least.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRules {
    /// Whether and how often it goes out again.
    pub repeats: Repeats,
    /// A try that has less than this left is not started.
    pub least: Duration,
}

/// What the engine goes by.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The classes, by number.
    pub classes: Vec<ClassRules>,
    /// The sets, by number.
    pub sets: Vec<SetRules>,
    /// What each served call adds to the budget, in retries.
    pub retry_share: f64,
    /// Retries that may be saved.
    pub retry_burst: f64,
    /// The first backoff's upper bound, where no time was told; twice as long for each further one.
    pub backoff: Duration,
    /// The longest backoff.
    pub most_backoff: Duration,
    /// Calls that were held return within so much after the told time, each at a time of its own.
    pub return_spread: Duration,
    /// A refusal holds its volume back for no longer than this.
    pub most_hold: Duration,
    /// Connections.
    pub links: LinkLimits,
    /// Seed of all that is drawn.
    pub seed: u64,
}

/// One set of schedulers.
#[derive(Clone, Debug, PartialEq)]
pub struct SetRules {
    /// Where they listen.
    pub schedulers: Vec<SocketAddr>,
    /// How many of them carry one volume.
    pub spread: usize,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The program calls.
    Call {
        /// Its id, never used before.
        call: CallId,
        /// The class's number.
        class: u16,
        /// The set's number.
        set: u16,
        /// The volume.
        volume: u64,
        /// When the program stops waiting.
        deadline: Moment,
    },
    /// The program no longer waits.
    Dropped {
        /// For this call.
        call: CallId,
    },
    /// A connection came up.
    Opened {
        /// Which.
        link: LinkId,
    },
    /// A connection did not come up.
    NotOpened {
        /// Which.
        link: LinkId,
    },
    /// A trial came to an end.
    Tried {
        /// Its connection, which is kept where the scheduler takes work.
        link: LinkId,
        /// Whether it does.
        ready: bool,
    },
    /// A try ended.
    Ended {
        /// Its connection.
        link: LinkId,
        /// How.
        end: End,
        /// Whether the connection can carry another.
        kept: bool,
    },
    /// A connection that carried nothing was closed by the other side.
    Closed {
        /// Which.
        link: LinkId,
    },
    /// A set has other schedulers now.
    Schedulers {
        /// The set's number.
        set: u16,
        /// All of its schedulers.
        addresses: Vec<SocketAddr>,
    },
}

/// Why no further try was made of a call that ended as refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoFurther {
    /// It had as many as it may.
    TriesSpent,
    /// The budget that all calls share has no retry left.
    BudgetSpent,
    /// It could not have been answered in time.
    NoTime,
    /// The volume is held back after another call's refusal, for longer than this call can wait.
    Held,
    /// The line of calls is full; nothing was sent.
    LineFull,
}

/// The one end of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Served, with what the last try brought.
    Served,
    /// Refused: it never ran, or is safe to repeat.
    Refused {
        /// When to return, counted from now, where it was told.
        retry_after: Option<Duration>,
        /// Why no further try was made.
        why: NoFurther,
    },
    /// Failed; it may have run.
    MayHaveRun(Doubt),
    /// Failed; it never ran.
    NeverRan(Proof),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Open a connection.
    Open {
        /// Its id.
        link: LinkId,
        /// To where.
        address: SocketAddr,
    },
    /// Open a connection and ask there whether it takes work.
    Try {
        /// Its id.
        link: LinkId,
        /// To where.
        address: SocketAddr,
    },
    /// End a connection, whatever it carries.
    Close {
        /// Which.
        link: LinkId,
    },
    /// Send a call's request on a connection that is up and idle.
    Send {
        /// The call.
        call: CallId,
        /// The connection.
        link: LinkId,
        /// Where it leads.
        address: SocketAddr,
        /// How many schedulers carry the volume.
        hosts: usize,
        /// Whether it is marked as a retry.
        marked: bool,
    },
    /// Tell the program.
    Finish {
        /// The call.
        call: CallId,
        /// Its end.
        verdict: Verdict,
    },
    /// Tell whoever watches.
    Note(Note),
}

/// What an operator may want to know.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// A scheduler was set aside.
    Aside {
        /// Which.
        address: SocketAddr,
        /// Why.
        cause: Cause,
        /// For how long, at the least.
        wait: Duration,
    },
    /// A scheduler takes work again.
    Back {
        /// Which.
        address: SocketAddr,
    },
    /// A connection was lost unannounced.
    Lost {
        /// To which scheduler.
        address: SocketAddr,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timer {
    Deadline(CallId),
    Resume(CallId),
    Open(u32),
    Connect(LinkId),
    Sweep(u32),
    Trial(u32),
}

#[derive(Debug)]
enum Place {
    Held(TimerKey),
    InLine(u32),
    Stranded,
    Out { link: LinkId, since: Moment },
}

#[derive(Debug)]
struct Call {
    class: u16,
    set: u16,
    volume: u64,
    deadline: Moment,
    timer: TimerKey,
    past: Past,
    /// What the last refusal told.
    refused: Option<Option<Duration>>,
    /// Where the next try is to go, or not to go, if that can be had.
    prefer: Option<u32>,
    avoid: Option<u32>,
    marked: bool,
    place: Place,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    Opening(TimerKey),
    Trying(TimerKey),
    Idle,
    Out(CallId),
}

#[derive(Debug)]
struct Link {
    scheduler: u32,
    used: Use,
}

#[derive(Debug)]
struct Set {
    members: Vec<Ranked>,
    version: u64,
    spread: usize,
    /// Calls for which no scheduler can be had.
    stranded: Line,
}

/// The machine.
#[derive(Debug)]
pub struct Engine {
    rules: Rules,
    sets: Vec<Set>,
    /// By number; numbers are never used twice.
    schedulers: BTreeMap<u32, Scheduler>,
    next_scheduler: u32,
    calls: HashMap<CallId, Call>,
    links: HashMap<LinkId, Link>,
    next_link: u64,
    volumes: Volumes,
    budget: RetryBudget,
    timers: Wheel<Timer>,
    fired: Vec<Timer>,
    rng: SmallRng,
}

/// How long a scheduler that is set aside counts as wanted after a call would have gone there.
const WANTED: Duration = Duration::from_secs(10);

impl Engine {
    /// A machine with nothing open.
    pub fn new(rules: Rules) -> Self {
        let mut engine = Engine {
            sets: Vec::new(),
            schedulers: BTreeMap::new(),
            next_scheduler: 0,
            calls: HashMap::new(),
            links: HashMap::new(),
            next_link: 0,
            volumes: Volumes::default(),
            budget: RetryBudget::new(rules.retry_share, rules.retry_burst),
            timers: Wheel::default(),
            fired: Vec::new(),
            rng: SmallRng::seed_from_u64(rules.seed),
            rules,
        };
        for set in engine.rules.sets.clone() {
            let stranded = Line::default();
            engine.sets.push(Set { members: Vec::new(), version: 0, spread: set.spread, stranded });
            let number = engine.sets.len() - 1;
            engine.list(number, &set.schedulers);
        }
        engine
    }

    /// When `advance` should be called next, where anything is planned.
    pub fn next(&self) -> Option<Moment> {
        self.timers.next()
    }

    /// Whether a connection is still counted on: one that was closed while a try was out on it is not.
    pub fn knows(&self, link: LinkId) -> bool {
        self.links.contains_key(&link)
    }

    /// Calls that are open.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Connections in whatever state, to this scheduler.
    pub fn links_to(&self, address: SocketAddr) -> usize {
        self.schedulers.values().filter(|s| s.address == address).map(|s| s.links).sum()
    }

    /// Timers that run.
    pub fn timers(&self) -> usize {
        self.timers.len()
    }

    /// Carries out what has come due.
    pub fn advance(&mut self, now: Moment, out: &mut Vec<Action>) {
        let mut fired = std::mem::take(&mut self.fired);
        self.timers.fire(now, &mut fired);
        for timer in fired.drain(..) {
            match timer {
                Timer::Deadline(call) => self.overdue(now, call, out),
                Timer::Resume(call) => self.route(now, call, out),
                Timer::Open(number) => self.open_due(now, number, out),
                Timer::Connect(link) => {
                    out.push(Action::Close { link });
                    self.not_opened(now, link, out);
                }
                Timer::Sweep(number) => self.sweep(now, number, out),
                Timer::Trial(number) => self.trial_due(now, number, out),
            }
        }
        self.fired = fired;
    }

    /// Takes an event; what had come due before it is carried out first.
    pub fn handle(&mut self, now: Moment, event: Event, out: &mut Vec<Action>) {
        self.advance(now, out);
        match event {
            Event::Call { call, class, set, volume, deadline } => {
                let timer = self.timers.start(deadline, Timer::Deadline(call));
                let open = Call {
                    class,
                    set,
                    volume,
                    deadline,
                    timer,
                    past: Past::default(),
                    refused: None,
                    prefer: None,
                    avoid: None,
                    marked: false,
                    place: Place::Stranded,
                };
                self.calls.insert(call, open);
                self.route(now, call, out);
            }
            Event::Dropped { call } => self.dropped(now, call, out),
            Event::Opened { link } => self.opened(now, link, out),
            Event::NotOpened { link } => self.not_opened(now, link, out),
            Event::Tried { link, ready } => self.tried(now, link, ready, out),
            Event::Ended { link, end, kept } => self.ended(now, link, end, kept, out),
            Event::Closed { link } => self.closed(now, link, out),
            Event::Schedulers { set, addresses } => {
                self.list(usize::from(set), &addresses);
                self.unlisted(now, out);
                self.unstrand(now, out);
            }
        }
    }

    // Calls.

    /// Finds a call its place: sent, in a line, held back, stranded, or ended.
    fn route(&mut self, now: Moment, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let least = self.rules.classes[usize::from(call.class)].least;
        let (set_number, volume_id, deadline) = (usize::from(call.set), call.volume, call.deadline);
        if now + least >= deadline {
            return self.out_of_time(id, out);
        }
        if let Some(until) = self.volumes.held(now, volume_id) {
            if until + least >= deadline {
                let retry_after = Some(now.until(until));
                return self.finish(id, Verdict::Refused { retry_after, why: NoFurther::Held }, out);
            }
            return self.hold_call(now, id, until);
        }
        let (prefer, avoid) = (call.prefer, call.avoid);
        let set = &self.sets[set_number];
        let volume = self.volumes.volume(now, volume_id, set.version, &set.members);
        let schedulers = &mut self.schedulers;
        for &number in volume.ranked() {
            if let Some(scheduler) = schedulers.get_mut(&number) {
                scheduler.wanted = now;
            }
        }
        let at = |number: u32, tier: Tier| {
            let scheduler = schedulers.get(&number)?;
            (scheduler.tier(now)? <= tier).then(|| scheduler.load())
        };
        let preferred = prefer.filter(|&number| at(number, Tier::Ready).is_some());
        let chosen = preferred
            .or_else(|| volume.choose(set.spread, avoid, |number| at(number, Tier::Ready)))
            .or_else(|| volume.choose(set.spread, avoid, |number| at(number, Tier::Recovering)))
            .or_else(|| volume.choose(set.spread, avoid, |number| at(number, Tier::Leaving)));
        let wanting: Vec<u32> = volume.ranked().to_vec();
        match chosen {
            Some(number) => self.join(now, id, number, out),
            None => self.strand(id, out),
        }
        for number in wanting {
            self.trial_due(now, number, out);
        }
    }

    /// Lets a call wait until some scheduler of its set takes work.
    fn strand(&mut self, id: CallId, out: &mut Vec<Action>) {
        let most = self.rules.links.most_waiting;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.place = Place::Stranded;
        let (volume, deadline) = (call.volume, call.deadline);
        if let Some(loser) = self.sets[usize::from(call.set)].stranded.join(id, volume, deadline, most) {
            self.line_full(loser, out);
        }
    }

    /// Puts a call on a connection, or into the line for one.
    fn join(&mut self, now: Moment, id: CallId, number: u32, out: &mut Vec<Action>) {
        if let Some(link) = self.take_idle(now, number, out) {
            return self.send(now, id, link, out);
        }
        // Guards against a line that nothing moves: what a leaving scheduler had idle was too old.
        if self.schedulers.get(&number).is_none_or(|scheduler| scheduler.health != Health::Up) {
            return self.strand(id, out);
        }
        let most = self.rules.links.most_waiting;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.place = Place::InLine(number);
        let (volume, deadline) = (call.volume, call.deadline);
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        if let Some(loser) = scheduler.line.join(id, volume, deadline, most) {
            self.line_full(loser, out);
        }
        self.fill(now, number, out);
    }

    fn line_full(&mut self, loser: CallId, out: &mut Vec<Action>) {
        let verdict = Verdict::Refused { retry_after: None, why: NoFurther::LineFull };
        self.finish_unplaced(loser, verdict, out);
    }

    fn send(&mut self, now: Moment, id: CallId, link: LinkId, out: &mut Vec<Action>) {
        let (Some(call), Some(open)) = (self.calls.get_mut(&id), self.links.get_mut(&link)) else { return };
        let Some(scheduler) = self.schedulers.get(&open.scheduler) else { return };
        call.place = Place::Out { link, since: now };
        open.used = Use::Out(id);
        let set = &self.sets[usize::from(call.set)];
        let hosts = set.spread.min(set.members.len()).max(1);
        out.push(Action::Send { call: id, link, address: scheduler.address, hosts, marked: call.marked });
    }

    /// Holds a call until then, and a little longer, at a time of its own where its deadline leaves room.
    fn hold_call(&mut self, now: Moment, id: CallId, until: Moment) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let latest = Moment(call.deadline.0.saturating_sub(
            self.rules.classes[usize::from(call.class)].least.as_micros() as u64 + 2 * super::wheel::TICK,
        ));
        let room = until.until(latest).min(self.rules.return_spread);
        let at = until.max(now) + room.mul_f64(self.rng.random_range(0.0..1.0));
        call.place = Place::Held(self.timers.start(at, Timer::Resume(id)));
    }

    fn ended(&mut self, now: Moment, link: LinkId, end: End, kept: bool, out: &mut Vec<Action>) {
        let Some(&Link { scheduler: number, used: Use::Out(id) }) = self.links.get(&link) else { return };
        let whole = matches!(end, End::Served | End::Refused { .. } | End::MayHaveRun(Doubt::Reported(_)));
        let limits = &self.rules.links;
        let mut aside = false;
        if let Some(scheduler) = self.schedulers.get_mut(&number) {
            if whole {
                scheduler.answered(now);
            } else {
                let broke = matches!(
                    end,
                    End::NeverRan(Proof::Unfinished)
                        | End::MayHaveRun(Doubt::Broken { kept: false } | Doubt::Cut | Doubt::Unreadable)
                );
                let busy = broke || matches!(end, End::MayHaveRun(Doubt::Broken { .. }));
                scheduler.lost(now, busy, limits, &mut self.rng);
                out.push(Action::Note(Note::Lost { address: scheduler.address }));
                aside = broke && scheduler.broke() && scheduler.health == Health::Up;
            }
        }
        // Before the connection goes to the next in line: guards against calls that are sent on a volume whose
        // refusal has just come on that same connection.
        self.learn(now, id, end);
        if kept {
            self.rest(now, link, out);
        } else {
            self.remove_link(link);
        }
        if aside {
            self.set_aside(now, number, Cause::Breaks, out);
        }
        self.after(now, id, number, end, out);
        self.fill(now, number, out);
    }

    /// What a try's end says beyond its own call.
    fn learn(&mut self, now: Moment, id: CallId, end: End) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let volume = call.volume;
        match end {
            End::Served => self.budget.earn(),
            End::Refused { told } => {
                call.refused = Some(told);
                if let Some(told) = told {
                    self.volumes.hold(volume, now + volumes::hold(told, self.rules.most_hold));
                }
            }
            End::MayHaveRun(doubt) => call.past.doubt = call.past.doubt.or(Some(doubt)),
            End::NeverRan(_) => {}
        }
    }

    /// What follows a try that has ended.
    fn after(&mut self, now: Moment, id: CallId, number: u32, end: End, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let rules = &self.rules.classes[usize::from(call.class)];
        match again::next(rules.repeats, call.past, end) {
            Next::Final => {
                let verdict = match end {
                    End::Served => Verdict::Served,
                    End::Refused { told } => {
                        Verdict::Refused { retry_after: told, why: NoFurther::TriesSpent }
                    }
                    End::MayHaveRun(doubt) => Verdict::MayHaveRun(doubt),
                    End::NeverRan(proof) => match call.past.doubt {
                        Some(doubt) => Verdict::MayHaveRun(doubt),
                        None => Verdict::NeverRan(proof),
                    },
                };
                self.finish_unplaced(id, verdict, out);
            }
            Next::Replace => {
                call.past.replaced = true;
                call.avoid = matches!(end, End::NeverRan(Proof::Unfinished)).then_some(number);
                self.route(now, id, out);
            }
            Next::Retry { when, elsewhere } => {
                let retries = u32::from(call.past.retries);
                let bound =
                    self.rules.backoff.saturating_mul(1 << retries.min(16)).min(self.rules.most_backoff);
                let until = match when {
                    When::Now => now,
                    // A day's wait ends the call here, whatever the volume's hold is cut to.
                    When::Told(Some(told)) => now + told,
                    When::Told(None) | When::Backoff => now + bound.mul_f64(self.rng.random_range(0.0..1.0)),
                };
                let no_further = if until + rules.least >= call.deadline {
                    Some(NoFurther::NoTime)
                } else if !self.budget.spend() {
                    Some(NoFurther::BudgetSpent)
                } else {
                    None
                };
                if let Some(why) = no_further {
                    let verdict = match (end, call.past.doubt) {
                        (End::Refused { told }, _) => Verdict::Refused { retry_after: told, why },
                        (_, Some(doubt)) => Verdict::MayHaveRun(doubt),
                        (End::NeverRan(proof), None) => Verdict::NeverRan(proof),
                        (End::Served | End::MayHaveRun(_), None) => unreachable!("noted above"),
                    };
                    return self.finish_unplaced(id, verdict, out);
                }
                call.past.retries += 1;
                call.marked = true;
                (call.prefer, call.avoid) =
                    if elsewhere { (None, Some(number)) } else { (Some(number), None) };
                self.hold_call(now, id, until);
            }
        }
    }

    /// A call's time is over.
    fn overdue(&mut self, now: Moment, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let Place::Out { link, since } = call.place else { return self.out_of_time(id, out) };
        let number = self.links.get(&link).map(|link| link.scheduler);
        out.push(Action::Close { link });
        self.remove_link(link);
        self.finish_unplaced(id, Verdict::MayHaveRun(Doubt::Silent), out);
        let Some(number) = number else { return };
        // Only a scheduler of which nothing at all was heard since then is silent; one that answers others
        // has left one call unanswered.
        let silent = self.schedulers.get(&number).is_some_and(|s| s.health == Health::Up && s.heard <= since);
        if silent {
            self.set_aside(now, number, Cause::Silent, out);
        }
        self.fill(now, number, out);
    }

    /// A call that is not out has no time left for a try.
    fn out_of_time(&mut self, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let verdict = match (call.refused, call.past.doubt) {
            (Some(told), _) => Verdict::Refused { retry_after: told, why: NoFurther::NoTime },
            (None, Some(doubt)) => Verdict::MayHaveRun(doubt),
            (None, None) => Verdict::NeverRan(Proof::NotTried),
        };
        self.finish(id, verdict, out);
    }

    fn dropped(&mut self, now: Moment, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let out_on = match call.place {
            Place::Out { link, .. } => Some(link),
            _ => None,
        };
        self.leave_place(id);
        if let Some(call) = self.calls.remove(&id) {
            self.timers.cancel(call.timer);
        }
        if let Some(link) = out_on {
            let number = self.links.get(&link).map(|link| link.scheduler);
            out.push(Action::Close { link });
            self.remove_link(link);
            if let Some(number) = number {
                self.fill(now, number, out);
            }
        }
    }

    fn leave_place(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        match call.place {
            Place::Held(key) => {
                self.timers.cancel(key);
            }
            Place::InLine(number) => {
                if let Some(scheduler) = self.schedulers.get_mut(&number) {
                    scheduler.line.leave(id, call.deadline);
                }
            }
            Place::Stranded => {
                self.sets[usize::from(call.set)].stranded.leave(id, call.deadline);
            }
            Place::Out { .. } => {}
        }
    }

    fn finish(&mut self, id: CallId, verdict: Verdict, out: &mut Vec<Action>) {
        self.leave_place(id);
        self.finish_unplaced(id, verdict, out);
    }

    /// Ends a call that stands in no line and has no timer of its place.
    fn finish_unplaced(&mut self, id: CallId, verdict: Verdict, out: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.timers.cancel(call.timer);
        out.push(Action::Finish { call: id, verdict });
    }

    // Connections.

    /// An idle connection that may be used, the last used first. Those idle for too long are closed: a
    /// scheduler may be closing them at this moment, and this process may have stood still.
    fn take_idle(&mut self, now: Moment, number: u32, out: &mut Vec<Action>) -> Option<LinkId> {
        let scheduler = self.schedulers.get_mut(&number)?;
        let (link, since) = scheduler.idle.pop()?;
        if since.until(now) < self.rules.links.idle {
            return Some(link);
        }
        let stale: Vec<LinkId> = scheduler.idle.drain(..).map(|(link, _)| link).chain([link]).collect();
        for link in stale {
            out.push(Action::Close { link });
            self.remove_link(link);
        }
        None
    }

    /// Takes a connection off the books.
    fn remove_link(&mut self, link: LinkId) {
        let Some(Link { scheduler: number, used }) = self.links.remove(&link) else { return };
        if let Use::Opening(timer) | Use::Trying(timer) = used {
            self.timers.cancel(timer);
        }
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        scheduler.links -= 1;
        scheduler.opening -= usize::from(matches!(used, Use::Opening(_)));
        if used == Use::Idle {
            scheduler.idle.retain(|(idle, _)| *idle != link);
        }
        self.forget(number);
    }

    /// Forgets a scheduler that no set lists and to which no connection is left.
    fn forget(&mut self, number: u32) {
        let gone =
            self.schedulers.get(&number).is_some_and(|s| s.listed == 0 && s.links == 0 && s.line.is_empty());
        if gone && let Some(scheduler) = self.schedulers.remove(&number) {
            for timer in scheduler.due {
                self.timers.cancel(timer);
            }
        }
    }

    /// Opens or plans connections for as long as the line wants them.
    fn fill(&mut self, now: Moment, number: u32, out: &mut Vec<Action>) {
        while let Some(scheduler) = self.schedulers.get_mut(&number) {
            let Some(at) = scheduler.next_open(now, &self.rules.links, &mut self.rng) else { return };
            if at > now {
                scheduler.due.push(self.timers.start(at, Timer::Open(number)));
                continue;
            }
            self.open(now, number, out);
        }
    }

    fn new_link(&mut self, number: u32, used: Use) -> LinkId {
        let link = LinkId(self.next_link);
        self.next_link += 1;
        self.links.insert(link, Link { scheduler: number, used });
        link
    }

    fn open(&mut self, now: Moment, number: u32, out: &mut Vec<Action>) {
        let link = LinkId(self.next_link);
        let timer = self.timers.start(now + self.rules.links.connect, Timer::Connect(link));
        self.new_link(number, Use::Opening(timer));
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        scheduler.links += 1;
        scheduler.opening += 1;
        out.push(Action::Open { link, address: scheduler.address });
    }

    /// A planned connection's time has come.
    fn open_due(&mut self, now: Moment, number: u32, out: &mut Vec<Action>) {
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        // Its key is one of those that run no more.
        let timers = &mut self.timers;
        let mut fired = None;
        for (position, &key) in scheduler.due.iter().enumerate() {
            if timers.at(key).is_none() {
                fired = Some(position);
                break;
            }
        }
        let Some(position) = fired else { return };
        scheduler.due.swap_remove(position);
        let wanted = scheduler.opening < scheduler.line.len() && scheduler.links < self.rules.links.most;
        if wanted && scheduler.health == Health::Up {
            self.open(now, number, out);
        }
        self.fill(now, number, out);
    }

    fn opened(&mut self, now: Moment, link: LinkId, out: &mut Vec<Action>) {
        let Some(open) = self.links.get_mut(&link) else { return };
        let Use::Opening(timer) = open.used else { return };
        self.timers.cancel(timer);
        let number = open.scheduler;
        open.used = Use::Idle;
        if let Some(scheduler) = self.schedulers.get_mut(&number) {
            scheduler.opening -= 1;
        }
        self.rest(now, link, out);
    }

    /// Gives a connection that is up to the most urgent call in line, or lets it be idle.
    fn rest(&mut self, now: Moment, link: LinkId, out: &mut Vec<Action>) {
        let Some(open) = self.links.get_mut(&link) else { return };
        open.used = Use::Idle;
        let number = open.scheduler;
        loop {
            let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
            let Some(id) = scheduler.line.pop() else { break };
            let Some(call) = self.calls.get_mut(&id) else { continue };
            // It stands in no line now, and holds no timer but its deadline's.
            call.place = Place::Stranded;
            if now + self.rules.classes[usize::from(call.class)].least >= call.deadline {
                self.out_of_time(id, out);
            } else if self.volumes.held(now, self.calls[&id].volume).is_some() {
                // Held back while it stood in line.
                self.route(now, id, out);
            } else {
                return self.send(now, id, link, out);
            }
        }
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        if scheduler.listed == 0 {
            out.push(Action::Close { link });
            return self.remove_link(link);
        }
        scheduler.idle.push((link, now));
        if !scheduler.sweep_planned {
            scheduler.sweep_planned = true;
            self.timers.start(now + self.rules.links.idle, Timer::Sweep(number));
        }
    }

    fn not_opened(&mut self, now: Moment, link: LinkId, out: &mut Vec<Action>) {
        let Some(open) = self.links.get(&link) else { return };
        let (number, used) = (open.scheduler, open.used);
        self.remove_link(link);
        let cause = match used {
            Use::Opening(_) => Cause::NoConnection,
            Use::Trying(_) => Cause::NotReady,
            Use::Idle | Use::Out(_) => return,
        };
        // Of several that failed together, one counts.
        let counts = self.schedulers.get(&number).is_some_and(|scheduler| match scheduler.health {
            Health::Up => true,
            Health::Aside { trial, .. } => trial == Some(link),
        });
        if counts {
            self.set_aside(now, number, cause, out);
        }
    }

    fn closed(&mut self, now: Moment, link: LinkId, out: &mut Vec<Action>) {
        let Some(&Link { scheduler: number, used: Use::Idle }) = self.links.get(&link) else { return };
        if let Some(scheduler) = self.schedulers.get_mut(&number) {
            scheduler.lost(now, false, &self.rules.links, &mut self.rng);
            out.push(Action::Note(Note::Lost { address: scheduler.address }));
        }
        self.remove_link(link);
    }

    /// Closes what has been idle for too long.
    fn sweep(&mut self, now: Moment, number: u32, out: &mut Vec<Action>) {
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        let idle = self.rules.links.idle;
        let stale: Vec<LinkId> = scheduler
            .idle
            .iter()
            .take_while(|(_, since)| since.until(now) >= idle)
            .map(|(link, _)| *link)
            .collect();
        let next = scheduler.idle.get(stale.len()).map(|(_, since)| *since + idle);
        scheduler.sweep_planned = next.is_some();
        if let Some(at) = next {
            self.timers.start(at, Timer::Sweep(number));
        }
        for link in stale {
            out.push(Action::Close { link });
            self.remove_link(link);
        }
    }

    // Schedulers.

    /// Sets a scheduler aside: who stands in its line goes elsewhere, and one trial is planned.
    fn set_aside(&mut self, now: Moment, number: u32, cause: Cause, out: &mut Vec<Action>) {
        let aside = |set: &Set| {
            let lost =
                |n: &u32| self.schedulers.get(n).is_some_and(|s| s.health != Health::Up || *n == number);
            let members = set.members.iter().map(|member| member.number);
            if members.clone().any(|n| n == number) { members.filter(lost).count() } else { 1 }
        };
        let aside = self.sets.iter().map(aside).max().unwrap_or(1);
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        let until = scheduler.set_aside(now, cause, aside, &self.rules.links, &mut self.rng);
        let wait = now.until(until);
        out.push(Action::Note(Note::Aside { address: scheduler.address, cause, wait }));
        self.timers.start(until, Timer::Trial(number));
        for timer in std::mem::take(&mut scheduler.due) {
            self.timers.cancel(timer);
        }
        // Where it says nothing, its idle connections say nothing either.
        let useless: Vec<LinkId> = match cause {
            Cause::Silent => scheduler.idle.iter().map(|(link, _)| *link).collect(),
            _ => Vec::new(),
        };
        let waiting = scheduler.line.drain();
        for link in useless {
            out.push(Action::Close { link });
            self.remove_link(link);
        }
        self.reroute(now, waiting, out);
    }

    fn reroute(&mut self, now: Moment, calls: Vec<CallId>, out: &mut Vec<Action>) {
        for id in calls {
            if let Some(call) = self.calls.get_mut(&id) {
                call.place = Place::Stranded;
                self.route(now, id, out);
            }
        }
    }

    /// Begins a scheduler's trial if it is time for it and a call wants it: one trial, by no call's leave, so
    /// that none is lost to it.
    fn trial_due(&mut self, now: Moment, number: u32, out: &mut Vec<Action>) {
        let Some(scheduler) = self.schedulers.get(&number) else { return };
        let Health::Aside { until, trial: None, .. } = scheduler.health else { return };
        if now < until || scheduler.listed == 0 || scheduler.wanted.until(now) > WANTED {
            return;
        }
        let link = LinkId(self.next_link);
        let timer = self.timers.start(now + self.rules.links.trial, Timer::Connect(link));
        self.new_link(number, Use::Trying(timer));
        let Some(scheduler) = self.schedulers.get_mut(&number) else { return };
        scheduler.links += 1;
        if let Health::Aside { trial, .. } = &mut scheduler.health {
            *trial = Some(link);
        }
        out.push(Action::Try { link, address: scheduler.address });
    }

    fn tried(&mut self, now: Moment, link: LinkId, ready: bool, out: &mut Vec<Action>) {
        let Some(&Link { scheduler: number, used: Use::Trying(timer) }) = self.links.get(&link) else {
            return;
        };
        if !ready {
            return self.not_opened(now, link, out);
        }
        self.timers.cancel(timer);
        if let Some(scheduler) = self.schedulers.get_mut(&number) {
            scheduler.back(now, &self.rules.links, &mut self.rng);
            out.push(Action::Note(Note::Back { address: scheduler.address }));
        }
        self.rest(now, link, out);
        self.unstrand(now, out);
    }

    /// Finds a place for the calls that had none.
    fn unstrand(&mut self, now: Moment, out: &mut Vec<Action>) {
        for set in 0..self.sets.len() {
            let waiting = self.sets[set].stranded.drain();
            self.reroute(now, waiting, out);
        }
    }

    /// Gives a set these schedulers.
    fn list(&mut self, set: usize, addresses: &[SocketAddr]) {
        let mut members: Vec<Ranked> = Vec::new();
        for &address in addresses {
            let known = self.schedulers.iter().find(|(_, s)| s.address == address);
            let number = known.map(|(&number, _)| number).unwrap_or_else(|| {
                let number = self.next_scheduler;
                self.next_scheduler += 1;
                self.schedulers.insert(number, Scheduler::new(address, volumes::address_hash(address)));
                number
            });
            if members.iter().any(|member| member.number == number) {
                continue;
            }
            if let Some(scheduler) = self.schedulers.get_mut(&number) {
                scheduler.listed += 1;
                members.push(Ranked { number, hash: scheduler.hash });
            }
        }
        let Some(set) = self.sets.get_mut(set) else { return };
        let before = std::mem::replace(&mut set.members, members);
        set.version += 1;
        for member in before {
            if let Some(scheduler) = self.schedulers.get_mut(&member.number) {
                scheduler.listed -= 1;
            }
        }
    }

    /// Sends away who waits at schedulers that no set lists any more, and closes what is idle there. Requests
    /// that are out come to their end.
    fn unlisted(&mut self, now: Moment, out: &mut Vec<Action>) {
        let gone: Vec<u32> = self.schedulers.iter().filter(|(_, s)| s.listed == 0).map(|(&n, _)| n).collect();
        for number in gone {
            let Some(scheduler) = self.schedulers.get_mut(&number) else { continue };
            let waiting = scheduler.line.drain();
            let idle: Vec<LinkId> = scheduler.idle.iter().map(|(link, _)| *link).collect();
            for link in idle {
                out.push(Action::Close { link });
                self.remove_link(link);
            }
            self.forget(number);
            self.reroute(now, waiting, out);
        }
    }
}

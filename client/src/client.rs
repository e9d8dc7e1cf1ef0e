//! The client: built once, cloned freely, and called from any task of the runtime it was built on.

use crate::config::{Checked, ClassConfig, ClientConfig, ConfigErrors, SetConfig};
use crate::connection::{CallRequest, Exchange, encode};
use crate::decide::engine::{Engine, Event, NoRetryReason, Verdict};
use crate::decide::retry_policy::{MayHaveRunCause, NeverRanCause};
use crate::decide::{CallId, Instant};
use crate::driver::{AttemptSlot, CallCommand, Driver, NOT_STARTED};
use crate::observe::Observer;
use bytes::Bytes;
use http::{HeaderValue, Method};
use pointcross_platform_http::platform::{Extras, write_path};
use std::future::IntoFuture;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time;
use tracing::Instrument;

/// A piece of data and what its request counts.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// The volume.
    pub volume: u64,
    /// The piece.
    pub piece: u64,
    /// The volume's plan, under its name in the settings.
    pub plan: String,
    /// The shard that holds it; `None` for a new object.
    pub shard: Option<u32>,
    /// The request's size in units.
    pub units: f64,
}

impl Item {
    /// A piece of one unit.
    pub fn new(volume: u64, piece: u64, plan: impl Into<String>, shard: Option<u32>) -> Self {
        Item { volume, piece, plan: plan.into(), shard, units: 1.0 }
    }

    /// The same, of this size.
    pub fn units(self, units: f64) -> Self {
        Item { units, ..self }
    }
}

/// Why a refused call was not served, and when to return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// When a new call makes sense, counted from the call's end, where the scheduler said so.
    pub retry_after: Option<Duration>,
    /// Why it was not retried.
    pub why: NoRetryReason,
}

/// How a call failed. The two stay apart, since a program may send again what never ran.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum Failure {
    /// It may have run. A write must not be sent again before its effect was checked.
    #[error("failed, and may have run: {0:?}")]
    MayHaveRun(MayHaveRunCause),
    /// It never ran.
    #[error("failed, and never ran: {0:?}")]
    NeverRan(NeverRanCause),
}

/// The one end of a call.
#[derive(Clone, Debug, PartialEq)]
#[must_use = "a refused or failed call has done nothing, or nobody knows what"]
pub enum Outcome {
    /// Served, with the answer's body.
    Served(Bytes),
    /// Refused; trying again later is harmless.
    Refused(Refused),
    /// Failed.
    Failed(Failure),
}

impl Outcome {
    /// The answer's body, where it was served.
    pub fn served(self) -> Option<Bytes> {
        match self {
            Outcome::Served(body) => Some(body),
            _ => None,
        }
    }
}

/// Why a call cannot be made at all. It names what is wrong; nothing was sent.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CallError {
    /// The configuration knows no such class.
    #[error("class: {0:?} is not configured")]
    Class(String),
    /// More than one class, or none, would do.
    #[error("class: {0} classes could be meant; name one")]
    AnyClass(usize),
    /// No set takes this volume.
    #[error("volume: {0:016x} belongs to no set")]
    Volume(u64),
    /// The plan's name cannot stand in a header.
    #[error("plan: {0:?} cannot stand in a header")]
    Plan(String),
    /// The size is not a positive number.
    #[error("units: {0} is not over 0")]
    Units(f64),
    /// A read has a body.
    #[error("body: a read has none")]
    ReadBody,
    /// A body is over what the platform's requests hold.
    #[error("body: {0} bytes, over 65536")]
    Large(usize),
}

/// A request's body holds at most this much (PROTOCOL).
const MAX_BODY: usize = 64 * 1024;

struct Inner {
    driver: Arc<Driver>,
    checked: Checked,
    /// Correlation ids: a bijection of a counter, apart from other clients' by a number of their own.
    ids: AtomicU64,
    id_mask: u64,
}

/// The client. Clones share everything; it ends with the last of them and its calls.
#[derive(Clone)]
pub struct Client(Arc<Inner>);

/// Builds a [`Client`].
#[derive(Default)]
pub struct Builder {
    config: ClientConfig,
    observer: Option<Arc<dyn Observer>>,
}

impl Builder {
    /// Starts from this configuration.
    pub fn config(mut self, config: ClientConfig) -> Self {
        self.config = config;
        self
    }

    /// Adds or replaces a set of schedulers that takes all volumes no other set names.
    pub fn set(mut self, name: &str, schedulers: impl IntoIterator<Item = SocketAddr>) -> Self {
        let set =
            SetConfig { schedulers: schedulers.into_iter().collect(), spread: None, volumes: Vec::new() };
        self.config.sets.insert(name.to_owned(), set);
        self
    }

    /// Adds or replaces a class.
    pub fn class(mut self, name: &str, class: ClassConfig) -> Self {
        self.config.classes.insert(name.to_owned(), class);
        self
    }

    /// Sets the seed of all that is drawn, for tests.
    pub fn seed(mut self, seed: u64) -> Self {
        self.config.seed = Some(seed);
        self
    }

    /// Changes anything else.
    pub fn with(mut self, change: impl FnOnce(&mut ClientConfig)) -> Self {
        change(&mut self.config);
        self
    }

    /// Notifies this observer of what happens.
    pub fn observer(mut self, observer: Arc<dyn Observer>) -> Self {
        self.observer = Some(observer);
        self
    }

    /// Checks the configuration and starts the client.
    ///
    /// # Panics
    ///
    /// Outside a tokio runtime: the client's timers run on the one it is built on.
    ///
    /// # Errors
    /// Every faulty key of the configuration, with what was found and what is wanted.
    pub fn build(self) -> Result<Client, ConfigErrors> {
        let checked = self.config.check()?;
        let id_mask = self.config.seed.unwrap_or_else(|| RandomState::new().hash_one("ids"));
        let engine = Engine::new(checked.rules.clone());
        let driver = Driver::start(engine, self.observer.unwrap_or_else(|| Arc::new(())));
        Ok(Client(Arc::new(Inner { driver, checked, ids: AtomicU64::new(0), id_mask })))
    }
}

/// A call that is about to be made: await it.
#[must_use = "a call is made when it is awaited"]
pub struct Call<'a> {
    client: &'a Client,
    class: Option<String>,
    item: Item,
    body: Option<Bytes>,
    deadline: Option<Duration>,
}

impl Call<'_> {
    /// Names the class; it need not be named where only one of the configured classes reads, or writes.
    pub fn class(mut self, class: impl Into<String>) -> Self {
        self.class = Some(class.into());
        self
    }

    /// Waits for so long, over all attempts, instead of the class's deadline.
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }
}

impl<'a> IntoFuture for Call<'a> {
    type Output = Result<Outcome, CallError>;
    type IntoFuture = Pin<Box<dyn Future<Output = Self::Output> + Send + 'a>>;

    /// Makes the call. Dropping the future cancels it: the connection of an attempt in flight is closed, and
    /// nothing more is sent. The attempt may still run.
    fn into_future(self) -> Self::IntoFuture {
        Box::pin(async move {
            let Call { client, class, item, body, deadline } = self;
            client.0.call(class, item, body, deadline).await
        })
    }
}

impl Client {
    /// Starts to build a client.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Reads a piece of data.
    pub fn get(&self, item: Item) -> Call<'_> {
        Call { client: self, class: None, item, body: None, deadline: None }
    }

    /// Writes a piece of data.
    pub fn put(&self, item: Item, body: impl Into<Bytes>) -> Call<'_> {
        Call { client: self, class: None, item, body: Some(body.into()), deadline: None }
    }

    /// Makes a call of any class: with a body it must write, without one it must read.
    pub fn call(&self, class: impl Into<String>, item: Item, body: Option<Bytes>) -> Call<'_> {
        Call { client: self, class: Some(class.into()), item, body, deadline: None }
    }

    /// Gives a set other schedulers. Calls queued for one that is no longer listed go elsewhere; attempts in
    /// flight there continue. Returns whether there is such a set and the list is not empty.
    pub fn set_schedulers(&self, set: &str, schedulers: Vec<SocketAddr>) -> bool {
        let number = self.0.checked.set_names.iter().position(|name| name == set);
        let Some(number) = number.filter(|_| !schedulers.is_empty()) else { return false };
        self.0.driver.handle_event(Event::SchedulersChanged { set: number as u16, addresses: schedulers });
        true
    }
}

/// Notifies the driver when a call's future is dropped before its end.
struct CallGuard<'a> {
    driver: &'a Driver,
    call: CallId,
    ended: bool,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.driver.dropped(self.call);
        }
    }
}

impl Inner {
    fn class(&self, name: Option<&str>, writes: bool) -> Result<usize, CallError> {
        let classes = &self.checked.classes;
        if let Some(name) = name {
            let found = classes.iter().position(|class| class.name == name && class.write == writes);
            return found.ok_or_else(|| CallError::Class(name.to_owned()));
        }
        let mut fitting = (0..classes.len()).filter(|&n| classes[n].write == writes);
        match (fitting.next(), fitting.count()) {
            (Some(only), 0) => Ok(only),
            (first, more) => Err(CallError::AnyClass(usize::from(first.is_some()) + more)),
        }
    }

    fn next_id(&self) -> u64 {
        // An odd multiplier: no two numbers of the counter come out alike.
        let number = self.ids.fetch_add(1, Ordering::Relaxed);
        number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.id_mask.rotate_left(17)
    }

    /// Checks a call; nothing is sent before all of it is sound.
    fn prepare(&self, class: Option<String>, item: Item, body: Option<Bytes>) -> Result<Prepared, CallError> {
        let number = self.class(class.as_deref(), body.is_some())?;
        let class = &self.checked.classes[number];
        let set = self.checked.set_of_volume.get(&item.volume).copied().or(self.checked.other_volumes);
        let set = set.ok_or(CallError::Volume(item.volume))?;
        let plan = HeaderValue::try_from(&item.plan).map_err(|_| CallError::Plan(item.plan.clone()))?;
        if !(item.units > 0.0 && item.units.is_finite()) {
            return Err(CallError::Units(item.units));
        }
        if let Some(body) = body.as_ref().filter(|body| body.len() > MAX_BODY) {
            return Err(CallError::Large(body.len()));
        }
        let request = CallRequest {
            method: if class.write { Method::PUT } else { Method::GET },
            path: write_path(&class.name, item.volume, item.piece),
            class: HeaderValue::try_from(&class.name).expect("a class that fits into a path fits a header"),
            plan,
            extras: HeaderValue::from_static(""),
            body: body.unwrap_or_default(),
        };
        let extras = Extras { units: item.units, shard: item.shard, hosts: 1.0 };
        Ok(Prepared { class: number, set, volume: item.volume, request, extras })
    }

    /// A whole call: checked, started, attempted where and as often as the engine decides, ended once.
    async fn call(
        &self,
        class: Option<String>,
        item: Item,
        body: Option<Bytes>,
        deadline: Option<Duration>,
    ) -> Result<Outcome, CallError> {
        let prepared = self.prepare(class, item, body)?;
        let class = &self.checked.classes[prepared.class];
        let volume = prepared.volume;
        let span = tracing::debug_span!("call", class = class.name, volume = format_args!("{volume:016x}"));
        Ok(self.run(prepared, deadline.unwrap_or(class.deadline)).instrument(span).await)
    }

    /// Follows the engine's commands until the call ends.
    async fn run(&self, mut prepared: Prepared, timeout: Duration) -> Outcome {
        let started = time::Instant::now();
        let deadline = self.driver.to_engine_time(started + timeout);
        let (call, mut commands) =
            self.driver.start_call(prepared.class as u16, prepared.set, prepared.volume, deadline);
        let mut guard = CallGuard { driver: &self.driver, call, ended: false };
        let mut served = Bytes::new();
        let verdict = loop {
            match commands.recv().await {
                Some(CallCommand::Send(slot)) => {
                    match self.attempt(slot, &mut prepared, deadline, &mut commands).await {
                        AttemptEnd::Ended(body) => served = body,
                        AttemptEnd::NotStarted => {}
                        AttemptEnd::CallFinished(verdict) => break verdict,
                    }
                }
                Some(CallCommand::Finished(verdict)) => break verdict,
                None => break ENGINE_GONE,
            }
        };
        guard.ended = true;
        tracing::debug!(?verdict, elapsed = ?started.elapsed(), "call ended");
        match verdict {
            Verdict::Served => Outcome::Served(served),
            Verdict::Refused { retry_after, why } => Outcome::Refused(Refused { retry_after, why }),
            Verdict::MayHaveRun(cause) => Outcome::Failed(Failure::MayHaveRun(cause)),
            Verdict::NeverRan(cause) => Outcome::Failed(Failure::NeverRan(cause)),
        }
    }

    /// One attempt, until it ends or the engine ends the call. Dropping it closes the connection.
    async fn attempt(
        &self,
        mut slot: AttemptSlot,
        prepared: &mut Prepared,
        deadline: Instant,
        commands: &mut mpsc::UnboundedReceiver<CallCommand>,
    ) -> AttemptEnd {
        let remaining = self.driver.now().until(deadline);
        if remaining.is_zero() {
            // Guards against an attempt that is sent late because this process was paused.
            self.driver.ended(slot, NOT_STARTED, true);
            return AttemptEnd::NotStarted;
        }
        prepared.request.extras = Extras { hosts: slot.host_count as f64, ..prepared.extras }.write();
        let idempotent = self.checked.classes[prepared.class].idempotent;
        let wire = slot.connection.wire();
        let exchange = self.exchange(&mut slot, &prepared.request, remaining);
        tokio::select! {
            biased;
            Exchange { end, body, reusable } = exchange => {
                tracing::debug!(?end, reusable, "attempt ended");
                self.driver.ended(slot, end, reusable);
                AttemptEnd::Ended(body)
            }
            // While an attempt is in flight, the only command is the call's end.
            command = commands.recv() => {
                let Some(CallCommand::Finished(verdict)) = command else {
                    return AttemptEnd::CallFinished(ENGINE_GONE);
                };
                let timed_out = verdict == Verdict::MayHaveRun(MayHaveRunCause::Silent);
                // A request that is not written completely by now never will be: its connection ends here.
                AttemptEnd::CallFinished(if timed_out && !idempotent && wire.unfinished() {
                    Verdict::NeverRan(NeverRanCause::Unfinished)
                } else {
                    verdict
                })
            }
        }
    }

    /// Encodes the request with the time that remains and carries it.
    async fn exchange(&self, slot: &mut AttemptSlot, request: &CallRequest, remaining: Duration) -> Exchange {
        let id = format!("{:016x}", self.next_id());
        tracing::debug!(id, address = %slot.address, is_retry = slot.is_retry, ?remaining, "attempt started");
        let response_latency = self.checked.response_latency.min(remaining / 4);
        let id = HeaderValue::try_from(id).expect("hex digits");
        match encode(request, slot.address, id, remaining - response_latency, slot.is_retry) {
            Ok(request) => slot.connection.exchange(request, self.checked.max_response_bytes).await,
            // Every part was checked when the call was made.
            Err(error) => {
                tracing::error!(%error, "request encoding failed");
                Exchange { end: NOT_STARTED, body: Bytes::new(), reusable: true }
            }
        }
    }
}

/// A checked call.
struct Prepared {
    /// The class's number.
    class: usize,
    /// The set's number.
    set: u16,
    volume: u64,
    request: CallRequest,
    extras: Extras,
}

/// How an attempt ended for its call.
enum AttemptEnd {
    /// With this body, which is the call's if it was served; the engine decides what follows.
    Ended(Bytes),
    /// It was not sent, since its time had run out.
    NotStarted,
    /// The engine ended the call meanwhile.
    CallFinished(Verdict),
}

/// The engine ends every call that it started. Were it gone before, nobody could know what ran.
const ENGINE_GONE: Verdict = Verdict::MayHaveRun(MayHaveRunCause::Silent);

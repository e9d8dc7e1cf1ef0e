//! The clients' connections, of either front: who holds one of the few descriptors, and who gives way when all
//! are held.
//!
//! A connection whose request is open is never closed from here. Of the others, those that have been silent
//! since they came go first, then those that have been idle longest: a client may lose its first request on a
//! connection that is closed under it, but sends any later one again. A connection on which the bytes of a
//! request have begun to come is idle no more: only a full front, with nothing else to close, closes it.

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::Instant;

/// A client that means to ask has sent its request this long after its connection was accepted.
const SILENT: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It has not asked yet.
    Fresh,
    /// Its request is open.
    Asking,
    /// Its last request is answered.
    Idle,
    /// Bytes of a request have come, but not yet the whole of it.
    Coming,
}

struct Entry {
    state: State,
    since: Instant,
    /// Bytes came while its request was open: the next one, sent before the answer.
    ahead: bool,
    /// A request came whole on it once.
    asked_once: bool,
    /// Told to leave, in the state and since the instant that it was told in; it leaves only if it is still
    /// there, since a request that came meanwhile keeps it.
    told: Option<(State, Instant)>,
    leave: Arc<Notify>,
}

/// All seats.
pub(crate) struct Seats {
    most: usize,
    table: Mutex<(u64, BTreeMap<u64, Entry>)>,
    freed: Notify,
}

impl Seats {
    pub(crate) fn new(most: usize) -> Arc<Self> {
        Arc::new(Seats { most: most.max(1), table: Mutex::default(), freed: Notify::new() })
    }

    fn table(&self) -> MutexGuard<'_, (u64, BTreeMap<u64, Entry>)> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a seat is free for a connection that has come; one that can be spared is told to leave.
    pub(crate) async fn room(&self) {
        loop {
            let freed = self.freed.notified();
            if self.spare() {
                return;
            }
            freed.await;
        }
    }

    /// Whether a seat is free already; if none is, tells one to leave, where nobody is leaving yet.
    fn spare(&self) -> bool {
        let (_, entries) = &mut *self.table();
        if entries.len() < self.most {
            return true;
        }
        if entries.values().any(|entry| entry.told.is_some()) {
            return false;
        }
        let now = Instant::now();
        let rank = |entry: &Entry| match entry.state {
            State::Fresh if now - entry.since >= SILENT => Some(0),
            State::Idle => Some(1),
            State::Fresh => Some(2),
            // A request in part, slow or stalled: its client has not sent it whole, and loses it only here.
            State::Coming => Some(3),
            State::Asking => None,
        };
        let ranked = entries.values_mut().filter_map(|entry| Some((rank(entry)?, entry)));
        if let Some((_, entry)) = ranked.min_by_key(|(rank, entry)| (*rank, entry.since)) {
            entry.tell();
        }
        false
    }

    /// Tells the longest idle to leave while more than a quarter of all seats are idle: their clients may have
    /// no descriptor left to ask with elsewhere.
    fn thin_out(&self) {
        let (_, entries) = &mut *self.table();
        let idle = entries.values_mut().filter(|entry| entry.state == State::Idle && entry.told.is_none());
        let mut idle: Vec<_> = idle.collect();
        if idle.len() > (self.most / 4).max(1)
            && let Some(entry) = idle.iter_mut().min_by_key(|entry| entry.since)
        {
            entry.tell();
        }
    }

    /// Takes a seat for a connection that was just accepted.
    pub(crate) fn take(self: &Arc<Self>) -> Seat {
        let (next, entries) = &mut *self.table();
        *next += 1;
        let leave = Arc::new(Notify::new());
        let since = Instant::now();
        let entry = Entry {
            state: State::Fresh,
            since,
            ahead: false,
            asked_once: false,
            told: None,
            leave: leave.clone(),
        };
        entries.insert(*next, entry);
        Seat { seats: self.clone(), number: *next, leave }
    }
}

/// One connection's seat, free again when it is dropped.
pub(crate) struct Seat {
    seats: Arc<Seats>,
    number: u64,
    leave: Arc<Notify>,
}

impl Entry {
    fn tell(&mut self) {
        self.told = Some((self.state, self.since));
        self.leave.notify_one();
    }
}

impl Seat {
    fn turn(&self, state: State) {
        if let Some(entry) = self.seats.table().1.get_mut(&self.number) {
            (entry.state, entry.since) = (state, Instant::now());
        }
    }

    /// Bytes came from its client: a request begins, or, while one is open, the next.
    pub(crate) fn heard(&self) {
        if let Some(entry) = self.seats.table().1.get_mut(&self.number) {
            match entry.state {
                State::Fresh | State::Idle => (entry.state, entry.since) = (State::Coming, Instant::now()),
                State::Asking => entry.ahead = true,
                State::Coming => {}
            }
        }
    }

    /// Its request has come whole.
    pub(crate) fn asked(&self) {
        if let Some(entry) = self.seats.table().1.get_mut(&self.number) {
            (entry.state, entry.since, entry.asked_once) = (State::Asking, Instant::now(), true);
        }
    }

    /// Its request has its answer. Where the next one has begun to come already, it is not idle.
    pub(crate) fn answered(&self) {
        let ahead =
            self.seats.table().1.get_mut(&self.number).is_some_and(|entry| std::mem::take(&mut entry.ahead));
        self.turn(if ahead { State::Coming } else { State::Idle });
        self.seats.thin_out();
        // It can be spared now: whoever waits for room looks again.
        self.seats.freed.notify_one();
    }

    /// Whether no request ever came whole on it.
    pub(crate) fn fresh(&self) -> bool {
        self.seats.table().1.get(&self.number).is_some_and(|entry| !entry.asked_once)
    }

    /// Ends when it is to make room for another, it is as it was when it was told, no request of it is open
    /// and nothing of an answer is still to be written.
    pub(crate) async fn gives_way(&self, written: impl Fn() -> bool) {
        loop {
            self.leave.notified().await;
            {
                let (_, entries) = &mut *self.seats.table();
                let Some(entry) = entries.get_mut(&self.number) else { return };
                let unchanged = entry.told == Some((entry.state, entry.since));
                if unchanged && entry.state != State::Asking && written() {
                    return;
                }
                // A request came just then: it stays, and another is looked for.
                entry.told = None;
            }
            self.seats.freed.notify_one();
        }
    }
}

/// A client's connection that tells its seat when bytes come, so that a request whose head or body is on its
/// way is not taken for idle.
pub(crate) struct Heeded<S> {
    io: S,
    seat: Arc<Seat>,
}

impl<S> Heeded<S> {
    pub(crate) fn new(io: S, seat: Arc<Seat>) -> Self {
        Heeded { io, seat }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Heeded<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(()))) && buf.filled().len() > before {
            self.seat.heard();
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Heeded<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.seats.table().1.remove(&self.number);
        self.seats.freed.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use futures_util::FutureExt;
    use proptest::prelude::*;
    use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

    const MOST: usize = 4;

    #[derive(Clone, Debug)]
    enum Step {
        Come,
        Ask(usize),
        Hear(usize),
        Answer(usize),
        Go(usize),
        Wait(u64),
    }

    fn steps() -> impl Strategy<Value = Vec<Step>> {
        let step = prop_oneof![
            4 => Just(Step::Come),
            2 => any::<usize>().prop_map(Step::Ask),
            1 => any::<usize>().prop_map(Step::Hear),
            1 => any::<usize>().prop_map(Step::Answer),
            1 => any::<usize>().prop_map(Step::Go),
            1 => (1..400u64).prop_map(Step::Wait),
        ];
        prop::collection::vec(step, 1..40)
    }

    /// The model: each seat's state and when it began; who must give way is picked by sorting it.
    async fn walk(steps: Vec<Step>) {
        let seats = Seats::new(MOST);
        // Each seat, its state, since when, and whether the next request came before the answer.
        let mut held: Vec<(Seat, State, Instant, bool)> = Vec::new();
        for step in steps {
            let pick = |n: usize, held: &Vec<_>| (!held.is_empty()).then(|| n % held.len().max(1));
            match step {
                Step::Come => {
                    if seats.room().now_or_never().is_none() {
                        let now = Instant::now();
                        let rank = |i: &usize| match held[*i].1 {
                            State::Fresh if now - held[*i].2 >= SILENT => 0,
                            State::Idle => 1,
                            State::Fresh => 2,
                            _ => 3,
                        };
                        let mut order: Vec<usize> =
                            (0..held.len()).filter(|&i| held[i].1 != State::Asking).collect();
                        order.sort_by_key(|i| (rank(i), held[*i].2));
                        let told: Vec<usize> = (0..held.len())
                            .filter(|&i| held[i].0.gives_way(|| true).now_or_never().is_some())
                            .collect();
                        assert_eq!((held.len(), &told[..]), (MOST, &order[..order.len().min(1)]));
                        let Some(&leaver) = told.first() else { continue };
                        held.remove(leaver);
                    }
                    assert!(seats.room().now_or_never().is_some());
                    held.push((seats.take(), State::Fresh, Instant::now(), false));
                }
                Step::Hear(n) => {
                    let Some(n) = pick(n, &held) else { continue };
                    held[n].0.heard();
                    match held[n].1 {
                        State::Fresh | State::Idle => {
                            (held[n].1, held[n].2) = (State::Coming, Instant::now())
                        }
                        State::Asking => held[n].3 = true,
                        State::Coming => {}
                    }
                    // Nobody is told to leave by what comes.
                    let told = |i: &usize| held[*i].0.gives_way(|| true).now_or_never().is_some();
                    assert_eq!((0..held.len()).find(told), None);
                }
                Step::Ask(n) | Step::Answer(n) => {
                    let Some(n) = pick(n, &held) else { continue };
                    let state = match step {
                        Step::Ask(_) => State::Asking,
                        _ if std::mem::take(&mut held[n].3) => State::Coming,
                        _ => State::Idle,
                    };
                    if state == State::Asking {
                        held[n].0.asked()
                    } else {
                        held[n].0.answered()
                    }
                    (held[n].1, held[n].2) = (state, Instant::now());
                    // One idle seat of four may stay; of more the longest idle goes.
                    let idle = (0..held.len()).filter(|&i| held[i].1 == State::Idle);
                    let mut idle: Vec<usize> = idle.collect();
                    idle.sort_by_key(|&i| held[i].2);
                    let answered = matches!(step, Step::Answer(_)) && idle.len() > 1;
                    let told = |i: &usize| held[*i].0.gives_way(|| true).now_or_never().is_some();
                    let leaver = (0..held.len()).find(told);
                    assert_eq!(leaver, answered.then(|| idle[0]));
                    if let Some(leaver) = leaver {
                        held.remove(leaver);
                    }
                }
                Step::Go(n) => {
                    if let Some(n) = pick(n, &held) {
                        held.remove(n);
                    }
                }
                Step::Wait(ms) => tokio::time::advance(Duration::from_millis(ms)).await,
            }
            // Instants that differ keep the model's order the only one.
            tokio::time::advance(Duration::from_millis(1)).await;
        }
    }

    /// Guards against closing an open request, and against keeping those out that mean to ask.
    #[test]
    fn who_gives_way_follows_the_model() {
        let config = ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
        let outcome = TestRunner::new_with_rng(config, rng).run(&steps(), |steps| {
            let mut runtime = tokio::runtime::Builder::new_current_thread();
            runtime.enable_time().start_paused(true).build().unwrap().block_on(walk(steps));
            Ok(())
        });
        outcome.unwrap();
    }
}

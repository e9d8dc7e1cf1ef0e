//! The emulated node against theory: queues, Little's law, warming up, pauses and savings.

use pointcross_experiments::node::{Arrival, Job, Micros, Node, NodeLaws};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp1};

/// Microseconds in a millisecond.
const MILLI: f64 = 1e3;

/// Laws without anything but cores and service times.
fn bare(cores: u32, spread: f64) -> NodeLaws {
    NodeLaws {
        cores,
        queue: usize::MAX,
        unit_ms: 10.0,
        spread,
        crowding: 0.0,
        pause_every_ms: 0.0,
        deferred: 0.0,
        recent: 0,
        ..NodeLaws::default()
    }
}

/// Plays Poisson arrivals; gives each job's time in the node, and the node, in milliseconds.
fn play(laws: NodeLaws, per_second: f64, jobs: u64, seed: u64) -> (Vec<f64>, Node, Micros) {
    let mut node = Node::new(laws, seed, 0, false);
    let mut rng = SmallRng::seed_from_u64(seed + 1);
    let (mut now, mut came, mut times, mut ended) = (0, Vec::new(), Vec::new(), Vec::new());
    for token in 0..jobs {
        let gap: f64 = Exp1.sample(&mut rng);
        now += (gap * 1e6 / per_second) as Micros;
        while let Some(at) = node.next().filter(|at| *at <= now) {
            node.advance(at, &mut ended);
            times.extend(ended.drain(..).map(|job: Job| (at - came[job.token as usize]) as f64 / MILLI));
        }
        node.advance(now, &mut ended);
        came.push(now);
        assert_eq!(node.arrive(now, Job { token, units: 1.0, writes: false, piece: token }), Arrival::Taken);
    }
    while let Some(at) = node.next() {
        now = now.max(at);
        node.advance(at, &mut ended);
        times.extend(ended.drain(..).map(|job: Job| (at - came[job.token as usize]) as f64 / MILLI));
    }
    (times, node, now)
}

/// Erlang's C: the part of jobs that wait in an M/M/c queue with `load` cores busy in the mean.
fn erlang_c(cores: u32, load: f64) -> f64 {
    let (mut term, mut sum) = (1.0, 1.0);
    for k in 1..cores {
        term *= load / f64::from(k);
        sum += term;
    }
    let last = term * load / f64::from(cores) * f64::from(cores) / (f64::from(cores) - load);
    last / (sum + last)
}

/// The mean wait of an M/M/c queue, within 5% of theory.
#[test]
fn waits_as_an_mmc_queue_does() {
    for (cores, per_second) in [(1, 60.0), (2, 140.0), (4, 320.0)] {
        let (times, _, _) = play(bare(cores, 1.0), per_second, 400_000, 5);
        let load = per_second * 0.010;
        let wait = erlang_c(cores, load) * 10.0 / (f64::from(cores) - load);
        let mean = times.iter().sum::<f64>() / times.len() as f64;
        assert!(((mean - 10.0) / wait - 1.0).abs() < 0.05, "{cores}: {} for {wait}", mean - 10.0);
    }
}

/// Little's law: the mean number in the node is the rate times the mean time there, whatever the laws.
#[test]
fn littles_law_holds() {
    let laws = NodeLaws { queue: usize::MAX, ..NodeLaws::default() };
    let (times, node, end) = play(laws, 60.0, 50_000, 9);
    let held = node.area() / end as f64;
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    let rate = times.len() as f64 / end as f64 * MILLI;
    assert!((held / (rate * mean) - 1.0).abs() < 1e-6, "{held} for {}", rate * mean);
}

#[test]
fn warms_up_as_set_falls_over_when_pushed_and_turns_away_when_full() {
    let laws = NodeLaws { always_bears: 4.0, ..NodeLaws::default() };
    let node = Node::new(laws.clone(), 1, 5_000_000, true);
    for (after_s, warmth) in [(0.0, 0.18), (9.0, 0.59), (18.0, 1.0), (99.0, 1.0)] {
        let at = 5_000_000 + (after_s * 1e6) as Micros;
        assert!((node.warmth(at) - warmth).abs() < 1e-9);
    }
    // Twice 111 units a second times 0.18 is 40 units within a second.
    let push = |units: f64| {
        let mut node = Node::new(laws.clone(), 1, 0, true);
        let job = |token| Job { token, units, writes: false, piece: token };
        (0..10).map(|n| node.arrive(n * 50_000, job(n))).any(|arrival| arrival == Arrival::Fallen)
    };
    assert!(!push(3.9) && push(4.5));
    let mut node = Node::new(NodeLaws { queue: 3, cores: 1, ..laws }, 1, 0, false);
    let arrivals: Vec<Arrival> =
        (0..6).map(|token| node.arrive(0, Job { token, units: 1.0, writes: false, piece: token })).collect();
    assert_eq!(arrivals.iter().filter(|a| **a == Arrival::Taken).count(), 4);
    assert!(node.cancel(0, 3) && !node.cancel(0, 0), "what is in work goes on");
}

/// Pauses, put-off work and recent pieces change what a job takes, by what the laws say.
#[test]
fn pauses_and_savings_count() {
    let quiet = bare(1, 0.0);
    let (times, _, _) = play(quiet.clone(), 1.0, 200, 3);
    assert!(times.iter().all(|time| (time - 10.0).abs() < 0.01 || *time > 10.0));
    let pauses = NodeLaws { pause_every_ms: 1000.0, pause_ms: (200.0, 200.0), ..quiet.clone() };
    let (paused, _, _) = play(pauses, 20.0, 5000, 3);
    assert!(paused.iter().copied().fold(0.0, f64::max) > 200.0);
    let mut node = Node::new(NodeLaws { recent: 2, recent_saves: 0.5, ..quiet }, 1, 0, false);
    let mut ended = Vec::new();
    let mut at = 0;
    let mut took = Vec::new();
    for (token, piece) in [(0, 7), (1, 7), (2, 8), (3, 9), (4, 7)] {
        node.arrive(at, Job { token, units: 1.0, writes: false, piece });
        let end = node.next().unwrap();
        node.advance(end, &mut ended);
        took.push((end - at) / 1000);
        at = end;
    }
    assert_eq!(took, [10, 5, 10, 10, 10], "a piece among the last two costs half");
}

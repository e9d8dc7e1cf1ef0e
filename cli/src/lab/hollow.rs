//! Many hollow schedulers in one process, for `lab scale`: each is the program's own control code with its own
//! configuration; no front, no traffic. What comes into force where is told on standard output, a line each 250 ms;
//! `restart NUMBER` and `end` come on standard input.

use clap::Args;
use pointcross::config::{Config, Wins};
use pointcross::control::Control;
use pointcross_cluster_harness::scale::hollow::{HollowFile, Told};
use pointcross_cluster_harness::scale::unix_us;
use std::io::{BufRead, Write};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// How often what came into force is told.
const TELL: Duration = Duration::from_millis(250);
/// Lines of standard input that wait at the most.
const MAX_LINES: usize = 10_000;

#[derive(Args)]
pub struct Hollow {
    /// The schedulers (JSON, as `lab scale` writes it)
    file: PathBuf,
}

/// What the process is told on standard input.
enum Order {
    Restart(usize),
    End,
}

/// The tasks of one running scheduler.
struct Running {
    control: JoinHandle<()>,
    reports: JoinHandle<()>,
}

struct Host {
    file: HollowFile,
    running: Vec<Option<Running>>,
    told: Arc<Mutex<Told>>,
}

impl Hollow {
    #[tokio::main(flavor = "current_thread")]
    pub async fn run(self) -> Result<u8, String> {
        let named = |error: &dyn std::fmt::Display| format!("{}: {error}", self.file.display());
        let text = std::fs::read_to_string(&self.file).map_err(|error| named(&error))?;
        let file = HollowFile::parse(&text).map_err(|error| named(&error))?;
        drop(text);
        let mut orders = orders();
        let (spread, count) = (Duration::from_millis(file.start_over_ms), file.schedulers.len());
        let mut host = Host { running: (0..count).map(|_| None).collect(), file, told: Arc::default() };
        let begun = tokio::time::Instant::now();
        let mut tell = tokio::time::interval(TELL);
        tell.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut next = 0;
        loop {
            let due = begun + spread.mul_f64(next as f64 / count.max(1) as f64);
            tokio::select! {
                order = orders.recv() => match order {
                    Some(Order::Restart(number)) => {
                        let place = host.file.schedulers.iter().position(|of| of.number == number);
                        // One that has not started yet starts in its turn.
                        if let Some(place) = place.filter(|&place| place < next) {
                            host.stop(place).await;
                            host.start(place).await?;
                        }
                    }
                    Some(Order::End) | None => return Ok(0),
                },
                () = tokio::time::sleep_until(due), if next < count => {
                    host.start(next).await?;
                    next += 1;
                }
                _ = tell.tick() => host.tell()?,
            }
        }
    }
}

/// What comes on standard input, read on a thread of its own; its end is an order to end.
fn orders() -> mpsc::Receiver<Order> {
    let (say, orders) = mpsc::channel(MAX_LINES);
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            let order = match line.trim().split_once(' ') {
                Some(("restart", number)) => number.parse().ok().map(Order::Restart),
                _ if line.trim() == "end" => Some(Order::End),
                _ => None,
            };
            let Some(order) = order else {
                eprintln!("pointcross: standard input: {line:?}: wanted `restart NUMBER` or `end`");
                continue;
            };
            if say.blocking_send(order).is_err() {
                return;
            }
        }
    });
    orders
}

impl Host {
    async fn start(&mut self, place: usize) -> Result<(), String> {
        let scheduler = &self.file.schedulers[place];
        let (number, name) = (scheduler.number, &scheduler.name);
        self.told.lock().unwrap().started.push((number, unix_us()));
        let platform = self.file.platform_text(scheduler);
        let config = Config::from_texts(|_| None, &platform, &scheduler.operator, Wins::Variable);
        let config = config.map_err(|error| format!("{name}: {error}"))?;
        let control = Control::bind(config).await.map_err(|error| format!("{name}: {error}"))?;
        let mut in_force = control.active_revisions();
        let told = self.told.clone();
        let reports = tokio::spawn(async move {
            let mut last = (0, 0);
            loop {
                let now = *in_force.borrow_and_update();
                {
                    let (mut told, at) = (told.lock().unwrap(), unix_us());
                    if now.list != last.0 {
                        told.list.push((number, now.list, at));
                    }
                    if now.configuration != last.1 {
                        told.configuration.push((number, now.configuration, at));
                    }
                }
                last = (now.list, now.configuration);
                if in_force.changed().await.is_err() {
                    return;
                }
            }
        });
        let control = tokio::spawn(control.run(pointcross::service_state::ServiceState::default()));
        self.running[place] = Some(Running { control, reports });
        Ok(())
    }

    /// Drops a scheduler's control code where it stands, as a crash would.
    async fn stop(&mut self, place: usize) {
        let Some(Running { control, reports }) = self.running[place].take() else { return };
        for task in [control, reports] {
            task.abort();
            let _ = task.await;
        }
    }

    /// Tells what came into force since the last time, and which schedulers ended though nobody stopped them.
    fn tell(&mut self) -> Result<(), String> {
        let mut told = std::mem::take(&mut *self.told.lock().unwrap());
        for (running, scheduler) in self.running.iter_mut().zip(&self.file.schedulers) {
            if running.as_ref().is_some_and(|running| running.control.is_finished()) {
                *running = None;
                told.ended.push(scheduler.number);
            }
        }
        if told.is_empty() {
            return Ok(());
        }
        let line = serde_json::to_string(&told).map_err(|error| error.to_string())?;
        // Nobody reads it any more: the rig is gone.
        writeln!(std::io::stdout(), "{line}").map_err(|error| format!("standard output: {error}"))
    }
}

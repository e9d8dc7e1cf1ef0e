//! Hosts instances of the decision module on the simulator's wire: standard input to standard output.

mod wire;

use pointcross_scheduler::{Action, Event, Scheduler};
use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::{Record, WireError};

type Instances = BTreeMap<u32, Scheduler>;

fn create(seed: u64, config: &[u8], now: f64) -> Result<Scheduler, String> {
    let settings =
        pointcross_settings::parse(config).map(|parsed| parsed.decide).map_err(|e| e.to_string())?;
    Scheduler::new(settings, seed, now).map_err(|e| e.to_string())
}

fn handle(
    scheduler: &mut Scheduler,
    now: f64,
    event: Event,
    actions: &mut Vec<Action>,
) -> Result<(), String> {
    catch_unwind(AssertUnwindSafe(|| scheduler.handle(now, event, actions))).map_err(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("no message");
        format!("the decision module panicked: {text}")
    })
}

fn answer(instances: &mut Instances, batch: wire::Batch) -> Result<Vec<u8>, WireError> {
    let mut reply = Vec::new();
    let mut actions = Vec::new();
    for (offset, instance, record) in batch.records {
        let failure = match record {
            Record::Create { seed, config } => match create(seed, &config, batch.now) {
                Ok(scheduler) => {
                    instances.insert(instance, scheduler);
                    None
                }
                Err(text) => Some(text),
            },
            Record::Crash => {
                instances.remove(&instance);
                None
            }
            Record::Event(event) => {
                let Some(scheduler) = instances.get_mut(&instance) else {
                    return Err(WireError::NoInstance { offset, instance });
                };
                handle(scheduler, batch.now, event, &mut actions).err()
            }
        };
        for action in actions.drain(..) {
            wire::put_action(&mut reply, instance, &action);
        }
        if let Some(text) = failure {
            wire::put_fatal(&mut reply, instance, &text);
            break;
        }
    }
    Ok(reply)
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), WireError> {
    let mut instances = Instances::new();
    while let Some(batch) = wire::read_batch(input)? {
        let reply = answer(&mut instances, batch)?;
        let length = u32::try_from(reply.len()).map_err(io::Error::other)?;
        output.write_all(&length.to_le_bytes())?;
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match run(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pointcross-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}

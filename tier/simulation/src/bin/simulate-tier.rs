//! Plays days of random load and faults in virtual time: `simulate-tier --seeds N --from S`.

use getopts::Options;
use pointcross_tier_simulation::chaos::{self, DayReport, DayShape, InjectedFault};
use std::collections::BTreeMap;
use std::process::ExitCode;

const USAGE: &str =
    "Usage: simulate-tier [--seeds N] [--from SEED] [--days SHAPE] [--broken NAME] [--timeline]

Plays the days of N seeds, one process after the other, and prints one line of JSON.";

struct Wanted {
    seeds: u64,
    from: u64,
    timeline: bool,
    shape: DayShape,
    defect: Option<InjectedFault>,
}

fn wanted() -> Result<Option<Wanted>, String> {
    let mut options = Options::new();
    options.optopt("", "seeds", "days to play (100)", "N");
    options.optopt("", "from", "the first seed (1)", "SEED");
    options.optopt(
        "",
        "days",
        "mixed; long-chains: chains outlast their turns' retention; stale-state: processes go on with what they knew (mixed)",
        "SHAPE",
    );
    options.optflag("", "timeline", "prints what happened on each day");
    options.optopt("", "broken", "plays code with this defect, until a rule is broken", "NAME");
    options.optflag("", "list-broken", "lists the defects");
    options.optflag("h", "help", "prints this");
    let given: Vec<String> = std::env::args().skip(1).collect();
    let matches = options.parse(given).map_err(|fault| fault.to_string())?;
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return Ok(None);
    }
    if matches.opt_present("list-broken") {
        InjectedFault::ALL.iter().for_each(|defect| println!("{defect:?}"));
        return Ok(None);
    }
    let defect = match matches.opt_str("broken") {
        Some(name) => {
            Some(InjectedFault::named(&name).ok_or_else(|| format!("--broken: {name} is no defect"))?)
        }
        None => None,
    };
    let number = |name: &str, usual: u64| match matches.opt_str(name) {
        Some(text) => text.parse().map_err(|_| format!("--{name}: {text} is no number")),
        None => Ok(usual),
    };
    let timeline = matches.opt_present("timeline");
    let shape = matches.opt_str("days").unwrap_or_else(|| "mixed".to_owned());
    let shape = DayShape::named(&shape)
        .ok_or_else(|| format!("--days: {shape} is none of mixed, long-chains, stale-state"))?;
    Ok(Some(Wanted { seeds: number("seeds", 100)?, from: number("from", 1)?, timeline, shape, defect }))
}

/// FNV-1a over what happened: the same on a second run.
fn hash(before: u64, text: &str) -> u64 {
    text.bytes().fold(before, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

fn main() -> ExitCode {
    let wanted = match wanted() {
        Ok(Some(wanted)) => wanted,
        Ok(None) => return ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("simulate-tier: {fault}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let mut kinds: BTreeMap<&'static str, usize> = BTreeMap::new();
    let mut broken: Vec<String> = Vec::new();
    let (mut operations, mut served, mut virtual_hours, mut ledger_hash) = (0, 0, 0.0, 0xcbf2_9ce4_8422_2325);
    for seed in wanted.from..wanted.from + wanted.seeds {
        let report: DayReport = match wanted.defect {
            Some(defect) => chaos::play_broken(seed, wanted.shape, defect),
            None => chaos::play_shaped(seed, wanted.shape),
        };
        operations += report.operations;
        served += report.served;
        virtual_hours += report.virtual_time.as_secs_f64() / 3600.0;
        ledger_hash = hash(ledger_hash, &report.timeline);
        for (kind, count) in &report.faults {
            *kinds.entry(kind).or_default() += count;
        }
        if wanted.timeline {
            println!("seed {seed}\n{}", report.timeline);
        }
        for violation in &report.violations {
            broken.push(format!("{{\"seed\":{seed},\"invariant\":\"{:?}\"}}", violation.invariant));
            eprintln!("seed {seed}: {:?}: {}", violation.invariant, violation.text);
        }
        if wanted.defect.is_some() && !report.violations.is_empty() {
            break;
        }
    }
    let faults: usize = kinds.values().sum();
    let kinds: Vec<String> = kinds.iter().map(|(kind, count)| format!("\"{kind}\":{count}")).collect();
    println!(
        "{{\"seeds\":{},\"virtual_hours\":{virtual_hours:.2},\"faults_injected\":{faults},\"operations\":{operations},\
         \"kept_turns\":{served},\"violations\":{},\"broken\":[{}],\"kinds\":{{{}}},\"ledger_hash\":\"{ledger_hash:016x}\"}}",
        wanted.seeds,
        broken.len(),
        broken.join(","),
        kinds.join(",")
    );
    if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

//! The configuration that is distributed to every scheduler: its source, and which version is active where.

use clap::{Args, Subcommand};
use pointcross_config_distribution::decide::table::merge_states;
use pointcross_config_distribution::driver::get;
use pointcross_config_distribution::source::{Source, SourceSettings};
use pointcross_config_distribution::wire::{MAX_BYTES, SCHEDULERS_PATH, Schedulers, State, decode};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::Instant;

#[derive(Subcommand)]
pub enum Configuration {
    /// Serve a configuration's file to the schedulers that ask for it; read again when it changes, and at SIGHUP
    Serve(Serve),
    /// Show which version is in force where, as sources hear it; ends with 1 where a wait for it was in vain
    State(At),
    /// Check a configuration's file; tells its fault and ends with 2 where there is one
    Check(Check),
}

#[derive(Args)]
pub struct Serve {
    /// The document; best put in place by a rename
    #[arg(long)]
    file: PathBuf,
    /// Where schedulers ask
    #[arg(long)]
    listen: SocketAddr,
    /// The fleet that it is for; a file or a call of another is refused
    #[arg(long)]
    fleet: String,
    /// A longer file is refused; give the schedulers the same bound
    #[arg(long, default_value_t = MAX_BYTES)]
    most_bytes: usize,
}

#[derive(Args)]
pub struct At {
    /// A source; name each one, a scheduler counts where it was heard last
    #[arg(long = "source", required = true)]
    sources: Vec<SocketAddr>,
    /// One line of JSON
    #[arg(long)]
    json: bool,
    /// Wait until every scheduler that is heard has this version in force, or a newer one
    #[arg(long, value_name = "VERSION")]
    wait: Option<u64>,
    /// How long to wait for it
    #[arg(long, default_value_t = 4000, requires = "wait")]
    within_ms: u64,
    /// How many schedulers must be heard; without it one that no source hears is not missed
    #[arg(long, requires = "wait", default_value_t = 0)]
    schedulers: usize,
}

#[derive(Args)]
pub struct Check {
    /// The file
    file: PathBuf,
    /// The fleet that it must be for
    #[arg(long)]
    fleet: Option<String>,
    /// How long it may be
    #[arg(long, default_value_t = MAX_BYTES)]
    most_bytes: usize,
}

/// The exit code for a file with a fault.
const INVALID_INPUT: u8 = 2;
/// How long a source may take to reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval between two calls to the sources while a version is awaited.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Configuration {
    #[tokio::main(flavor = "current_thread")]
    pub async fn run(self) -> ExitCode {
        let done = match self {
            Configuration::Serve(serve) => serve.run().await,
            Configuration::State(at) => at.run().await,
            Configuration::Check(check) => return check.run(),
        };
        match done {
            Ok(()) => ExitCode::SUCCESS,
            Err(text) => {
                eprintln!("pointcross: {text}");
                ExitCode::FAILURE
            }
        }
    }
}

impl Serve {
    async fn run(self) -> Result<(), String> {
        let settings = SourceSettings { fleet: self.fleet, max_bytes: self.most_bytes };
        let source =
            Source::bind(self.listen, self.file, settings).await.map_err(|error| error.to_string())?;
        let at = source.address().map_err(|error| error.to_string())?;
        eprintln!("pointcross: configuration served at {at}");
        tracing::info!(%at, "serving configuration");
        source.run().await;
        Ok(())
    }
}

impl Check {
    fn run(self) -> ExitCode {
        let shown = self.file.display();
        let fault = match std::fs::read(&self.file) {
            Err(error) => format!("cannot be read: {error}"),
            Ok(text) if text.len() > self.most_bytes => {
                format!("{} bytes long; at most {} are taken", text.len(), self.most_bytes)
            }
            Ok(text) => match decode(&text) {
                Err(refusal) => refusal.to_string(),
                Ok(document) => match self.fleet.filter(|fleet| *fleet != document.fleet) {
                    Some(fleet) => format!("fleet: it is for {:?}, not for {fleet:?}", document.fleet),
                    None => {
                        let (fleet, version) = (document.fleet, document.version);
                        println!(
                            "no fault found: fleet {fleet}, version {version}, {} keys",
                            document.keys.len()
                        );
                        return ExitCode::SUCCESS;
                    }
                },
            },
        };
        println!("{shown}: {fault}");
        ExitCode::from(INVALID_INPUT)
    }
}

/// The replies of all sources, merged.
struct SourceReplies {
    /// The fleet's state; `None` where no source replied.
    state: Option<State>,
    /// The greatest version served, and the smallest.
    versions: Option<(u64, u64)>,
    /// Each source without a usable reply, with the cause.
    missing: Vec<String>,
}

impl At {
    async fn run(self) -> Result<(), String> {
        let started = Instant::now();
        let deadline = started + Duration::from_millis(self.within_ms);
        loop {
            let replies = self.ask().await;
            let missing = replies.missing.join("\n");
            let Some(state) = &replies.state else {
                if self.wait.is_some() && Instant::now() < deadline {
                    tokio::time::sleep(POLL_INTERVAL).await;
                    continue;
                }
                return Err(missing);
            };
            let pending = self.wait.and_then(|wanted| self.pending_reason(wanted, state, &replies));
            if pending.is_some() && Instant::now() < deadline {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            if self.json {
                println!("{}", serde_json::to_string(state).expect("the state is JSON"));
            } else {
                show(state, replies.versions);
            }
            if !missing.is_empty() {
                eprintln!("pointcross: {missing}");
            }
            return match pending {
                None => Ok(()),
                Some(reason) => Err(format!("not in force everywhere in {:?}: {reason}", started.elapsed())),
            };
        }
    }

    /// Asks every source at once.
    async fn ask(&self) -> SourceReplies {
        let asks: Vec<_> = self.sources.iter().map(|&at| (at, tokio::spawn(ask(at)))).collect();
        let (mut all, mut missing) = (Vec::<Schedulers>::new(), Vec::new());
        for (at, asked) in asks {
            match asked.await.unwrap_or_else(|error| Err(error.to_string())) {
                Ok(reply) => match all.first() {
                    Some(first) if first.fleet != reply.fleet => {
                        missing.push(format!("{at}: serves fleet {:?}, not {:?}", reply.fleet, first.fleet));
                    }
                    _ => all.push(reply),
                },
                Err(why) => missing.push(format!("{at}: {why}")),
            }
        }
        let versions = || all.iter().map(|reply| reply.version);
        let versions = versions().max().zip(versions().min());
        SourceReplies { state: merge_states(all, self.wait), versions, missing }
    }

    /// Why the version is not yet active at every scheduler; `None` where it is.
    fn pending_reason(&self, wanted: u64, state: &State, replies: &SourceReplies) -> Option<String> {
        let State { version, schedulers, in_force, behind, .. } = state;
        if *version < wanted {
            return Some(format!("the newest version served is {version}"));
        }
        if in_force < schedulers {
            let names: Vec<&str> = behind.iter().map(|heard| heard.name.as_str()).collect();
            return Some(format!("{} of {schedulers} behind: {}", schedulers - in_force, names.join(" ")));
        }
        let min_schedulers = self.schedulers.max(1);
        if *schedulers < min_schedulers {
            return Some(format!("{schedulers} schedulers heard, {min_schedulers} wanted"));
        }
        // Schedulers that only an unreachable source knows of could be behind, unless their number is given.
        (!replies.missing.is_empty() && self.schedulers == 0)
            .then(|| "a source does not answer; leave it out, or say how many --schedulers there are".into())
    }
}

async fn ask(at: SocketAddr) -> Result<Schedulers, String> {
    let text = get(at, SCHEDULERS_PATH, REPLY_TIMEOUT).await?;
    serde_json::from_slice(&text).map_err(|error| format!("not the answer wanted: {error}"))
}

fn show(state: &State, versions: Option<(u64, u64)>) {
    let State { fleet, version, published_ms_ago, schedulers, in_force, silent, uncounted, behind, left_out } =
        state;
    println!("fleet {fleet}, version {version}, published {published_ms_ago} ms ago");
    if let Some((_, least)) = versions.filter(|(most, least)| most != least) {
        println!("sources differ: one serves version {least}");
    }
    println!(
        "{in_force} of {schedulers} schedulers have it in force; {silent} silent, {uncounted} calls uncounted"
    );
    for heard in behind {
        let refused = heard.refused.map(|refused| format!(", refused {refused}")).unwrap_or_default();
        println!("{:<32} has {}{refused}, heard {} ms ago", heard.name, heard.have, heard.heard_ms_ago);
    }
    if *left_out > 0 {
        println!("and {left_out} more");
    }
}

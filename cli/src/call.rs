//! One call through the client library, for operators and scripts.

use clap::{Args, Subcommand};
use pointcross_client::{Client, ClientConfig, Failure, Item, Outcome};
use serde_json::json;
use std::io::{Read, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

#[derive(Args)]
pub struct Call {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Read a piece of data; an answer's bytes go to standard output
    Get(Request),
    /// Write a piece of data
    Put {
        #[command(flatten)]
        request: Request,
        /// The file with the body; `-` for standard input
        #[arg(long)]
        body: PathBuf,
    },
}

#[derive(Args)]
struct Request {
    /// The client's file (TOML): sets of schedulers and classes
    #[arg(long)]
    client: PathBuf,
    /// The volume, in hex
    #[arg(long, value_parser = hex)]
    volume: u64,
    /// The piece of data, in hex
    #[arg(long, value_parser = hex)]
    piece: u64,
    /// The volume's plan
    #[arg(long)]
    plan: String,
    /// The shard that holds the data; left out for a new object
    #[arg(long)]
    shard: Option<u32>,
    /// The request's size
    #[arg(long, default_value_t = 1.0)]
    units: f64,
    /// The class; needed where more than one would do
    #[arg(long)]
    class: Option<String>,
    /// How long to wait, over all tries, in milliseconds; the class's deadline where left out
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Print one line of JSON that tells the outcome, instead of the bytes
    #[arg(long)]
    json: bool,
}

fn hex(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text.trim_start_matches("0x"), 16).map_err(|error| error.to_string())
}

/// Exit codes; they show a script whether it may send the request again.
const INVALID_INPUT: u8 = 2;
const REFUSED: u8 = 3;
const MAY_HAVE_RUN: u8 = 4;
const NEVER_RAN: u8 = 5;

impl Call {
    #[tokio::main(flavor = "current_thread")]
    pub async fn run(self) -> ExitCode {
        match self.call().await {
            Ok(code) => ExitCode::from(code),
            Err(text) => {
                text.lines().for_each(|line| eprintln!("pointcross: {line}"));
                ExitCode::from(INVALID_INPUT)
            }
        }
    }

    async fn call(self) -> Result<u8, String> {
        let (request, body) = match self.what {
            What::Get(request) => (request, None),
            What::Put { request, body } => {
                let mut bytes = Vec::new();
                let read = if body.as_os_str() == "-" {
                    std::io::stdin().read_to_end(&mut bytes).map(drop)
                } else {
                    std::fs::read(&body).map(|read| bytes = read)
                };
                read.map_err(|error| format!("--body: cannot read {}: {error}", body.display()))?;
                (request, Some(bytes))
            }
        };
        let file = &request.client;
        let text = std::fs::read_to_string(file)
            .map_err(|error| format!("--client: cannot read {}: {error}", file.display()))?;
        let config = ClientConfig::from_toml(&text).map_err(|faults| faults.to_string())?;
        let client = Client::builder().config(config).build().map_err(|faults| faults.to_string())?;
        let item = Item::new(request.volume, request.piece, request.plan, request.shard).units(request.units);
        let mut call = match body {
            Some(body) => client.put(item, body),
            None => client.get(item),
        };
        if let Some(class) = request.class {
            call = call.class(class);
        }
        if let Some(ms) = request.deadline_ms {
            call = call.deadline(Duration::from_millis(ms));
        }
        let started = Instant::now();
        let outcome = call.await.map_err(|error| error.to_string())?;
        let ms = started.elapsed().as_secs_f64() * 1e3;
        let (code, document) = match &outcome {
            Outcome::Served(body) => (0, json!({"outcome": "served", "bytes": body.len()})),
            Outcome::Refused(refused) => {
                let seconds = refused.retry_after.map(|after| after.as_secs_f64());
                let why = format!("{:?}", refused.why);
                (REFUSED, json!({"outcome": "refused", "retry_after": seconds, "why": why}))
            }
            Outcome::Failed(Failure::MayHaveRun(doubt)) => {
                (MAY_HAVE_RUN, json!({"outcome": "may have run", "why": format!("{doubt:?}")}))
            }
            Outcome::Failed(Failure::NeverRan(proof)) => {
                (NEVER_RAN, json!({"outcome": "never ran", "why": format!("{proof:?}")}))
            }
        };
        if request.json {
            let mut document = document;
            document["ms"] = json!(ms);
            println!("{document}");
        } else if let Outcome::Served(body) = &outcome {
            std::io::stdout().write_all(body).map_err(|error| format!("standard output: {error}"))?;
        } else {
            eprintln!("pointcross: {document}");
        }
        Ok(code)
    }
}

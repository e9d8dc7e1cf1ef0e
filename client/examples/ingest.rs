//! A station's job: read the day's readings from standard input, write each once, and say what became of them.
//!
//!     printf '21.4\n21.9\n' | cargo run -p pointcross-client --example ingest -- client.toml 7 5

use pointcross_client::{Client, ClientConfig, Failure, Item, Outcome};
use std::error::Error;
use std::io::BufRead;
use std::time::Duration;

/// How often a reading that was refused, or never ran, is brought again before the job leaves it for later.
const ROUNDS: u32 = 5;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let (Some(file), Some(volume), Some(shard)) = (arguments.next(), arguments.next(), arguments.next())
    else {
        return Err("wanted: CLIENT.toml VOLUME SHARD".into());
    };
    let config = ClientConfig::from_toml(&std::fs::read_to_string(file)?)?;
    let client = Client::builder().config(config).build()?;
    let (volume, shard) = (u64::from_str_radix(&volume, 16)?, shard.parse()?);
    let mut doubtful = Vec::new();
    for (piece, line) in std::io::stdin().lock().lines().enumerate() {
        let line = line?;
        for round in 1.. {
            let item = Item::new(volume, piece as u64 + 1, "basic", Some(shard));
            match client.put(item, line.clone()).await? {
                Outcome::Served(_) => break,
                // It may stand in the record: somebody looks before it is written again.
                Outcome::Failed(Failure::MayHaveRun(why)) => {
                    doubtful.push((piece, why));
                    break;
                }
                // It does not: the next round brings it, when the scheduler wants it.
                Outcome::Refused(_) | Outcome::Failed(Failure::NeverRan(_)) if round == ROUNDS => {
                    return Err(format!("reading {piece} and what follows is left for later").into());
                }
                Outcome::Refused(refused) => {
                    tokio::time::sleep(refused.retry_after.unwrap_or(Duration::from_secs(1))).await;
                }
                Outcome::Failed(Failure::NeverRan(_)) => tokio::time::sleep(Duration::from_secs(1)).await,
            }
        }
    }
    for (piece, why) in doubtful {
        println!("reading {piece} may have been written ({why:?}); read it before writing it again");
    }
    Ok(())
}

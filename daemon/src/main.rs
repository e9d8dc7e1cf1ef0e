//! One scheduler, configured by the environment; SIGTERM stops it in good order.

use pointcross::{config::Config, run, shutdown::Shutdown};
use std::error::Error;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    let config = Config::from_environment()?;
    Ok(run(config, Shutdown::on_sigterm()?).await?)
}

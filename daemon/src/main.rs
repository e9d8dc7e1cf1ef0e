//! One scheduler, configured by the environment; SIGTERM stops it in good order.

use pointcross::{Daemon, config::Config, shutdown::Shutdown};
use std::error::Error;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    let config = Config::from_environment()?;
    let shutdown = Shutdown::on_sigterm()?;
    Daemon::bind(config).await?.run(shutdown).await;
    Ok(())
}

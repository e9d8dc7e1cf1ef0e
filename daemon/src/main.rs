//! One scheduler, configured by the environment; SIGTERM stops it in good order.

use pointcross::{Daemon, config::Config, shutdown::Shutdown};
use std::error::Error;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    match serve().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pointcross: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve() -> Result<(), Box<dyn Error>> {
    let shutdown = Shutdown::on_sigterm()?;
    Daemon::bind(Config::from_environment()?).await?.run(shutdown).await;
    Ok(())
}

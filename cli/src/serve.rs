//! One scheduler, configured by the environment; SIGHUP has it read its files again, SIGTERM stops it in good
//! order.

use pointcross::{Daemon, config::Config, shutdown::Shutdown};
use std::error::Error;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Serves until told to stop.
#[tokio::main(flavor = "current_thread")]
pub async fn run() -> ExitCode {
    match serve().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            for line in error.to_string().lines() {
                eprintln!("pointcross: {line}");
            }
            ExitCode::FAILURE
        }
    }
}

async fn serve() -> Result<(), Box<dyn Error>> {
    // Before anything else: from here on neither signal ends the program by itself.
    let shutdown = Shutdown::on_sigterm()?;
    let hangup = signal(SignalKind::hangup())?;
    let daemon = Daemon::bind(Config::from_environment()?).await?;
    tokio::spawn(daemon.reload().at_each(hangup));
    daemon.run(shutdown).await;
    Ok(())
}

//! One scheduler, configured by the environment; SIGHUP has it read its files again,
//! SIGTERM stops it in good order.

use pointcross::{Daemon, config::Config, shutdown::Shutdown};
use std::error::Error;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

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
    // Before anything else: from here on neither signal ends the program by itself.
    let shutdown = Shutdown::on_sigterm()?;
    let hangup = signal(SignalKind::hangup())?;
    let daemon = Daemon::bind(Config::from_environment()?).await?;
    tokio::spawn(daemon.reload().at_each(hangup));
    daemon.run(shutdown).await;
    Ok(())
}

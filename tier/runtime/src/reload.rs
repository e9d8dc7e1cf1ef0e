//! Reloading the settings file, on SIGHUP and when it changed without one. Of a running process's settings
//! only the seeds change.
//!
//! Guarantees that a process whose seeds were replaced finds the control members again without a restart, and
//! that an unreadable or incomplete file changes nothing.

use crate::environment::Environment;
use crate::watch::Seeds;
use log::{info, warn};
use pointcross_tier_protocol::Settings;
use pointcross_tier_protocol::settings::InternalPort;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

/// The time between two reads of the file without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(3);

/// The seeds of these settings as addresses of `port`, updated by a task of their own. The task is detached:
/// it ends with the process's runtime, as the seeds are used until then.
pub fn seeds(environment: &Environment, settings: &Settings, port: InternalPort) -> Seeds {
    let seeds: Seeds = Rc::new(RefCell::new(settings.seed_addresses(port)));
    tokio::task::spawn_local(update_seeds(environment.clone(), seeds.clone(), port));
    seeds
}

async fn update_seeds(environment: Environment, seeds: Seeds, port: InternalPort) {
    let source = environment.settings;
    let mut signalled = source.signalled();
    loop {
        let is_signalled = tokio::time::timeout(POLL_INTERVAL, &mut signalled).await.is_ok();
        if is_signalled {
            signalled = source.signalled();
        }
        match source.read() {
            Ok(settings) => replace_seeds(&seeds, settings.seed_addresses(port)),
            Err(error) if is_signalled => warn!("settings reload failed: {error}"),
            // A file that is just being written is complete at the next interval.
            Err(_) => {}
        }
    }
}

fn replace_seeds(seeds: &Seeds, addresses: Vec<SocketAddrV4>) {
    if *seeds.borrow() != addresses {
        info!("seeds changed: seeds={addresses:?}");
        *seeds.borrow_mut() = addresses;
    }
}

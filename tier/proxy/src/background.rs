//! Tasks that run beside the requests for as long as the proxy does: applying updates of the view, evicting
//! what has expired. Neither needs an orderly end: they change nothing outside the process.

use crate::proxy::Proxy;
use log::{info, warn};
use pointcross_tier_protocol::Configuration;
use pointcross_tier_routing::RouteTable;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The interval at which expired connections and turns are evicted.
const EVICTION_INTERVAL: Duration = Duration::from_millis(500);

/// Applies each update of the replicated view: instances to the servers, a newer configuration to the routes.
///
/// A configuration that isn't newer than the active one is ignored.
pub async fn apply_updates(proxy: Rc<Proxy>) {
    let mut changes = proxy.view.changes();
    let mut revision = 0;
    loop {
        changes.mark_seen();
        let (directory, changed, newest) = proxy.view.read(|view| {
            let instances = view.instances();
            (view.directory().clone(), instances.changed_since(revision), instances.revision())
        });
        revision = newest;
        for instance in &changed {
            proxy.servers.borrow_mut().update(instance);
        }
        let active_version = proxy.route_table.borrow().as_ref().map_or(0, |table| table.version());
        if directory.configuration_version > active_version {
            apply_configuration(&proxy, &directory.configuration);
        }
        if !changed.is_empty() {
            proxy.queues.notify_capacity();
        }
        changes.changed().await;
    }
}

fn apply_configuration(proxy: &Proxy, body: &[u8]) {
    match Configuration::parse(body) {
        Ok(configuration) => {
            let route_table = RouteTable::new(&configuration);
            info!("configuration applied: version={}", route_table.version());
            proxy.set_route_table(route_table);
        }
        Err(error) => warn!("configuration rejected: {error}"),
    }
}

/// Closes connections that were idle too long, and evicts turns past their retention.
pub async fn evict_expired(proxy: Rc<Proxy>) {
    loop {
        tokio::time::sleep(EVICTION_INTERVAL).await;
        proxy.pool.close_unusable();
        proxy.chains.borrow_mut().remove_expired(Instant::now());
    }
}

//! Idle connections, by the instance that they lead to.

use super::connection::Connection;
use super::error::AttemptError;
use pointcross_tier_protocol::Instance;
use pointcross_tier_runtime::environment::Environment;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Idle connections to one instance.
const MAX_IDLE_PER_INSTANCE: usize = 6;

/// The idle connections of a proxy to all instances.
pub struct ConnectionPool {
    environment: Environment,
    idle: RefCell<BTreeMap<String, Vec<Connection>>>,
}

impl ConnectionPool {
    /// An empty pool that connects through this environment's network.
    pub fn new(environment: &Environment) -> Self {
        ConnectionPool { environment: environment.clone(), idle: RefCell::default() }
    }

    /// A usable idle connection to this instance; the newest first, since the server closes it last.
    pub fn take_idle(&self, instance_id: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(instance_id)?;
        while let Some(mut connection) = connections.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Whether [`ConnectionPool::take_idle`] would probably find a connection to this instance.
    pub fn has_idle(&self, instance_id: &str) -> bool {
        let idle = self.idle.borrow();
        let connections = idle.get(instance_id);
        connections.is_some_and(|connections| connections.iter().any(Connection::is_within_keep_alive))
    }

    /// A new connection to this instance.
    ///
    /// # Errors
    ///
    /// [`AttemptError::NoConnection`] where none came up before the timeout.
    pub async fn connect(&self, instance: &Instance, timeout: Duration) -> Result<Connection, AttemptError> {
        let stream = self.environment.network.connect(instance.address, timeout).await;
        stream.map(Connection::new).map_err(|_| AttemptError::NoConnection)
    }

    /// Pools a connection whose response is complete. One that can't be reused, or is beyond
    /// the limit for one instance, is closed.
    pub fn release(&self, instance_id: &str, mut connection: Connection) {
        if !connection.mark_idle() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(instance_id.to_owned()).or_default();
        if connections.len() < MAX_IDLE_PER_INSTANCE {
            connections.push(connection);
        }
    }

    /// Closes connections that were idle too long, or on which bytes arrived that no request asked for.
    pub fn close_unusable(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain_mut(Connection::is_usable);
            !connections.is_empty()
        });
    }
}

//! The scheduler on real sockets, as a library: decode a [`config::Config`], bind a [`Daemon`] with it and
//! run that until [`shutdown::Shutdown`] ends it.
//!
//! [`control`] follows the node list, the other schedulers and carried configurations; [`http`] and [`nbd`]
//! are the clients' fronts, [`store`] the connections to storage nodes, [`admin`] the operators' API.
#![warn(missing_docs)]

pub mod admin;
mod client_stream;
pub mod config;
pub mod configuration;
#[doc(hidden)]
pub mod connection_slots;
pub mod control;
mod daemon;
pub mod discovery;
mod discovery_address;
pub mod http;
#[doc(hidden)]
pub mod listener;
pub mod maintenance;
pub mod membership;
pub mod nbd;
mod pool;
pub mod process_replacement;
pub mod reload;
#[doc(hidden)]
pub mod reuse_health;
pub mod rpc;
pub mod service_state;
pub mod shutdown;
mod start_error;
pub mod store;
pub mod telemetry;

pub use daemon::Daemon;
pub use start_error::StartError;

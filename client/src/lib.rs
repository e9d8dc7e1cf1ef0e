//! The clients' library for the platform's protocol: deadlines over all attempts, retries marked and within a
//! budget, refusals heeded, reconnects spread, and never a write that could run twice.
//!
//! ```no_run
//! use pointcross_client::{ClassConfig, Client, Item, Outcome};
//! use std::time::Duration;
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let client = Client::builder()
//!     .set("north", ["127.0.0.1:8080".parse()?, "127.0.0.1:8081".parse()?])
//!     .class("reading-get", ClassConfig::read(Duration::from_millis(1200)))
//!     .class("reading-put", ClassConfig::write(Duration::from_secs(3)))
//!     .build()?;
//! let item = Item::new(0x3b4d60021, 17, "basic", Some(5)).units(2.0);
//! match client.put(item, "21.4 C").await? {
//!     Outcome::Served(_) => {}
//!     Outcome::Refused(refused) => println!("come back in {:?}", refused.retry_after),
//!     Outcome::Failed(failure) => println!("{failure}"),
//! }
//! # Ok(())
//! # }
//! ```
//!
//! Every decision is in [`decide`], which does no I/O and knows no clock.
#![warn(missing_docs)]

mod client;
mod config;
mod connection;
pub mod decide;
mod driver;
mod observe;
mod service;
mod socket;

pub use client::{Builder, Call, CallError, Client, Failure, Item, Outcome, Refused};
pub use config::{
    ClassConfig, ClientConfig, ConfigError, ConfigErrors, ConnectionConfig, ReconnectConfig, RetryConfig,
    SetConfig,
};
pub use decide::engine::{NoRetryReason, SchedulerEvent, Verdict};
pub use decide::retry_policy::{MayHaveRunCause, NeverRanCause};
pub use decide::scheduler::EjectionCause;
pub use observe::{Counts, Observed, Observer};
pub use service::{ClientRequest, ServiceError};

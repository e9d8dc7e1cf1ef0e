//! Where a request goes: the route table, the servers of each service with what was learned of them, admission and
//! placement. Nothing here does I/O or reads a clock.
#![warn(missing_docs)]

mod admission;
mod cost;
mod health;
mod policy;
mod prefix;
mod rendezvous;
mod route_table;
mod server;
mod servers;
mod urgency;
mod usual_time;

pub use policy::Policy;
pub use prefix::{PromptParts, parse_prefix};
pub use rendezvous::key as object_key;
pub use route_table::{RouteTable, RoutedRequest};
pub use server::{AttemptEnd, LoadReport};
pub use servers::{AnswerBegin, Choice, Demand, Servers};
pub use urgency::{RequestTime, priority};

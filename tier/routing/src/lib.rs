//! Where a request goes: the route table, the servers of each service with what was learned of them, admission and
//! placement. Nothing here does I/O or reads a clock.

mod admission;
mod cost;
mod demand;
mod health;
mod overload;
mod policy;
mod prefix;
mod priority;
mod programs;
mod rendezvous;
mod route_latency;
mod route_table;
mod server;
mod servers;

pub use demand::Demand;
pub use overload::{ProgramDemand, ProgramStage};
pub use policy::Policy;
pub use prefix::{PromptParts, parse_prefix};
pub use priority::{RequestTime, priority};
pub use programs::AdmittedPrograms;
pub use rendezvous::key as object_key;
pub use route_table::{RouteTable, RoutedRequest};
pub use server::{AttemptEnd, LoadReport};
pub use servers::{AnswerBegin, Choice, Servers};

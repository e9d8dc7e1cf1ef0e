//! Decides for an I/O scheduler on hosts that share storage nodes.
//!
//! Each host runs one [`Scheduler`]. It is told what happens ([`Event`]) and says what to do
//! ([`Action`]); it has no clock, no threads and no I/O of its own. For each request it forecasts the wait
//! at the node that holds the data, from the units ahead and the rate at which that node has been serving this
//! host, and refuses the request on arrival when the forecast passes the time that is left.
//!
//! ```
//! use pointcross_scheduler::*;
//!
//! let class = Class {
//!     aim: 200.0, deadline: 1000.0, aim_stretch: 0.0, worth: 1.0, late_worth: 0.1,
//!     repeat: Repeat::Safe, group: Group::All, repeat_window: 0.0, ordered: false, writes: false,
//! };
//! let plan = Plan {
//!     rate: 20.0, reserve: 10.0, weight: 1.0, price: 1.0, limit: 0.0, limit_depth: 0.0, limit_slack: 0.0,
//! };
//! let rules = Rules {
//!     answer_grace: 8.0, drain_grace: 250.0, ask_within: 10_000.0, cold_from: 0.2, cold_for: 15_000.0,
//!     fall_multiple: 3.0, fall_window: 2000.0, cold_units: 20.0, key_rest: 0.0, budget: None,
//! };
//! let settings = Settings {
//!     host: 0, hosts: 3, zone: 0, tick: 2.0, classes: vec![class], plans: vec![plan], rules,
//!     ask_for_list: false, max_attempts: 3, second_copies: false, may_cancel: true, may_probe: false,
//!     may_message: false, max_retry_after: 500.0, connect_time: 250.0,
//!     report_source: ReportSource::Nowhere, report_names: vec![], mean_units: 2.0, max_units: 8.0,
//!     share_worth: 0.35, spare_worth: 0.05, shards: 1, tells_elsewhere: false, probe_price: 0.0,
//! };
//!
//! let mut scheduler = Scheduler::new(settings, 42, 0.0)?;
//! let mut actions = Vec::new();
//!
//! // The list names the node that holds shard 0.
//! let node = NodeId { address: [10, 0, 0, 1], port: 3260 };
//! let entry = NodeEntry { node, zone: 0, shard: 0, state: NodeState::Ready, started: 0.0 };
//! scheduler.handle(0.0, Event::List { kind: ListKind::Cached, entries: vec![entry] }, &mut actions);
//!
//! // A request comes in, and is sent.
//! let request = Request {
//!     id: 1, class: 0, plan: 0, key: 0, deadline: 1005.0, volume: 7, units: 2.0, shard: Some(0),
//!     volume_hosts: 2.0, client_repeat: false, writes: false,
//! };
//! scheduler.handle(5.0, Event::Arrived(request), &mut actions);
//! assert!(actions.contains(&Action::Send { request: 1, node, time_limit: None }));
//! # Ok::<(), SettingsError>(())
//! ```
//!
//! The caller carries out the actions in order, feeds back every attempt's end as [`Event::Ended`], and
//! every timer as [`Event::Timer`]. Events that fit nothing known are ignored; a request that cannot be placed
//! (unknown class or plan, a deadline that is past or no number) is refused at once.
#![warn(missing_docs)]

mod admission;
mod events;
mod fair_queue;
mod final_answer;
mod forecast;
mod node;
mod node_health;
mod node_list;
mod request;
mod scheduler;
mod send_rules;
mod service_rate;
mod settings;
mod token_bucket;
mod units;
mod volume;
mod warm_up;

pub use events::*;
pub use scheduler::Scheduler;
pub use service_rate::{LearnedRate, forecast};
pub use settings::*;
pub use units::{Millis, Units, UnitsPerSecond, Value};

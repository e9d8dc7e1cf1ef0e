//! The life of a request round the decision module, whatever protocol it came by.
//!
//! A front decodes its protocol into a [`NewRequest`] and awaits [`Core::serve`]; a [`Transport`] carries one
//! attempt to one node. Everything between is here: the module behind its lock, the clock, the timers, the
//! request table and the node list. No decision is taken in this package.

mod clock;
mod counts;
mod gate;
mod guard;
pub mod nodes;
mod request;
mod serve;
mod state;

pub use counts::{ClassCounts, Counts, Final};
pub use gate::AttemptGate;
pub use guard::{Admission, AdmissionGuard};
pub use nodes::{BanError, Member, Target};
pub use pointcross_scheduler as decide;
pub use request::{Answer, Attempt, End, Ended, NewRequest, Report, Transport};
pub use state::Core;

//! What goes over the wire and into files: the document, the request for it, the source's reports and the
//! saved document, each decoded strictly.
//!
//! Guards against a configuration that is half understood: a key that nobody knows, a key that appears twice,
//! a text that was damaged on its way. Each error names the key, what was found and what is wanted.

mod document;
mod endpoints;
mod error;
mod name;
mod poll_request;
mod report;
mod saved_document;
mod unique_keys;

pub use document::{MAX_BYTES, decode, encode};
pub use endpoints::{PATH, SCHEDULERS_PATH, STATE_PATH, SUM_HEADER, VERSION_HEADER, parse_checksum};
pub use error::DocumentError;
pub use name::{MAX_NAME, NAME_WANTED, faulty_name};
pub use poll_request::{MAX_HOLD_MS, PollRequest, PollRequestError};
pub use report::{SchedulerReport, Schedulers, State};
pub use saved_document::{SavedDocumentError, decode_saved, encode_saved};

//! Distribution of the fleet's configuration: carries a changed document to every scheduler, and reports
//! which version is active where.
//!
//! Guarantees that a change is active at every scheduler that reaches a source within the bound of
//! [`decide::worst_path`], and that a document is applied as a whole or not at all. While no source is
//! reachable, the last document stays active, also over a restart.
//!
//! [`decide`] holds the decisions, [`wire`] the forms; [`driver`] runs a scheduler's follower and [`source`]
//! a source.
#![warn(missing_docs)]

pub mod decide;
pub mod driver;
pub mod source;
pub mod wire;

use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A version of the fleet's configuration. It is complete: a key that it does not name is as in the
/// scheduler's own files.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// The fleet that it is for.
    pub fleet: String,
    /// Its version, at least 1; later ones are greater.
    pub version: u64,
    /// The settings, by key.
    pub keys: Map<String, Value>,
}

/// Applies documents in this process.
pub trait ApplyConfiguration: Send + Sync + 'static {
    /// Applies the whole document, or changes nothing.
    ///
    /// # Errors
    /// What is wrong, in a line that names the key.
    fn apply(&self, document: &Document) -> Result<(), String>;
}

/// The settings of a follower: `[configuration]` in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowerSettings {
    /// The fleet whose documents are applied; others are rejected.
    pub fleet: String,
    /// This scheduler's name, sent with each request.
    pub name: String,
    /// The addresses of the sources. The first is asked first; after a failure the next one is.
    pub sources: Vec<SocketAddr>,
    /// How long a request may stay pending at a source that has no newer version.
    pub poll_timeout: Duration,
    /// The file for the last document that was applied; `None` saves none.
    pub saved_document: Option<PathBuf>,
    /// The longest document in bytes; a longer one is rejected unread.
    pub max_bytes: usize,
    /// Seed of the backoffs and time-outs.
    pub seed: u64,
}

/// What is active here, as the admin API and the scale experiments read it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The active version; `None` while only the scheduler's own files apply.
    pub version: Option<u64>,
    /// The source that replied last.
    pub source: Option<SocketAddr>,
    /// Whether the last request failed.
    pub unreachable: bool,
    /// The last version that was rejected, and the reason.
    pub refused: Option<(u64, String)>,
}

//! Turns of conversations and reservations of budgets, as proxies and stores exchange them.

use crate::directory::StoreId;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A turn's id: the id of the attempt that answered it, which is unique.
pub type TurnId = String;

/// A turn that was answered completely.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// Its id.
    pub id: TurnId,
    /// The turn that it continues from; `None` for the first of a chain.
    pub previous: Option<TurnId>,
    /// The key by which its stores are chosen; the same for all turns of a chain, which therefore are at the
    /// same stores.
    pub placement: String,
    /// The client's body, then every event's data, each followed by a line feed.
    pub text: Bytes,
    /// The remaining time of its retention at the time of sending, in milliseconds.
    #[serde(rename = "keep_ms")]
    pub retention_ms: u64,
    /// The stores that are to hold a replica.
    #[serde(rename = "homes")]
    pub replicas: Vec<StoreId>,
}

/// The tokens of a program's budget that one attempt may use, or has used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The attempt's id.
    pub attempt: String,
    /// The most tokens that the attempt may generate; once settled, those that were passed on to the client.
    pub tokens: u64,
    /// Whether the attempt has ended, so that `tokens` is final.
    pub settled: bool,
}

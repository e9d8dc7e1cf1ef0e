//! The node list as discovery writes it.
//!
//! Guards against a list that is applied in part: a text with one faulty entry is refused, with that entry and key.

use pointcross_core::Member;
use pointcross_core::decide::NodeState;
use serde::Deserialize;
use std::net::SocketAddr;

/// A list, or the changes to one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// Whether it is the complete list.
    pub complete: bool,
    /// Its entries.
    pub members: Vec<Member>,
}

/// Why a list cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// Not the JSON that discovery writes.
    #[error("not a list: {0}")]
    Json(#[from] serde_json::Error),
    /// A member's address cannot be read.
    #[error("members: {id}: host_port {text:?} is not an address with a port")]
    Address {
        /// The member.
        id: String,
        /// Its address as written.
        text: String,
    },
}

#[derive(Deserialize)]
struct WireList {
    revision: u64,
    #[serde(default)]
    complete: bool,
    #[serde(default)]
    members: Vec<WireMember>,
}

#[derive(Deserialize)]
struct WireMember {
    id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    cell: u32,
    phase: WirePhase,
    #[serde(default)]
    up_since_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WirePhase {
    Up,
    Draining,
    Removed,
}

impl List {
    /// Decodes discovery's text; `zones` are the zones' names by number.
    ///
    /// # Errors
    /// A text that is no list, or the entry and key that are faulty.
    pub fn parse(text: &[u8], zones: &[String]) -> Result<Self, ListError> {
        let wire: WireList = serde_json::from_slice(text)?;
        let members = wire.members.into_iter().map(|member| {
            let Ok(address) = member.host_port.parse::<SocketAddr>() else {
                return Err(ListError::Address { id: member.id, text: member.host_port });
            };
            let zone = zones.iter().position(|zone| *zone == member.locality);
            Ok(Member {
                name: member.id,
                address,
                zone: zone.and_then(|zone| u8::try_from(zone).ok()).unwrap_or(0),
                shard: member.cell,
                state: match member.phase {
                    WirePhase::Up => NodeState::Ready,
                    WirePhase::Draining => NodeState::Draining,
                    WirePhase::Removed => NodeState::Gone,
                },
                started: member.up_since_ms,
            })
        });
        let members = members.collect::<Result<_, _>>()?;
        Ok(List { revision: wire.revision, complete: wire.complete, members })
    }
}

//! The parts of a prompt, as a request states them.

use smallvec::SmallVec;

/// Parts in order, each with its tokens. A part's key includes all parts before it, since a server's cache keeps a
/// part only together with those.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptParts {
    /// Key and tokens of each part.
    pub parts: SmallVec<[(u64, u64); 8]>,
}

impl PromptParts {
    /// What stays the same over all turns of a session: the first part that it shares with no other, which is the
    /// second one.
    pub fn session_key(&self) -> Option<u64> {
        self.parts.get(1).or(self.parts.first()).map(|(key, _)| *key)
    }

    /// What a prompt shares with those of other sessions: its first part, where it has others behind it.
    pub fn shared_key(&self) -> Option<u64> {
        if self.parts.len() < 2 {
            return None;
        }
        self.parts.first().map(|(key, _)| *key)
    }

    /// Tokens of all parts.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|(_, tokens)| tokens).sum()
    }
}

/// Reads `ID:TOKENS,ID:TOKENS`, the ids in hex. What can't be read ends the list.
pub fn parse_prefix(header: &str) -> PromptParts {
    let mut parts = SmallVec::new();
    let mut key: u64 = 0x9e37_79b9_7f4a_7c15;
    for part in header.split(',') {
        let Some((id, tokens)) = part.trim().split_once(':') else {
            break;
        };
        let Ok(tokens) = tokens.parse() else {
            break;
        };
        for byte in id.bytes() {
            key = (key ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        key = (key ^ (key >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        parts.push((key, tokens));
    }
    PromptParts { parts }
}

//! Which mechanisms of choice are in force: each can be switched off by itself, to measure what it is worth.

/// Switches of the choice of a server. All are on in service; tests and measurements switch single ones off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Prefer servers to which an idle connection is kept.
    pub kept_connections: bool,
    /// Prefer the servers that a proxy, or a session, hashes to.
    pub homes: bool,
    /// Prefer the engines that the shared part of a prompt hashes to.
    pub shared_homes: bool,
    /// Prefer servers of the proxy's own zone.
    pub zones: bool,
    /// Prefer engines whose cache holds parts of the prompt.
    pub prefixes: bool,
    /// Prefer the server that an object hashes to.
    pub affinity: bool,
    /// Weigh how long a server takes against what others take.
    pub speeds: bool,
    /// Weigh the part of attempts that failed at a server, and let it rest after failures.
    pub health: bool,
    /// Hold units out at a server under a part of its learned rate.
    pub admission: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            kept_connections: true,
            homes: true,
            shared_homes: true,
            zones: true,
            prefixes: true,
            affinity: false,
            speeds: true,
            health: true,
            admission: true,
        }
    }
}

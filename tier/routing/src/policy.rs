//! Which mechanisms of choice are active: each can be switched off by itself, to measure what it is worth.

/// Switches of the choice of a server. All are on in service; tests and measurements switch single ones off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Prefer servers to which an idle connection is open.
    pub idle_connections: bool,
    /// Prefer the servers that a proxy, or a session, hashes to.
    pub preferred_servers: bool,
    /// Prefer the engines that the shared part of a prompt hashes to.
    pub shared_prefixes: bool,
    /// Prefer servers of the proxy's own zone.
    pub zones: bool,
    /// Prefer engines whose cache holds parts of the prompt.
    pub prefix_cache: bool,
    /// Prefer the server that an object hashes to.
    pub affinity: bool,
    /// Weigh a server's latency against the expected one.
    pub latency: bool,
    /// Weigh a server's failure rate, and eject it after failures.
    pub health: bool,
    /// Bound the units in flight at a server by a part of its learned rate.
    pub admission: bool,
    /// Queue a request rather than send it to an ejected server while others are only full.
    pub ejection_before_room: bool,
    /// Forecast the wait behind the queue by the rates of all servers that take from it, not of one.
    pub shared_queue: bool,
    /// Count a server as having room where its own report says that slots are free.
    pub reported_slots: bool,
    /// Refuse new programs, and those past their time, while a service's servers are overloaded.
    pub program_shedding: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            idle_connections: true,
            preferred_servers: true,
            shared_prefixes: true,
            zones: true,
            prefix_cache: true,
            affinity: false,
            latency: true,
            health: true,
            admission: true,
            ejection_before_room: true,
            shared_queue: true,
            reported_slots: true,
            program_shedding: true,
        }
    }
}

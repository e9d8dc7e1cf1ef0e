//! Names of HTTP headers, in lower case. They are part of the platform's interface.

/// The id of an attempt, unique for each.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// The remaining time of the caller, in milliseconds.
pub const DEADLINE: &str = "x-request-deadline";
/// The instance that a request is meant for; another one rejects it.
pub const EXPECTED_INSTANCE: &str = "x-expected-instance";
/// Says that the server certainly did not execute the request, which may be retried.
pub const NOT_EXECUTED: &str = "x-not-executed";
/// The server's signature of its response.
pub const SIGNATURE: &str = "x-response-signature";
/// The server's executing and queued requests, and its capacity.
pub const SERVER_LOAD: &str = "x-server-load";
/// Tokens of the prompt, and the most tokens that are generated.
pub const TOKEN_USAGE: &str = "x-token-usage";
/// The prefixes of the prompt.
pub const PROMPT_PREFIX: &str = "x-prompt-prefix";
/// The affinity key: equal on requests that should reach the same server.
pub const AFFINITY_KEY: &str = "x-affinity-key";
/// The id of the last event that the client received (server-sent events).
pub const LAST_EVENT_ID: &str = "last-event-id";
/// The program that a request belongs to.
pub const PROGRAM: &str = "program";
/// The session, a sequence of turns, that a request belongs to.
pub const SESSION: &str = "session";
/// The time until the program should be finished, in milliseconds.
pub const FINISH_MS: &str = "finish-ms";
/// The priority of a request at an engine: 0, the highest, to 9.
pub const PRIORITY: &str = "priority";
/// Tokens that all turns of a program may generate.
pub const BUDGET: &str = "budget";
/// The turn that this one continues from.
pub const PREVIOUS: &str = "previous";
/// The version of the configuration that an order is based on.
pub const BASE_VERSION: &str = "x-base-version";

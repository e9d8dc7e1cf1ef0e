//! Header names on the wire, in lower case.

/// A try's id, unique for each.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// Milliseconds that are left to the caller.
pub const DEADLINE: &str = "x-request-deadline";
/// The instance that a request is meant for.
pub const EXPECTED_INSTANCE: &str = "x-expected-instance";
/// States that the server did not run the request.
pub const NOT_EXECUTED: &str = "x-not-executed";
/// The server's stamp.
pub const SIGNATURE: &str = "x-response-signature";
/// Requests running and waiting, and slots.
pub const SERVER_LOAD: &str = "x-server-load";
/// Tokens of the prompt, and the most that are generated.
pub const TOKEN_USAGE: &str = "x-token-usage";
/// The parts of the prompt.
pub const PROMPT_PREFIX: &str = "x-prompt-prefix";
/// The same on all requests that concern the same object.
pub const AFFINITY_KEY: &str = "x-affinity-key";
/// The last event that came.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// The program that a request belongs to.
pub const PROGRAM: &str = "program";
/// The line of turns that a request belongs to.
pub const SESSION: &str = "session";
/// Milliseconds until the program should be over.
pub const FINISH_MS: &str = "finish-ms";
/// How urgent a request is to an engine: 0 to 9, 0 first.
pub const PRIORITY: &str = "priority";
/// Tokens that all turns of a program may generate.
pub const BUDGET: &str = "budget";
/// The turn that this one continues from.
pub const PREVIOUS: &str = "previous";
/// The configuration's version that an order builds on.
pub const BASE_VERSION: &str = "x-base-version";

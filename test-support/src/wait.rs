//! Waiting for a condition, with a limit after which the test fails.

use std::time::Duration;

/// How long a condition may take to hold; far longer than any test needs.
const TIMEOUT: Duration = Duration::from_secs(20);

/// How often the condition is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Waits until `condition` holds, checking it every millisecond.
///
/// # Panics
///
/// Panics when the condition does not hold within 20 seconds.
pub async fn until(condition: impl Fn() -> bool) {
    let waited = tokio::time::timeout(TIMEOUT, async {
        while !condition() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    });
    waited.await.expect("the condition did not hold in time");
}

//! The list: watched, lost, found again.

mod common;

use common::*;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;
use tokio::time::Instant;

#[tokio::test]
async fn the_watch_goes_on_at_once_and_a_failure_is_asked_again_later() {
    let (store, seen) = store(|_, _| ok("")).await;
    let (change, changes) = watch::channel((1, String::new()));
    let calls = Arc::new(Mutex::new(Vec::new()));
    let (noted, list) = (calls.clone(), listed(changes));
    let (discovery, _) = stand_in(move |message| {
        noted.lock().unwrap().push((Instant::now(), message.path().to_owned()));
        list(message)
    })
    .await;
    let running = Running::with(config(store, discovery, "")).await;
    // The known list counts as cached: the watch starts from its version, and requests are served already.
    until(|| calls.lock().unwrap().len() == 1).await;
    assert_eq!(calls.lock().unwrap()[0].1, "/api/targets?from=1&hold_ms=4000");
    let read = |id| request("reading-get", "standard", 9, id, b"");
    let mut stream = connect(running.http).await;
    assert_eq!(exchange(&mut stream, &read(1)).await.unwrap().status(), 200);

    // A node that drains gets nothing new; its last answer is followed by the next call at once.
    change.send_replace((2, list_entry(store).replace("up\"", "draining\"")));
    until(|| calls.lock().unwrap().len() == 2).await;
    assert_eq!(calls.lock().unwrap()[1].1, "/api/targets?from=2&hold_ms=4000");
    assert!(!running.core.can_serve());
    assert_eq!(exchange(&mut stream, &read(2)).await.unwrap().status(), 429);
    assert_eq!(seen.all().len(), 1);

    // Failures are left to the module: it asks again, but not at once.
    let failed = Instant::now();
    change.send_replace((0, String::new()));
    until(|| calls.lock().unwrap().len() == 3).await;
    let again = calls.lock().unwrap()[2].0;
    assert!(again - failed >= std::time::Duration::from_millis(500), "asked again too soon");
    change.send_replace((3, list_entry(store)));
    until(|| running.core.can_serve()).await;
    assert_eq!(exchange(&mut stream, &read(3)).await.unwrap().status(), 200);
}

//! A stand-in for the platform's discovery service.

use crate::http::Message;
use crate::stub_server::{StubAction, ok};
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::sync::watch;

/// Discovery's entry of a store.
pub fn list_entry(store: SocketAddr) -> String {
    format!(r#"{{"id":"s-1","host_port":"{store}","locality":"a","cell":1,"phase":"up","up_since_ms":0}}"#)
}

/// The responses of a discovery that serves the revision and members last sent to `changes`. A watch with
/// `from=REVISION` waits for another revision; revision 0 stands for an unavailable discovery (status 503).
pub fn serve_node_list(
    changes: watch::Receiver<(u64, String)>,
) -> impl Fn(Message) -> NodeListResponse + Clone {
    move |message| {
        let mut changes = changes.clone();
        Box::pin(async move {
            let from: Option<u64> = message
                .path()
                .split(['?', '&'])
                .find_map(|part| part.strip_prefix("from="))
                .map(|from| from.parse().unwrap());
            // The sender outlives the program in every test.
            let (revision, members) =
                changes.wait_for(|(revision, _)| Some(*revision) != from).await.unwrap().clone();
            if revision == 0 {
                return StubAction::Respond("503 Service Unavailable", Vec::new());
            }
            ok(format!(r#"{{"revision":{revision},"complete":true,"members":[{members}]}}"#))
        })
    }
}

/// A pending response of the stand-in discovery.
pub type NodeListResponse = Pin<Box<dyn Future<Output = StubAction> + Send>>;

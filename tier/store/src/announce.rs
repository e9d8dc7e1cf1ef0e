//! The store makes itself known to the control plane until the directory lists it.

use crate::state::Store;
use log::debug;
use pointcross_tier_protocol::StoreState;
use pointcross_tier_protocol::messages::{ControlCall, ControlReply};
use pointcross_tier_protocol::settings::InternalPort;
use pointcross_tier_runtime::random;
use pointcross_tier_runtime::rpc::Peer;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

/// The time between two looks at the directory.
const LOOK_EVERY: Duration = Duration::from_millis(150);
/// How long a control member may take: it may ping other stores, and has to reach a majority.
const ANSWER_WITHIN: Duration = Duration::from_millis(3000);

/// Announces the store whenever the directory does not list it.
pub async fn run(store: Rc<Store>) {
    loop {
        let listed = store.listed_state();
        if matches!(listed, None | Some(StoreState::Lost)) {
            tell(&store, &ControlCall::AnnounceStore(store.entry())).await;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Tells a control member something. Gives whether it took that in.
pub async fn tell(store: &Store, call: &ControlCall) -> bool {
    let mut members: Vec<SocketAddrV4> = store.shared.read(|view| view.members().to_vec());
    if members.is_empty() {
        members = store.settings.seed_addresses(InternalPort::Control);
    }
    let member = members[random::below(members.len() as u64) as usize];
    match Peer::new(member).call::<ControlReply>(call, ANSWER_WITHIN).await {
        Ok(ControlReply::Done) => true,
        Ok(_) => false,
        Err(fault) => {
            debug!("announcing: {fault}");
            false
        }
    }
}

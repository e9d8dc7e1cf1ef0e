//! Calls of agents and stores.

use crate::member::Member;
use crate::stores;
use pointcross_tier_protocol::messages::{ControlCall, ControlReply};
use std::rc::Rc;

/// Answers an agent or a store.
pub async fn answer(member: Rc<Member>, call: ControlCall) -> Option<ControlReply> {
    match call {
        ControlCall::Follow(_) if !member.in_touch() => Some(ControlReply::OutOfTouch),
        ControlCall::Follow(request) => Some(member.shared.answer(&request).await),
        ControlCall::AnnounceStore(entry) => stores::announce(&member, entry).await,
        ControlCall::StoreLeaves(id) => stores::leaves(&member, id).await,
        ControlCall::StoreEmptied(id) => stores::emptied(&member, id).await,
    }
}

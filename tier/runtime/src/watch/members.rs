//! Which of the control members are watched.

use super::client::watch;
use super::view::ReplicatedView;
use crate::environment::Environment;
use crate::random;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// One choice in so many considers the seeds beside the known members: a view that lists only members that
/// are gone would otherwise never be left.
const SEEDS_CHANCE: u64 = 8;

/// Addresses of control members from the settings. [`crate::reload`] changes them with the settings file.
pub type Seeds = Rc<RefCell<Vec<SocketAddrV4>>>;

/// Watches the control members, two of them at a time, so that a change arrives although one of them stops
/// answering. Never returns.
pub async fn watch_control_members(environment: Environment, shared: Rc<ReplicatedView>, seeds: Seeds) {
    let chooser = MemberChooser::new(shared.clone(), seeds);
    let first = watch(environment.clone(), shared.clone(), chooser.clone().for_watch(0));
    let second = watch(environment, shared, chooser.for_watch(1));
    tokio::join!(first, second);
}

/// Chooses the members that the two watches are at.
#[derive(Clone)]
pub(super) struct MemberChooser {
    shared: Rc<ReplicatedView>,
    seeds: Seeds,
    /// The member that each watch chose last, by the watch's index.
    watched: Rc<RefCell<BTreeMap<usize, SocketAddrV4>>>,
}

impl MemberChooser {
    /// None of the members is chosen yet.
    pub(super) fn new(shared: Rc<ReplicatedView>, seeds: Seeds) -> Self {
        MemberChooser { shared, seeds, watched: Rc::default() }
    }

    fn for_watch(self, index: usize) -> impl FnMut() -> Option<SocketAddrV4> {
        move || self.choose(index)
    }

    /// A random member: where there is a choice neither the one that the other watch is at, nor the one that
    /// this watch has just left.
    pub(super) fn choose(&self, index: usize) -> Option<SocketAddrV4> {
        let mut candidates = self.candidates();
        let other = self.watched.borrow().iter().find(|(at, _)| **at != index).map(|(_, address)| *address);
        let last = self.watched.borrow().get(&index).copied();
        for avoided in [other, last] {
            if candidates.len() > 1 {
                candidates.retain(|candidate| Some(*candidate) != avoided);
            }
        }
        if candidates.is_empty() {
            return None;
        }
        let chosen = candidates[random::below(candidates.len() as u64) as usize];
        self.watched.borrow_mut().insert(index, chosen);
        Some(chosen)
    }

    /// The known members, at times with the seeds; without any member known, the seeds.
    fn candidates(&self) -> Vec<SocketAddrV4> {
        let mut candidates = self.shared.read(|view| view.members().to_vec());
        if candidates.is_empty() || random::below(SEEDS_CHANCE) == 0 {
            candidates.extend(self.seeds.borrow().iter());
        }
        candidates.sort();
        candidates.dedup();
        candidates
    }
}

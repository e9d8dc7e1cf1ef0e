//! A process's view of the directory, the control members and the instances, and what of it is new to a
//! watch.
//!
//! Guarantees that a view never goes back: an older directory or group of members changes nothing, whichever
//! source sends it. A watch that has all that its source has gets no update.

use crate::InstanceTable;
use bytes::Bytes;
use pointcross_tier_protocol::Directory;
use pointcross_tier_protocol::messages::{WatchRequest, WatchUpdate};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Up to which change of its source's instances a watch is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchPosition {
    /// The incarnation of the source that `revision` counts in.
    pub source: u64,
    /// The last revision that was received; 0 for none.
    pub revision: u64,
}

/// A process's view of the tier.
#[derive(Clone, Debug)]
pub struct ClusterView {
    /// This process's incarnation.
    source: u64,
    directory: Arc<Directory>,
    members: Vec<SocketAddrV4>,
    /// The epoch of the group that `members` form; 0 also where no group is known.
    members_epoch: u64,
    instances: InstanceTable,
}

impl ClusterView {
    /// An empty view. `source` is the incarnation of this process.
    pub fn new(source: u64) -> Self {
        ClusterView {
            source,
            directory: Arc::default(),
            members: Vec::new(),
            members_epoch: 0,
            instances: InstanceTable::default(),
        }
    }

    /// The newest directory.
    pub fn directory(&self) -> &Arc<Directory> {
        &self.directory
    }

    /// The internal addresses of the control members; empty where none is known.
    pub fn members(&self) -> &[SocketAddrV4] {
        &self.members
    }

    /// The instances.
    pub fn instances(&self) -> &InstanceTable {
        &self.instances
    }

    /// The instances, to merge reports.
    pub fn instances_mut(&mut self) -> &mut InstanceTable {
        &mut self.instances
    }

    /// Replaces the members by those of a committed group, if that is newer. Returns whether it is.
    pub fn adopt_members(&mut self, epoch: u64, members: Vec<SocketAddrV4>) -> bool {
        let newer = !members.is_empty() && (self.members.is_empty() || epoch > self.members_epoch);
        if newer {
            self.members = members;
            self.members_epoch = epoch;
        }
        newer
    }

    /// Replaces the directory by a committed one, if that is newer. Returns whether it is.
    pub fn adopt_directory(&mut self, directory: Directory) -> bool {
        let newer = directory.revision > self.directory.revision;
        if newer {
            self.directory = Arc::new(directory);
        }
        newer
    }

    /// The request to a source for what is new to this view. `position` is that of the last update from this
    /// source; `max_wait_ms` is how long the source may wait for a change before it answers.
    pub fn watch_request(&self, position: WatchPosition, max_wait_ms: u64) -> WatchRequest {
        WatchRequest {
            directory_revision: self.directory.revision,
            configuration_version: self.directory.configuration_version,
            members_epoch: if self.members.is_empty() { None } else { Some(self.members_epoch) },
            source: position.source,
            instances_revision: position.revision,
            max_wait_ms,
        }
    }

    /// Applies a source's update. Returns whether anything changed.
    pub fn apply(&mut self, update: WatchUpdate) -> bool {
        let mut changed = self.adopt_members(update.members_epoch, update.members);
        if let Some(directory) = update.directory
            && let Some(directory) = self.with_configuration(directory)
        {
            changed |= self.adopt_directory(directory);
        }
        for instance in update.instances {
            changed |= self.instances.merge(instance);
        }
        changed
    }

    /// Completes a directory that was sent without the configuration's bytes. `None` where this view doesn't
    /// have them either: the directory has changed since the request, and the next one gets it with the
    /// bytes.
    fn with_configuration(&self, mut directory: Directory) -> Option<Directory> {
        let is_own_version = directory.configuration_version == self.directory.configuration_version;
        if is_own_version && directory.configuration.is_empty() {
            directory.configuration = self.directory.configuration.clone();
        }
        let is_complete = directory.configuration_version == 0 || !directory.configuration.is_empty();
        is_complete.then_some(directory)
    }

    /// The update for a watch; `None` where nothing is new to it.
    ///
    /// A watch that has followed another incarnation gets all instances, and an update even if there are
    /// none, so that it learns this one's position.
    pub fn update_for(&self, request: &WatchRequest) -> Option<WatchUpdate> {
        let is_same_source = request.source == self.source;
        let known_revision = if is_same_source { request.instances_revision } else { 0 };
        let directory_is_new = self.directory.revision > request.directory_revision;
        let members_are_new = self.has_newer_members(request);
        let revision = self.instances.revision();
        if !directory_is_new && !members_are_new && known_revision >= revision && is_same_source {
            return None;
        }
        let directory = directory_is_new.then(|| self.directory_for(request));
        Some(WatchUpdate {
            directory,
            members: self.members.clone(),
            members_epoch: self.members_epoch,
            source: self.source,
            instances_revision: revision,
            instances: self.instances.changed_since(known_revision),
        })
    }

    fn has_newer_members(&self, request: &WatchRequest) -> bool {
        !self.members.is_empty() && request.members_epoch < Some(self.members_epoch)
    }

    /// The directory and the members, where one of them is new to the caller; `None` where neither is.
    /// Instances are left to watches, and the caller's position in them stays.
    pub fn latest_for(&self, request: &WatchRequest) -> Option<WatchUpdate> {
        let directory_is_new = self.directory.revision > request.directory_revision;
        if !directory_is_new && !self.has_newer_members(request) {
            return None;
        }
        Some(WatchUpdate {
            directory: directory_is_new.then(|| self.directory_for(request)),
            members: self.members.clone(),
            members_epoch: self.members_epoch,
            source: request.source,
            instances_revision: request.instances_revision,
            instances: Vec::new(),
        })
    }

    /// The members alone, for a watch that knows none or older ones; `None` where it knows these. The position
    /// stays at the beginning: none of this process's instances were sent.
    pub fn referral_for(&self, request: &WatchRequest) -> Option<WatchUpdate> {
        self.has_newer_members(request).then(|| WatchUpdate {
            members: self.members.clone(),
            members_epoch: self.members_epoch,
            source: self.source,
            ..WatchUpdate::default()
        })
    }

    /// The directory, without what only the control members need and without a configuration that the caller
    /// has.
    fn directory_for(&self, request: &WatchRequest) -> Directory {
        let has_configuration = request.configuration_version == self.directory.configuration_version;
        let configuration =
            if has_configuration { Bytes::new() } else { self.directory.configuration.clone() };
        Directory {
            revision: self.directory.revision,
            store_epoch: self.directory.store_epoch,
            stores: self.directory.stores.clone(),
            configuration_version: self.directory.configuration_version,
            configuration,
            committed_configurations: Vec::new(),
            forgotten_through: self.directory.forgotten_through,
            earlier_store_epochs: self.directory.earlier_store_epochs.clone(),
        }
    }
}

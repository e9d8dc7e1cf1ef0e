//! The address of discovery: from the scheduler's own files, or from a carried configuration.
//!
//! An address that the active document names takes precedence over the files' one, so that a reload does not
//! undo a carried configuration.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use tokio::sync::watch;

/// The address of discovery, with its two sources.
pub(crate) struct DiscoveryAddress {
    files: Mutex<SocketAddr>,
    document: Mutex<Option<SocketAddr>>,
    effective: watch::Sender<SocketAddr>,
}

impl DiscoveryAddress {
    pub(crate) fn new(files: SocketAddr) -> Self {
        DiscoveryAddress {
            files: Mutex::new(files),
            document: Mutex::default(),
            effective: watch::channel(files).0,
        }
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<SocketAddr> {
        self.effective.subscribe()
    }

    /// Sets the files' address; returns whether the effective address changes.
    pub(crate) fn set_from_files(&self, address: SocketAddr) -> bool {
        *self.files.lock().unwrap_or_else(PoisonError::into_inner) = address;
        self.publish()
    }

    /// Sets the active document's address, if it names one; returns whether the effective address changes.
    pub(crate) fn set_from_document(&self, address: Option<SocketAddr>) -> bool {
        *self.document.lock().unwrap_or_else(PoisonError::into_inner) = address;
        self.publish()
    }

    fn publish(&self) -> bool {
        self.effective.send_if_modified(|now| {
            let files = *self.files.lock().unwrap_or_else(PoisonError::into_inner);
            let document = *self.document.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::replace(now, document.unwrap_or(files)) != document.unwrap_or(files)
        })
    }
}

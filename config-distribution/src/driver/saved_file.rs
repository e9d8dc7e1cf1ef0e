//! The file of the saved document.
//!
//! Guards against a restart while no source is reachable: the last document that was applied is applied
//! again. The file is complete at any moment.

use crate::wire;
use bytes::Bytes;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use tokio::io::AsyncReadExt;
use tokio::sync::watch;

/// The longest first line of a saved document, in bytes, with room to spare.
const MAX_HEADER: usize = 128;

/// A document that was applied and is to be saved.
#[derive(Clone, Debug)]
pub(super) struct AppliedDocument {
    pub(super) version: u64,
    pub(super) text: Bytes,
}

/// The saved text. A file that does not exist is no fault; any other one is logged, and no text is used.
pub(super) async fn load(path: &Path, max_bytes: usize) -> Option<Bytes> {
    let bytes = match read_bounded(path, max_bytes + MAX_HEADER).await {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
        Err(error) => {
            tracing::warn!(path = %path.display(), %error, "saved configuration unreadable");
            return None;
        }
    };
    if bytes.len() > max_bytes + MAX_HEADER {
        tracing::warn!(path = %path.display(), max_bytes, "saved configuration too long");
        return None;
    }
    match wire::decode_saved(&bytes) {
        Ok(text) => Some(Bytes::copy_from_slice(text)),
        Err(error) => {
            tracing::warn!(path = %path.display(), %error, "saved configuration invalid");
            None
        }
    }
}

/// A file's bytes, at most one more than `max_bytes`, by which the caller sees that there are more.
pub(crate) async fn read_bounded(path: &Path, max_bytes: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    tokio::fs::File::open(path).await?.take(max_bytes as u64 + 1).read_to_end(&mut bytes).await?;
    Ok(bytes)
}

/// Saves each document that was applied, one at a time, and only the latest where several wait: the reply
/// that a version is active does not wait for the disk. A disk that fails is logged once.
pub(super) async fn save_applied(path: PathBuf, mut applied: watch::Receiver<Option<AppliedDocument>>) {
    let mut failing = false;
    while applied.changed().await.is_ok() {
        let Some(AppliedDocument { version, text }) = applied.borrow_and_update().clone() else { continue };
        let target = path.clone();
        let written =
            tokio::task::spawn_blocking(move || write(&target, &wire::encode_saved(version, &text))).await;
        match written.unwrap_or_else(|error| Err(io::Error::other(error))) {
            Ok(()) => failing = false,
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(path = %path.display(), %error, "saving configuration failed");
                }
            }
        }
    }
}

/// Writes another file, syncs it and renames it, so that the file is complete at any moment.
fn write(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let mut file = std::fs::File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)?;
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    std::fs::File::open(folder)?.sync_all()
}

//! The snapshot file: locked against a second process, appended to by a thread of its own, and rewritten by writing
//! another file beside it and renaming that. Guards against a disk that is slow, full or gone: whoever serves only queues
//! changes, and of changes not yet written only the latest for each node is kept.

use super::format::{Loaded, Record, decode, encode, encode_image, header};
use crate::decide::{SavedList, SavedNode, SnapshotChange};
use crate::staleness::Stamp;
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The wall clock and the machine's own, now. Where the system does not tell of its start, the steady clock
/// stands at 0 and bears nothing out.
pub fn now_stamp() -> Stamp {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let uptime = std::fs::read_to_string("/proc/uptime").ok();
    let uptime = uptime.and_then(|text| text.split(' ').next()?.parse::<f64>().ok());
    let boot = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    Stamp {
        wall_ms: wall.as_secs_f64() * 1e3,
        uptime_ms: uptime.unwrap_or(0.0) * 1e3,
        boot: if uptime.is_some() { boot.trim().to_owned() } else { String::new() },
    }
}

/// Why a snapshot cannot be kept.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// Another process keeps it.
    #[error("{0}: another process keeps it; this one runs without")]
    Taken(PathBuf),
    /// It cannot be opened or locked.
    #[error("{path}: {error}")]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: io::Error,
    },
}

/// Holds a snapshot against other processes, for as long as it lives.
#[derive(Debug)]
pub struct LockedSnapshot {
    path: PathBuf,
    _lock: File,
}

impl LockedSnapshot {
    /// Locks a snapshot by the file beside it that ends in `.lock`.
    ///
    /// # Errors
    /// A second process that has it, or what the system says.
    pub fn open(path: &Path) -> Result<Self, OpenError> {
        let beside = with_extension(path, "lock");
        let fail = |error| OpenError::Io { path: beside.clone(), error };
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&beside).map_err(fail)?;
        match lock.try_lock() {
            Ok(()) => Ok(LockedSnapshot { path: path.to_owned(), _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(OpenError::Taken(path.to_owned())),
            Err(TryLockError::Error(error)) => Err(fail(error)),
        }
    }

    /// Reads what is there. A file that is not there holds nothing, and nothing is wrong with it.
    ///
    /// # Errors
    /// What the system says; a missing file is an empty list.
    pub fn read(&self, max_bytes: u64) -> io::Result<Loaded> {
        match read_file(&self.path, max_bytes) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Loaded::default()),
            read => read,
        }
    }
}

/// Reads a snapshot, of which no more than `max_bytes` are read.
///
/// # Errors
/// What the system says.
pub fn read_file(path: &Path, max_bytes: u64) -> io::Result<Loaded> {
    let mut bytes = Vec::new();
    File::open(path)?.take(max_bytes).read_to_end(&mut bytes)?;
    Ok(decode(&bytes))
}

fn with_extension(path: &Path, ending: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".");
    name.push(ending);
    PathBuf::from(name)
}

/// Changes to be written: bounded by the number of nodes, since only the latest for each counts.
#[derive(Debug, Default)]
struct PendingChanges {
    nodes: BTreeMap<String, Option<SavedNode>>,
    list: Option<SavedList>,
    ends: bool,
}

#[derive(Debug, Default)]
struct Shared {
    pending: Mutex<PendingChanges>,
    changed: Condvar,
}

impl Shared {
    fn pending(&self) -> MutexGuard<'_, PendingChanges> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes the snapshot. Dropped, it writes pending changes if the disk lets it within 0.5 s.
#[derive(Debug)]
pub struct SnapshotWriter {
    shared: Arc<Shared>,
    discovery: Mutex<String>,
    ended: Mutex<std::sync::mpsc::Receiver<()>>,
}

/// How long the end of the program waits for the disk.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// A log is made anew when it is this many times as long as what it says, and this much longer.
const REWRITE_FACTOR: usize = 2;
const REWRITE_SLACK_BYTES: usize = 64 * 1024;

impl SnapshotWriter {
    /// Starts to write a snapshot that holds `image` now. Writes at most every `interval`, and never a
    /// file of more than `max_bytes`.
    pub fn start(
        locked: LockedSnapshot,
        image: Vec<SavedNode>,
        discovery: String,
        interval: Duration,
        max_bytes: u64,
    ) -> Self {
        let shared = Arc::<Shared>::default();
        let (end, ended) = std::sync::mpsc::channel();
        let writer = Writer {
            nodes: image.into_iter().map(|node| (node.name.clone(), node)).collect(),
            list: None,
            log: None,
            length: 0,
            live: 0,
            max_bytes,
            locked,
            failure_logged: false,
        };
        let changed = shared.clone();
        std::thread::spawn(move || {
            writer.run(&changed, interval);
            let _ = end.send(());
        });
        SnapshotWriter { shared, discovery: Mutex::new(discovery), ended: Mutex::new(ended) }
    }

    /// Sets the address of discovery that the next list record names.
    pub fn set_discovery(&self, address: String) {
        *self.discovery.lock().unwrap_or_else(PoisonError::into_inner) = address;
    }

    /// Queues changes; never waits for the disk.
    pub fn save(&self, changes: Vec<SnapshotChange>) {
        if changes.is_empty() {
            return;
        }
        let mut pending = self.shared.pending();
        for change in changes {
            match change {
                SnapshotChange::Node(node) => _ = pending.nodes.insert(node.name.clone(), Some(node)),
                SnapshotChange::Removed(name) => _ = pending.nodes.insert(name, None),
                SnapshotChange::List { revision } => {
                    let discovery = self.discovery.lock().unwrap_or_else(PoisonError::into_inner).clone();
                    pending.list = Some(SavedList { revision, discovery, confirmed: now_stamp() });
                }
            }
        }
        self.shared.changed.notify_one();
    }
}

impl Drop for SnapshotWriter {
    fn drop(&mut self) {
        self.shared.pending().ends = true;
        self.shared.changed.notify_one();
        let _ = self.ended.lock().unwrap_or_else(PoisonError::into_inner).recv_timeout(FINAL_WRITE_TIMEOUT);
    }
}

struct Writer {
    nodes: BTreeMap<String, SavedNode>,
    list: Option<SavedList>,
    log: Option<File>,
    length: usize,
    live: usize,
    max_bytes: u64,
    locked: LockedSnapshot,
    /// Whether the present failure was logged.
    failure_logged: bool,
}

impl Writer {
    fn run(mut self, shared: &Shared, interval: Duration) {
        loop {
            let PendingChanges { nodes, list, ends } = {
                let idle = |pending: &mut PendingChanges| {
                    pending.nodes.is_empty() && pending.list.is_none() && !pending.ends
                };
                let pending = shared.changed.wait_while(shared.pending(), idle);
                let mut pending = pending.unwrap_or_else(PoisonError::into_inner);
                let ends = pending.ends;
                PendingChanges { ends, ..std::mem::take(&mut *pending) }
            };
            let mut records = Vec::new();
            for (name, node) in nodes {
                match node {
                    Some(node) => {
                        records.push(Record::Node(node.clone()));
                        self.nodes.insert(name, node);
                    }
                    None => {
                        self.nodes.remove(&name);
                        records.push(Record::Removed(name));
                    }
                }
            }
            if let Some(list) = list {
                records.push(Record::List(list.clone()));
                self.list = Some(list);
            }
            match self.write(&records) {
                Ok(()) => self.failure_logged = false,
                Err(error) => {
                    // The next change rewrites the file: nothing that was missed stays missing.
                    self.log = None;
                    if !std::mem::replace(&mut self.failure_logged, true) {
                        tracing::warn!(path = %self.locked.path.display(), %error, "snapshot write failed");
                    }
                }
            }
            if ends {
                return;
            }
            // Changes that come meanwhile are written together.
            let ending =
                shared.changed.wait_timeout_while(shared.pending(), interval, |pending| !pending.ends);
            drop(ending);
        }
    }

    /// Appends, or rewrites the file where there is none of this process or it has grown.
    fn write(&mut self, records: &[Record]) -> io::Result<()> {
        let bytes: Vec<u8> = records.iter().flat_map(encode).collect();
        let has_grown = self.length + bytes.len() > REWRITE_FACTOR * self.live + REWRITE_SLACK_BYTES;
        match &mut self.log {
            Some(log) if !has_grown => {
                log.write_all(&bytes)?;
                log.sync_data()?;
                self.length += bytes.len();
                Ok(())
            }
            _ => self.rewrite(),
        }
    }

    /// Writes a complete file beside the present one and renames it into place.
    fn rewrite(&mut self) -> io::Result<()> {
        // Without a confirmed list the age of the list stays that of the file that is there.
        let Some(list) = &self.list else { return Ok(()) };
        let nodes: Vec<SavedNode> = self.nodes.values().cloned().collect();
        let bytes = encode_image(list, &nodes);
        if bytes.len() as u64 > self.max_bytes {
            return Err(io::Error::other(format!(
                "{} bytes are over the bound of {}",
                bytes.len(),
                self.max_bytes
            )));
        }
        debug_assert!(bytes.starts_with(&header()));
        let path = &self.locked.path;
        let beside = with_extension(path, "new");
        let mut file = File::create(&beside)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        std::fs::rename(&beside, path)?;
        if let Some(folder) = path.parent() {
            let folder = if folder.as_os_str().is_empty() { Path::new(".") } else { folder };
            File::open(folder)?.sync_all()?;
        }
        (self.log, self.length, self.live) = (Some(file), bytes.len(), bytes.len());
        Ok(())
    }
}

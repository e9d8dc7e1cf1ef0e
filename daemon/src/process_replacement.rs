//! Which process of a scheduler is the one in service, told through a file in `$TMPDIR`.
//!
//! Guards against two processes that serve side by side during a replacement and so spend a plan's limit
//! twice: the new one listens only once it can serve, and the old one, told to stop while a successor is
//! there, gives up its part of every limit at once.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The file that names the process last started for the scheduler at `listen`.
pub fn path_for(folder: &Path, listen: SocketAddr) -> PathBuf {
    folder.join(format!("pointcross-live-{}-{}", listen.ip(), listen.port()))
}

/// Whether a process that finds `recorded` in the file, and is `own`, replaces one that still runs.
pub fn replaces(recorded: Option<u32>, own: u32, alive: impl Fn(u32) -> bool) -> bool {
    recorded.is_some_and(|pid| pid != own && alive(pid))
}

/// The process id the file names; none where there is no file or it holds no number.
pub fn read(path: &Path) -> Option<u32> {
    std::fs::read_to_string(path).ok()?.trim().parse().ok()
}

/// Names this process in the file, whole: a temporary name, then a rename.
///
/// # Errors
/// What the system says.
pub fn write(path: &Path, pid: u32) -> io::Result<()> {
    let beside = path.with_extension(format!("new-{pid}"));
    std::fs::write(&beside, format!("{pid}\n"))?;
    std::fs::rename(&beside, path)
}

/// Whether a process with this id runs on this machine.
pub fn alive(pid: u32) -> bool {
    Path::new(&format!("/proc/{pid}")).exists()
}

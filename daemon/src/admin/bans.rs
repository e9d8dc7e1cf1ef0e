//! The bans' file in `$TMPDIR`, by which a ban outlasts the process that was told of it.
//!
//! Guards against a replacement that forgets what the staff took out, and against a torn or foreign file
//! taken for bans: the first line must be this program's, every other line an id.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The file's first line; another version's file is not read.
const HEADER: &str = "pointcross bans 1";

/// What was wrong with a bans' file.
#[derive(Debug, thiserror::Error)]
pub enum BansFileError {
    /// It cannot be read.
    #[error("{path}: cannot be read: {error}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// It is not one of this program's, or was cut short.
    #[error("{path}: line {line}: {text}")]
    Foreign {
        /// The file.
        path: PathBuf,
        /// Counted from 1.
        line: usize,
        /// What is wrong there.
        text: &'static str,
    },
}

/// The file of the scheduler that listens for clients at `listen`: the same for the old process and its
/// replacement, another for each scheduler that shares the folder.
pub fn path_for(folder: &Path, listen: SocketAddr) -> PathBuf {
    folder.join(format!("pointcross-bans-{}-{}", listen.ip(), listen.port()))
}

/// Reads the bans; no file is no ban.
///
/// # Errors
/// A file that cannot be read, or its first faulty line.
pub fn read(path: &Path) -> Result<Vec<String>, BansFileError> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(BansFileError::Unreadable { path: path.to_owned(), error }),
    };
    parse(&text).map_err(|(line, text)| BansFileError::Foreign { path: path.to_owned(), line, text })
}

/// The ids in a file's text, or the line that is wrong.
///
/// # Errors
/// The first faulty line, by number from 1, and what is wrong with it.
pub fn parse(text: &str) -> Result<Vec<String>, (usize, &'static str)> {
    let mut lines = text.split('\n');
    if lines.next() != Some(HEADER) {
        return Err((1, "not a bans' file of this version"));
    }
    if !text.ends_with('\n') {
        return Err((text.lines().count(), "cut short: no end of line"));
    }
    let mut ids = Vec::new();
    for (number, line) in lines.enumerate() {
        if line.is_empty() {
            continue;
        }
        if super::decide::route("PUT", &format!("/control/storage-nodes/{line}/offline"), false).is_err() {
            return Err((number + 2, "not a storage node id"));
        }
        ids.push(line.to_owned());
    }
    Ok(ids)
}

/// The text that holds these ids.
pub fn render(ids: &[String]) -> String {
    let mut text = format!("{HEADER}\n");
    for id in ids {
        text.push_str(id);
        text.push('\n');
    }
    text
}

/// Writes the bans whole: to a name of this process's own, then renamed over the file, so a reader sees the
/// old bans or the new ones and never half of either.
///
/// # Errors
/// What the system says; the file is as it was.
pub fn write(path: &Path, ids: &[String]) -> io::Result<()> {
    let beside = path.with_extension(format!("new-{}", std::process::id()));
    std::fs::write(&beside, render(ids))?;
    std::fs::rename(&beside, path)
}

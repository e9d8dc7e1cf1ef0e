//! Hollow schedulers: what a host process of many is told in its file, what it tells on its standard output, and the
//! rig's end of it. The control code that they run is the program's own; none of it is here.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, Command};

/// What a host process is given.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HollowFile {
    /// The platform's JSON, but for what differs between schedulers.
    pub platform: serde_json::Value,
    /// The list that those with a saved one begin with.
    pub known: Option<serde_json::Value>,
    /// Over how long their first starts are spread, in milliseconds.
    pub start_over_ms: u64,
    /// The schedulers.
    pub schedulers: Vec<HollowScheduler>,
}

/// One hollow scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HollowScheduler {
    /// Its number in the fleet, by which it is told of and restarted.
    pub number: usize,
    /// Its name.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// Its zone.
    pub zone: usize,
    /// Where its list service answers.
    pub discovery: SocketAddr,
    /// Whether it begins with the saved list.
    pub saved: bool,
    /// Its operator's file.
    pub operator: String,
}

/// What a host tells, one line each: number, revision or version, and when it was in force, Unix microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Starts, and when they began.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub started: Vec<(usize, u64)>,
    /// Revisions of the list.
    pub list: Vec<(usize, u64, u64)>,
    /// Versions of the configuration.
    pub configuration: Vec<(usize, u64, u64)>,
    /// Schedulers that ended untold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<usize>,
}

impl Told {
    /// Whether it tells nothing.
    pub fn is_empty(&self) -> bool {
        *self == Told::default()
    }
}

impl HollowFile {
    /// Reads the file's text.
    ///
    /// # Errors
    /// What is wrong with it, and where.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// The platform's JSON of one of its schedulers, as a process of its own would be given it.
    pub fn platform_text(&self, scheduler: &HollowScheduler) -> String {
        let mut platform = self.platform.clone();
        platform["name"] = scheduler.name.clone().into();
        platform["listen"] = "127.0.0.1:0".into();
        platform["discovery"] = scheduler.discovery.to_string().into();
        platform["seed"] = format!("{:x}", scheduler.seed).into();
        platform["settings"]["me"] = scheduler.number.into();
        platform["settings"]["locality"] = scheduler.zone.into();
        if let Some(known) = self.known.as_ref().filter(|_| scheduler.saved) {
            platform["known"] = known.clone();
        }
        platform.to_string()
    }
}

/// A running host process.
pub struct Host {
    child: Child,
    stdin: tokio::sync::Mutex<ChildStdin>,
}

/// Starts a host with this file in its folder; each line that it tells goes to `hear` as it comes.
///
/// # Errors
/// The folder, a file in it, or the program.
pub async fn host(
    program: &Path,
    folder: &Path,
    file: &HollowFile,
    hear: impl Fn(Told) + Send + 'static,
) -> std::io::Result<Host> {
    let tmp = folder.join("tmp");
    std::fs::create_dir_all(&tmp)?;
    let path = folder.join("hollow.json");
    std::fs::write(&path, serde_json::to_vec(file)?)?;
    let mut child = Command::new(program)
        .args(["lab", "hollow"])
        .arg(&path)
        .env_clear()
        .env("TMPDIR", &tmp)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(std::fs::File::create(folder.join("log"))?)
        .kill_on_drop(true)
        .spawn()?;
    let (stdin, stdout) = (child.stdin.take().expect("piped"), child.stdout.take().expect("piped"));
    tokio::spawn(async move {
        let mut lines = BufReader::new(stdout).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            match serde_json::from_str(&line) {
                Ok(told) => hear(told),
                Err(error) => eprintln!("pointcross: a hollow host: {error}: {line:.80}"),
            }
        }
    });
    Ok(Host { child, stdin: stdin.into() })
}

impl Host {
    /// Its process's id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Whether it ended before it was told to.
    pub fn crashed(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Has it drop scheduler `number` and start it anew.
    pub async fn restart(&self, number: usize) {
        // One that is gone shows as a crash.
        let _ = self.stdin.lock().await.write_all(format!("restart {number}\n").as_bytes()).await;
    }

    /// Tells it to end, waits, and kills it where it does not.
    pub async fn end(mut self) {
        let _ = self.stdin.lock().await.write_all(b"end\n").await;
        let patience = std::time::Duration::from_secs(3);
        if tokio::time::timeout(patience, self.child.wait()).await.is_err() {
            let _ = self.child.kill().await;
        }
    }
}

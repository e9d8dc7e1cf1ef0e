//! Real scheduler processes, started by exec of the built program, each with its own address, settings and
//! `$TMPDIR`; reaped, told to stop, killed and started again by process id only.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;

/// What a scheduler is started with.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// Its name, the same at every start.
    pub name: String,
    /// Its folder: `$TMPDIR`, its platform file, its operator's file and its log.
    pub folder: PathBuf,
    /// The platform's JSON, without `listen`, which is added at each start.
    pub platform: serde_json::Value,
    /// The operator's file, where there is one.
    pub operator: Option<String>,
}

/// Why a scheduler could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The folder or a file in it.
    #[error("{path}: {error}")]
    File {
        /// Where.
        path: PathBuf,
        /// What the system said.
        error: std::io::Error,
    },
    /// The program did not start.
    #[error("{program}: cannot be started: {error}")]
    Exec {
        /// The program.
        program: PathBuf,
        /// What the system said.
        error: std::io::Error,
    },
    /// It ended, or said nothing of where it serves.
    #[error("{name}: never said where it serves; see {log}")]
    Silent {
        /// The scheduler.
        name: String,
        /// Its log.
        log: PathBuf,
    },
}

/// A scheduler process, one start after another at the same address.
pub struct Scheduler {
    launch: Launch,
    /// Where it takes clients; fixed at its first start.
    pub address: Option<SocketAddr>,
    child: Option<Child>,
    /// Set while it is meant to run: an end meanwhile is a crash.
    meant: Arc<AtomicBool>,
    crashes: Arc<AtomicU64>,
    starts: u64,
    log_filter: Option<String>,
    hear: Option<Hear>,
}

/// Hears each line of a scheduler's log as it comes, with the number of the start that wrote it, from 1.
pub type Hear = Arc<dyn Fn(u64, &str) + Send + Sync>;

fn write(path: &Path, text: &str) -> Result<(), StartError> {
    std::fs::write(path, text).map_err(|error| StartError::File { path: path.to_owned(), error })
}

fn lay_over(under: &mut serde_json::Value, over: &serde_json::Value) {
    match (under, over) {
        (serde_json::Value::Object(under), serde_json::Value::Object(over)) => {
            for (key, value) in over {
                lay_over(under.entry(key).or_insert(serde_json::Value::Null), value);
            }
        }
        (under, over) => *under = over.clone(),
    }
}

impl Scheduler {
    /// A scheduler not yet started.
    pub fn new(launch: Launch) -> Self {
        Scheduler {
            launch,
            address: None,
            child: None,
            meant: Arc::default(),
            crashes: Arc::default(),
            starts: 0,
            log_filter: None,
            hear: None,
        }
    }

    /// Has it log by this filter, and each line of its log heard as it comes, from the next start on.
    pub fn hear(&mut self, log_filter: &str, hear: Hear) {
        (self.log_filter, self.hear) = (Some(log_filter.to_owned()), Some(hear));
    }

    /// Its starts so far.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Lays these keys over the platform's settings from the next start on; a key that holds an object is laid over it
    /// key by key.
    pub fn lay_over(&mut self, settings: &serde_json::Value) {
        lay_over(&mut self.launch.platform["settings"], settings);
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.launch.name
    }

    /// Its log's path.
    pub fn log(&self) -> PathBuf {
        self.launch.folder.join("log")
    }

    /// Ends it had that nobody asked for.
    pub fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::Relaxed)
    }

    /// Whether a process of it runs.
    pub fn running(&self) -> bool {
        self.child.is_some()
    }

    /// Starts it, at its first start's address if it had one, and waits until it says where it serves.
    ///
    /// # Errors
    /// A program that could not be started or did not become ready in time.
    pub async fn start(&mut self) -> Result<SocketAddr, StartError> {
        let folder = &self.launch.folder;
        let tmp = folder.join("tmp");
        std::fs::create_dir_all(&tmp).map_err(|error| StartError::File { path: tmp.clone(), error })?;
        let listen = self.address.map_or("127.0.0.1:0".to_owned(), |address| address.to_string());
        let mut platform = self.launch.platform.clone();
        platform["listen"] = serde_json::Value::String(listen);
        platform["name"] = serde_json::Value::String(self.launch.name.clone());
        self.starts += 1;
        platform["seed"] = serde_json::Value::String(format!("{:x}", self.starts));
        let platform_path = folder.join("platform.json");
        write(&platform_path, &platform.to_string())?;
        let mut command = Command::new(&self.launch.program);
        command
            .arg("serve")
            .env_clear()
            .env("RELAY_CONFIG", &platform_path)
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        if let Some(operator) = &self.launch.operator {
            let path = folder.join("operator.toml");
            write(&path, operator)?;
            command.env("POINTCROSS_OPERATOR", path);
        }
        if let Some(filter) = &self.log_filter {
            command.env("POINTCROSS_LOG_FILTER", filter);
        }
        let mut child = command
            .spawn()
            .map_err(|error| StartError::Exec { program: self.launch.program.clone(), error })?;
        let stderr = child.stderr.take().expect("piped");
        let log_path = self.log();
        let mut log = tokio::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log_path)
            .await
            .map_err(|error| StartError::File { path: log_path.clone(), error })?;
        let (said, mut serving) = watch::channel(None);
        let (hear, start) = (self.hear.clone(), self.starts);
        tokio::spawn(async move {
            let mut lines = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some(hear) = &hear {
                    hear(start, &line);
                }
                if let Some((_, rest)) = line.split_once("http=Some(")
                    && let Some(address) = rest.split(')').next().and_then(|text| text.parse().ok())
                {
                    said.send_replace(Some(address));
                }
                let _ = log.write_all(format!("{line}\n").as_bytes()).await;
            }
            // Its end: whoever waits for the address hears none.
            drop(said);
        });
        let address = serving.wait_for(Option::is_some).await.ok().and_then(|address| *address);
        let Some(address) = address else {
            let _ = child.wait().await;
            return Err(StartError::Silent { name: self.launch.name.clone(), log: log_path });
        };
        self.address = Some(address);
        self.meant.store(true, Ordering::Relaxed);
        self.child = Some(child);
        Ok(address)
    }

    /// Its process's id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref()?.id()
    }

    fn pid(&self) -> Option<Pid> {
        self.id().and_then(|id| i32::try_from(id).ok()).map(Pid::from_raw)
    }

    /// Sends SIGTERM, as a planned restart does; its end is then no crash.
    pub fn terminate(&mut self) {
        self.meant.store(false, Ordering::Relaxed);
        if let Some(pid) = self.pid() {
            let _ = kill(pid, Signal::SIGTERM);
        }
    }

    /// Kills it outright, as a crash of its machine does.
    pub async fn kill(&mut self) {
        self.meant.store(false, Ordering::Relaxed);
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Waits for the end of a process told to stop.
    pub async fn reap(&mut self) -> Option<std::process::ExitStatus> {
        let status = self.child.as_mut()?.wait().await.ok();
        self.child = None;
        status
    }

    /// Looks whether it ended without being told to; counts that as a crash, once.
    pub fn check(&mut self) {
        let ended = self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
        if ended {
            self.child = None;
            if self.meant.swap(false, Ordering::Relaxed) {
                self.crashes.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

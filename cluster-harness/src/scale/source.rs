//! The configuration's sources of a scale run: two processes of the program that serve one file, which the rig
//! replaces at each version.

use super::unix_us;
use crate::process::StartError;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::watch;

/// The fleet that the documents are for.
pub const FLEET: &str = "scale";

/// A running source.
pub struct Source {
    /// Where it serves.
    pub address: SocketAddr,
    child: Child,
}

/// The file that sources serve, and the version that it holds.
pub struct Published {
    path: PathBuf,
    version: u64,
}

impl Published {
    /// Writes the first version into this folder.
    ///
    /// # Errors
    /// The file.
    pub fn begin(folder: &Path) -> std::io::Result<Published> {
        std::fs::create_dir_all(folder)?;
        let mut published = Published { path: folder.join("configuration.json"), version: 0 };
        published.advance()?;
        Ok(published)
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Puts the next version in the file's place; gives it and when, in Unix microseconds.
    ///
    /// # Errors
    /// The file.
    pub fn advance(&mut self) -> std::io::Result<(u64, u64)> {
        self.version += 1;
        // Any two neighbours differ in what they set.
        let weight = 1.0 + (self.version % 4) as f64 / 4.0;
        let document = serde_json::json!({
            "fleet": FLEET,
            "version": self.version,
            "keys": {"service_levels": [{"name": "standard", "weight": weight}]},
        });
        let next = self.path.with_extension("next");
        std::fs::write(&next, document.to_string())?;
        let at = unix_us();
        std::fs::rename(&next, &self.path)?;
        Ok((self.version, at))
    }
}

impl Source {
    /// Starts one that serves the file, and waits until it says where.
    ///
    /// # Errors
    /// It did not start, or never said where it serves.
    pub async fn start(program: &Path, folder: &Path, name: &str, file: &Path) -> Result<Source, StartError> {
        let log_path = folder.join(format!("{name}.log"));
        let fault = |error| StartError::File { path: log_path.clone(), error };
        let mut log = tokio::fs::File::create(&log_path).await.map_err(fault)?;
        let mut child = Command::new(program)
            .args(["configuration", "serve", "--listen", "127.0.0.1:0", "--fleet", FLEET, "--file"])
            .arg(file)
            .env_clear()
            .env("POINTCROSS_LOG_FILTER", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| StartError::Exec { program: program.to_owned(), error })?;
        let stderr = child.stderr.take().expect("piped");
        let (said, mut serving) = watch::channel(None);
        tokio::spawn(async move {
            let mut lines = BufReader::new(stderr).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                if let Some((_, at)) = line.split_once("serving configuration at=")
                    && let Some(address) = at.split_whitespace().next().and_then(|text| text.parse().ok())
                {
                    said.send_replace(Some(address));
                }
                let _ = log.write_all(format!("{line}\n").as_bytes()).await;
            }
        });
        let address = serving.wait_for(Option::is_some).await.ok().and_then(|address| *address);
        match address {
            Some(address) => Ok(Source { address, child }),
            None => Err(StartError::Silent { name: name.to_owned(), log: log_path }),
        }
    }

    /// Its process's id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Whether it ended before it was told to.
    pub fn crashed(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Ends it.
    pub async fn end(&mut self) {
        let _ = self.child.kill().await;
    }
}

//! A source: serves the document of a file to schedulers. No decision is made here: see
//! [`crate::decide::table`].
//!
//! Guards against a faulty file that reaches a scheduler, and against callers that use a source up: the
//! number of connections, the time of a request's head and the time that a request stays pending are bounded.

mod file_watch;
mod http;
mod shared;

use crate::decide::table::Table;
use crate::driver::read_bounded;
use crate::wire::DocumentError;
use bytes::Bytes;
use file_watch::{FileStamp, FileWatch};
use shared::Shared;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

/// The most connections at once; a further one is closed as it comes. A scheduler keeps one.
pub const MAX_CONNECTIONS: usize = 4096;

/// The settings of a source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceSettings {
    /// The fleet that it serves; requests of others are rejected.
    pub fleet: String,
    /// The longest file that it accepts, in bytes.
    pub max_bytes: usize,
}

/// Why a source could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The file cannot be read.
    #[error("{path}: cannot be read: {error}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        error: io::Error,
    },
    /// The file holds no valid document.
    #[error("{path}: {error}")]
    Document {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        error: DocumentError,
    },
    /// The listener cannot be bound.
    #[error("{at}: cannot listen there: {error}")]
    Listen {
        /// The address.
        at: SocketAddr,
        /// What the system reported.
        error: io::Error,
    },
    /// The signal handler cannot be installed.
    #[error("SIGHUP: {0}")]
    Signal(io::Error),
}

/// A source with its listener bound, ready to run.
pub struct Source {
    shared: Arc<Shared>,
    listener: TcpListener,
    file_watch: FileWatch,
    max_connections: usize,
}

impl Source {
    /// Reads the file and binds the listener.
    ///
    /// # Errors
    /// [`StartError`], naming the file and what is wrong with it.
    pub async fn bind(
        listen: SocketAddr,
        file: PathBuf,
        settings: SourceSettings,
    ) -> Result<Self, StartError> {
        let file_error = |error| StartError::File { path: file.clone(), error };
        let SourceSettings { fleet, max_bytes } = settings;
        // Before the file is read: a change in between shows as one.
        let stamp = FileStamp::read(&file).await.map_err(file_error)?;
        let text = Bytes::from(read_bounded(&file, max_bytes).await.map_err(file_error)?);
        let shared = Shared::new(|| Table::new(fleet, max_bytes, Duration::ZERO, text));
        let shared = shared.map_err(|error| StartError::Document { path: file.clone(), error })?;
        let listener = TcpListener::bind(listen).await;
        let listener = listener.map_err(|error| StartError::Listen { at: listen, error })?;
        let hangup = signal(SignalKind::hangup()).map_err(StartError::Signal)?;
        let file_watch = FileWatch::new(file, max_bytes, stamp, hangup);
        Ok(Source { shared: Arc::new(shared), listener, file_watch, max_connections: MAX_CONNECTIONS })
    }

    /// Replaces [`MAX_CONNECTIONS`].
    pub fn max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// The address that it listens on.
    ///
    /// # Errors
    /// The system's.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves for as long as the program runs. Dropped, it closes the listener and every connection.
    pub async fn run(self) {
        let Source { shared, listener, file_watch, max_connections } = self;
        tokio::join!(file_watch.run(&shared), http::serve(listener, &shared, max_connections));
    }
}

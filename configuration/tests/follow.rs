//! The follower against real sources on loopback, with links between them that fail.

use pointcross_configuration::decide::worst_path;
use pointcross_configuration::drive::{follow, get};
use pointcross_configuration::source::{Source, SourceSettings};
use pointcross_configuration::wire::{MOST_BYTES, STATE_PATH, State};
use pointcross_configuration::{Document, FollowerSettings, Status, Take};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

const HOLD: Duration = Duration::from_millis(1400);

/// Remembers what was put in force; refuses a document whose `plan.bad` is set.
#[derive(Default)]
struct Taken(Mutex<Vec<u64>>);

impl Take for Taken {
    fn take(&self, document: &Document) -> Result<(), String> {
        if document.keys.contains_key("plan.bad") {
            return Err("plan.bad: unknown key".into());
        }
        self.0.lock().unwrap().push(document.version);
        Ok(())
    }
}

/// A folder of the test's own, empty.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("pointcross-configuration-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn publish(file: &Path, version: u64, keys: &str) {
    publish_for("f", file, version, keys);
}

fn publish_for(fleet: &str, file: &Path, version: u64, keys: &str) {
    let beside = file.with_extension("next");
    std::fs::write(&beside, format!(r#"{{"fleet":"{fleet}","version":{version},"keys":{{{keys}}}}}"#))
        .unwrap();
    std::fs::rename(beside, file).unwrap();
}

struct Served {
    address: SocketAddr,
    task: JoinHandle<()>,
}

async fn serve(file: &Path, at: &str) -> Served {
    let settings = SourceSettings { fleet: "f".into(), most_bytes: MOST_BYTES };
    let source = Source::bind(at.parse().unwrap(), file.to_owned(), settings).await.unwrap();
    Served { address: source.address().unwrap(), task: tokio::spawn(source.run()) }
}

struct Following {
    taken: Arc<Taken>,
    status: watch::Receiver<Status>,
    task: JoinHandle<()>,
}

fn start(name: &str, sources: &[SocketAddr], saved: Option<PathBuf>) -> Following {
    let settings = FollowerSettings {
        fleet: "f".into(),
        name: name.into(),
        sources: sources.to_vec(),
        hold: HOLD,
        saved,
        most_bytes: MOST_BYTES,
        seed: 7,
    };
    let taken = Arc::new(Taken::default());
    let (sender, status) = watch::channel(Status::default());
    let task = tokio::spawn(follow(settings, taken.clone(), sender));
    Following { taken, status, task }
}

impl Following {
    async fn until(&mut self, what: &str, wanted: impl Fn(&Status) -> bool) -> Status {
        let seen = self.status.wait_for(|now| wanted(now));
        let seen =
            tokio::time::timeout(Duration::from_secs(10), seen).await.map(|seen| seen.unwrap().clone());
        seen.unwrap_or_else(|_| panic!("{what}: not within 10 s; {:?}", *self.status.borrow()))
    }
    async fn in_force(&mut self, version: u64) -> Status {
        self.until(&format!("version {version}"), |status| status.version == Some(version)).await
    }
}

async fn state(at: SocketAddr) -> State {
    let text = get(at, STATE_PATH, Duration::from_secs(2)).await.unwrap();
    serde_json::from_slice(&text).unwrap()
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Up,
    /// Open connections fall silent, new ones are taken and never served.
    Dropped,
    /// Open connections are reset, new ones too.
    Refused,
    /// Every connection ends after so many bytes towards the follower.
    Cut(usize),
}

/// A link to a source, with a switch.
async fn link(to: SocketAddr) -> (SocketAddr, watch::Sender<Fault>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (switch, fault) = watch::channel(Fault::Up);
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(carry(near, to, fault.clone()));
        }
    });
    (address, switch)
}

async fn carry(mut near: TcpStream, to: SocketAddr, mut fault: watch::Receiver<Fault>) {
    let now = *fault.borrow_and_update();
    match now {
        Fault::Refused => return,
        Fault::Dropped => return while fault.changed().await.is_ok() {},
        Fault::Cut(bytes) => {
            let mut far = TcpStream::connect(to).await.unwrap();
            let mut head = vec![0; 4096];
            let read = near.read(&mut head).await.unwrap_or(0);
            far.write_all(&head[..read]).await.unwrap();
            let mut piece = vec![0; bytes];
            let read = far.read(&mut piece).await.unwrap_or(0);
            let _ = near.write_all(&piece[..read]).await;
            return;
        }
        Fault::Up => {}
    }
    let Ok(mut far) = TcpStream::connect(to).await else { return };
    let ended = {
        let carried = copy_bidirectional(&mut near, &mut far);
        tokio::select! { _ = carried => None, _ = fault.changed() => Some(*fault.borrow()) }
    };
    if let Some(Fault::Dropped) = ended {
        // Both ends stay open and nothing is said.
        std::future::pending::<()>().await;
    }
}

#[tokio::test]
async fn a_change_is_in_force_and_the_source_knows_and_the_next_start_needs_no_source() {
    let folder = folder("plain");
    let file = folder.join("document");
    publish(&file, 1, r#""plan.a":1"#);
    let source = serve(&file, "127.0.0.1:0").await;
    let saved = folder.join("saved");
    let mut follower = start("n0", &[source.address], Some(saved.clone()));
    follower.in_force(1).await;
    let published = Instant::now();
    publish(&file, 2, r#""plan.a":2"#);
    let status = follower.in_force(2).await;
    assert!(published.elapsed() < Duration::from_millis(1000), "{:?} without a fault", published.elapsed());
    assert_eq!(
        status,
        Status { version: Some(2), source: Some(source.address), unreachable: false, refused: None }
    );
    let told = loop {
        let told = state(source.address).await;
        if told.in_force == 1 {
            break told;
        }
        assert!(published.elapsed() < Duration::from_millis(4000), "{told:?}");
    };
    assert_eq!((told.version, told.schedulers, told.silent, told.behind.len()), (2, 1, 0, 0));
    // The document is saved; a start with all sources gone has it in force.
    while !std::fs::read(&saved).is_ok_and(|bytes| bytes.ends_with(br#""plan.a":2}}"#)) {
        assert!(published.elapsed() < Duration::from_secs(10), "not saved");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    follower.task.abort();
    source.task.abort();
    let _ = source.task.await;
    let mut again = start("n0", &[source.address], Some(saved));
    let status = again.until("unreachable", |status| status.unreachable).await;
    assert_eq!((status.version, status.source), (Some(2), None));
    assert_eq!(*again.taken.0.lock().unwrap(), [2]);
    // A source that starts again with an empty table fills it.
    let source = serve(&file, &source.address.to_string()).await;
    again.until("reachable", |status| !status.unreachable).await;
    let told = state(source.address).await;
    assert_eq!((told.schedulers, told.in_force), (1, 1));
    // A greater version is taken from there too.
    publish(&file, 3, "");
    again.in_force(3).await;
}

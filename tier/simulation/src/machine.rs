//! A machine of a deployment: its settings, and the processes of its roles.

use pointcross_tier_protocol::Settings;
use pointcross_tier_runtime::environment::Environment;
use pointcross_tier_runtime::process::Stop;
use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::rc::Rc;
use std::task::{Poll, Waker};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

/// Where control members take callers from outside.
pub const CONTROL_PORT: u16 = 7000;
/// Where proxies take clients.
pub const FRONT_PORT: u16 = 7001;
const READY_PORT: u16 = 7002;
const FIRST_FREE_PORT: u16 = 7100;
/// Where control members take followers.
pub const FOLLOW_PORT: u16 = FIRST_FREE_PORT;
const LAST_FREE_PORT: u16 = 7115;

/// A machine's name, address and folder for data.
pub struct MachinePlace<'a> {
    /// Its name, which ends with its number.
    pub name: &'a str,
    /// Its address.
    pub host: Ipv4Addr,
    /// Its folder for data.
    pub folder: &'a Path,
    /// Machines with a disk that may be lost at once.
    pub tolerated: usize,
    /// Its disk, in megabytes.
    pub disk_mb: u64,
}

impl MachinePlace<'_> {
    /// The settings of its processes, as a platform writes them.
    pub fn settings(&self, seeds: &[SocketAddrV4], bootstrap: bool) -> Settings {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let zone = self.name.rsplit('-').next().unwrap_or_default();
        let text = format!(
            "Node = \"{name}\"\nBindIp = \"{host}\"\nZone = \"zone-{zone}\"\n\
             PortRange = [{FIRST_FREE_PORT},{LAST_FREE_PORT}]\nSeedNodes = [{seeds}]\nBootstrap = {bootstrap}\n\
             DataDir = \"{folder}\"\nHeartbeatMs = 1000\n[ListenAddrs]\nFrontAddr = \"{host}:{FRONT_PORT}\"\n\
             ReadyAddr = \"{host}:{READY_PORT}\"\nControlAddr = \"{host}:{CONTROL_PORT}\"\n\
             [Limits]\nMemoryMb = 256\nMaxFds = 4096\nDiskMb = {disk_mb}\n[FaultTolerance]\nMachines = {tolerated}\n",
            name = self.name,
            host = self.host,
            seeds = seeds.join(","),
            folder = self.folder.display(),
            tolerated = self.tolerated,
            disk_mb = self.disk_mb,
        );
        Settings::from_text(&text, Path::new(self.name)).expect("valid settings")
    }
}

/// Whether a process stands still, and who is to be woken when it goes on.
#[derive(Default)]
struct Pause {
    frozen: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// A process: a set of tasks that end together.
pub struct Process {
    running: JoinHandle<()>,
    stop: Option<oneshot::Sender<()>>,
    pause: Rc<Pause>,
}

impl Process {
    /// Ends it at once.
    pub fn kill(self) {
        self.running.abort();
    }

    /// Lets it stand still. Its timers run out meanwhile, and bytes for it wait in its sockets.
    pub fn freeze(&self) {
        self.pause.frozen.set(true);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.pause.frozen.set(false);
        if let Some(waker) = self.pause.waker.take() {
            waker.wake();
        }
    }

    /// Tells it to stop.
    pub fn terminate(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }

    fn start<Running>(main: impl FnOnce(Stop) -> Running) -> Self
    where
        Running: Future<Output = ()> + 'static,
    {
        let (sender, receiver) = oneshot::channel();
        let stop: Stop = Box::pin(async move {
            if receiver.await.is_err() {
                std::future::pending::<()>().await;
            }
            Ok(())
        });
        let tasks = main(stop);
        let pause = Rc::<Pause>::default();
        let watched = pause.clone();
        let running = spawn_local(async move {
            let set = LocalSet::new();
            let mut process = std::pin::pin!(set.run_until(tasks));
            poll_fn(|context| {
                if watched.frozen.get() {
                    *watched.waker.borrow_mut() = Some(context.waker().clone());
                    return Poll::Pending;
                }
                process.as_mut().poll(context)
            })
            .await;
        });
        Process { running, stop: Some(sender), pause }
    }
}

/// Starts the processes that a class of machines runs.
pub fn start_roles(class: &str, settings: Settings, environment: Environment) -> Vec<Process> {
    match class {
        "core" => vec![Process::start(|stop| async move {
            pointcross_tier_control::run(settings, environment, stop).await.expect("control serves");
        })],
        "storage" => vec![Process::start(|stop| async move {
            pointcross_tier_store::run(settings, environment, stop).await.expect("the store serves");
        })],
        _ => {
            let (for_agent, agent_environment) = (settings.clone(), environment.clone());
            vec![
                Process::start(|stop| async move {
                    let served = pointcross_tier_agent::run(for_agent, agent_environment, stop);
                    served.await.expect("the agent serves");
                }),
                Process::start(|stop| async move {
                    let served = pointcross_tier_proxy::run(settings, environment, stop);
                    served.await.expect("the proxy serves");
                }),
            ]
        }
    }
}

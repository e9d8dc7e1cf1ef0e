//! The platform: settings files, processes, their memory limit, restarts, signals; and the record of a run.

use std::fs::File;
use std::io::Write;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
/// The kernel sends a process this signal when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// A process that ends or is killed is started again after this delay (DEPLOY, Ends).
const RESTART_DELAY: Duration = Duration::from_millis(500);
const PAGE_KB: u64 = 4;

/// What was sent, answered and run, with the seconds since the start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> std::io::Result<Arc<Self>> {
        Ok(Arc::new(Record { started: Instant::now(), file: Mutex::new(File::create(path)?) }))
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.seconds(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// The sheet of a deployment, as far as the settings files state it.
#[derive(Clone, Copy)]
pub struct Sheet {
    pub store_memory_mb: u64,
    pub store_disk_mb: u64,
    pub heartbeat_ms: u64,
}

/// A machine with one process of the tier.
pub struct Machine {
    pub name: String,
    pub class: &'static str,
    pub ip: String,
    zone: &'static str,
    memory_mb: u64,
    /// Added during the run: not started with the others, and with `Bootstrap` false.
    spare: bool,
    /// Not started yet.
    waits: AtomicBool,
    /// The process, while it runs.
    child: Mutex<Option<Child>>,
    /// Down until this instant.
    down_until: Mutex<Instant>,
    pub memory_kills: AtomicU32,
    pub peak_kb: AtomicU64,
    pub starts: AtomicU32,
}

pub struct Platform {
    program: PathBuf,
    folder: PathBuf,
    pub record: Arc<Record>,
    pub sheet: Sheet,
    pub machines: Vec<Machine>,
    pub subnet: String,
    pub port: u16,
    ending: AtomicBool,
}

fn random() -> u64 {
    let mut bytes = [0; 8];
    let _ = File::open("/dev/urandom").and_then(|mut file| std::io::Read::read_exact(&mut file, &mut bytes));
    u64::from_le_bytes(bytes)
}

impl Platform {
    /// Three core machines, three storage machines, three front machines, one of each class in each zone.
    pub fn new(program: &str, folder: &str, record: Arc<Record>, sheet: Sheet) -> Result<Arc<Self>, String> {
        let program = std::fs::canonicalize(program).map_err(|error| format!("{program}: {error}"))?;
        let zones = ["zone-a", "zone-b", "zone-c"];
        for _ in 0..50 {
            let subnet = format!("127.{}.{}", 30 + random() % 200, random() % 250);
            let port = 21_000 + (random() % 200) as u16 * 40;
            let is_free = (1..40).all(|host| TcpListener::bind((format!("{subnet}.{host}"), port)).is_ok());
            if !is_free {
                continue;
            }
            let mut machines = Vec::new();
            let classes = [("core", 256), ("storage", sheet.store_memory_mb), ("front", 260)];
            for (at, (class, memory_mb)) in classes.into_iter().enumerate() {
                for (index, zone) in zones.into_iter().enumerate() {
                    machines.push(Machine {
                        name: format!("{class}-{zone}-1"),
                        class,
                        ip: format!("{subnet}.{}", at * 10 + index + 1),
                        zone,
                        memory_mb,
                        spare: false,
                        waits: AtomicBool::new(false),
                        child: Mutex::new(None),
                        down_until: Mutex::new(Instant::now()),
                        memory_kills: AtomicU32::new(0),
                        peak_kb: AtomicU64::new(0),
                        starts: AtomicU32::new(0),
                    });
                }
            }
            for (zone, host) in [("zone-b", 14), ("zone-a", 15)] {
                machines.push(Machine {
                    name: format!("storage-{zone}-2"),
                    class: "storage",
                    ip: format!("{subnet}.{host}"),
                    zone,
                    memory_mb: sheet.store_memory_mb,
                    spare: true,
                    waits: AtomicBool::new(true),
                    child: Mutex::new(None),
                    down_until: Mutex::new(Instant::now()),
                    memory_kills: AtomicU32::new(0),
                    peak_kb: AtomicU64::new(0),
                    starts: AtomicU32::new(0),
                });
            }
            let folder = PathBuf::from(folder);
            let ending = AtomicBool::new(false);
            return Ok(Arc::new(Platform { program, folder, record, sheet, machines, subnet, port, ending }));
        }
        Err("no free ports".to_owned())
    }

    pub fn of_class(&self, class: &str) -> impl Iterator<Item = &Machine> {
        let class = class.to_owned();
        self.machines.iter().filter(move |machine| machine.class == class)
    }

    pub fn control_addresses(&self) -> Vec<String> {
        self.of_class("core").map(|machine| format!("{}:{}", machine.ip, self.port + 20)).collect()
    }

    pub fn front_addresses(&self) -> Vec<String> {
        self.of_class("front").map(|machine| format!("{}:{}", machine.ip, self.port + 21)).collect()
    }

    pub fn ready_addresses(&self) -> Vec<String> {
        self.of_class("front").map(|machine| format!("{}:{}", machine.ip, self.port + 22)).collect()
    }

    pub fn data_folder(&self, machine: &Machine) -> PathBuf {
        self.folder.join(&machine.name).join("data")
    }

    fn write_settings(&self, machine: &Machine, bootstrap: bool) -> std::io::Result<PathBuf> {
        let home = self.folder.join(&machine.name);
        std::fs::create_dir_all(&home)?;
        let counts = machine.class != "front";
        let seeds: Vec<String> = self.control_addresses().iter().map(|seed| format!("\"{seed}\"")).collect();
        let (port, ip) = (self.port, &machine.ip);
        let (listen, disk_mb) = match machine.class {
            "front" => (format!("FrontAddr = \"{ip}:{}\"\nReadyAddr = \"{ip}:{}\"", port + 21, port + 22), 0),
            "core" => (format!("ControlAddr = \"{ip}:{}\"", port + 20), 128),
            _ => (String::new(), self.sheet.store_disk_mb),
        };
        let serves = match machine.class {
            "core" => "control",
            other => other,
        };
        let data = match counts {
            true => format!("DataDir = \"{}\"\n", self.data_folder(machine).display()),
            false => String::new(),
        };
        if counts {
            std::fs::create_dir_all(self.data_folder(machine))?;
        }
        let text = format!(
            "Node = \"{}\"\nRole = \"{}\"\nMachineClass = \"{}\"\nServes = [\"{serves}\"]\nBindIp = \"{ip}\"\n\
             Zone = \"{}\"\nRegion = \"region\"\nPortRange = [{},{}]\nSeedNodes = [{}]\nBootstrap = {bootstrap}\n\
             CountsForQuorum = {counts}\n{data}Discovery = \"registry\"\nEntryKind = \"virtual_ip\"\n\
             HeartbeatMs = {}\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\"]\n\
             [Zones]\nzone-a = \"region\"\nzone-b = \"region\"\nzone-c = \"region\"\n[ListenAddrs]\n{listen}\n\
             [Limits]\nCpuShare = 0.5\nCpuCores = 1\nMemoryMb = {}\nMaxFds = 8200\nLinkMbps = 1000.0\n\
             DiskMb = {disk_mb}\n[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n[Bounds]\nSeedLagS = 3\n\
             AddrReuseS = 2\nTouchMs = 3000\nAckMs = 4000\nCatchUpS = 4.1\nDrainMs = 2000\nDrainGraceS = 8\n\
             LossSlackMs = 200\nConfigMs = 2000\nRollbackSlackMs = 250\nMaxStretchMs = 5000\nRecoverS = 12\n\
             pass_ms = 120\nagain_s = 0\nFinishS = 10\nSettleMs = 1000\n",
            machine.name,
            machine.class,
            machine.class,
            machine.zone,
            port,
            port + 15,
            seeds.join(","),
            self.sheet.heartbeat_ms,
            machine.memory_mb,
        );
        let path = home.join("settings.toml");
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts a process, by the command of the deploy file for its class.
    fn start(&self, machine: &Machine) -> std::io::Result<()> {
        let bootstrap = machine.starts.fetch_add(1, Ordering::SeqCst) == 0 && !machine.spare;
        let settings = self.write_settings(machine, bootstrap)?;
        let arguments: &[&str] = match machine.class {
            "front" => &["proxy", "--with-agent"],
            "core" => &["control"],
            _ => &["store"],
        };
        let log =
            File::options().create(true).append(true).open(self.folder.join(&machine.name).join("log"))?;
        let mut command = Command::new(&self.program);
        // No process outlives a run that is interrupted.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .args(arguments)
            .env("POINTCROSS_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(format!("platform start {} pid={} Bootstrap={bootstrap}", machine.name, child.id()));
        *machine.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Starts all processes, and the task that restarts them and holds them to their memory limits.
    pub fn start_all(self: &Arc<Self>) -> std::io::Result<()> {
        for machine in self.machines.iter().filter(|machine| !machine.spare) {
            self.start(machine)?;
        }
        let platform = self.clone();
        std::thread::spawn(move || platform.supervise());
        Ok(())
    }

    fn supervise(&self) {
        while !self.ending.load(Ordering::SeqCst) {
            for machine in &self.machines {
                self.check(machine);
            }
            std::thread::sleep(Duration::from_millis(4));
        }
    }

    fn check(&self, machine: &Machine) {
        let mut slot = machine.child.lock().unwrap();
        if let Some(child) = slot.as_mut() {
            if let Ok(Some(status)) = child.try_wait() {
                self.record.line(format!("platform end {} status={status}", machine.name));
                *slot = None;
                *machine.down_until.lock().unwrap() = Instant::now() + RESTART_DELAY;
                return;
            }
            let used_kb = private_kb(child.id());
            machine.peak_kb.fetch_max(used_kb, Ordering::SeqCst);
            if used_kb > machine.memory_mb * 1024 {
                machine.memory_kills.fetch_add(1, Ordering::SeqCst);
                let limit = machine.memory_mb;
                self.record.line(format!(
                    "platform memory-kill {} used_mb={} MemoryMb={limit}",
                    machine.name,
                    used_kb / 1024
                ));
                let _ = child.kill();
            }
            return;
        }
        drop(slot);
        if machine.waits.load(Ordering::SeqCst) {
            return;
        }
        if Instant::now() >= *machine.down_until.lock().unwrap() && !self.ending.load(Ordering::SeqCst) {
            let _ = self.start(machine);
        }
    }

    pub fn signal(&self, machine: &Machine, signal: i32) {
        if let Some(child) = machine.child.lock().unwrap().as_ref() {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Adds one of the spare storage machines.
    pub fn add_store(&self) -> std::io::Result<&Machine> {
        let mut spares = self.machines.iter().filter(|machine| machine.waits.load(Ordering::SeqCst));
        let spare = spares.next().ok_or(std::io::ErrorKind::NotFound)?;
        self.record.line(format!("plan add_nodes: {}", spare.name));
        spare.waits.store(false, Ordering::SeqCst);
        Ok(spare)
    }

    /// SIGKILL for the process of a machine; it is started again.
    pub fn kill(&self, machine: &Machine) {
        self.record.line(format!("fault kill: {}", machine.name));
        self.signal(machine, SIGKILL);
    }

    /// A machine loses its disk, and starts again at its address with an empty one.
    pub fn wipe(&self, machine: &Machine) {
        self.record.line(format!("fault wipe: {} loses its disk", machine.name));
        let mut slot = machine.child.lock().unwrap();
        if let Some(mut child) = slot.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(self.data_folder(machine));
        *machine.down_until.lock().unwrap() = Instant::now() + RESTART_DELAY;
    }

    /// SIGKILL for all processes of the system at the same moment; each is started again.
    pub fn kill_all(&self) {
        self.record.line("fault kill_all: SIGKILL for all processes of the system");
        for machine in &self.machines {
            self.signal(machine, SIGKILL);
        }
    }

    pub fn end(&self) {
        self.ending.store(true, Ordering::SeqCst);
        for machine in &self.machines {
            if let Some(mut child) = machine.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            let (starts, kills) =
                (machine.starts.load(Ordering::SeqCst), machine.memory_kills.load(Ordering::SeqCst));
            let peak = machine.peak_kb.load(Ordering::SeqCst) / 1024;
            self.record.line(format!(
                "summary {} starts={starts} memory_kills={kills} peak_mb={peak}",
                machine.name
            ));
        }
    }

    /// What `inspect` tells of the files of a store's ring.
    pub fn inspect_store(&self, machine: &Machine) -> String {
        let folder: &Path = &self.data_folder(machine).join("store");
        let output = Command::new(&self.program).arg("inspect").arg(folder).output();
        let text = |output: std::process::Output| String::from_utf8_lossy(&output.stdout).into_owned();
        let shown = output.map_or_else(|error| error.to_string(), text);
        shown.replace(&format!("{}/", folder.display()), "")
    }
}

/// Memory of a process without the pages of files.
fn private_kb(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages: Vec<u64> = text.split(' ').filter_map(|field| field.trim().parse().ok()).collect();
    match pages[..] {
        [_, resident, shared, ..] => resident.saturating_sub(shared) * PAGE_KB,
        _ => 0,
    }
}

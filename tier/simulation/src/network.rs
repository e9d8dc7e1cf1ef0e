//! A network in memory. Bytes between two hosts take a while, and wait while the hosts are cut from each other. A
//! host without power says nothing: its connections hang.

use pointcross_tier_runtime::network::{Listener, LocalFuture, Network, Stream};
use pointcross_tier_runtime::random;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};
use tokio::sync::{broadcast, mpsc};
use tokio::task::spawn_local;

/// One way between two hosts.
const LATENCY: Duration = Duration::from_millis(1);
/// Bytes that a connection holds for a peer that does not read.
const WINDOW: usize = 64 * 1024;
/// The time between two looks at whether a way is open again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Resets that a connection may not have looked at yet.
const MAX_RESETS: usize = 64;

/// A listener's host and address.
type Place = (Ipv4Addr, SocketAddrV4);

struct Connecting {
    from: Ipv4Addr,
    to: Ipv4Addr,
    caller: DuplexStream,
    callee: DuplexStream,
}

#[derive(Default)]
struct State {
    listeners: HashMap<Place, mpsc::UnboundedSender<Stream>>,
    cut: BTreeSet<(Ipv4Addr, Ipv4Addr)>,
    dark: BTreeSet<Ipv4Addr>,
    /// Bytes that were carried to each host.
    carried: HashMap<Ipv4Addr, u64>,
}

/// The network between all hosts.
#[derive(Clone)]
pub struct World {
    state: Rc<RefCell<State>>,
    connecting: mpsc::UnboundedSender<Connecting>,
    /// Hosts whose connections are reset at this moment.
    resets: broadcast::Sender<Ipv4Addr>,
}

impl World {
    /// A network without hosts. Its ways are carried by tasks of the surrounding `LocalSet`.
    pub fn new() -> Self {
        let (connecting, mut queue) = mpsc::unbounded_channel::<Connecting>();
        let state = Rc::<RefCell<State>>::default();
        let world = World { state, connecting, resets: broadcast::channel(MAX_RESETS).0 };
        let carrier = world.clone();
        spawn_local(async move {
            while let Some(Connecting { from, to, caller, callee }) = queue.recv().await {
                let (caller_read, caller_write) = tokio::io::split(caller);
                let (callee_read, callee_write) = tokio::io::split(callee);
                let there = carrier.clone().carry(from, to, caller_read, callee_write);
                let back = carrier.clone().carry(to, from, callee_read, caller_write);
                let reset = until_reset(carrier.resets.subscribe(), from, to);
                spawn_local(async move {
                    tokio::select! {
                        biased;
                        () = reset => {}
                        _ = async { tokio::join!(there, back) } => {}
                    }
                });
            }
        });
        world
    }

    /// The network as a host sees it.
    pub fn network(&self, host: Ipv4Addr) -> Rc<dyn Network> {
        Rc::new(HostNetwork { world: self.clone(), host })
    }

    /// Cuts the way from one host to another.
    pub fn cut(&self, from: Ipv4Addr, to: Ipv4Addr) {
        self.state.borrow_mut().cut.insert((from, to));
    }

    /// Resets half of a host's connections: bytes on their way are lost, and both ends find them closed.
    pub fn reset_connections(&self, host: Ipv4Addr) {
        let _ = self.resets.send(host);
    }

    /// Bytes that were carried to a host.
    pub fn bytes_to(&self, host: Ipv4Addr) -> u64 {
        self.state.borrow().carried.get(&host).copied().unwrap_or(0)
    }

    /// Opens all ways.
    pub fn heal(&self) {
        self.state.borrow_mut().cut.clear();
    }

    /// Takes a host's power away, or gives it back.
    pub fn set_dark(&self, host: Ipv4Addr, dark: bool) {
        let mut state = self.state.borrow_mut();
        if dark {
            state.dark.insert(host);
        } else {
            state.dark.remove(&host);
        }
    }

    fn is_open(&self, from: Ipv4Addr, to: Ipv4Addr) -> bool {
        let state = self.state.borrow();
        !state.cut.contains(&(from, to)) && !state.dark.contains(&from) && !state.dark.contains(&to)
    }

    async fn until_open(&self, from: Ipv4Addr, to: Ipv4Addr) {
        while !self.is_open(from, to) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Carries bytes one way until the sender closes.
    async fn carry(
        self,
        from: Ipv4Addr,
        to: Ipv4Addr,
        mut read: ReadHalf<DuplexStream>,
        mut write: WriteHalf<DuplexStream>,
    ) {
        let mut buffer = vec![0; WINDOW];
        loop {
            let length = read.read(&mut buffer).await.unwrap_or(0);
            if from != to {
                tokio::time::sleep(LATENCY).await;
                self.until_open(from, to).await;
            }
            *self.state.borrow_mut().carried.entry(to).or_default() += length as u64;
            if length == 0 || write.write_all(&buffer[..length]).await.is_err() {
                let _ = write.shutdown().await;
                return;
            }
        }
    }
}

/// Ends when this connection is reset.
async fn until_reset(mut resets: broadcast::Receiver<Ipv4Addr>, from: Ipv4Addr, to: Ipv4Addr) {
    loop {
        match resets.recv().await {
            Ok(host) if (host == from || host == to) && random::below(2) == 0 => return,
            Ok(_) | Err(broadcast::error::RecvError::Lagged(_)) => {}
            Err(broadcast::error::RecvError::Closed) => std::future::pending().await,
        }
    }
}

impl Default for World {
    fn default() -> Self {
        World::new()
    }
}

struct HostNetwork {
    world: World,
    host: Ipv4Addr,
}

struct HostListener {
    incoming: mpsc::UnboundedReceiver<Stream>,
}

impl Listener for HostListener {
    fn accept(&mut self) -> LocalFuture<'_, io::Result<Stream>> {
        Box::pin(async move {
            match self.incoming.recv().await {
                Some(stream) => Ok(stream),
                None => std::future::pending().await,
            }
        })
    }
}

impl HostNetwork {
    async fn connect_now(&self, address: SocketAddrV4) -> io::Result<Stream> {
        let callee_host = if address.ip().is_loopback() { self.host } else { *address.ip() };
        if callee_host != self.host {
            tokio::time::sleep(LATENCY).await;
            self.world.until_open(self.host, callee_host).await;
            self.world.until_open(callee_host, self.host).await;
        }
        let (caller, caller_way) = tokio::io::duplex(WINDOW);
        let (callee, callee_way) = tokio::io::duplex(WINDOW);
        let accepted = {
            let state = self.world.state.borrow();
            let listener = state.listeners.get(&(callee_host, address));
            listener.is_some_and(|listener| listener.send(Box::new(callee)).is_ok())
        };
        if !accepted {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let connecting =
            Connecting { from: self.host, to: callee_host, caller: caller_way, callee: callee_way };
        let _ = self.world.connecting.send(connecting);
        Ok(Box::new(caller))
    }
}

impl Network for HostNetwork {
    fn connect(&self, address: SocketAddrV4, within: Duration) -> LocalFuture<'_, io::Result<Stream>> {
        Box::pin(async move {
            let connecting = tokio::time::timeout(within, self.connect_now(address));
            connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
        })
    }

    fn listen(&self, address: SocketAddrV4) -> io::Result<Box<dyn Listener>> {
        let (sender, incoming) = mpsc::unbounded_channel();
        self.world.state.borrow_mut().listeners.insert((self.host, address), sender);
        Ok(Box::new(HostListener { incoming }))
    }
}

//! A storage node whose connections are established late: its accept backlog is full, so the kernel drops SYN
//! packets, and the client's kernel retransmits them after a second.

use crate::read_message;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A listener whose accept backlog is full, or can be filled.
pub struct StalledListener {
    /// The address it listens on.
    pub address: SocketAddr,
    listener: TcpListener,
    filler: Mutex<Option<TcpStream>>,
}

/// The same listener once it accepts connections; it counts the requests that it serves.
pub struct ServingListener(Arc<AtomicUsize>);

impl ServingListener {
    /// Complete requests so far.
    pub fn requests(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl StalledListener {
    /// A listener whose backlog has room for one connection.
    pub async fn open() -> StalledListener {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(0).unwrap();
        StalledListener { address: listener.local_addr().unwrap(), listener, filler: Mutex::default() }
    }

    /// A listener whose backlog is full.
    pub async fn new() -> StalledListener {
        let listener = StalledListener::open().await;
        listener.fill().await;
        listener
    }

    /// Fills the backlog: Linux queues one connection for a listener with a backlog of 0.
    pub async fn fill(&self) {
        *self.filler.lock().unwrap() = Some(TcpStream::connect(self.address).await.unwrap());
    }

    /// Accepts the next connection and reads one complete request; dropping the stream closes
    /// the connection.
    pub async fn accept_request(&self) -> BufReader<TcpStream> {
        let mut stream = BufReader::new(self.listener.accept().await.unwrap().0);
        read_message(&mut stream).await.expect("a whole request");
        stream
    }

    /// Closes the connection that fills the backlog, and serves and counts requests from now on.
    pub fn clear(self) -> ServingListener {
        let requests = Arc::new(AtomicUsize::new(0));
        let (counted, listener, filler) = (requests.clone(), self.listener, self.filler);
        tokio::spawn(async move {
            drop(filler);
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let counted = counted.clone();
                tokio::spawn(async move {
                    let mut stream = BufReader::new(stream);
                    while read_message(&mut stream).await.is_some() {
                        counted.fetch_add(1, Ordering::SeqCst);
                        crate::peer::answer(&mut stream, "200 OK", "", "late").await;
                    }
                });
            }
        });
        ServingListener(requests)
    }
}

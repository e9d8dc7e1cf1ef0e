//! A relay of TCP connections that can stall: bytes that come meanwhile are delivered when the stall is over.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};

#[derive(Clone, Default)]
pub struct Stall {
    stalled: Arc<(Mutex<bool>, Condvar)>,
    held: Arc<AtomicBool>,
}

impl Stall {
    pub fn set(&self, stalled: bool) {
        *self.stalled.0.lock().unwrap() = stalled;
        self.stalled.1.notify_all();
    }

    /// Whether bytes were held up.
    pub fn has_held(&self) -> bool {
        self.held.load(Ordering::SeqCst)
    }

    fn pass(&self) {
        let mut stalled = self.stalled.0.lock().unwrap();
        while *stalled {
            self.held.store(true, Ordering::SeqCst);
            stalled = self.stalled.1.wait(stalled).unwrap();
        }
    }
}

/// Relays connections from `at` to `to`. A sender that closes its end meanwhile does not take back what it sent.
pub fn start(at: SocketAddrV4, to: SocketAddrV4, stall: Stall) {
    let listener = TcpListener::bind(at).unwrap_or_else(|error| {
        eprintln!("{at}: {error}");
        std::process::exit(2);
    });
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let stall = stall.clone();
            std::thread::spawn(move || {
                let Ok(far) = TcpStream::connect(to) else { return };
                let (Ok(near_back), Ok(far_back)) = (near.try_clone(), far.try_clone()) else { return };
                std::thread::spawn(move || copy(far_back, near_back, None));
                copy(near, far, Some(stall));
            });
        }
    });
}

/// Copies until the end. The sender's end is not passed on at once: the answer may still be on its way.
fn copy(mut from: TcpStream, mut to: TcpStream, stall: Option<Stall>) {
    let mut bytes = [0; 16 * 1024];
    while let Ok(length) = from.read(&mut bytes) {
        if length == 0 {
            break;
        }
        if let Some(stall) = &stall {
            stall.pass();
        }
        if to.write_all(&bytes[..length]).is_err() {
            return;
        }
    }
    if stall.is_none() {
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}

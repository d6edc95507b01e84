//! A relay that can fall silent without closing a connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Pause between two looks at whether the relay is silent.
const LOOK: Duration = Duration::from_millis(5);

/// Forwards connections to one address, unless it is silent.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    listener: TcpListener,
    silent: Arc<AtomicBool>,
}

impl Relay {
    pub(crate) fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        Self {
            address: listener.local_addr().unwrap(),
            listener,
            silent: Arc::default(),
        }
    }

    /// Begins to forward. The threads end with their connections, or with the test's process.
    pub(crate) fn forward_to(&self, target: SocketAddr) {
        let listener = self.listener.try_clone().unwrap();
        let silent = Arc::clone(&self.silent);
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                let back = (far.try_clone().unwrap(), near.try_clone().unwrap());
                spawn_copy(near, far, Arc::clone(&silent));
                spawn_copy(back.0, back.1, Arc::clone(&silent));
            }
        });
    }

    pub(crate) fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }
}

fn spawn_copy(mut from: TcpStream, mut to: TcpStream, silent: Arc<AtomicBool>) {
    std::thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            while silent.load(Ordering::SeqCst) {
                std::thread::sleep(LOOK);
            }
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        // The other side may have closed its connection already.
        drop(to.shutdown(std::net::Shutdown::Both));
    });
}

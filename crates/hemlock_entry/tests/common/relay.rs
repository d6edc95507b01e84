//! A TCP relay that can stop forwarding without closing its connections, like a network partition.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Poll interval of the silent flag.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Forwards connections to one address. While silent, it holds back all data.
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

    /// Starts forwarding. The copy threads end with their connections; the accept thread lives until
    /// the test process ends.
    pub(crate) fn forward_to(&self, target: SocketAddr) {
        let listener = self.listener.try_clone().unwrap();
        let silent = Arc::clone(&self.silent);
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let reverse = (server.try_clone().unwrap(), client.try_clone().unwrap());
                spawn_copy(client, server, Arc::clone(&silent));
                spawn_copy(reverse.0, reverse.1, Arc::clone(&silent));
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
                std::thread::sleep(POLL_INTERVAL);
            }
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        // The other side may have closed its connection already.
        drop(to.shutdown(std::net::Shutdown::Both));
    });
}

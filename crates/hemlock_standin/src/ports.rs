//! Loopback addresses for programs that are started side by side.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports that are given out. They lie below those that the system gives to outgoing connections,
/// which could take a port between this look at it and the start of its program.
const PORTS: std::ops::Range<u16> = 10_000..32_000;
/// How far apart two processes begin to look for free ports.
const PORTS_PER_PROCESS: u32 = 977;

/// A loopback address that is free now, and that this process gives out only once in a while.
///
/// # Errors
///
/// [`std::io::ErrorKind::AddrInUse`] when every port is taken.
pub fn free_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    for _ in PORTS {
        let number = offset.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + (number % u32::from(PORTS.end - PORTS.start)) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}

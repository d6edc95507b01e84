//! Free loopback addresses for programs that are started in parallel.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Range of ports to choose from. It lies below the ephemeral port range, because an outgoing
/// connection could otherwise take a port between this check and the start of the program.
const PORTS: std::ops::Range<u16> = 10_000..32_000;
/// Distance between the ports at which two processes with consecutive ids begin their search, so
/// that they rarely try the same ports.
const PORT_OFFSET_PER_PROCESS: u32 = 977;

/// Returns a loopback address with a free port. This process returns the same port again only
/// after it has tried all others.
///
/// # Errors
///
/// [`std::io::ErrorKind::AddrInUse`] if every port is in use.
pub fn free_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id().wrapping_mul(PORT_OFFSET_PER_PROCESS);
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

//! Keepers are named by where they listen.
//!
//! A keeper's id is its address, so that whoever knows the keeper set can reach every member of it
//! without a further directory.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use hemlock_quorum::prelude::KeeperId;

/// Bits of a port number.
const PORT_BITS: u32 = 16;

/// The id of the keeper that listens at `address`. An address that isn't IPv4 has no id of its own
/// and gives zero, which names nobody.
pub fn keeper_id(address: SocketAddr) -> KeeperId {
    match address.ip() {
        IpAddr::V4(ip) => {
            KeeperId((u64::from(u32::from(ip)) << PORT_BITS) | u64::from(address.port()))
        }
        IpAddr::V6(_) => KeeperId(0),
    }
}

/// Where the keeper of that id listens.
pub fn keeper_address(id: KeeperId) -> SocketAddr {
    let ip = u32::try_from(id.0 >> PORT_BITS).unwrap_or(0);
    let port = u16::try_from(id.0 & 0xffff).unwrap_or(0);
    SocketAddr::from((Ipv4Addr::from(ip), port))
}

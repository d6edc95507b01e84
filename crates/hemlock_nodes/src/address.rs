//! Conversion between keeper ids and listen addresses.
//!
//! A keeper's id encodes its IPv4 address and port, so a process that knows the member set can
//! connect to every member without a separate directory.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use hemlock_quorum::prelude::KeeperId;

/// Width of a port number, in bits.
const PORT_BITS: u32 = 16;

/// Returns the id of the keeper that listens on `address`. IPv6 addresses can't be encoded and
/// return id zero, which belongs to no keeper.
pub fn keeper_id(address: SocketAddr) -> KeeperId {
    match address.ip() {
        IpAddr::V4(ip) => {
            KeeperId((u64::from(u32::from(ip)) << PORT_BITS) | u64::from(address.port()))
        }
        IpAddr::V6(_) => KeeperId(0),
    }
}

/// Returns the address on which the keeper with this id listens.
pub fn keeper_address(id: KeeperId) -> SocketAddr {
    let ip = u32::try_from(id.0 >> PORT_BITS).unwrap_or(0);
    let port = u16::try_from(id.0 & 0xffff).unwrap_or(0);
    SocketAddr::from((Ipv4Addr::from(ip), port))
}

/// Returns the address on which the peer with this id listens, unless the id can't be one of a
/// peer: it is out of range, or the address or the port is zero.
pub fn peer_address(id: KeeperId) -> Option<SocketAddr> {
    let address = keeper_address(id);
    let is_usable = keeper_id(address) == id && !address.ip().is_unspecified();
    (is_usable && address.port() > 0).then_some(address)
}

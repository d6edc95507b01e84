//! Connections and messages between the processes of one cluster.
//!
//! Each side of a connection can send requests to the other. A request and its reply are complete
//! messages, each with a checksum. A handshake comes first, in which both sides prove that they
//! hold the cluster key. All functions must run inside a [`LocalSet`](tokio::task::LocalSet) on a
//! current-thread runtime.
//!
//! ```
//! use hemlock_wire::message::agent::AgentRequest;
//!
//! let frame = hemlock_wire::frame::encode(&AgentRequest::Ping).expect("a ping always encodes");
//! let request: AgentRequest = hemlock_wire::frame::decode(&frame).expect("the same bytes");
//! assert_eq!(request, AgentRequest::Ping);
//! ```

pub mod connect;
mod counted_stream;
pub mod error;
pub mod frame;
pub mod identity;
pub mod link;
pub mod message;
mod proof;
pub mod serve;
pub mod service;

/// Code generated from the Cap'n Proto schema `schema/link.capnp`.
#[allow(clippy::all, clippy::pedantic, clippy::unwrap_used, missing_docs, unsafe_code)]
#[allow(unreachable_pub, rust_2018_idioms, elided_lifetimes_in_paths)]
#[rustfmt::skip]
#[path = "generated/link_capnp.rs"]
pub mod link_capnp;

pub use connect::{Connection, connect};
pub use error::{CallError, ConnectError, FrameError, ServiceError};
pub use frame::{decode, encode};
pub use identity::{ClusterKey, ConnectionId, Identity, Peer};
pub use link::Link;
pub use serve::serve;
pub use service::Service;

/// The most commonly used items.
pub mod prelude {
    pub use crate::{
        CallError, ClusterKey, ConnectError, Connection, ConnectionId, Identity, Link, Peer,
        Service, ServiceError, connect, decode, encode, serve,
    };
}

//! Connections and messages between the system's own processes.
//!
//! A connection carries whole messages, each with its checksum, in both directions at once.
//! Before anything else both sides prove that they hold the cluster key. Everything here runs
//! on a current-thread runtime inside a local task set.
//!
//! ```
//! use hemlock_wire::message::agent::AgentRequest;
//!
//! let frame = hemlock_wire::frame::encode(&AgentRequest::Ping).expect("a ping always encodes");
//! let request: AgentRequest = hemlock_wire::frame::decode(&frame).expect("the same bytes");
//! assert_eq!(request, AgentRequest::Ping);
//! ```

pub mod connect;
mod counted;
pub mod error;
pub mod frame;
pub mod identity;
pub mod link;
pub mod message;
mod proof;
pub mod serve;
pub mod service;

/// Generated code of the connection schema.
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

/// The items that most callers need.
pub mod prelude {
    pub use crate::{
        CallError, ClusterKey, ConnectError, Connection, ConnectionId, Identity, Link, Peer,
        Service, ServiceError, connect, decode, encode, serve,
    };
}

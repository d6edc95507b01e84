//! The agent role: the process that runs beside one endpoint instance and starts tasks on it.
//!
//! An agent announces its endpoint instance to the keepers, receives starts from the entries, lets
//! its [gate](hemlock_gate) decide which of them run, calls the endpoint, and returns the answer.
//!
//! Its threads are the control thread, which owns the gate; the lane, which owns the connections to
//! entries and keepers; a pool with one thread for each running task; and the HTTP server's threads.
//!
//! ```no_run
//! use hemlock_agent::prelude::*;
//! use hemlock_settings::prelude::*;
//!
//! let settings = hemlock_settings::document::parse::<AgentSettings>(
//!     &std::fs::read_to_string("agent.yaml").expect("settings"),
//! ).expect("sound settings");
//! let agent = Agent::start(settings).expect("free addresses");
//! println!("entries reach it at {}", agent.wire_address());
//! agent.stop();
//! agent.join();
//! ```

mod agent;
mod agent_metrics;
mod announce;
mod command;
mod control;
mod endpoint_client;
mod error;
mod http_api;
mod keepers;
mod lane;
mod links;
mod service;

pub use agent::{Agent, AgentHandle};
pub use error::AgentError;

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::agent::{Agent, AgentHandle};
    pub use crate::error::AgentError;
}

//! The agent: the process beside each endpoint instance that starts its work.
//!
//! An agent announces its endpoint instance to the keepers, takes starts from the entries, lets
//! its [gate](hemlock_gate) decide which of them run, calls the endpoint, and answers.
//!
//! Its threads: one for control, which owns the gate; one for the connections to entries and
//! keepers; one for each task that runs at the endpoint; and those of its HTTP server.
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
mod announce;
mod command;
mod control;
mod edge;
mod error;
mod keepers;
mod lane;
mod links;
mod meters;
mod service;
mod traffic;

pub use agent::{Agent, AgentHandle};
pub use error::AgentError;

/// The items that most callers need.
pub mod prelude {
    pub use crate::agent::{Agent, AgentHandle};
    pub use crate::error::AgentError;
}

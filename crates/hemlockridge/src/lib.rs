//! hemlockridge: a dispatcher for sub-second tasks.
//!
//! This crate re-exports the other crates under short names. A role (keeper, entry or agent) is
//! started from its settings and stopped through its handle:
//!
//! ```no_run
//! use hemlockridge::agent::Agent;
//! use hemlockridge::settings::{AgentSettings, load};
//!
//! let settings: AgentSettings = load("agent.yaml".as_ref())?;
//! let agent = Agent::start(settings)?;
//! println!("the agent listens on {}", agent.wire_address());
//! agent.stop();
//! agent.join();
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub use hemlock_agent as agent;
pub use hemlock_chart as chart;
pub use hemlock_contract as contract;
pub use hemlock_directory as directory;
pub use hemlock_entry as entry;
pub use hemlock_gate as gate;
pub use hemlock_http as http;
pub use hemlock_keeper as keeper;
pub use hemlock_ledger as ledger;
pub use hemlock_quorum as quorum;
pub use hemlock_quota as quota;
pub use hemlock_router as router;
pub use hemlock_settings as settings;
pub use hemlock_telemetry as telemetry;
pub use hemlock_types as types;
pub use hemlock_wire as wire;

/// The items that most callers need.
pub mod prelude {
    pub use hemlock_contract::prelude::*;
    pub use hemlock_settings::prelude::*;
    pub use hemlock_types::prelude::*;
}

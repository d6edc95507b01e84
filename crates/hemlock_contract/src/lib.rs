//! Contracts and planned stops, which form the versioned configuration of a cluster.
//!
//! A [`Contract`](contract::Contract) sets how much of a customer's work may run at once, how
//! urgent it is, and which operations are non-idempotent.
//!
//! ```
//! use hemlock_contract::prelude::*;
//! use hemlock_types::prelude::*;
//!
//! let text = "
//! customer: loovutusliit
//! revision: 1
//! key_sha256: [e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855]
//! services: [portaal]
//! max_running: 88
//! max_queued: 1000
//! ";
//! let contract = parse_yaml(text)?;
//! let mut state = ConfigState::default();
//! let verdict = state.apply_contract(ConfigVersion(7), contract);
//! assert_eq!(verdict, ContractVerdict::Accepted { version: ConfigVersion(7) });
//! # Ok::<(), ContractError>(())
//! ```

pub mod change;
pub mod check;
pub mod contract;
pub mod error;
pub mod fault;
mod history;
pub mod parse;
pub mod state;
pub mod stop;
pub mod verdict;

pub use error::ContractError;
pub use parse::{parse_json, parse_yaml};

/// The items that most callers need.
pub mod prelude {
    pub use crate::change::{ConfigChange, ConfigItem, ConfigUpdate};
    pub use crate::contract::{Contract, Hedging, OperationRef, Urgency};
    pub use crate::error::{ContractError, LocatedFault, ParseFault};
    pub use crate::fault::{ContractFault, FaultKind};
    pub use crate::parse::{parse_json, parse_stop_json, parse_yaml};
    pub use crate::state::ConfigState;
    pub use crate::stop::{PlannedStop, StopId, StopTarget};
    pub use crate::verdict::{ContractVerdict, LiftVerdict, StopVerdict};
}

//! Contracts, planned stops, and the versioned configuration that they form.
//!
//! A [`Contract`](contract::Contract) says how much of a customer's work may run at once, how
//! urgent it is, and which operations are non-idempotent.

pub mod change;
pub mod contract;
pub mod stop;

/// The items that most callers need.
pub mod prelude {
    pub use crate::change::{ConfigChange, ConfigItem, ConfigUpdate};
    pub use crate::contract::{Contract, Hedging, OperationRef, Urgency};
    pub use crate::stop::{PlannedStop, StopId, StopTarget};
}

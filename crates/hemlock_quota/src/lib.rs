//! Shares of a contract's running limit, dealt by the leading keeper to entries.

pub mod message;

/// The items that most callers need.
pub mod prelude {
    pub use crate::message::{Demand, Share};
}

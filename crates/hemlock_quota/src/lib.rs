//! Shares of a contract's running limit, dealt by the leading keeper to entries.
//!
//! ```
//! use hemlock_quota::prelude::*;
//! use hemlock_types::prelude::*;
//!
//! let mut dealer = Dealer::new(1, DurationMs::new(8_000), []);
//! dealer.set_limit(CustomerName::from("sablah"), 10, DurationMs::new(10_000));
//! dealer.join(Incarnation(1));
//! let deal = dealer.deal(Instant::ZERO, Incarnation(1));
//! assert_eq!(deal.shares[0].count, 10);
//! ```

mod account;
pub mod dealer;
pub mod message;
pub mod split;

/// The items that most callers need.
pub mod prelude {
    pub use crate::dealer::{Deal, Dealer};
    pub use crate::message::{Demand, Share};
}

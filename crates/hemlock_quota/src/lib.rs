//! Division of a contract's limit on running tasks into shares, which the leading keeper allocates
//! to entries.
//!
//! ```
//! use hemlock_quota::prelude::*;
//! use hemlock_types::prelude::*;
//!
//! let mut allocator = ShareAllocator::new(1, DurationMs::new(8_000), []);
//! allocator.set_limit(CustomerName::from("sablah"), 10, DurationMs::new(10_000));
//! allocator.join(Incarnation(1));
//! let allocation = allocator.allocate(Instant::ZERO, Incarnation(1));
//! assert_eq!(allocation.shares[0].count, 10);
//! ```

mod account;
pub mod allocator;
pub mod message;
pub mod split;

/// The items that most callers need.
pub mod prelude {
    pub use crate::allocator::{Allocation, ShareAllocator};
    pub use crate::message::{Demand, Share};
}

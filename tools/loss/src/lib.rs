//! Splits the value that a played day lost into rows that add up, by cause and time.
//!
//! The day's report says how much was lost in each window, and how many jobs were late, rejected or
//! unanswered. The processes' logs say why jobs were rejected, and which late jobs had runs that
//! failed or stalled. The causes share a window's loss in proportion to their numbers of jobs, which
//! assumes that jobs of all causes have the same mean value.

pub mod error;
pub mod log;
pub mod loss;
pub mod report;

/// The items that most callers need.
pub mod prelude {
    pub use crate::error::LossError;
    pub use crate::log::{Causes, read_causes};
    pub use crate::loss::{LossRow, split_losses};
    pub use crate::report::{DayReport, WindowReport};
}

//! Faults of a contract's content.

use derive_more::Display;
use quick_error::quick_error;

/// One fault of a contract: which field is wrong, and why.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{field}: {kind}")]
pub struct ContractFault {
    /// Path of the field, such as `non_idempotent[2].service`.
    pub field: String,
    /// What is wrong with it.
    pub kind: FaultKind,
}

quick_error! {
    /// What is wrong with a field.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum FaultKind {
        /// A name is empty, too long or has a character that names may not have.
        BadName {
            display("must be 1 to 64 lower-case letters, digits, '-', '_' or '.', starting with a letter or digit")
        }
        /// A number is out of its range.
        OutOfRange(min: u64, max: u64) {
            display("must lie between {} and {}", min, max)
        }
        /// A list is empty.
        Empty {
            display("must not be empty")
        }
        /// A list has too many items.
        TooMany(max: usize) {
            display("must have {} items at most", max)
        }
        /// A list names the same thing twice.
        Duplicate {
            display("stands in the list twice")
        }
        /// The service is not one that the contract lists.
        UnlistedService {
            display("is not among the contract's services")
        }
        /// The default deadline is above the cap.
        AboveCap {
            display("must not exceed deadline_cap_ms")
        }
    }
}

//! Faults in the content of contracts and planned stops.

use derive_more::Display;
use quick_error::quick_error;

/// A fault in one field of a contract or a planned stop.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{field}: {kind}")]
pub struct ContractFault {
    /// Path of the field, such as `non_idempotent[2].service`.
    pub field: String,
    /// Kind of the fault.
    pub kind: FaultKind,
}

quick_error! {
    /// Kind of a fault in a field.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum FaultKind {
        /// The name is empty, too long or has an invalid character.
        BadName {
            display("must be 1 to 64 lower-case letters, digits, '-', '_' or '.', starting with a letter or digit")
        }
        /// The number is outside its range.
        OutOfRange(min: u64, max: u64) {
            display("must lie between {} and {}", min, max)
        }
        /// The list is empty.
        Empty {
            display("must not be empty")
        }
        /// The list has too many items.
        TooMany(max: usize) {
            display("must have {} items at most", max)
        }
        /// The list has the same item twice.
        Duplicate {
            display("stands in the list twice")
        }
        /// The service of a non-idempotent operation is not among the contract's services.
        UnlistedService {
            display("is not among the contract's services")
        }
        /// The default deadline exceeds the upper limit on deadlines.
        AboveCap {
            display("must not exceed deadline_cap_ms")
        }
    }
}

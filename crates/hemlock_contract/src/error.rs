//! Errors of parsing contracts and planned stops.

use std::fmt;

use quick_error::quick_error;

use crate::fault::ContractFault;

/// Error of parsing a contract or a planned stop, with all faults found in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContractError {
    /// The faults with their positions.
    pub faults: Vec<LocatedFault>,
}

/// A fault and its position in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocatedFault {
    /// Line of the fault, starting at 1; 0 if it is unknown.
    pub line: usize,
    /// Path of the field; empty if the fault concerns the text as a whole.
    pub field: String,
    /// Kind of the fault.
    pub kind: ParseFault,
}

quick_error! {
    /// Kind of a fault in a text.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ParseFault {
        /// The text can't be parsed as the type of the field.
        Syntax(reason: String) {
            display("{}", reason)
        }
        /// The text can be parsed, but its content is invalid.
        Content(fault: ContractFault) {
            display("{}", fault.kind)
        }
        /// The text is larger than the limit.
        TooLarge(max_bytes: usize) {
            display("the text is larger than {} bytes", max_bytes)
        }
    }
}

impl fmt::Display for LocatedFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(formatter, "line {}: ", self.line)?;
        }
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        write!(formatter, "{}", self.kind)
    }
}

impl fmt::Display for ContractError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(formatter, "{separator}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ContractError {}

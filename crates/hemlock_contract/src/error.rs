//! Typed errors of reading contracts.

use std::fmt;

use quick_error::quick_error;

use crate::fault::ContractFault;

/// Why a text is no contract, with every fault found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContractError {
    /// Each fault, with where it stands.
    pub faults: Vec<LocatedFault>,
}

/// One fault of a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocatedFault {
    /// Line of the fault, from 1; 0 when it is not known.
    pub line: usize,
    /// Path of the field; empty when the text is no mapping at all.
    pub field: String,
    /// What is wrong.
    pub kind: TextFault,
}

quick_error! {
    /// What is wrong with a text.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum TextFault {
        /// It can't be read as the field's type.
        Syntax(reason: String) {
            display("{}", reason)
        }
        /// It can be read, but its content is refused.
        Content(fault: ContractFault) {
            display("{}", fault.kind)
        }
        /// The whole text is larger than a contract may be.
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

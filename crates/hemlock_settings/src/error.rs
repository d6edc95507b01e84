//! Errors in settings files. Each message names the expected value.

use std::fmt;
use std::io;
use std::path::PathBuf;

use hemlock_contract::prelude::FaultKind;
use quick_error::quick_error;

quick_error! {
    /// Error of reading a settings file.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file can't be read.
        Read(path: PathBuf, source: io::Error) {
            display("{}: {source}", path.display())
            source(source)
        }
        /// The file is not valid YAML.
        Yaml(message: String) {
            display("not valid YAML: {message}")
        }
        /// At least one field is invalid; all invalid fields are listed.
        InvalidFields(field_errors: FieldErrorList) {
            display("{field_errors}")
        }
    }
}

impl SettingsError {
    /// The errors of the fields. Empty if the file could not be read or is not valid YAML.
    pub fn field_errors(&self) -> &[FieldError] {
        match self {
            Self::InvalidFields(list) => &list.0,
            Self::Read(..) | Self::Yaml(_) => &[],
        }
    }
}

/// All field errors of one file, sorted by line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldErrorList(pub Vec<FieldError>);

impl fmt::Display for FieldErrorList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{error}")?;
        }
        Ok(())
    }
}

/// An invalid field: its place and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Line number in the file, starting at 1.
    pub line: usize,
    /// Path of the field in the file, such as `keepers[1].address`.
    pub field: String,
    /// What is wrong.
    pub problem: FieldProblem,
}

impl fmt::Display for FieldError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "line {}: {}: {}",
            self.line, self.field, self.problem
        )
    }
}

quick_error! {
    /// Reason why a field is invalid. Displayed with the expected value.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum FieldProblem {
        /// A required field is missing.
        Missing(expected: &'static str) {
            display("missing; expected {expected}")
        }
        /// The field does not exist. Contains the names of the fields that do.
        Unknown(known: Vec<&'static str>) {
            display("unknown field; expected one of: {}", known.join(", "))
        }
        /// The value has the wrong type or format.
        InvalidValue(expected: &'static str) {
            display("invalid value; expected {expected}")
        }
        /// The number is outside the allowed range.
        OutOfRange(min: u64, max: u64) {
            display("out of range; expected a number from {min} to {max}")
        }
        /// The name contains characters that are not allowed, or is too long or empty.
        InvalidName {
            display("invalid name; expected 1 to 64 characters from a-z, 0-9, '-', '_' and '.', starting with a letter or digit")
        }
        /// The list has too few or too many items.
        WrongCount(min: usize, max: usize) {
            display("wrong number of items; expected {min} to {max}")
        }
        /// The value occurs more than once.
        Duplicate {
            display("duplicate value; remove or change it")
        }
        /// The check of the contract itself failed.
        Contract(kind: FaultKind) {
            display("{kind}")
        }
        /// The value contradicts another field.
        Conflict(advice: &'static str) {
            display("{advice}")
        }
    }
}

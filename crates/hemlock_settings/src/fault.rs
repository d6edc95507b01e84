//! What can be wrong with a file, and how to mend it.

use std::fmt;
use std::io;
use std::path::PathBuf;

use hemlock_contract::prelude::FaultKind;
use quick_error::quick_error;

quick_error! {
    /// Why a file can't be used.
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
        /// Fields are wrong; here are all of them.
        Faults(faults: FaultList) {
            display("{faults}")
        }
    }
}

impl SettingsError {
    /// The single faults; empty when the file could not be read as YAML at all.
    pub fn faults(&self) -> &[Fault] {
        match self {
            Self::Faults(list) => &list.0,
            Self::Read(..) | Self::Yaml(_) => &[],
        }
    }
}

/// Every fault of one file, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultList(pub Vec<Fault>);

impl fmt::Display for FaultList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{fault}")?;
        }
        Ok(())
    }
}

/// One fault: where, what, and how to mend it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line in the file, from 1.
    pub line: usize,
    /// Path of the field, such as `keepers[1].address`.
    pub field: String,
    /// What is wrong.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "line {}: {}: {}",
            self.line, self.field, self.problem
        )
    }
}

quick_error! {
    /// What is wrong with a field, and how to mend it.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Problem {
        /// It is not there.
        Missing(expects: &'static str) {
            display("missing; add it: {expects}")
        }
        /// No such field is known.
        Unknown(known: Vec<&'static str>) {
            display("unknown field; remove it or use one of: {}", known.join(", "))
        }
        /// The value has the wrong type or form.
        Form(expects: &'static str) {
            display("wrong value; write {expects}")
        }
        /// The value is outside its range.
        Range(low: u64, high: u64) {
            display("out of range; write a number from {low} to {high}")
        }
        /// The name is not usable.
        Name {
            display("not a name; write 1 to 64 of a-z, 0-9, '-', '_' and '.', starting with a letter or digit")
        }
        /// The list has too few or too many items.
        Count(low: usize, high: usize) {
            display("wrong number of items; list {low} to {high}")
        }
        /// The value occurs twice.
        Duplicate {
            display("stands twice; remove one or change it")
        }
        /// A contract's own check refuses it.
        Contract(kind: FaultKind) {
            display("{kind}")
        }
        /// It does not agree with another field.
        Conflict(advice: &'static str) {
            display("{advice}")
        }
    }
}

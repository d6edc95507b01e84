//! Reads a whole file into settings.

use std::path::Path;

use serde_yaml_ng::{Mapping, Value};

use crate::fault::{Fault, FaultList, Problem, SettingsError};
use crate::lines::LineIndex;
use crate::section::Section;

/// Something that a YAML mapping describes.
pub trait Settings: Sized {
    /// Reads the fields, reporting every fault to the section; `None` when one is unusable.
    fn read(section: &mut Section<'_>) -> Option<Self>;
}

/// Reads and checks settings from text.
///
/// # Errors
///
/// [`SettingsError::Yaml`] when the text is not a YAML mapping, [`SettingsError::Faults`] with
/// every wrong field otherwise.
pub fn parse<S: Settings>(text: &str) -> Result<S, SettingsError> {
    let root: Value = serde_yaml_ng::from_str(text).map_err(|error| yaml_error(&error))?;
    let empty = Mapping::new();
    let mapping = match &root {
        Value::Mapping(mapping) => mapping,
        Value::Null => &empty,
        _ => {
            let expected = "expected fields, each as `name: value` on its own line";
            return Err(SettingsError::Yaml(expected.to_owned()));
        }
    };
    let lines = LineIndex::of(text);
    let mut faults = Vec::new();
    let mut section = Section::root(mapping, &lines, &mut faults);
    let settings = S::read(&mut section);
    section.finish();
    faults.sort_by_key(|fault| fault.line);
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(SettingsError::Faults(FaultList(never_empty(faults)))),
    }
}

/// Reads and checks settings from a file.
///
/// # Errors
///
/// [`SettingsError::Read`] when the file can't be read, and those of [`parse`].
pub fn load<S: Settings>(path: &Path) -> Result<S, SettingsError> {
    let read_error = |error| SettingsError::Read(path.to_owned(), error);
    let text = std::fs::read_to_string(path).map_err(read_error)?;
    parse(&text)
}

fn yaml_error(error: &serde_yaml_ng::Error) -> SettingsError {
    SettingsError::Yaml(error.to_string())
}

/// A reader that gave up without a reported fault still yields one.
fn never_empty(mut faults: Vec<Fault>) -> Vec<Fault> {
    if faults.is_empty() {
        faults.push(Fault {
            line: 1,
            field: "file".to_owned(),
            problem: Problem::Form("a complete file"),
        });
    }
    faults
}

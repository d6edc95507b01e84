//! Parses a YAML file into settings.

use std::path::Path;

use serde_yaml_ng::{Mapping, Value};

use crate::error::{FieldError, FieldErrorList, FieldProblem, SettingsError};
use crate::lines::LineIndex;
use crate::section::Section;

/// A type that can be read from a YAML mapping.
pub trait Settings: Sized {
    /// Reads the fields and reports every invalid one to the section. Returns `None` if a field
    /// has no usable value.
    fn read(section: &mut Section<'_>) -> Option<Self>;
}

/// Parses and checks settings from text.
///
/// # Errors
///
/// [`SettingsError::Yaml`] if the text is not a YAML mapping, otherwise
/// [`SettingsError::InvalidFields`] with every invalid field.
pub fn parse<S: Settings>(text: &str) -> Result<S, SettingsError> {
    let root: Value = serde_yaml_ng::from_str(text).map_err(|error| yaml_error(&error))?;
    let empty = Mapping::new();
    let mapping = match &root {
        Value::Mapping(mapping) => mapping,
        Value::Null => &empty,
        _ => {
            let expected = "expected a mapping with one `name: value` field on each line";
            return Err(SettingsError::Yaml(expected.to_owned()));
        }
    };
    let lines = LineIndex::new(text);
    let mut field_errors = Vec::new();
    let mut section = Section::root(mapping, &lines, &mut field_errors);
    let settings = S::read(&mut section);
    section.finish();
    field_errors.sort_by_key(|error| error.line);
    match settings {
        Some(settings) if field_errors.is_empty() => Ok(settings),
        _ => Err(SettingsError::InvalidFields(FieldErrorList(
            ensure_not_empty(field_errors),
        ))),
    }
}

/// Reads a file, then parses and checks its settings.
///
/// # Errors
///
/// [`SettingsError::Read`] if the file can't be read, and the errors of [`parse`].
pub fn load<S: Settings>(path: &Path) -> Result<S, SettingsError> {
    let read_error = |error| SettingsError::Read(path.to_owned(), error);
    let text = std::fs::read_to_string(path).map_err(read_error)?;
    parse(&text)
}

fn yaml_error(error: &serde_yaml_ng::Error) -> SettingsError {
    SettingsError::Yaml(error.to_string())
}

/// Adds a general error if [`Settings::read`] returned `None` without reporting an error.
fn ensure_not_empty(mut field_errors: Vec<FieldError>) -> Vec<FieldError> {
    if field_errors.is_empty() {
        field_errors.push(FieldError {
            line: 1,
            field: "file".to_owned(),
            problem: FieldProblem::InvalidValue("a complete file"),
        });
    }
    field_errors
}

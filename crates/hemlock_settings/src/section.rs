//! Reads the fields of a YAML mapping and collects the errors.

use std::collections::BTreeSet;

use hemlock_types::names::is_valid_name;
use serde::de::DeserializeOwned;
use serde_yaml_ng::{Mapping, Value};

use crate::error::{FieldError, FieldProblem};
use crate::lines::LineIndex;

/// A YAML mapping whose fields are being read.
///
/// The methods return `None` after they have reported an error, so that a reader can go on and
/// report the errors of the other fields too.
#[derive(Debug)]
pub struct Section<'a> {
    mapping: &'a Mapping,
    lines: &'a LineIndex,
    path: String,
    known: Vec<&'static str>,
    field_errors: &'a mut Vec<FieldError>,
}

impl<'a> Section<'a> {
    pub(crate) fn root(
        mapping: &'a Mapping,
        lines: &'a LineIndex,
        field_errors: &'a mut Vec<FieldError>,
    ) -> Self {
        Self {
            mapping,
            lines,
            path: String::new(),
            known: Vec::new(),
            field_errors,
        }
    }

    /// Reads a required field. `expected` describes a valid value in error messages.
    pub fn required<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        expected: &'static str,
    ) -> Option<T> {
        match self.value(name) {
            Some(value) => self.convert(name, value, expected),
            None => {
                self.report(name, FieldProblem::Missing(expected));
                None
            }
        }
    }

    /// Reads an optional field, with a default value.
    pub fn optional<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        default: T,
        expected: &'static str,
    ) -> Option<T> {
        match self.value(name) {
            Some(value) => self.convert(name, value, expected),
            None => Some(default),
        }
    }

    /// Reads a required name, such as that of a service or failure domain.
    pub fn required_name<T: for<'t> From<&'t str>>(&mut self, name: &'static str) -> Option<T> {
        let text: String = self.required(name, "a name")?;
        if is_valid_name(&text) {
            return Some(T::from(&text));
        }
        self.report(name, FieldProblem::InvalidName);
        None
    }

    /// Reads a required number and checks its range.
    pub fn required_number(&mut self, name: &'static str, min: u64, max: u64) -> Option<u64> {
        let number: u64 = self.required(name, "a whole number")?;
        self.in_range(name, number, min, max)
    }

    /// Reads an optional number and checks its range.
    pub fn optional_number(
        &mut self,
        name: &'static str,
        default: u64,
        min: u64,
        max: u64,
    ) -> Option<u64> {
        let number: u64 = self.optional(name, default, "a whole number")?;
        self.in_range(name, number, min, max)
    }

    /// Reads a required list of distinct items and checks its length.
    pub fn required_list<T: DeserializeOwned + PartialEq>(
        &mut self,
        name: &'static str,
        min: usize,
        max: usize,
        expected: &'static str,
    ) -> Option<Vec<T>> {
        let Some(value) = self.value(name) else {
            self.report(name, FieldProblem::Missing(expected));
            return None;
        };
        let Value::Sequence(values) = value else {
            self.report(name, FieldProblem::InvalidValue(expected));
            return None;
        };
        let mut items = Vec::with_capacity(values.len());
        for (index, value) in values.iter().enumerate() {
            let field = format!("{name}[{index}]");
            match serde_yaml_ng::from_value::<T>(value.clone()) {
                Err(_) => self.report(&field, FieldProblem::InvalidValue(expected)),
                Ok(item) if items.contains(&item) => self.report(&field, FieldProblem::Duplicate),
                Ok(item) => items.push(item),
            }
        }
        if !(min..=max).contains(&values.len()) {
            self.report(name, FieldProblem::WrongCount(min, max));
        }
        (items.len() == values.len()).then_some(items)
    }

    /// Reads an optional mapping. The inner `Option` is `None` if the field is missing.
    pub fn optional_section<T>(
        &mut self,
        name: &'static str,
        expected: &'static str,
        read: impl FnOnce(&mut Section<'_>) -> Option<T>,
    ) -> Option<Option<T>> {
        match self.value(name) {
            None => Some(None),
            Some(Value::Mapping(mapping)) => self.nested(name, mapping, read).map(Some),
            Some(_) => {
                self.report(name, FieldProblem::InvalidValue(expected));
                None
            }
        }
    }

    /// Reads a list of mappings and checks its length. A missing list is empty if `min` is 0.
    pub fn sections<T>(
        &mut self,
        name: &'static str,
        min: usize,
        max: usize,
        expected: &'static str,
        mut read: impl FnMut(&mut Section<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let empty = Vec::new();
        let values = match self.value(name) {
            None if min == 0 => &empty,
            None => {
                self.report(name, FieldProblem::Missing(expected));
                return None;
            }
            Some(Value::Sequence(values)) => values,
            Some(_) => {
                self.report(name, FieldProblem::InvalidValue(expected));
                return None;
            }
        };
        let mut items = Vec::with_capacity(values.len());
        for (index, value) in values.iter().enumerate() {
            let field = format!("{name}[{index}]");
            match value {
                Value::Mapping(mapping) => items.extend(self.nested(&field, mapping, &mut read)),
                _ => self.report(&field, FieldProblem::InvalidValue(expected)),
            }
        }
        if !(min..=max).contains(&values.len()) {
            self.report(name, FieldProblem::WrongCount(min, max));
        }
        (items.len() == values.len()).then_some(items)
    }

    /// Reports an error of a field. `field` is its path within this mapping.
    pub fn report(&mut self, field: &str, problem: FieldProblem) {
        let field = self.path_of(field);
        self.field_errors.push(FieldError {
            line: self.lines.line_of(&field),
            field,
            problem,
        });
    }

    /// Reports `problem` unless `holds` is true.
    pub fn check(&mut self, holds: bool, field: &str, problem: FieldProblem) {
        if !holds {
            self.report(field, problem);
        }
    }

    /// Reports every field that has not been read as unknown.
    pub(crate) fn finish(mut self) {
        let known: BTreeSet<&str> = self.known.iter().copied().collect();
        let unknown: Vec<String> = self
            .mapping
            .keys()
            .map(key_text)
            .filter(|key| !known.contains(key.as_str()))
            .collect();
        for key in unknown {
            let problem = FieldProblem::Unknown(self.known.clone());
            self.report(&key, problem);
        }
    }

    fn nested<T>(
        &mut self,
        field: &str,
        mapping: &Mapping,
        read: impl FnOnce(&mut Section<'_>) -> Option<T>,
    ) -> Option<T> {
        let mut section = Section {
            mapping,
            lines: self.lines,
            path: self.path_of(field),
            known: Vec::new(),
            field_errors: self.field_errors,
        };
        let value = read(&mut section);
        section.finish();
        value
    }

    fn value(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.push(name);
        self.mapping.get(name).filter(|value| !value.is_null())
    }

    fn convert<T: DeserializeOwned>(
        &mut self,
        name: &str,
        value: &Value,
        expected: &'static str,
    ) -> Option<T> {
        match serde_yaml_ng::from_value(value.clone()) {
            Ok(value) => Some(value),
            Err(_) => {
                self.report(name, FieldProblem::InvalidValue(expected));
                None
            }
        }
    }

    fn in_range(&mut self, name: &str, number: u64, min: u64, max: u64) -> Option<u64> {
        if (min..=max).contains(&number) {
            return Some(number);
        }
        self.report(name, FieldProblem::OutOfRange(min, max));
        None
    }

    fn path_of(&self, field: &str) -> String {
        match self.path.as_str() {
            "" => field.to_owned(),
            path => format!("{path}.{field}"),
        }
    }
}

fn key_text(key: &Value) -> String {
    match key {
        Value::String(text) => text.clone(),
        other => format!("{other:?}"),
    }
}

//! Reads the fields of one YAML mapping and collects every fault.

use std::collections::BTreeSet;

use hemlock_types::names::is_valid_name;
use serde::de::DeserializeOwned;
use serde_yaml_ng::{Mapping, Value};

use crate::fault::{Fault, Problem};
use crate::lines::LineIndex;

/// One mapping of a file, being read.
#[derive(Debug)]
pub struct Section<'a> {
    mapping: &'a Mapping,
    lines: &'a LineIndex,
    path: String,
    known: Vec<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Section<'a> {
    pub(crate) fn root(
        mapping: &'a Mapping,
        lines: &'a LineIndex,
        faults: &'a mut Vec<Fault>,
    ) -> Self {
        Self {
            mapping,
            lines,
            path: String::new(),
            known: Vec::new(),
            faults,
        }
    }

    /// Reads a field that must be there; `expects` says what to write.
    pub fn required<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        expects: &'static str,
    ) -> Option<T> {
        match self.value(name) {
            Some(value) => self.convert(name, value, expects),
            None => {
                self.report(name, Problem::Missing(expects));
                None
            }
        }
    }

    /// Reads a field that may be left out, and then has the default value.
    pub fn optional<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        default: T,
        expects: &'static str,
    ) -> Option<T> {
        match self.value(name) {
            Some(value) => self.convert(name, value, expects),
            None => Some(default),
        }
    }

    /// Reads a name of a service, failure domain and the like.
    pub fn required_name<T: for<'t> From<&'t str>>(&mut self, name: &'static str) -> Option<T> {
        let text: String = self.required(name, "a name")?;
        if is_valid_name(&text) {
            return Some(T::from(&text));
        }
        self.report(name, Problem::Name);
        None
    }

    /// Reads a number that must be there, within a range.
    pub fn required_number(&mut self, name: &'static str, low: u64, high: u64) -> Option<u64> {
        let number: u64 = self.required(name, "a whole number")?;
        self.in_range(name, number, low, high)
    }

    /// Reads a number that may be left out, within a range.
    pub fn optional_number(
        &mut self,
        name: &'static str,
        default: u64,
        low: u64,
        high: u64,
    ) -> Option<u64> {
        let number: u64 = self.optional(name, default, "a whole number")?;
        self.in_range(name, number, low, high)
    }

    /// Reads a list that must be there, with a number of distinct items within a range.
    pub fn required_list<T: DeserializeOwned + PartialEq>(
        &mut self,
        name: &'static str,
        low: usize,
        high: usize,
        expects: &'static str,
    ) -> Option<Vec<T>> {
        let Some(value) = self.value(name) else {
            self.report(name, Problem::Missing(expects));
            return None;
        };
        let Value::Sequence(values) = value else {
            self.report(name, Problem::Form(expects));
            return None;
        };
        let mut items = Vec::with_capacity(values.len());
        for (index, value) in values.iter().enumerate() {
            let field = format!("{name}[{index}]");
            match serde_yaml_ng::from_value::<T>(value.clone()) {
                Err(_) => self.report(&field, Problem::Form(expects)),
                Ok(item) if items.contains(&item) => self.report(&field, Problem::Duplicate),
                Ok(item) => items.push(item),
            }
        }
        if !(low..=high).contains(&values.len()) {
            self.report(name, Problem::Count(low, high));
        }
        (items.len() == values.len()).then_some(items)
    }

    /// Reads a mapping that may be left out.
    pub fn optional_section<T>(
        &mut self,
        name: &'static str,
        expects: &'static str,
        read: impl FnOnce(&mut Section<'_>) -> Option<T>,
    ) -> Option<Option<T>> {
        match self.value(name) {
            None => Some(None),
            Some(Value::Mapping(mapping)) => self.nested(name, mapping, read).map(Some),
            Some(_) => {
                self.report(name, Problem::Form(expects));
                None
            }
        }
    }

    /// Reads a list of mappings; a list left out is empty.
    pub fn sections<T>(
        &mut self,
        name: &'static str,
        low: usize,
        high: usize,
        expects: &'static str,
        mut read: impl FnMut(&mut Section<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let empty = Vec::new();
        let values = match self.value(name) {
            None if low == 0 => &empty,
            None => {
                self.report(name, Problem::Missing(expects));
                return None;
            }
            Some(Value::Sequence(values)) => values,
            Some(_) => {
                self.report(name, Problem::Form(expects));
                return None;
            }
        };
        let mut items = Vec::with_capacity(values.len());
        for (index, value) in values.iter().enumerate() {
            let field = format!("{name}[{index}]");
            match value {
                Value::Mapping(mapping) => items.extend(self.nested(&field, mapping, &mut read)),
                _ => self.report(&field, Problem::Form(expects)),
            }
        }
        if !(low..=high).contains(&values.len()) {
            self.report(name, Problem::Count(low, high));
        }
        (items.len() == values.len()).then_some(items)
    }

    /// Reports a fault of a field, named by its path within this mapping.
    pub fn report(&mut self, field: &str, problem: Problem) {
        let field = self.path_of(field);
        self.faults.push(Fault {
            line: self.lines.line_of(&field),
            field,
            problem,
        });
    }

    /// Reports `problem` unless the check holds.
    pub fn check(&mut self, holds: bool, field: &str, problem: Problem) {
        if !holds {
            self.report(field, problem);
        }
    }

    /// Reports every field that nothing has read.
    pub(crate) fn finish(mut self) {
        let known: BTreeSet<&str> = self.known.iter().copied().collect();
        let unknown: Vec<String> = self
            .mapping
            .keys()
            .map(key_text)
            .filter(|key| !known.contains(key.as_str()))
            .collect();
        for key in unknown {
            let problem = Problem::Unknown(self.known.clone());
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
            faults: self.faults,
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
        expects: &'static str,
    ) -> Option<T> {
        match serde_yaml_ng::from_value(value.clone()) {
            Ok(value) => Some(value),
            Err(_) => {
                self.report(name, Problem::Form(expects));
                None
            }
        }
    }

    fn in_range(&mut self, name: &str, number: u64, low: u64, high: u64) -> Option<u64> {
        if (low..=high).contains(&number) {
            return Some(number);
        }
        self.report(name, Problem::Range(low, high));
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

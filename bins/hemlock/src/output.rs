//! Prints answers as a table or as JSON.

use serde_json::Value;

use crate::error::CliError;

/// How to print an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Format {
    /// Columns for people.
    #[default]
    Table,
    /// One JSON value for programs.
    Json,
}

impl Format {
    /// Parses a format's name.
    pub(crate) fn parse(name: &str) -> Result<Self, CliError> {
        match name {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            other => Err(CliError::BadValue(
                "--format",
                other.to_owned(),
                "table or json",
            )),
        }
    }
}

/// Prints a value in the asked form.
pub(crate) fn print(format: Format, value: &Value) {
    match format {
        Format::Json => println!("{value}"),
        Format::Table => print!("{}", table(value)),
    }
}

/// A value as text: a list of objects as rows, an object as one field a line, with the lists
/// of objects that it holds as tables below it.
pub(crate) fn table(value: &Value) -> String {
    match value {
        Value::Array(items) if items.is_empty() => "none\n".to_owned(),
        Value::Array(items) => rows(items),
        Value::Object(fields) => {
            let is_table = |value: &Value| matches!(value, Value::Array(items) if items.iter().any(Value::is_object));
            let mut text = aligned(
                &fields
                    .iter()
                    .filter(|(_, value)| !is_table(value))
                    .map(|(name, value)| vec![name.clone(), cell(value)])
                    .collect::<Vec<_>>(),
            );
            for (name, value) in fields.iter().filter(|(_, value)| is_table(value)) {
                text.push_str(&format!("\n{name}\n{}", table(value)));
            }
            text
        }
        other => format!("{}\n", cell(other)),
    }
}

fn rows(items: &[Value]) -> String {
    let mut columns: Vec<&String> = Vec::new();
    for item in items.iter().filter_map(Value::as_object) {
        for name in item.keys() {
            if !columns.contains(&name) {
                columns.push(name);
            }
        }
    }
    if columns.is_empty() {
        return items.iter().map(|item| cell(item) + "\n").collect();
    }
    let heading = columns.iter().map(|name| name.to_uppercase()).collect();
    let body = items.iter().map(|item| {
        let of_column = |name: &&String| item.get(name.as_str()).map(cell).unwrap_or_default();
        columns.iter().map(of_column).collect()
    });
    let lines: Vec<Vec<String>> = std::iter::once(heading).chain(body).collect();
    aligned(&lines)
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| format!("{name}={}", cell(value)))
            .collect::<Vec<_>>()
            .join(" "),
        other => other.to_string(),
    }
}

fn aligned(lines: &[Vec<String>]) -> String {
    let columns = lines.iter().map(Vec::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns)
        .map(|column| {
            let width =
                |line: &Vec<String>| line.get(column).map_or(0, |text| text.chars().count());
            lines.iter().map(width).max().unwrap_or(0)
        })
        .collect();
    let mut text = String::new();
    for line in lines {
        let cells: Vec<String> = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}

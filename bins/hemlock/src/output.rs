//! Prints answers as a table or as JSON.

use serde_json::Value;

use crate::error::CliError;

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Format {
    /// Aligned columns, for people.
    #[default]
    Table,
    /// A JSON value, for programs.
    Json,
}

impl Format {
    /// Parses the name of a format.
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

/// Prints a value in the given format.
pub(crate) fn print(format: Format, value: &Value) {
    match format {
        Format::Json => println!("{value}"),
        Format::Table => print!("{}", table(value)),
    }
}

/// Formats a value as text: a list of objects as a table with a row for each, and an object with a
/// line for each field. Lists of objects within an object follow as tables.
pub(crate) fn table(value: &Value) -> String {
    match value {
        Value::Array(items) if items.is_empty() => "none\n".to_owned(),
        Value::Array(items) => format_rows(items),
        Value::Object(fields) => {
            let is_table = |value: &Value| matches!(value, Value::Array(items) if items.iter().any(Value::is_object));
            let mut text = align_columns(
                &fields
                    .iter()
                    .filter(|(_, value)| !is_table(value))
                    .map(|(name, value)| vec![name.clone(), format_cell(value)])
                    .collect::<Vec<_>>(),
            );
            for (name, value) in fields.iter().filter(|(_, value)| is_table(value)) {
                text.push_str(&format!("\n{name}\n{}", table(value)));
            }
            text
        }
        other => format!("{}\n", format_cell(other)),
    }
}

fn format_rows(items: &[Value]) -> String {
    let mut columns: Vec<&String> = Vec::new();
    for item in items.iter().filter_map(Value::as_object) {
        for name in item.keys() {
            if !columns.contains(&name) {
                columns.push(name);
            }
        }
    }
    if columns.is_empty() {
        return items.iter().map(|item| format_cell(item) + "\n").collect();
    }
    let heading = columns.iter().map(|name| name.to_uppercase()).collect();
    let body = items.iter().map(|item| {
        let cell_of = |name: &&String| item.get(name.as_str()).map(format_cell).unwrap_or_default();
        columns.iter().map(cell_of).collect()
    });
    let lines: Vec<Vec<String>> = std::iter::once(heading).chain(body).collect();
    align_columns(&lines)
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(format_cell).collect::<Vec<_>>().join(","),
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| format!("{name}={}", format_cell(value)))
            .collect::<Vec<_>>()
            .join(" "),
        other => other.to_string(),
    }
}

fn align_columns(lines: &[Vec<String>]) -> String {
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

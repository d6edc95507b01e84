//! Finds the line of a field in block-style YAML, for error messages.

use std::collections::BTreeMap;

/// Line number of each field, by the path of the field.
#[derive(Debug, Default)]
pub(crate) struct LineIndex {
    lines: BTreeMap<String, usize>,
}

/// A mapping key or list item that encloses the current line.
struct Level {
    indent: usize,
    is_item: bool,
    path: String,
    next_item: usize,
}

impl LineIndex {
    /// Builds the index from the text of a file.
    pub(crate) fn new(text: &str) -> Self {
        let mut index = Self::default();
        let mut levels = Vec::new();
        for (number, line) in text.lines().enumerate() {
            index.add_line(number + 1, line, &mut levels);
        }
        index
    }

    /// The line of the field, or of its closest parent that is known, or else 1.
    pub(crate) fn line_of(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            match self.lines.get(path) {
                Some(line) => return *line,
                None => match path.rfind(['.', '[']) {
                    Some(end) => path = &path[..end],
                    None => return 1,
                },
            }
        }
    }

    fn add_line(&mut self, number: usize, line: &str, levels: &mut Vec<Level>) {
        let mut content = line.trim_start();
        let mut indent = line.len() - content.len();
        let is_blank = content.is_empty() || content.starts_with('#') || content == "---";
        if is_blank {
            return;
        }
        while let Some(rest) = strip_item_dash(content) {
            levels
                .retain(|level| level.indent < indent || level.indent == indent && !level.is_item);
            let path = next_item_path(levels);
            self.push(levels, indent, true, path, number);
            let trimmed = rest.trim_start();
            indent += content.len() - trimmed.len();
            content = trimmed;
        }
        if let Some(key) = mapping_key(content) {
            levels.retain(|level| level.indent < indent);
            let path = match levels.last() {
                Some(level) => format!("{}.{key}", level.path),
                None => key.to_owned(),
            };
            self.push(levels, indent, false, path, number);
        }
    }

    fn push(
        &mut self,
        levels: &mut Vec<Level>,
        indent: usize,
        is_item: bool,
        path: String,
        number: usize,
    ) {
        self.lines.entry(path.clone()).or_insert(number);
        levels.push(Level {
            indent,
            is_item,
            path,
            next_item: 0,
        });
    }
}

/// The content of a list item without its dash, or `None` if the line is no list item.
fn strip_item_dash(content: &str) -> Option<&str> {
    match content.strip_prefix('-') {
        Some("") => Some(""),
        Some(rest) if rest.starts_with(' ') => Some(rest),
        _ => None,
    }
}

fn next_item_path(levels: &mut [Level]) -> String {
    match levels.last_mut() {
        Some(parent) => {
            parent.next_item += 1;
            format!("{}[{}]", parent.path, parent.next_item - 1)
        }
        None => "[0]".to_owned(),
    }
}

fn mapping_key(content: &str) -> Option<&str> {
    let (key, rest) = content.split_once(':')?;
    let is_key = !key.is_empty() && (rest.is_empty() || rest.starts_with(' '));
    is_key.then(|| key.trim_matches(['"', '\'']))
}

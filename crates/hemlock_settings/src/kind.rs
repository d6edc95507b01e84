//! Tells what a file describes.

use derive_more::Display;
use serde_yaml_ng::Value;

/// What a YAML file describes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum FileKind {
    /// Settings of a keeper.
    #[display("keeper")]
    Keeper,
    /// Settings of an entry.
    #[display("entry")]
    Entry,
    /// Settings of an agent.
    #[display("agent")]
    Agent,
    /// A customer's contract.
    #[display("contract")]
    Contract,
}

/// Fields that only one kind of file has.
const MARKS: [(&str, FileKind); 14] = [
    ("keeper_id", FileKind::Keeper),
    ("data_folder", FileKind::Keeper),
    ("operator_key_sha256", FileKind::Keeper),
    ("lanes", FileKind::Entry),
    ("policy", FileKind::Entry),
    ("seed", FileKind::Entry),
    ("rack", FileKind::Agent),
    ("cores", FileKind::Agent),
    ("endpoint", FileKind::Agent),
    ("retention_ms", FileKind::Agent),
    ("customer", FileKind::Contract),
    ("revision", FileKind::Contract),
    ("max_running", FileKind::Contract),
    ("key_sha256", FileKind::Contract),
];

impl FileKind {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Keeper, Self::Entry, Self::Agent, Self::Contract];

    /// Parses a kind's name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.to_string() == name)
    }

    /// The kind whose fields the text has most of; `None` when it has none of any.
    pub fn detect(text: &str) -> Option<Self> {
        let Ok(Value::Mapping(mapping)) = serde_yaml_ng::from_str(text) else {
            return None;
        };
        let marks_of = |kind: Self| {
            MARKS
                .iter()
                .filter(|(field, of)| *of == kind && mapping.contains_key(*field))
                .count()
        };
        let best = Self::ALL.into_iter().max_by_key(|kind| marks_of(*kind))?;
        match marks_of(best) {
            0 if mapping.contains_key("http_address") => Some(Self::Entry),
            0 => None,
            _ => Some(best),
        }
    }
}

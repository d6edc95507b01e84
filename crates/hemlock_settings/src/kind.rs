//! Detects the kind of a file from its fields.

use derive_more::Display;
use serde_yaml_ng::Value;

/// Kind of a YAML file.
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

/// Fields that occur in only one kind of file.
const DISTINCTIVE_FIELDS: [(&str, FileKind); 14] = [
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
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Keeper, Self::Entry, Self::Agent, Self::Contract];

    /// Parses the name of a kind.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.to_string() == name)
    }

    /// Detects the kind with the most distinctive fields in the text. Without any, a file with an
    /// `http_address` is an entry's; otherwise the kind is `None`.
    pub fn detect(text: &str) -> Option<Self> {
        let Ok(Value::Mapping(mapping)) = serde_yaml_ng::from_str(text) else {
            return None;
        };
        let count_fields = |kind: Self| {
            DISTINCTIVE_FIELDS
                .iter()
                .filter(|(field, owner)| *owner == kind && mapping.contains_key(*field))
                .count()
        };
        let best = Self::ALL
            .into_iter()
            .max_by_key(|kind| count_fields(*kind))?;
        match count_fields(best) {
            0 if mapping.contains_key("http_address") => Some(Self::Entry),
            0 => None,
            _ => Some(best),
        }
    }
}

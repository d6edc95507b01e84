//! The contents of a chart file, before validation.

use std::collections::BTreeMap;

use serde::Deserialize;

/// A chart as written in its file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChartDefinition {
    /// Name of the chart, for error messages.
    pub(crate) chart: String,
    /// Name of the initial state.
    pub(crate) initial: String,
    /// The definition of every state, by name.
    pub(crate) states: BTreeMap<String, StateDefinition>,
}

/// One state as written in the chart file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct StateDefinition {
    /// Transitions: the name of the next state, by event.
    pub(crate) on: BTreeMap<String, String>,
    /// Events that leave the state unchanged.
    pub(crate) ignore: Vec<String>,
}

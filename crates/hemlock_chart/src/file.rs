//! The shape of a chart's file.

use std::collections::BTreeMap;

use serde::Deserialize;

/// A chart as its file spells it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChartFile {
    /// Name of the chart, for error messages.
    pub(crate) chart: String,
    /// Name of the initial state.
    pub(crate) initial: String,
    /// Every state by name.
    pub(crate) states: BTreeMap<String, StateFile>,
}

/// One state as its file spells it.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct StateFile {
    /// The state that each event leads to.
    pub(crate) on: BTreeMap<String, String>,
    /// Events that change nothing.
    pub(crate) ignore: Vec<String>,
}

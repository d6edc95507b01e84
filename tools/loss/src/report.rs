//! The report of a played day.

use serde::Deserialize;

/// Figures of a day. The field names of the file are mapped here.
#[derive(Clone, Debug, Deserialize)]
pub struct DayReport {
    /// Value of the day after prices, where 1 is a day without losses.
    #[serde(rename = "G")]
    pub value: f64,
    /// Name, weight and value of each part of the mark.
    pub parts: Vec<(String, f64, f64)>,
    /// Name, amount and cost of each price.
    pub prices: Vec<(String, f64, f64)>,
    /// The windows of the day, in order.
    pub windows: Vec<WindowReport>,
}

/// Figures of the jobs that were submitted in one window.
#[derive(Clone, Debug, Deserialize)]
pub struct WindowReport {
    /// Second at which it starts.
    #[serde(rename = "name")]
    pub start_s: String,
    /// Number of jobs.
    #[serde(rename = "n")]
    pub jobs: u64,
    /// Jobs that were answered late.
    pub late: u64,
    /// Jobs that were rejected.
    pub refused: u64,
    /// Jobs without an answer, or with another than a success or a rejection.
    pub failed: u64,
    /// Earned share of the value of the jobs.
    #[serde(rename = "worth")]
    pub earned_share: f64,
}

impl WindowReport {
    /// Second at which the window starts; zero if the report doesn't say.
    pub fn start(&self) -> f64 {
        self.start_s.parse().unwrap_or(0.0)
    }
}

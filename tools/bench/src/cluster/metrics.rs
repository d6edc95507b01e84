//! Counters that a program under test reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a program's metrics.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Sums of counters over programs, by metric name and one label's value.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counters {
    values: BTreeMap<String, f64>,
}

impl Counters {
    /// Adds what the program at `address` reports; a program that does not answer adds nothing.
    pub(crate) fn add_from(&mut self, address: SocketAddr) {
        let response = attohttpc::get(format!("http://{address}/metrics"))
            .connect_timeout(TIMEOUT)
            .read_timeout(TIMEOUT)
            .send();
        let text = response
            .and_then(attohttpc::Response::text)
            .unwrap_or_default();
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            if let Some((series, value)) = line.rsplit_once(' ') {
                let value: f64 = value.parse().unwrap_or(0.0);
                *self.values.entry(series.to_owned()).or_default() += value;
            }
        }
    }

    /// Sum of every series of the metric `name`.
    pub(crate) fn sum(&self, name: &str) -> f64 {
        self.values
            .iter()
            .filter(|(series, _)| metric_name(series) == name)
            .map(|(_, value)| value)
            .sum()
    }

    /// Every series of the metric `name`.
    pub(crate) fn series(&self, name: &str) -> BTreeMap<String, f64> {
        self.values
            .iter()
            .filter(|(series, _)| metric_name(series) == name)
            .map(|(series, value)| (series.clone(), *value))
            .collect()
    }
}

fn metric_name(series: &str) -> &str {
    series.split('{').next().unwrap_or(series)
}

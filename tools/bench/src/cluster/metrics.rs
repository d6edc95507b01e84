//! Reads the metrics of the processes under test.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of connecting and of reading the metrics.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Sums of counters over several processes, by series (metric name with its labels).
#[derive(Clone, Debug, Default)]
pub(crate) struct Counters {
    values: BTreeMap<String, f64>,
}

impl Counters {
    /// Adds the counters of the process at `address`; one that doesn't answer adds nothing.
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

    /// Returns the sum of all series of the metric `name`.
    pub(crate) fn sum(&self, name: &str) -> f64 {
        self.values
            .iter()
            .filter(|(series, _)| metric_name(series) == name)
            .map(|(_, value)| value)
            .sum()
    }

    /// Returns all series of the metric `name`.
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

//! The log line and the gauge of the evacuated failure domains, the same in every process.

use hemlock_jobs::prelude::Evacuations;
use tracing::info;

/// Logs the evacuated failure domains after a change, and sets their gauge.
pub(crate) fn log_evacuations(evacuations: &Evacuations) {
    let domains: Vec<&str> = evacuations.domains().iter().map(String::as_str).collect();
    info!(
        event = "evacuations",
        version = evacuations.version(),
        domains = domains.join(","),
    );
    metrics::gauge!("hemlock_evacuated_domains").set(evacuations.domains().len() as f64);
}

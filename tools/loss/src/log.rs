//! What the logs of the processes say about jobs that were rejected or late.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

/// Why jobs were rejected or late, as numbers of jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Causes {
    /// Rejected jobs by cause.
    pub rejected: BTreeMap<String, u64>,
    /// Finished jobs with runs that failed, stalled or were lost.
    pub with_failed_runs: u64,
    /// Other finished jobs whose last first start came later than [`LONG_WAIT_S`].
    pub with_long_waits: u64,
}

/// Wait for the start of a task after which the shortest jobs are late, in seconds.
pub const LONG_WAIT_S: f64 = 0.09;

#[derive(Default)]
struct JobTrace {
    taken_at_s: f64,
    last_start_s: f64,
    failed_run: bool,
}

/// Reads log lines of the form `SECONDS NODE JSON`, and counts causes by the window of `window_s`
/// seconds in which a job was taken or rejected. Other lines are skipped.
pub fn read_causes<'a>(
    lines: impl Iterator<Item = &'a str>,
    window_s: f64,
) -> BTreeMap<u64, Causes> {
    let mut windows: BTreeMap<u64, Causes> = BTreeMap::new();
    let mut jobs: BTreeMap<String, JobTrace> = BTreeMap::new();
    let mut finished = BTreeSet::new();
    let window_of = |at_s: f64| (at_s / window_s) as u64;
    for (at_s, line) in lines.filter_map(parse_line) {
        let text = |key: &str| line.get(key).and_then(Value::as_str).unwrap_or_default();
        let mut add_rejection = |cause: String| {
            let causes = windows.entry(window_of(at_s)).or_default();
            *causes.rejected.entry(cause).or_default() += 1;
        };
        let job_of_task = || {
            text("task")
                .split('.')
                .next()
                .unwrap_or_default()
                .to_owned()
        };
        match text("event") {
            "job-rejected" => add_rejection(format!("overload, {}", text("cause"))),
            "answered" if text("answer").contains("NoConfiguration") => {
                add_rejection("no configuration".to_owned());
            }
            "answered" if text("answer").contains("NoLeader") => {
                add_rejection("no leader".to_owned());
            }
            "job-taken" => jobs.entry(text("job").to_owned()).or_default().taken_at_s = at_s,
            "job-ended" => {
                finished.insert(text("job").to_owned());
            }
            "start" if line.get("task").is_some() => {
                jobs.entry(job_of_task()).or_default().last_start_s = at_s;
            }
            "run-ended" if text("end") != "done" => {
                jobs.entry(job_of_task()).or_default().failed_run = true;
            }
            _ => {}
        }
    }
    for job in finished.iter().filter_map(|id| jobs.get(id)) {
        let causes = windows.entry(window_of(job.taken_at_s)).or_default();
        match job {
            job if job.failed_run => causes.with_failed_runs += 1,
            job if job.last_start_s - job.taken_at_s > LONG_WAIT_S => causes.with_long_waits += 1,
            _ => {}
        }
    }
    windows
}

fn parse_line(line: &str) -> Option<(f64, Value)> {
    let mut fields = line.trim_start().splitn(3, ' ');
    let at_s = fields.next()?.parse().ok()?;
    fields.next()?;
    let json = serde_json::from_str(fields.next()?.trim_start()).ok()?;
    Some((at_s, json))
}

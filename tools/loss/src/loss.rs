//! The split of a day's loss into rows.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::log::Causes;
use crate::report::{DayReport, WindowReport};

/// Part of a job's value that is lost when it is answered late.
const LATE_LOSS: f64 = 0.8;
/// Name of the part that counts every job once.
const WHOLE_DAY: &str = "whole day";

/// A part of the loss of a day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LossRow {
    /// Its cause.
    pub cause: String,
    /// Second at which the window starts; `None` if the cause has no time.
    pub window_s: Option<f64>,
    /// The loss, where 1 is the value of a day without losses.
    pub loss: f64,
}

/// Splits the loss of a day into rows whose sum is the loss: one for each price, one for each part
/// of the mark that weighs only some jobs, and the loss over all jobs by window and cause. `causes`
/// are those found in the logs, by the index of the window.
pub fn split_losses(report: &DayReport, causes: &BTreeMap<u64, Causes>) -> Vec<LossRow> {
    let mut rows = Vec::new();
    for (name, _, cost) in report.prices.iter().filter(|(_, _, cost)| *cost > 0.0) {
        rows.push(row(&format!("price: {name}"), None, *cost));
    }
    for (name, weight, value) in &report.parts {
        let loss = weight * (1.0 - value);
        match name.as_str() {
            WHOLE_DAY => rows.extend(split_whole_day(report, causes, loss)),
            _ => rows.push(row(&format!("weight of the {name}"), None, loss)),
        }
    }
    let rest = 1.0 - report.value - rows.iter().map(|row| row.loss).sum::<f64>();
    rows.push(row("rounding", None, rest));
    rows
}

fn row(cause: &str, window_s: Option<f64>, loss: f64) -> LossRow {
    LossRow {
        cause: cause.to_owned(),
        window_s,
        loss,
    }
}

/// Splits the loss over all jobs in proportion to the jobs of each window and their lost share.
fn split_whole_day(report: &DayReport, causes: &BTreeMap<u64, Causes>, loss: f64) -> Vec<LossRow> {
    let lost = |window: &WindowReport| window.jobs as f64 * (1.0 - window.earned_share);
    let total: f64 = report.windows.iter().map(lost).sum();
    if total <= 0.0 {
        return vec![row(WHOLE_DAY, None, loss)];
    }
    let no_causes = Causes::default();
    let mut rows = Vec::new();
    for (index, window) in report.windows.iter().enumerate() {
        let window_loss = loss * lost(window) / total;
        let found = causes.get(&(index as u64)).unwrap_or(&no_causes);
        rows.extend(split_window(window, found, window_loss));
    }
    rows
}

fn split_window(window: &WindowReport, causes: &Causes, loss: f64) -> Vec<LossRow> {
    let late = window.late as f64 * LATE_LOSS;
    let (refused, failed) = (window.refused as f64, window.failed as f64);
    let all = late + refused + failed;
    let start_s = Some(window.start());
    if all <= 0.0 {
        return vec![row("unknown", start_s, loss)];
    }
    let mut rows = vec![row("lost or unanswered", start_s, loss * failed / all)];
    let late_causes = [
        ("late after a failed run", causes.with_failed_runs),
        ("late in a queue", causes.with_long_waits),
    ];
    let late_causes = late_causes.map(|(cause, count)| (cause.to_owned(), count));
    rows.extend(share_loss(start_s, loss * late / all, &late_causes, "late"));
    let rejected = causes.rejected.iter();
    let rejected: Vec<(String, u64)> = rejected
        .map(|(cause, count)| (format!("rejected: {cause}"), *count))
        .collect();
    rows.extend(share_loss(
        start_s,
        loss * refused / all,
        &rejected,
        "rejected",
    ));
    rows.retain(|row| row.loss > 0.0);
    rows
}

/// Shares a loss among causes by their numbers of jobs. Without any, it has the cause `otherwise`.
fn share_loss(
    window_s: Option<f64>,
    loss: f64,
    causes: &[(String, u64)],
    otherwise: &str,
) -> Vec<LossRow> {
    let total: u64 = causes.iter().map(|(_, count)| count).sum();
    if total == 0 {
        return vec![row(otherwise, window_s, loss)];
    }
    let share = |count: u64| loss * count as f64 / total as f64;
    let rows = causes.iter();
    rows.map(|(cause, count)| row(cause, window_s, share(*count)))
        .collect()
}

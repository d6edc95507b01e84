//! The rows of a day's losses.

use std::collections::BTreeMap;

use hemlock_loss::prelude::*;

const LOG: &str = r#"
   0.5 gateway-1 {"event":"job-taken","job":"a"}
   0.7 runner-1 {"event":"start","task":"a.0.0.0"}
   0.9 gateway-1 {"event":"job-ended","job":"a"}
   1.0 gateway-1 {"event":"job-rejected","job":"b","cause":"wait"}
   1.1 gateway-1 not json
   2.5 gateway-1 {"event":"answered","answer":"Rejected { reason: NoConfiguration, retry_after_ms: 1000 }"}
   2.6 gateway-1 {"event":"job-taken","job":"c"}
   2.6 runner-1 {"event":"run-ended","task":"c.0.0.0","end":"stalled"}
   2.9 gateway-1 {"event":"job-ended","job":"c"}
"#;

fn window(start_s: &str, late: u64, refused: u64, failed: u64, earned_share: f64) -> WindowReport {
    WindowReport {
        start_s: start_s.to_owned(),
        jobs: 100,
        late,
        refused,
        failed,
        earned_share,
    }
}

fn report() -> DayReport {
    DayReport {
        value: 0.77,
        parts: vec![
            ("whole day".to_owned(), 0.7, 0.9),
            ("worst windows".to_owned(), 0.3, 0.8),
        ],
        prices: vec![("machines".to_owned(), 10.0, 0.1)],
        windows: vec![window("0", 5, 3, 0, 0.95), window("2", 10, 10, 4, 0.85)],
    }
}

/// Guards against losses that are counted twice or not at all.
#[test]
fn rows_add_up_to_the_loss_of_the_day() {
    let causes = read_causes(LOG.lines(), 2.0);
    for causes in [causes, BTreeMap::new()] {
        let rows = split_losses(&report(), &causes);
        let sum: f64 = rows.iter().map(|row| row.loss).sum();
        assert!((sum - 0.23).abs() < 1e-9, "{rows:?}");
        let rounding = rows.last().expect("there are rows");
        assert!(rounding.loss.abs() < 1e-9, "{rows:?}");
    }
}

/// Guards against causes that are attributed to another window than that of the job.
#[test]
fn causes_are_found_in_the_window_of_their_job() {
    let causes = read_causes(LOG.lines(), 2.0);
    assert_eq!(causes[&0].rejected["overload, wait"], 1);
    assert_eq!(causes[&0].with_long_waits, 1);
    assert_eq!(causes[&1].rejected["no configuration"], 1);
    assert_eq!(causes[&1].with_failed_runs, 1);
    let rows = split_losses(&report(), &causes);
    let rejected = rows
        .iter()
        .filter(|row| row.cause == "rejected: overload, wait");
    assert_eq!(
        rejected.map(|row| row.window_s).collect::<Vec<_>>(),
        [Some(0.0)]
    );
}

//! The demonstration runs a whole cluster and meets all guarantees.

use std::process::Command;

use serde_json::Value;

/// Seed of the work if `HEMLOCK_SEED` is not set.
const DEFAULT_SEED: &str = "7";

#[test]
fn the_demonstration_meets_all_guarantees() {
    let seed = std::env::var("HEMLOCK_SEED").unwrap_or_else(|_| DEFAULT_SEED.to_owned());
    let output = Command::new(env!("CARGO_BIN_EXE_hemlock"))
        .args(["demo", "--quick", "--seed", &seed])
        .output()
        .expect("the program runs");
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    let last = printed.lines().last().expect("the program prints a report");
    let report: Value = serde_json::from_str(last).expect("the last line is JSON");
    assert!(output.status.success(), "{printed}");
    assert_eq!(report["submitted"], 60, "{printed}");
    let answered: u64 = ["complete", "failed", "not_run"]
        .iter()
        .filter_map(|field| report[field].as_u64())
        .sum();
    assert_eq!(answered, 60, "{printed}");
    for field in [
        "partial",
        "duplicate_starts",
        "cut_in_flight",
        "lost",
        "false_not_run",
        "resubmitted_otherwise",
        "late_starts",
    ] {
        assert_eq!(report[field], 0, "{field}: {printed}");
    }
}

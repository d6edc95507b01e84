//! The whole path: every role, real work, and every promise kept.

use std::process::Command;

use serde_json::Value;

/// Seed of the work when none is set.
const DEFAULT_SEED: &str = "7";

#[test]
fn the_demonstration_keeps_every_promise() {
    let seed = std::env::var("HEMLOCK_SEED").unwrap_or_else(|_| DEFAULT_SEED.to_owned());
    let output = Command::new(env!("CARGO_BIN_EXE_hemlock"))
        .args(["demo", "--quick", "--seed", &seed])
        .output()
        .expect("the program runs");
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    let last = said.lines().last().expect("it says something");
    let report: Value = serde_json::from_str(last).expect("the last line is JSON");
    assert!(output.status.success(), "{said}");
    assert_eq!(report["submitted"], 60, "{said}");
    let answered: u64 = ["complete", "failed", "not_run"]
        .iter()
        .filter_map(|field| report[field].as_u64())
        .sum();
    assert_eq!(answered, 60, "{said}");
    for field in [
        "partial",
        "duplicate_starts",
        "cut_in_flight",
        "lost",
        "false_not_run",
        "resubmitted_otherwise",
        "late_starts",
    ] {
        assert_eq!(report[field], 0, "{field}: {said}");
    }
}

//! The measurement of an instance's pace.

mod harness;

use harness::{GATEWAY, Harness, task};
use hemlock_dispatch::prelude::*;
use hemlock_standin::InstanceModel;

/// Declared duration of the harness's tasks, in milliseconds.
const DECLARED_MS: u64 = 60;

/// An instance at which runs end one after the other.
struct Measured {
    harness: Harness,
    jobs: u64,
}

impl Measured {
    fn new() -> Self {
        let mut harness = Harness::new();
        harness.attach(GATEWAY, 1, &[]);
        Self { harness, jobs: 0 }
    }

    /// Runs a number of tasks of the given duration, and returns the reported pace.
    fn run(&mut self, count: u64, took_ms: u64) -> u32 {
        let harness = &mut self.harness;
        for _ in 0..count {
            self.jobs += 1;
            harness.start(GATEWAY, 1, self.jobs, 6_000);
            harness.advance_ms(took_ms);
            harness.model.end(task(self.jobs), RunEnd::Done);
            harness.list();
        }
        self.percent()
    }

    fn percent(&self) -> u32 {
        let now = self.harness.now;
        self.harness.runs.load_report(now, GATEWAY).pace_percent
    }
}

#[test]
fn the_pace_is_unknown_until_some_runs_have_ended() {
    // A single run may be an outlier, and must not decide the placement of later ones.
    let mut measured = Measured::new();
    assert_eq!(measured.run(3, 7 * DECLARED_MS), 0);
    assert!(measured.run(30, 2 * DECLARED_MS) >= 180);
}

#[test]
fn a_restarted_instance_has_no_pace_of_its_earlier_incarnation() {
    let mut measured = Measured::new();
    assert!(measured.run(12, 2 * DECLARED_MS) >= 180);
    measured.harness.model = InstanceModel::new(2);
    measured.harness.list();
    assert_eq!(measured.percent(), 0);
}

#[test]
fn a_slow_turn_and_a_recovery_are_measured_within_a_few_runs() {
    let mut measured = Measured::new();
    let usual = measured.run(100, DECLARED_MS);
    assert!((95..=105).contains(&usual), "{usual} %");
    let slow = measured.run(6, 2 * DECLARED_MS + DECLARED_MS / 2);
    assert!(slow >= 150, "{slow} %");
    measured.run(30, 2 * DECLARED_MS + DECLARED_MS / 2);
    let recovered = measured.run(8, DECLARED_MS);
    assert!(recovered <= 140, "{recovered} %");
}

#[test]
fn few_long_tasks_do_not_make_an_instance_look_slow() {
    let mut measured = Measured::new();
    for _ in 0..20 {
        measured.run(31, DECLARED_MS);
        let pace = measured.run(1, 7 * DECLARED_MS);
        assert!((95..=115).contains(&pace), "{pace} %");
    }
}

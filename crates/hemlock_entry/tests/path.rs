//! Requests and jobs from the entry to the endpoint over real connections: one keeper, agents with
//! stand-in endpoints, and entries.

mod common;

use common::{Cluster, header, wait_for};

/// Guards against a resubmission, also through another entry, that starts its tasks again or gets
/// another answer than the first one.
#[test]
fn requests_and_jobs_complete_and_resubmissions_start_nothing() {
    let cluster = Cluster::start(2, 2, 5);
    cluster.wait_ready();
    let [first, second] = &cluster.entries[..] else {
        panic!("expected two entries");
    };
    let reply = cluster.request(first, "reserve", "cat", Some("k-1"));
    assert_eq!(
        (reply.status, header(&reply, "Hemlock-Outcome")),
        (200, "complete")
    );
    let before = cluster.starts();
    let again = cluster.request(second, "reserve", "cat", Some("k-1"));
    assert_eq!(again.body, reply.body);
    assert_eq!(
        cluster.starts(),
        before,
        "a resubmission must not start a task"
    );
    let conflict = cluster.request(second, "reserve", "dog", Some("k-1"));
    assert_eq!(conflict.status, 422);
    let unkeyed = cluster.request(first, "reserve", "cat", None);
    assert_eq!(unkeyed.status, 400);

    let job = cluster.submit_job(first, "job-1", 40);
    assert_eq!(
        (job.status, header(&job, "Hemlock-Outcome")),
        (200, "complete")
    );
    let document: serde_json::Value = serde_json::from_slice(&job.body).unwrap();
    assert_eq!(document["answers"].as_array().unwrap().len(), 40);
    let before = cluster.starts();
    let again = cluster.submit_job(second, "job-1", 40);
    let repeated: serde_json::Value = serde_json::from_slice(&again.body).unwrap();
    assert_eq!(repeated["answers"], document["answers"]);
    assert_eq!(cluster.starts(), before);
    assert_eq!(cluster.max_starts_per_task(), 1);
}

/// Guards against a planned stop that drops calls: every call in progress must complete or be
/// answered as not run.
#[test]
fn a_planned_stop_of_an_entry_answers_calls_in_progress() {
    let cluster = Cluster::start(1, 1, 400);
    cluster.wait_ready();
    let entry = &cluster.entries[0];
    std::thread::scope(|scope| {
        let running: Vec<_> = (0..4)
            .map(|index| scope.spawn(move || (index, "search")))
            .map(|thread| thread.join().unwrap())
            .map(|(index, operation)| {
                let cluster = &cluster;
                scope.spawn(move || {
                    cluster.request(entry, operation, &format!("body {index}"), None)
                })
            })
            .collect();
        let starts = cluster.starts();
        wait_for("work to start", || cluster.starts() > starts);
        entry.begin_drain();
        for thread in running {
            let reply = thread.join().unwrap();
            let outcome = header(&reply, "Hemlock-Outcome").to_owned();
            assert!(outcome == "complete" || outcome == "not-run", "{outcome}");
        }
    });
    entry.join();
}

/// Guards against tasks that start twice when an entry is killed in the middle of a job and the
/// caller submits the job again to another entry.
#[test]
fn another_entry_finishes_the_job_of_a_killed_entry() {
    let mut cluster = Cluster::start(2, 2, 150);
    cluster.wait_ready();
    let killed_entry = cluster.entries.remove(0);
    std::thread::scope(|scope| {
        let cluster = &cluster;
        let killed_entry = &killed_entry;
        let interrupted = scope.spawn(move || cluster.submit_job(killed_entry, "job-2", 30).status);
        let before = cluster.starts();
        wait_for("tasks to start", || cluster.starts() >= before + 8);
        killed_entry.kill();
        assert_ne!(interrupted.join().unwrap(), 200);
    });
    let mut latest = cluster.submit_job(&cluster.entries[0], "job-2", 30);
    wait_for("the job to be taken over", || {
        if latest.status != 200 {
            latest = cluster.submit_job(&cluster.entries[0], "job-2", 30);
        }
        latest.status == 200
    });
    let document: serde_json::Value = serde_json::from_slice(&latest.body).unwrap();
    assert_eq!(document["answers"].as_array().unwrap().len(), 30);
    assert_eq!(cluster.max_starts_per_task(), 1, "no task may start twice");
}

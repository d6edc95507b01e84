//! The whole path over real connections: keeper, agents with stand-ins, entries.

mod common;

use common::{Cluster, header, wait_for};

#[test]
fn requests_and_jobs_are_served_whole_and_resubmissions_run_nothing_again() {
    let cluster = Cluster::start(2, 2, 5);
    cluster.wait_ready();
    let [first, second] = &cluster.entries[..] else {
        panic!("two entries");
    };
    let reply = cluster.request(first, "reserve", "cat", Some("k-1"));
    assert_eq!(
        (reply.status, header(&reply, "Hemlock-Outcome")),
        (200, "complete")
    );
    let before = cluster.starts();
    let again = cluster.request(second, "reserve", "cat", Some("k-1"));
    assert_eq!(again.body, reply.body);
    assert_eq!(cluster.starts(), before, "a resubmission starts nothing");
    let conflict = cluster.request(second, "reserve", "dog", Some("k-1"));
    assert_eq!(conflict.status, 422);
    let unkeyed = cluster.request(first, "reserve", "cat", None);
    assert_eq!(unkeyed.status, 400);

    let job = cluster.job(first, "job-1", 40);
    assert_eq!(
        (job.status, header(&job, "Hemlock-Outcome")),
        (200, "complete")
    );
    let document: serde_json::Value = serde_json::from_slice(&job.body).unwrap();
    assert_eq!(document["answers"].as_array().unwrap().len(), 40);
    let before = cluster.starts();
    let again = cluster.job(second, "job-1", 40);
    let repeated: serde_json::Value = serde_json::from_slice(&again.body).unwrap();
    assert_eq!(repeated["answers"], document["answers"]);
    assert_eq!(cluster.starts(), before);
    assert_eq!(cluster.most_starts_of_a_task(), 1);
}

#[test]
fn a_planned_stop_of_an_entry_answers_what_runs() {
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

#[test]
fn a_job_of_a_killed_entry_is_finished_through_another() {
    let mut cluster = Cluster::start(2, 2, 150);
    cluster.wait_ready();
    let victim = cluster.entries.remove(0);
    std::thread::scope(|scope| {
        let cluster = &cluster;
        let victim = &victim;
        let cut = scope.spawn(move || cluster.job(victim, "job-2", 30).status);
        let before = cluster.starts();
        wait_for("tasks to start", || cluster.starts() >= before + 8);
        victim.kill();
        assert_ne!(cut.join().unwrap(), 200);
    });
    let mut last = cluster.job(&cluster.entries[0], "job-2", 30);
    wait_for("the job to be taken over", || {
        if last.status != 200 {
            last = cluster.job(&cluster.entries[0], "job-2", 30);
        }
        last.status == 200
    });
    let document: serde_json::Value = serde_json::from_slice(&last.body).unwrap();
    assert_eq!(document["answers"].as_array().unwrap().len(), 30);
    assert_eq!(cluster.most_starts_of_a_task(), 1, "no task starts twice");
}

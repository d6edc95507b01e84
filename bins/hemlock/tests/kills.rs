//! Processes that end at once in the middle of work: no task starts twice, and an answer is
//! whole or a truthful refusal.

mod common;

use std::thread;

use common::{Cluster, call, send, wait_for};
use hemlock_http::prelude::*;
use hemlock_standin::prelude::*;
use serde_json::{Value, json};

const TASKS: usize = 12;

/// A job whose tasks work long enough for a kill in the middle.
fn long_job(name: &str) -> String {
    let task = |index: usize| {
        let key = format!("{name}/{index}");
        json!({ "operation": "search", "body": { "key": key, "work_ms": 400 } })
    };
    let job = json!({
        "submission": name,
        "service": common::SERVICE,
        "deadline_ms": 20_000,
        "tasks": (0..TASKS).map(task).collect::<Vec<_>>(),
    });
    job.to_string()
}

fn assert_started_once(cluster: &Cluster, name: &str) {
    for index in 0..TASKS {
        let key = format!("{name}/{index}");
        assert!(cluster.starts_of(&key) <= 1, "{key} started twice");
    }
}

fn assert_own_and_whole(reply: &HttpReply, name: &str) {
    let body: Value = serde_json::from_slice(&reply.body).expect("a job's answer is JSON");
    let answers = body["answers"].as_array().expect("answers");
    assert_eq!(answers.len(), TASKS);
    for (index, answer) in answers.iter().enumerate() {
        assert_eq!(answer["body"]["key"], format!("{name}/{index}"));
    }
}

#[test]
fn a_job_whose_entry_dies_is_finished_through_the_other() {
    let cluster = Cluster::start(2);
    let first = cluster.entry(0);
    let lost = thread::spawn(move || {
        let client = HttpClient::new(HttpClientConfig::default());
        client.send(&call(first, "/v1/jobs", &long_job("orphan")))
    });
    let running = |standin: &StandinEndpoint| standin.counts().running > 0;
    wait_for("running tasks", || cluster.standins.iter().any(running));
    cluster.entries[0].kill();
    // The dead entry's HTTP threads may still close the connection with a bare 500.
    let claimed = lost.join().expect("no panic").ok();
    let claimed = claimed
        .as_ref()
        .and_then(|reply| reply.header("Hemlock-Outcome"));
    assert_eq!(claimed, None, "a dead entry claims no outcome");
    let again = call(cluster.entry(1), "/v1/jobs", &long_job("orphan")).with_timeout_ms(30_000);
    // While the keepers still count on the dead entry, they may say to come back.
    let mut reply = send(&again);
    while reply.status == 503 {
        assert_ne!(reply.header("Hemlock-Outcome"), Some("not-run"));
        reply = send(&again);
    }
    assert_started_once(&cluster, "orphan");
    match reply.header("Hemlock-Outcome") {
        Some("complete") => assert_own_and_whole(&reply, "orphan"),
        other => assert_eq!(other, Some("failed"), "{:?}", reply.body),
    }
    cluster.stop();
}

#[test]
fn a_job_whose_agent_dies_is_complete_or_failed() {
    let cluster = Cluster::start(2);
    let entry = cluster.entry(0);
    let caller = thread::spawn(move || {
        send(&call(entry, "/v1/jobs", &long_job("halved")).with_timeout_ms(30_000))
    });
    wait_for("running tasks", || cluster.standins[0].counts().running > 0);
    cluster.agents[0].kill();
    let reply = caller.join().expect("no panic");
    assert_started_once(&cluster, "halved");
    match reply.header("Hemlock-Outcome") {
        Some("complete") => assert_own_and_whole(&reply, "halved"),
        other => assert_eq!(other, Some("failed"), "{:?}", reply.body),
    }
    let again = send(&call(cluster.entry(1), "/v1/jobs", &long_job("halved")));
    assert_started_once(&cluster, "halved");
    assert_ne!(again.header("Hemlock-Outcome"), Some("not-run"));
    cluster.stop();
}

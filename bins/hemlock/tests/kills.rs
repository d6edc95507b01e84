//! An entry or an agent is killed while tasks are running. No task starts twice, and the answer is
//! complete or correctly reports a failure.

mod common;

use std::thread;

use common::{Cluster, call, send, wait_for};
use hemlock_http::prelude::*;
use hemlock_standin::prelude::*;
use serde_json::{Value, json};

const TASKS: usize = 12;

/// A job whose tasks run long enough for a process to be killed meanwhile.
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

fn assert_complete(reply: &HttpReply, name: &str) {
    let body: Value = serde_json::from_slice(&reply.body).expect("a job's answer is JSON");
    let answers = body["answers"].as_array().expect("answers");
    assert_eq!(answers.len(), TASKS);
    for (index, answer) in answers.iter().enumerate() {
        assert_eq!(answer["body"]["key"], format!("{name}/{index}"));
    }
}

#[test]
fn a_job_of_a_killed_entry_is_finished_through_another() {
    let cluster = Cluster::start(2);
    let first = cluster.entry(0);
    let lost = thread::spawn(move || {
        let client = HttpClient::new(HttpClientConfig::default());
        client.send(&call(first, "/v1/jobs", &long_job("orphan")))
    });
    let running = |standin: &StandinEndpoint| standin.counts().running > 0;
    wait_for("running tasks", || cluster.standins.iter().any(running));
    cluster.entries[0].kill();
    // The HTTP threads of the killed entry may still respond with status 500, without an outcome.
    let outcome = lost.join().expect("no panic").ok();
    let outcome = outcome
        .as_ref()
        .and_then(|reply| reply.header("Hemlock-Outcome"));
    assert_eq!(outcome, None, "a killed entry reports no outcome");
    let again = call(cluster.entry(1), "/v1/jobs", &long_job("orphan")).with_timeout_ms(30_000);
    // Until the keepers notice that the entry is gone, the job can be refused with status 503.
    let mut reply = send(&again);
    while reply.status == 503 {
        assert_ne!(reply.header("Hemlock-Outcome"), Some("not-run"));
        reply = send(&again);
    }
    assert_started_once(&cluster, "orphan");
    match reply.header("Hemlock-Outcome") {
        Some("complete") => assert_complete(&reply, "orphan"),
        other => assert_eq!(other, Some("failed"), "{:?}", reply.body),
    }
    cluster.stop();
}

#[test]
fn a_job_of_a_killed_agent_completes_or_fails() {
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
        Some("complete") => assert_complete(&reply, "halved"),
        other => assert_eq!(other, Some("failed"), "{:?}", reply.body),
    }
    let again = send(&call(cluster.entry(1), "/v1/jobs", &long_job("halved")));
    assert_started_once(&cluster, "halved");
    assert_ne!(again.header("Hemlock-Outcome"), Some("not-run"));
    cluster.stop();
}

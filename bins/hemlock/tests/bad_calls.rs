//! An entry refuses invalid calls, runs none of their tasks, and still serves valid calls.

mod common;

use common::{CUSTOMER_KEY, Cluster, SERVICE, call, job, send};
use hemlock_http::prelude::*;
use serde_json::{Value, json};

const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
const DEADLINE: &str = "Hemlock-Deadline-Ms";

/// An invalid call, and the status with which it must be refused.
struct BadCall {
    what: &'static str,
    call: HttpCall,
    status: u16,
}

fn bad(what: &'static str, call: HttpCall, status: u16) -> BadCall {
    BadCall { what, call, status }
}

fn with_key(mut call: HttpCall, key: &str) -> HttpCall {
    call.headers.retain(|(name, _)| name != "Authorization");
    match key {
        "" => call,
        key => call.with_header("Authorization", key),
    }
}

fn bad_requests(entry: std::net::SocketAddr) -> Vec<BadCall> {
    let path = |rest: &str| format!("/v1/services/{rest}");
    let search = || call(entry, &path(&format!("{SERVICE}/search")), "{}");
    let hold = || call(entry, &path(&format!("{SERVICE}/hold")), "{}");
    vec![
        bad("no key", with_key(search(), ""), 401),
        bad("a wrong key", with_key(search(), "Bearer wrong"), 401),
        bad(
            "a key cut short",
            with_key(search(), &format!("Bearer {}", &CUSTOMER_KEY[1..])),
            401,
        ),
        bad(
            "another scheme",
            with_key(search(), &format!("Basic {CUSTOMER_KEY}")),
            401,
        ),
        bad(
            "an unknown service",
            call(entry, &path("unknown/search"), "{}"),
            403,
        ),
        bad(
            "a bad service name",
            call(entry, &path("Big%20Name/search"), "{}"),
            400,
        ),
        bad("no operation", call(entry, &path(SERVICE), "{}"), 404),
        bad(
            "a non-idempotent operation without an idempotency key",
            hold(),
            400,
        ),
        bad(
            "an empty idempotency key",
            hold().with_header(IDEMPOTENCY_KEY, ""),
            400,
        ),
        bad(
            "an idempotency key of 300 bytes",
            hold().with_header(IDEMPOTENCY_KEY, "n".repeat(300)),
            400,
        ),
        bad(
            "an idempotency key with a slash",
            hold().with_header(IDEMPOTENCY_KEY, "a/b"),
            400,
        ),
        bad(
            "a deadline of zero",
            search().with_header(DEADLINE, "0"),
            400,
        ),
        bad(
            "a negative deadline",
            search().with_header(DEADLINE, "-5"),
            400,
        ),
        bad(
            "a deadline that is not a number",
            search().with_header(DEADLINE, "soon"),
            400,
        ),
        bad(
            "a deadline that exceeds 64 bits",
            search().with_header(DEADLINE, "9".repeat(40)),
            400,
        ),
    ]
}

fn bad_jobs(entry: std::net::SocketAddr) -> Vec<BadCall> {
    let post = |body: &str| call(entry, "/v1/jobs", body);
    let changed = |field: &str, value: Value| {
        let mut job = job("changed", 2);
        job[field] = value;
        post(&job.to_string())
    };
    let mut not_utf8 = post("");
    not_utf8.body = b"{\"submission\":\"\xff\xfe\"}".to_vec().into();
    let whole = job("cut", 3).to_string();
    vec![
        bad("no body", post(""), 400),
        bad("not JSON", post("submission: yes"), 400),
        bad("JSON cut short", post(&whole[..whole.len() / 2]), 400),
        bad("bytes that are not UTF-8", not_utf8, 400),
        bad("deep nesting", post(&"[".repeat(10_000)), 400),
        bad("no tasks", post(&job("empty", 0).to_string()), 400),
        bad("241 tasks", post(&job("large", 241).to_string()), 400),
        bad("an unknown field", changed("colour", json!("green")), 400),
        bad("tasks of another type", changed("tasks", json!("two")), 400),
        bad(
            "a bad operation",
            changed("tasks", json!([{ "operation": "No Name" }])),
            400,
        ),
        bad("a deadline of zero", changed("deadline_ms", json!(0)), 400),
        bad(
            "a negative deadline",
            changed("deadline_ms", json!(-1)),
            400,
        ),
        bad(
            "a service of another customer",
            changed("service", json!("portal")),
            403,
        ),
        bad(
            "a task that no worker fits",
            changed(
                "tasks",
                json!([{ "operation": "search", "cores": 4_000_000 }]),
            ),
            422,
        ),
    ]
}

#[test]
fn bad_calls_are_refused_and_run_nothing() {
    let cluster = Cluster::start(1);
    let before = cluster.started();
    for entry in [cluster.entry(0), cluster.entry(1)] {
        for bad in bad_requests(entry).into_iter().chain(bad_jobs(entry)) {
            let reply = send(&bad.call);
            let what = bad.what;
            assert_eq!(reply.status, bad.status, "{what}: {:?}", reply.body);
            assert_eq!(reply.header("Hemlock-Outcome"), Some("not-run"), "{what}");
            assert!(reply.header("Hemlock-Reason").is_some(), "{what}");
            let body = String::from_utf8_lossy(&reply.body).into_owned();
            assert!(!body.contains(CUSTOMER_KEY), "{what}: {body}");
        }
    }
    assert_eq!(cluster.started(), before, "a refused call started a task");
    let whole = send(&call(
        cluster.entry(0),
        "/v1/jobs",
        &job("good", 240).to_string(),
    ));
    assert_eq!(whole.status, 200, "{:?}", whole.body);
    assert_eq!(cluster.started(), before + 240);
    cluster.stop();
}

#[test]
fn an_excessive_deadline_is_capped_and_served() {
    let cluster = Cluster::start(1);
    let path = format!("/v1/services/{SERVICE}/search");
    let long = call(cluster.entry(0), &path, "{}").with_header(DEADLINE, u64::MAX.to_string());
    assert_eq!(send(&long).status, 200);
    cluster.stop();
}

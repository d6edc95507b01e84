//! A stand-in counts its requests and injects faults.

use std::net::SocketAddr;
use std::time::Duration;

use hemlock_standin::prelude::*;

fn post(address: SocketAddr, body: &str) -> Result<(u16, String), attohttpc::Error> {
    let response = attohttpc::post(format!("http://{address}/portal/hold"))
        .header("Hemlock-Submission", "s")
        .header("Hemlock-Task", "0")
        .read_timeout(Duration::from_millis(2_000))
        .text(body)
        .send()?;
    let status = response.status().as_u16();
    Ok((status, response.text()?))
}

fn post_with_faults(faults: Faults) -> (Result<(u16, String), attohttpc::Error>, RequestCounts) {
    let config = StandinConfig::new("portal").with_faults(faults);
    let endpoint = StandinEndpoint::start(config).expect("a free port");
    let result = post(endpoint.address(), r#"{"key":"k"}"#);
    (result, endpoint.stop())
}

#[test]
fn counts_starts_and_duplicates() {
    let endpoint = StandinEndpoint::start(StandinConfig::new("portal")).expect("a free port");
    let (status, body) =
        post(endpoint.address(), r#"{"key":"a","work_ms":5}"#).expect("a response");
    assert_eq!(status, 200);
    assert!(body.contains(r#""key":"a""#) && body.contains(r#""work_ms":5"#));
    post(endpoint.address(), r#"{"key":"b"}"#).expect("a response");
    assert_eq!(endpoint.key_starts().get("b"), Some(&1));
    let counts = endpoint.stop();
    assert_eq!((counts.started, counts.finished, counts.cut), (2, 2, 0));
    assert_eq!((counts.duplicate_starts, counts.duplicate_keys), (1, 0));
}

#[test]
fn injects_faults() {
    let (failed, _) = post_with_faults(Faults {
        fail_percent: 100,
        ..Faults::default()
    });
    assert_eq!(failed.expect("a response").0, 500);
    let (cut, counts) = post_with_faults(Faults {
        cut_percent: 100,
        ..Faults::default()
    });
    assert!(cut.is_err() && counts.started == 1 && counts.faulted == 1);
    let (truncated, counts) = post_with_faults(Faults {
        truncate_percent: 100,
        ..Faults::default()
    });
    // The client doesn't check the body's length against the Content-Length header.
    let is_complete = truncated.is_ok_and(|(_, body)| body.ends_with('}'));
    assert!(!is_complete && counts.finished == 0 && counts.faulted == 1);
    let (crossed, _) = post_with_faults(Faults {
        cross_percent: 100,
        ..Faults::default()
    });
    assert!(crossed.expect("a response").1.contains(r#""key":null"#));
}

#[test]
fn counts_requests_cut_by_the_caller() {
    let endpoint = StandinEndpoint::start(StandinConfig::new("portal")).expect("a free port");
    let timed_out = attohttpc::post(format!("http://{}/portal/hold", endpoint.address()))
        .read_timeout(Duration::from_millis(50))
        .text(r#"{"work_ms":60000}"#)
        .send();
    assert!(timed_out.is_err());
    drop(timed_out);
    while endpoint.counts().cut == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(endpoint.stop().cut, 1);
}

#[test]
fn many_endpoints_share_a_thread() {
    let host = StandinHost::start(1).expect("a thread");
    let endpoints: Vec<_> = (0..20)
        .map(|_| host.add(StandinConfig::new("portal")).expect("a free port"))
        .collect();
    std::thread::scope(|scope| {
        for endpoint in &endpoints {
            scope.spawn(|| post(endpoint.address(), r#"{"work_ms":50}"#).expect("a response"));
        }
    });
    let total = endpoints
        .into_iter()
        .map(StandinEndpoint::stop)
        .fold(RequestCounts::default(), RequestCounts::plus);
    assert_eq!((total.started, total.finished), (20, 20));
}

//! A stand-in counts what it sees and goes wrong as asked.

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

fn faulty(faults: Faults) -> (Result<(u16, String), attohttpc::Error>, Seen) {
    let config = StandinConfig::new("portal").with_faults(faults);
    let endpoint = StandinEndpoint::start(config).expect("a free port");
    let result = post(endpoint.address(), r#"{"key":"k"}"#);
    (result, endpoint.stop())
}

#[test]
fn counts_starts_and_duplicates() {
    let endpoint = StandinEndpoint::start(StandinConfig::new("portal")).expect("a free port");
    let (status, body) = post(endpoint.address(), r#"{"key":"a","work_ms":5}"#).expect("served");
    assert_eq!(status, 200);
    assert!(body.contains(r#""key":"a""#) && body.contains(r#""work_ms":5"#));
    post(endpoint.address(), r#"{"key":"b"}"#).expect("served");
    assert_eq!(endpoint.key_starts().get("b"), Some(&1));
    let seen = endpoint.stop();
    assert_eq!((seen.started, seen.finished, seen.cut), (2, 2, 0));
    assert_eq!((seen.duplicate_starts, seen.duplicate_keys), (1, 0));
}

#[test]
fn goes_wrong_as_asked() {
    let (failed, _) = faulty(Faults {
        fail_percent: 100,
        ..Faults::default()
    });
    assert_eq!(failed.expect("an answer").0, 500);
    let (cut, seen) = faulty(Faults {
        cut_percent: 100,
        ..Faults::default()
    });
    assert!(cut.is_err() && seen.started == 1 && seen.faulted == 1);
    let (truncated, seen) = faulty(Faults {
        truncate_percent: 100,
        ..Faults::default()
    });
    // This client doesn't compare the body with its announced length.
    let ends = truncated.is_ok_and(|(_, body)| body.ends_with('}'));
    assert!(!ends && seen.finished == 0 && seen.faulted == 1);
    let (crossed, _) = faulty(Faults {
        cross_percent: 100,
        ..Faults::default()
    });
    assert!(crossed.expect("an answer").1.contains(r#""key":null"#));
}

#[test]
fn sees_cut_callers() {
    let endpoint = StandinEndpoint::start(StandinConfig::new("portal")).expect("a free port");
    let hasty = attohttpc::post(format!("http://{}/portal/hold", endpoint.address()))
        .read_timeout(Duration::from_millis(50))
        .text(r#"{"work_ms":60000}"#)
        .send();
    assert!(hasty.is_err());
    drop(hasty);
    while endpoint.seen().cut == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(endpoint.stop().cut, 1);
}

#[test]
fn many_share_a_thread() {
    let host = StandinHost::start(1).expect("a thread");
    let endpoints: Vec<_> = (0..20)
        .map(|_| host.add(StandinConfig::new("portal")).expect("a free port"))
        .collect();
    std::thread::scope(|scope| {
        for endpoint in &endpoints {
            scope.spawn(|| post(endpoint.address(), r#"{"work_ms":50}"#).expect("served"));
        }
    });
    let total = endpoints
        .into_iter()
        .map(StandinEndpoint::stop)
        .fold(Seen::default(), Seen::plus);
    assert_eq!((total.started, total.finished), (20, 20));
}

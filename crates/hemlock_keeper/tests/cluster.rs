//! Tests of running keepers on loopback: normal operation and rejected calls.

mod common;

use common::{Cluster, WireCaller};
use hemlock_http::prelude::{HttpCall, HttpClient, HttpClientConfig, Method};
use hemlock_keeper::Keeper;
use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::CallError;
use hemlock_wire::message::keeper::{KeeperReply, KeeperRequest};

#[test]
fn any_keeper_accepts_operator_calls() {
    let cluster = Cluster::start(3);
    cluster.leader();
    for index in 0..3 {
        let (status, body) = cluster.put(index, "sablah", index as u64 + 1, 10);
        assert_eq!(status, 200, "{body}");
    }
    for index in 0..3 {
        let (status, body) = cluster.call(index, Method::Get, "/v1/contracts/sablah", "");
        assert_eq!(status, 200);
        assert_eq!(body["contract"]["revision"], 3);
    }
}

#[test]
fn drained_leader_transfers_leadership_and_stops() {
    let mut cluster = Cluster::start(3);
    let leader = cluster.leader();
    assert_eq!(cluster.put(leader, "sablah", 1, 10).0, 200);
    cluster.stop(leader);
    let next = cluster.leader();
    assert_eq!(cluster.put(next, "sablah", 2, 10).0, 200);
}

#[test]
fn unauthorized_and_invalid_calls_are_refused_with_the_field_named() {
    let cluster = Cluster::start(1);
    cluster.leader();
    let address = cluster.keepers[0].as_ref().unwrap().http_address();
    let client = HttpClient::new(HttpClientConfig::default());
    let unauthorized = HttpCall::new(Method::Get, address, "/v1/contracts");
    assert_eq!(client.send(&unauthorized).unwrap().status, 401);
    let overflow = common::contract("sablah", 1, 1)
        .replace("\"revision\":1", "\"revision\":18446744073709551616");
    let (status, body) = cluster.call(0, Method::Put, "/v1/contracts/sablah", &overflow);
    assert_eq!(
        (status, &body["faults"][0]["field"]),
        (400, &"revision".into()),
        "{body}"
    );
    let unknown = common::contract("sablah", 1, 1).replace("\"max_queued\"", "\"max_queud\"");
    let (status, body) = cluster.call(0, Method::Put, "/v1/contracts/sablah", &unknown);
    assert_eq!(
        (status, &body["faults"][0]["field"]),
        (400, &"max_queud".into()),
        "{body}"
    );
    let (status, _) = cluster.call(
        0,
        Method::Put,
        "/v1/contracts/other",
        &common::contract("sablah", 1, 1),
    );
    assert_eq!(status, 400);
}

#[test]
fn unusable_data_folders_are_refused() {
    let mut cluster = Cluster::start(1);
    cluster.leader();
    cluster.stop(0);
    let own = cluster.settings(0);
    let mut other_cluster = own.clone();
    other_cluster.cluster = "other".to_owned();
    let mut no_folder = own.clone();
    no_folder.data_folder = own.data_folder.join("lock").join("inside-a-file");
    for (settings, named) in [(other_cluster, "cluster"), (no_folder, "data folder")] {
        let refused = Keeper::start(settings)
            .err()
            .expect("the folder is refused");
        assert!(refused.to_string().contains(named), "{refused}");
    }
    let running = Keeper::start(own.clone()).expect("its own folder is fine");
    let mut second = own;
    second.wire_address = "127.0.0.1:0".parse().expect("an address");
    let refused = Keeper::start(second).err().expect("the folder is in use");
    assert!(refused.to_string().contains("another process"), "{refused}");
    running.kill();
}

#[test]
fn without_a_quorum_invalid_calls_fail_at_once_and_valid_ones_time_out() {
    let mut cluster = Cluster::start(3);
    let leader = cluster.leader();
    let (one, other) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.kill(one);
    cluster.kill(other);
    let (status, _) = cluster.call(leader, Method::Put, "/v1/contracts/sablah", "{}");
    assert_eq!(status, 400);
    let (status, body) = cluster.put(leader, "sablah", 1, 10);
    assert_eq!(
        (status, &body["error"]),
        (503, &"no-quorum".into()),
        "{body}"
    );
    // The change may be committed after the timeout. Sending it again returns its result.
    cluster.start_keeper(one);
    cluster.start_keeper(other);
    let leader = cluster.leader();
    assert_eq!(cluster.put(leader, "sablah", 1, 10).0, 200);
}

#[test]
fn drain_answers_all_claims_in_flight() {
    let mut cluster = Cluster::start(1);
    cluster.leader();
    let address = cluster.wire_address(0);
    let caller = std::thread::spawn(move || {
        let mut caller = WireCaller::new(Role::Entry);
        assert!(caller.connect(address));
        let mut answered = 0;
        loop {
            match caller.try_ask(&claims(caller.incarnation())) {
                Ok(KeeperReply::Claims(replies)) => {
                    assert!(matches!(replies[0], ClaimReply::Granted { .. }));
                    answered += 1;
                }
                Ok(_) => return answered,
                Err(CallError::Lost) => panic!("a request in flight was cut"),
                Err(_) => return answered,
            }
        }
    });
    std::thread::sleep(std::time::Duration::from_millis(200));
    cluster.stop(0);
    assert!(caller.join().expect("every answer is a claim's") > 0);
}

fn claims(entry: Incarnation) -> KeeperRequest {
    KeeperRequest::Claims(vec![ClaimRequest {
        submission: SubmissionId::derive(&"sablah".into(), "hold-1"),
        digest: Digest::of_key(b"room 4"),
        entry,
        tasks: 1,
        plan: vec![Incarnation(900)],
        deadline_ms: 30_000,
    }])
}

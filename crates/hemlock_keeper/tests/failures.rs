//! Tests of running keepers on loopback with files: kills, restarts, lost disks and member changes.

mod common;

use common::{Cluster, WireCaller, wait_for};
use hemlock_http::prelude::Method;
use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{KeeperReply, KeeperRequest};

#[test]
fn accepted_contract_survives_the_restart_of_a_single_keeper() {
    let mut cluster = Cluster::start(1);
    cluster.leader();
    let (status, first) = cluster.put(0, "sablah", 1, 10);
    assert_eq!(status, 200, "{first}");
    cluster.kill(0);
    cluster.start_keeper(0);
    cluster.leader();
    let (status, held) = cluster.call(0, Method::Get, "/v1/contracts/sablah", "");
    assert_eq!(status, 200);
    assert_eq!(held["contract"]["max_running"], 10);
    let (status, again) = cluster.put(0, "sablah", 1, 10);
    assert_eq!((status, &again), (200, &first));
    cluster.stop(0);
}

#[test]
fn accepted_contracts_survive_leader_kills_and_restarts() {
    let mut cluster = Cluster::start(3);
    for round in 1..=6 {
        let leader = cluster.leader();
        for change in 0..40 {
            let revision = round * 100 + change;
            let (status, body) = cluster.put(leader, "sablah", revision, 10);
            assert_eq!(status, 200, "{body}");
        }
        cluster.kill(leader);
        let other = cluster.leader();
        let (_, body) = cluster.call(other, Method::Get, "/v1/contracts/sablah", "");
        assert_eq!(body["contract"]["revision"], round * 100 + 39);
        cluster.start_keeper(leader);
    }
}

fn claim(entry: Incarnation, number: u32) -> ClaimRequest {
    ClaimRequest {
        submission: SubmissionId::derive(&"sablah".into(), &number.to_string()),
        digest: Digest::of_key(&number.to_le_bytes()),
        entry,
        tasks: 1,
        plan: vec![Incarnation(900)],
        deadline_ms: 30_000,
    }
}

#[test]
fn no_epoch_of_a_submission_is_granted_to_two_entries() {
    let mut cluster = Cluster::start(3);
    let mut callers = [WireCaller::new(Role::Entry), WireCaller::new(Role::Entry)];
    let mut granted = std::collections::HashMap::new();
    for number in 0..60 {
        if number % 20 == 10 {
            let leader = cluster.leader();
            cluster.kill(leader);
            let other = cluster.leader();
            assert_ne!(leader, other);
            cluster.start_keeper(leader);
        }
        for caller in &mut callers {
            let request = KeeperRequest::Claims(vec![claim(caller.incarnation(), number)]);
            let KeeperReply::Claims(replies) = caller.ask_leader(&cluster, &request) else {
                panic!("claims are answered with claims");
            };
            if let ClaimReply::Granted { epoch, .. } = replies[0] {
                let owner = caller.incarnation();
                let holder = *granted.entry((number, epoch)).or_insert(owner);
                assert_eq!(holder, owner, "submission {number} under epoch {epoch}");
            }
        }
    }
}

#[test]
fn keeper_rejoins_with_an_empty_disk_and_data_survives_the_loss_of_another() {
    let mut cluster = Cluster::start(3);
    let leader = cluster.leader();
    for revision in 1..=30 {
        assert_eq!(cluster.put(leader, "sablah", revision, 10).0, 200);
    }
    let lost = (leader + 1) % 3;
    cluster.kill(lost);
    cluster.replace_disk(lost);
    cluster.start_keeper(lost);
    wait_for(
        "the keeper with the new disk to catch up and become a voter",
        || {
            let status = cluster.status(leader);
            let members = status["members"].as_array()?;
            let voters = members.iter().filter(|member| member["kind"] == "voter");
            let caught_up = status["followers"]
                .as_array()?
                .iter()
                .all(|follower| follower["lag_entries"] == 0);
            (voters.count() == 3
                && caught_up
                && cluster.status(lost)["applied"] == status["applied"])
                .then_some(())
        },
    );
    cluster.kill(leader);
    let next = cluster.leader();
    let (status, body) = cluster.call(next, Method::Get, "/v1/contracts/sablah", "");
    assert_eq!(status, 200);
    assert_eq!(body["contract"]["revision"], 30);
}

/// Returns the ids of the voters according to the leader.
fn voters(cluster: &Cluster) -> Vec<u64> {
    let status = cluster.status(cluster.leader());
    let members = status["members"].as_array().expect("members").iter();
    members
        .filter(|member| member["kind"] == "voter")
        .filter_map(|member| member["id"].as_u64())
        .collect()
}

#[test]
fn a_keeper_is_added_and_another_removed() {
    let mut cluster = Cluster::start(3);
    let leader = cluster.leader();
    assert_eq!(cluster.put(leader, "sablah", 1, 10).0, 200);
    let new_keeper = cluster.start_new_keeper();
    let body = format!(
        r#"{{"id":{},"address":"{}"}}"#,
        new_keeper.id, new_keeper.address
    );
    wait_for("the new keeper to be added", || {
        let (status, _) = cluster.call(0, Method::Post, "/v1/keepers", &body);
        (status == 200).then_some(())
    });
    wait_for("the new keeper to become a voter", || {
        (voters(&cluster) == [1, 2, 3, 4]).then_some(())
    });
    let (leader, removed) = (cluster.leader(), (cluster.leader() + 1) % 3);
    let path = format!("/v1/keepers/{}", removed + 1);
    wait_for("the previous member change to be committed", || {
        let (status, body) = cluster.call(leader, Method::Delete, &path, "");
        let change_in_progress = status == 409 && body["error"] == "keeper-set";
        assert!(status == 200 || change_in_progress, "{body}");
        (status == 200).then_some(())
    });
    wait_for("three voters", || {
        (voters(&cluster).len() == 3).then_some(())
    });
    cluster.kill(removed);
    cluster.kill(leader);
    let next = cluster.leader();
    let (_, held) = cluster.call(next, Method::Get, "/v1/contracts/sablah", "");
    assert_eq!(held["contract"]["revision"], 1);
    assert_eq!(cluster.put(next, "sablah", 2, 10).0, 200);
}

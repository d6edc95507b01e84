//! Real keepers with real files on loopback, under kills, restarts and lost disks.

mod common;

use common::{Cluster, WireCaller, wait_for};
use hemlock_http::prelude::Method;
use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{KeeperReply, KeeperRequest};

#[test]
fn a_single_keeper_serves_and_keeps_what_it_accepted() {
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
fn accepted_contracts_survive_the_leaders_death_and_restart() {
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
fn a_keeper_with_an_empty_disk_joins_again_and_a_second_loss_costs_nothing() {
    let mut cluster = Cluster::start(3);
    let leader = cluster.leader();
    for revision in 1..=30 {
        assert_eq!(cluster.put(leader, "sablah", revision, 10).0, 200);
    }
    let lost = (leader + 1) % 3;
    cluster.kill(lost);
    cluster.replace_disk(lost);
    cluster.start_keeper(lost);
    wait_for("the new disk to catch up and vote", || {
        let status = cluster.status(leader);
        let members = status["members"].as_array()?;
        let voters = members.iter().filter(|member| member["kind"] == "voter");
        let lag_free = status["followers"]
            .as_array()?
            .iter()
            .all(|follower| follower["lag_entries"] == 0);
        (voters.count() == 3 && lag_free && cluster.status(lost)["applied"] == status["applied"])
            .then_some(())
    });
    cluster.kill(leader);
    let next = cluster.leader();
    let (status, body) = cluster.call(next, Method::Get, "/v1/contracts/sablah", "");
    assert_eq!(status, 200);
    assert_eq!(body["contract"]["revision"], 30);
}

/// Ids of the members that vote, as the leader sees them.
fn voters(cluster: &Cluster) -> Vec<u64> {
    let status = cluster.status(cluster.leader());
    let members = status["members"].as_array().expect("members").iter();
    members
        .filter(|member| member["kind"] == "voter")
        .filter_map(|member| member["id"].as_u64())
        .collect()
}

#[test]
fn a_keeper_is_added_and_another_taken_out() {
    let mut cluster = Cluster::start(3);
    let leader = cluster.leader();
    assert_eq!(cluster.put(leader, "sablah", 1, 10).0, 200);
    let newcomer = cluster.start_newcomer();
    let body = format!(
        r#"{{"id":{},"address":"{}"}}"#,
        newcomer.id, newcomer.address
    );
    wait_for("the newcomer to be taken in", || {
        let (status, _) = cluster.call(0, Method::Post, "/v1/keepers", &body);
        (status == 200).then_some(())
    });
    wait_for("the newcomer's vote", || {
        (voters(&cluster) == [1, 2, 3, 4]).then_some(())
    });
    let (leader, gone) = (cluster.leader(), (cluster.leader() + 1) % 3);
    let path = format!("/v1/keepers/{}", gone + 1);
    wait_for("the change before it to be committed", || {
        let (status, body) = cluster.call(leader, Method::Delete, &path, "");
        let asked_to_wait = status == 409 && body["error"] == "keeper-set";
        assert!(status == 200 || asked_to_wait, "{body}");
        (status == 200).then_some(())
    });
    wait_for("three voters", || {
        (voters(&cluster).len() == 3).then_some(())
    });
    cluster.kill(gone);
    cluster.kill(leader);
    let next = cluster.leader();
    let (_, held) = cluster.call(next, Method::Get, "/v1/contracts/sablah", "");
    assert_eq!(held["contract"]["revision"], 1);
    assert_eq!(cluster.put(next, "sablah", 2, 10).0, 200);
}
